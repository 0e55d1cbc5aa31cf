package clempool

import (
	"math"
	"time"
)

// minLimitChange is the share by which a stated limit must change to be reported.
const minLimitChange = 0.1

// rateLimit is the limit that a server states in its responses: the requests a second
// that it takes from all entries together.
type rateLimit struct {
	isStated bool
	// limit is the last one, statedAt when the last response with one arrived.
	limit    float64
	statedAt time.Time
	// reported is the limit that was last reported.
	reported float64
}

// record applies a response to a request that was sent at the given time, and reports
// whether the limit has begun, changed or ended. A response to an older request than the
// last one with a limit does not end it.
func (l *rateLimit) record(limit *float64, sentAt, now time.Time) bool {
	if limit == nil {
		if !l.isStated || !sentAt.After(l.statedAt) {
			return false
		}
		l.isStated = false
		return true
	}
	isChanged := !l.isStated || math.Abs(*limit-l.reported) >= minLimitChange*max(l.reported, 1)
	l.isStated, l.limit, l.statedAt = true, *limit, now
	if isChanged {
		l.reported = *limit
	}
	return isChanged
}
