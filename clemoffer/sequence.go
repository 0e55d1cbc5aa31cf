// Package clemoffer decides in which order, and how urgently, an entry offers
// one request to the ranked backend servers.
package clemoffer

import (
	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Config describes a Sequence to construct.
type Config struct {
	// Ranked holds the candidates, the best first.
	Ranked []*clemwire.Host
	// Retries pays for every offer but the first of each round.
	Retries *clembudget.Budget
}

// Sequence yields the offers of one request. The first round is eager: a
// sidecar without a free slot refuses at once, so that the request does not
// wait at its first choice while another server is idle. The second round
// lets the request wait, again from the best server on. The second round also
// starts when the retry budget is spent, so that an overloaded fleet sees
// little more than one offer a request.
type Sequence struct {
	ranked   []*clemwire.Host
	retries  *clembudget.Budget
	next     int
	waits    bool
	excluded map[string]bool
}

// New returns the sequence that the configuration describes.
func New(c Config) *Sequence {
	return &Sequence{ranked: c.Ranked, retries: c.Retries, excluded: map[string]bool{}}
}

// Next returns the server to offer to and whether the offer is eager. The
// last result is false when no offer is left.
func (s *Sequence) Next() (host *clemwire.Host, eager, ok bool) {
	if host, ok := s.advance(); ok {
		return host, !s.waits, true
	}
	if s.waits {
		return nil, false, false
	}
	s.waits, s.next = true, 0
	host, ok = s.advance()
	return host, false, ok
}

// advance returns the round's next server that is not excluded, if the budget
// pays for it.
func (s *Sequence) advance() (*clemwire.Host, bool) {
	isFirst := s.next == 0
	for s.next < len(s.ranked) {
		host := s.ranked[s.next]
		s.next++
		if s.excluded[host.GetName()] {
			continue
		}
		return host, isFirst || s.retries.Spend(1)
	}
	return nil, false
}

// Exclude takes a server out of the rest of the sequence.
func (s *Sequence) Exclude(server string) { s.excluded[server] = true }
