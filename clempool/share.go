package clempool

import (
	"slices"
	"time"
)

const (
	// busyUtilisation is the share of a service's capacity from which
	// organisations are held to their fair share. It is somewhat more than the
	// servers' slots, so that the limit leaves no slot idle.
	busyUtilisation = 0.4
	// fairShareFactor is the multiple of an equal share that an organisation
	// may have. Some organisations are usually larger than others without
	// surging.
	fairShareFactor = 3
	// minFairShare is the number of requests that an organisation may have at
	// an entry in any case.
	minFairShare = 2
	// activeOrganisationTTL is how long after its last request an organisation
	// counts among those that share the service.
	activeOrganisationTTL = 2 * time.Second
	// fairShareRetryDelay is the delay before a retry that is suggested to an
	// organisation above its fair share. It is longer than that of a full
	// service, so that other organisations go first.
	fairShareRetryDelay = 600 * time.Millisecond
)

// organisationUsage counts an organisation's running requests to a service at
// this entry.
type organisationUsage struct {
	running int
	// lastRequest is when the organisation last sent a request, refused or not.
	lastRequest time.Time
}

// addRunning counts a request of an organisation.
func (s *service) addRunning(organisation string) {
	s.usage[organisation].running++
	s.running++
}

// removeRunning counts the end of a request of an organisation.
func (s *service) removeRunning(organisation string) {
	s.running--
	if usage := s.usage[organisation]; usage != nil {
		usage.running--
	}
}

// touch marks the organisation as active and drops those that are no longer.
func (s *service) touch(organisation string, now time.Time) {
	if s.usage[organisation] == nil {
		s.usage[organisation] = &organisationUsage{}
	}
	s.usage[organisation].lastRequest = now
	if now.Sub(s.lastPruned) < activeOrganisationTTL/4 {
		return
	}
	s.lastPruned = now
	for name, usage := range s.usage {
		if usage.running == 0 && now.Sub(usage.lastRequest) > activeOrganisationTTL {
			delete(s.usage, name)
		}
	}
}

// limitedCapacity returns the number of requests that a limited server runs at once: at
// most what its limit lets in during the time for which a request runs.
func (s *service) limitedCapacity(o *server, perSlot float64) float64 {
	return min(perSlot*float64(o.record.Slots()), 1+o.limit.current().limit*s.runTime.Seconds())
}

// exceedsFairShare reports whether the service is busy and the request would
// take its organisation above its fair share at this entry. Clients are spread
// over the entries, so the local counts are representative.
func (s *service) exceedsFairShare(c candidateSet, r Request, now time.Time) bool {
	s.touch(r.Organisation, now)
	perSlot := plainRequestsPerSlot
	if len(r.Prefix) > 0 {
		perSlot = engineRequestsPerSlot
	}
	capacity, load := 0.0, 0
	areLimited := !slices.ContainsFunc(c.servers, func(o *server) bool { return !o.isLimited() })
	for _, server := range c.servers {
		if areLimited {
			capacity += s.limitedCapacity(server, perSlot)
		} else {
			capacity += perSlot * float64(server.record.Slots())
		}
		load += server.running + server.peerRunning
	}
	if r.Organisation == "" || float64(load) < busyUtilisation*capacity {
		return false
	}
	evenShare := float64(s.running+1) / float64(len(s.usage))
	return float64(s.usage[r.Organisation].running+1) > max(minFairShare, fairShareFactor*evenShare)
}
