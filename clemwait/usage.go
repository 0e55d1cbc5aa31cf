package clemwait

import "time"

const (
	// overFactor is the multiple of an even share above which an organisation leaves room
	// to others.
	overFactor = 1.25
)

// usage holds the rate at which requests of each organisation are sent.
type usage struct {
	organisations map[string]*rate
	total         rate
}

// touch counts the organisation among those that share the service.
func (u *usage) touch(organisation string, now time.Time) *rate {
	r := u.organisations[organisation]
	if r == nil {
		for name, other := range u.organisations {
			if now.Sub(other.at) > usageTime {
				delete(u.organisations, name)
			}
		}
		r = &rate{}
		u.organisations[organisation] = r
	}
	r.add(0, now, usageTime)
	return r
}

// add records that a request of the organisation was sent.
func (u *usage) add(organisation string, now time.Time) {
	u.touch(organisation, now).add(1, now, usageTime)
	u.total.add(1, now, usageTime)
}

// of returns the rate of the organisation and an even share of the rate of all.
func (u *usage) of(organisation string, now time.Time) (own, even float64) {
	if u == nil || u.organisations[organisation] == nil {
		return 0, 0
	}
	return u.organisations[organisation].perSecond(now, usageTime), u.total.perSecond(now, usageTime) / float64(len(u.organisations))
}

// excess returns by how much the request's organisation uses more than an even share, in
// requests a second.
func (s *Service) excess(r Request, now time.Time) float64 {
	own, even := s.usage[r.Rank].of(r.Organisation, now)
	return max(own-even, 0)
}

// isOver reports whether the request's organisation uses much more than an even share.
func (s *Service) isOver(r Request, now time.Time) bool {
	own, even := s.usage[r.Rank].of(r.Organisation, now)
	return own > overFactor*even
}
