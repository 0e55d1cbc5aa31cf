package clemstandin

import "time"

// maxLag is the greatest lag that can be injected.
const maxLag = time.Minute

// sample is a value and the time from which it was valid.
type sample[T any] struct {
	since time.Time
	value T
}

// history holds the values of the last maxLag, for reads that are to return an
// outdated value. It does no locking of its own.
type history[T any] struct {
	samples []sample[T]
}

// add records a value that is valid from now on, and drops the values that are
// older than any lag reaches.
func (h *history[T]) add(value T) {
	now := time.Now()
	for len(h.samples) > 1 && h.samples[1].since.Before(now.Add(-maxLag)) {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, sample[T]{since: now, value: value})
}

// at returns the value that was valid the given time ago, or else the oldest
// known one.
func (h *history[T]) at(lag time.Duration) T {
	if len(h.samples) == 0 {
		var zero T
		return zero
	}
	return h.samples[h.indexAt(time.Now().Add(-lag))].value
}

// indexAt returns the index of the newest sample not after the time, or 0.
func (h *history[T]) indexAt(limit time.Time) int {
	for i := len(h.samples) - 1; i > 0; i-- {
		if !h.samples[i].since.After(limit) {
			return i
		}
	}
	return 0
}
