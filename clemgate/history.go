package clemgate

import "time"

const (
	historyStep = 50 * time.Millisecond
	historySize = 2 * int(maxMeanAge/historyStep)
)

// history is a ring buffer of the server's own load. It covers the greatest age
// of a usable mean.
type history struct {
	times [historySize]time.Time
	loads [historySize]uint64
	next  int
}

// add records the load. Within one step it replaces the newest entry.
func (h *history) add(now time.Time, load uint64) {
	last := (h.next + historySize - 1) % historySize
	if !h.times[last].IsZero() && now.Sub(h.times[last]) < historyStep {
		h.loads[last] = load
		return
	}
	h.times[h.next], h.loads[h.next] = now, load
	h.next = (h.next + 1) % historySize
}

// at returns the load at the given time: the current one if that is not in the
// past, and 0 if the history does not reach back to it.
func (h *history) at(now, when time.Time, current uint64) uint64 {
	if !when.Before(now) {
		return current
	}
	for i := 1; i <= historySize; i++ {
		slot := (h.next + historySize - i) % historySize
		if h.times[slot].IsZero() {
			return 0
		}
		if !h.times[slot].After(when) {
			return h.loads[slot]
		}
	}
	return 0
}
