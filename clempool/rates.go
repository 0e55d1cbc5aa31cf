package clempool

import (
	"math"
	"time"
)

const (
	// rateSpan is the time over which the load of a group of prompts is averaged.
	rateSpan = 6 * time.Second
	// mostRates bounds the groups that are kept; the smallest are dropped.
	mostRates = 4096
	// leastRate is the rate, in running requests, below which a group is dropped.
	leastRate = 1e-3
)

// rate is an exponentially decaying mean of running requests.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) decay(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.value *= math.Exp(-passed.Seconds() / rateSpan.Seconds())
		r.at = now
	}
}

// add counts a request that runs for the time.
func (r *rate) add(hold time.Duration, now time.Time) {
	r.decay(now)
	r.value += hold.Seconds() / rateSpan.Seconds()
}

// rates holds the load of each group of prompts that share their first part;
// the total has the key 0.
type rates map[uint64]*rate

// add counts a request and returns its group's share of the total.
func (r rates) add(group uint64, hold time.Duration, now time.Time) float64 {
	total, own := r.get(0, now), r.get(group, now)
	total.add(hold, now)
	own.add(hold, now)
	if len(r) > mostRates {
		r.shrink(now)
	}
	if total.value <= 0 {
		return 0
	}
	return own.value / total.value
}

func (r rates) get(group uint64, now time.Time) *rate {
	found := r[group]
	if found == nil {
		found = &rate{at: now}
		r[group] = found
	}
	return found
}

func (r rates) shrink(now time.Time) {
	for group, rate := range r {
		if rate.decay(now); rate.value < leastRate {
			delete(r, group)
		}
	}
}
