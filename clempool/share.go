package clempool

import "time"

const (
	// busyShare is the share of a service's places above which an organisation
	// may have no more than its share of them: somewhat more than a server's
	// slots, so that none lies idle for it.
	busyShare = 0.4
	// surgeFactor is how many times the even share an organisation may have:
	// a few are larger than the others, and that is no surge.
	surgeFactor = 3
	// surgeLeast is the number of requests that an organisation may have at an
	// entry in any case.
	surgeLeast = 2
	// activeTime is how long after its last request an organisation counts as
	// one that shares the service.
	activeTime = 2 * time.Second
	// surgeRetry is the time after which an organisation with more than its
	// share may try again: longer than a full service takes, as others go first.
	surgeRetry = 600 * time.Millisecond
)

// share is what an organisation has of a service at this entry.
type share struct {
	running int
	// last is when it last asked.
	last time.Time
}

// enter counts a request of an organisation.
func (s *service) enter(organisation string) {
	s.shares[organisation].running++
	s.running++
}

// leave counts the end of a request of an organisation.
func (s *service) leave(organisation string) {
	s.running--
	if share := s.shares[organisation]; share != nil {
		share.running--
	}
}

// ask notes that an organisation asks, and forgets those that did long ago.
func (s *service) ask(organisation string, now time.Time) {
	if s.shares[organisation] == nil {
		s.shares[organisation] = &share{}
	}
	s.shares[organisation].last = now
	if now.Sub(s.pruned) < activeTime/4 {
		return
	}
	s.pruned = now
	for name, share := range s.shares {
		if share.running == 0 && now.Sub(share.last) > activeTime {
			delete(s.shares, name)
		}
	}
}

// isSurge reports whether the service is busy and the request's organisation
// has more than its share of it at this entry. Clients are spread over the
// entries, so that each sees about the same shares.
func (s *service) isSurge(c choice, w Want, now time.Time) bool {
	s.ask(w.Organisation, now)
	queue := plainQueue
	if len(w.Shared) > 0 {
		queue = engineQueue
	}
	places, load := 0.0, 0
	for _, server := range c.servers {
		places += queue * float64(server.record.Slots())
		load += server.running + server.others
	}
	if w.Organisation == "" || float64(load) < busyShare*places {
		return false
	}
	even := float64(s.running+1) / float64(len(s.shares))
	return float64(s.shares[w.Organisation].running+1) > max(surgeLeast, surgeFactor*even)
}
