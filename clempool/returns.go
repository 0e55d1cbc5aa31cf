package clempool

import (
	"math"
	"time"
)

const (
	// serviceRateTime is the time constant with which the rate of served requests
	// is measured.
	serviceRateTime = time.Second
	// returnShare is the part of the rate of served requests that is meant for
	// callers that come back after a refusal. The rest is for new requests.
	returnShare = 0.25
	// maxReturnDelay is the longest delay that is suggested to a caller.
	maxReturnDelay = 10 * time.Second
	// maxRanks is the number of ranks that are told apart.
	maxRanks = 8
)

// returnSchedule spreads the callers that a service refused over the time in which
// there will be room for them: each is given the next free place in a schedule that
// advances with the rate at which the service serves. After a short shortage they
// come back soon; in a long one the delays grow, so that they do not return to a
// service that is still full.
type returnSchedule struct {
	// served is the decayed number of served requests as of updated.
	served  float64
	updated time.Time
	// next is the time of the next free place of each rank.
	next [maxRanks]time.Time
}

func (s *returnSchedule) decay(now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		s.served, s.updated = s.served*math.Exp(-elapsed.Seconds()/serviceRateTime.Seconds()), now
	}
}

// recordServed records a served request.
func (s *returnSchedule) recordServed(now time.Time) {
	s.decay(now)
	s.served++
}

// delay returns after which time a refused caller should come back, at least the
// given one. Callers of each rank get twice the places of the next one.
func (s *returnSchedule) delay(rank int, minimum time.Duration, now time.Time) time.Duration {
	s.decay(now)
	rank = min(rank, maxRanks-1)
	next := &s.next[rank]
	if earliest := now.Add(minimum); next.Before(earliest) {
		*next = earliest
	}
	perSecond := max(s.served/serviceRateTime.Seconds(), 1) * returnShare / float64(int(1)<<rank)
	delay := next.Sub(now)
	if *next = next.Add(time.Duration(float64(time.Second) / perSecond)); next.Sub(now) > maxReturnDelay {
		*next = now.Add(maxReturnDelay)
	}
	return delay
}
