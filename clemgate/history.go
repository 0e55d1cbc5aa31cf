package clemgate

import "time"

const (
	historyStep = 50 * time.Millisecond
	historySize = 2 * int(maxMeanAge/historyStep)
)

// history holds the server's own load over the age that a mean may have.
type history struct {
	times [historySize]time.Time
	loads [historySize]uint64
	next  int
}

// add records the load. Within one step the newest load replaces the last.
func (h *history) add(now time.Time, load uint64) {
	last := (h.next + historySize - 1) % historySize
	if !h.times[last].IsZero() && now.Sub(h.times[last]) < historyStep {
		h.loads[last] = load
		return
	}
	h.times[h.next], h.loads[h.next] = now, load
	h.next = (h.next + 1) % historySize
}

// at returns the load at the time, or the current one if none is recorded.
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
