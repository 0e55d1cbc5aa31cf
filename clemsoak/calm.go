package clemsoak

import (
	"sync"
	"time"
)

// quietPeriod records for how long no fault affected a component.
type quietPeriod struct {
	mu sync.Mutex
	// activeFaults is the number of faults that last, lastFaultEnd when the last
	// one ended.
	activeFaults int
	lastFaultEnd time.Time
}

// beginFault records a fault that lasts until the returned function is called.
func (q *quietPeriod) beginFault() (end func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.activeFaults++
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.activeFaults--
		q.lastFaultEnd = time.Now()
	}
}

// recordFault records a fault without duration.
func (q *quietPeriod) recordFault() { q.beginFault()() }

// isQuietFor reports whether no fault was active within the given time before
// now.
func (q *quietPeriod) isQuietFor(span time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.activeFaults == 0 && time.Since(q.lastFaultEnd) > span
}

// wrapFault records a fault that lasts from now on until the returned function is
// called. That function first calls restore, which may be nil, to end the fault.
func (q *quietPeriod) wrapFault(restore func()) func() {
	end := q.beginFault()
	return func() {
		if restore != nil {
			restore()
		}
		end()
	}
}
