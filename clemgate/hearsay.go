package clemgate

import "time"

const (
	// hearTime is how long a load that was heard counts.
	hearTime = time.Second
	// maxHeard is the number of servers whose loads are kept.
	maxHeard = 64
)

// heardLoad is the load, in tokens, that a server told at one time.
type heardLoad struct {
	time time.Time
	load uint64
}

// hearsay holds what other servers of the pool told of their loads lately,
// by their names.
type hearsay map[string]heardLoad

func (h hearsay) add(now time.Time, server string, load uint64) {
	if _, ok := h[server]; !ok && len(h) >= maxHeard {
		h.forget(now)
		if len(h) >= maxHeard {
			return
		}
	}
	h[server] = heardLoad{time: now, load: load}
}

func (h hearsay) forget(now time.Time) {
	for server, heard := range h {
		if now.Sub(heard.time) > hearTime {
			delete(h, server)
		}
	}
}

// sum returns the loads that still count.
func (h hearsay) sum(now time.Time) float64 {
	h.forget(now)
	total := 0.0
	for _, heard := range h {
		total += float64(heard.load)
	}
	return total
}
