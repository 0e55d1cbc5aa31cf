package clemstandin

import "time"

// maxLag is the longest lag that can be set.
const maxLag = time.Minute

// sample is a value and the time from which it held.
type sample[T any] struct {
	time  time.Time
	value T
}

// history keeps the values of the recent past, for answers that lag behind
// the truth by at most maxLag. Its owner guards it.
type history[T any] struct {
	samples []sample[T]
}

// add records a value that holds from now on, and drops what no lag can show.
func (h *history[T]) add(value T) {
	now := time.Now()
	for len(h.samples) > 1 && h.samples[1].time.Before(now.Add(-maxLag)) {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, sample[T]{time: now, value: value})
}

// at returns the value that held the given time ago, or the oldest known one.
func (h *history[T]) at(lag time.Duration) T {
	if len(h.samples) == 0 {
		var zero T
		return zero
	}
	return h.samples[h.before(time.Now().Add(-lag))].value
}

// before returns the index of the newest sample not after the time, or 0.
func (h *history[T]) before(limit time.Time) int {
	for i := len(h.samples) - 1; i > 0; i-- {
		if !h.samples[i].time.After(limit) {
			return i
		}
	}
	return 0
}
