package clembudget

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of a new measurement in the
	// smoothed mean and deviation.
	meanWeight      = 1.0 / 16
	deviationWeight = 1.0 / 8
	// deviationFactor is the number of deviations above the mean from which on a
	// wait is unusual.
	deviationFactor = 4
	// maxStallGroups is the number of groups above which the measurements of all
	// of them are dropped.
	maxStallGroups = 1024
)

// StallTracker holds a WaitEstimate for each group of requests that usually wait
// equally long. It is safe for concurrent use.
type StallTracker struct {
	mu     sync.Mutex
	groups map[string]*WaitEstimate
}

// NewStallTracker returns a StallTracker without measurements.
func NewStallTracker() *StallTracker {
	return &StallTracker{groups: map[string]*WaitEstimate{}}
}

// Group returns the estimate of the group. It starts without measurements.
func (t *StallTracker) Group(name string) *WaitEstimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.groups[name]
	if e == nil {
		if len(t.groups) >= maxStallGroups {
			clear(t.groups)
		}
		e = &WaitEstimate{}
		t.groups[name] = e
	}
	return e
}

// WaitEstimate estimates from which time on a wait for a response is unusual: the
// smoothed mean plus a multiple of the deviation, as TCP does for its
// retransmission timeout (RFC 6298). A server that makes its callers wait longer
// is an outlier, and moving its work helps. If all servers are slow, the estimate
// rises and work stays where it is. It is safe for concurrent use.
type WaitEstimate struct {
	mu              sync.Mutex
	mean, deviation time.Duration
}

// Observe records a wait that ended, or one that still goes on, which is the lower
// bound of a wait.
func (e *WaitEstimate) Observe(wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	difference := max(wait, 0) - e.mean
	e.mean += time.Duration(meanWeight * float64(difference))
	e.deviation += time.Duration(deviationWeight * float64(difference.Abs()-e.deviation))
}

// Timeout returns the time from which on a wait is unusual, which is at least the
// given one.
func (e *WaitEstimate) Timeout(minimum time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(minimum, e.mean+deviationFactor*e.deviation)
}
