package clemroute

import (
	"cmp"
	"slices"
	"time"
)

// urgency is a priority among the routes of a service, with their shortest latency
// target.
type urgency struct {
	priority int
	target   time.Duration
}

// addUrgency adds a route's priority and latency target to those of a service.
func (c *Configuration) addUrgency(service string, u urgency) {
	levels := c.urgencies[service]
	at, known := slices.BinarySearchFunc(levels, u.priority, func(l urgency, priority int) int { return cmp.Compare(l.priority, priority) })
	switch {
	case !known:
		c.urgencies[service] = slices.Insert(levels, at, u)
	case u.target > 0 && (levels[at].target == 0 || u.target < levels[at].target):
		levels[at].target = u.target
	}
}

// Urgency returns how many priorities of the service's routes are more urgent than
// the given one, and the shortest latency target of the routes that are at least as
// urgent, or 0 if none of them has one.
func (c *Configuration) Urgency(service string, priority int) (moreUrgent int, target time.Duration) {
	for _, level := range c.urgencies[service] {
		if level.priority > priority {
			break
		}
		if level.priority < priority {
			moreUrgent++
		}
		if level.target > 0 && (target == 0 || level.target < target) {
			target = level.target
		}
	}
	return moreUrgent, target
}
