package clemwait

import "time"

const (
	// returnShare is the part of the rate of sent requests that is meant for callers
	// that come back after a refusal. The rest is for new requests.
	returnShare = 0.25
	// minReturnDelay is the shortest delay before a caller comes back.
	minReturnDelay = 10 * time.Millisecond
	// lateReturnDelay is the shortest delay before a caller that can no longer be on time
	// comes back.
	lateReturnDelay = 300 * time.Millisecond
	// maxReturnDelay is the longest delay that is suggested to a caller.
	maxReturnDelay = 10 * time.Second
)

// schedule gives refused callers times to come back at: those that can then still be on
// time one after the other at a part of the service's rate, and the others likewise after
// them.
type schedule struct{ onTime, late time.Time }

// RetryAfter returns the time after which there is expected to be capacity for a caller
// that is refused now.
func (s *Service) RetryAfter(r Request, v View, now time.Time) time.Duration {
	gap := time.Duration(float64(time.Second) / max(s.sent.perSecond(now, rateTime)*returnShare, 1))
	if !r.OnTimeBy.IsZero() {
		latest := r.OnTimeBy.Add(-s.stayWithMargin(v) - hold(r.OwnTarget))
		next := later(s.returns.onTime, now.Add(minReturnDelay))
		if !next.After(latest) {
			s.returns.onTime = next.Add(gap)
			return next.Sub(now)
		}
	}
	next := later(s.returns.late, now.Add(lateReturnDelay))
	s.returns.late = next.Add(gap)
	if s.returns.late.Sub(now) > maxReturnDelay {
		s.returns.late = now.Add(maxReturnDelay)
	}
	return next.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
