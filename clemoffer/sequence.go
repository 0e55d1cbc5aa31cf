// Package clemoffer decides in which order, and how urgently, an entry offers
// one request to the ranked backend servers.
package clemoffer

import (
	"time"

	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Defaults of an entry.
const (
	// RetryShare and RetryBurst bound the offers that a retry budget pays
	// for, as a share of the requests and in offers.
	RetryShare = 0.25
	RetryBurst = 50
	// OverloadHold is how long a pool counts as overloaded for an
	// organisation after all offers of one of its requests were refused.
	OverloadHold = time.Second
)

// Config describes a Sequence to construct.
type Config struct {
	// Ranked holds the candidates, the best first.
	Ranked []*clemwire.Host
	// Retries pays for every offer but the first of each round.
	Retries *clembudget.Budget
	// Overloaded says that the pool lately had no room for work of the organisation.
	Overloaded bool
}

// Sequence yields the offers of one request. The first round is eager: a
// sidecar without a free slot refuses at once, so that the request does not
// wait at its first choice while another server is idle. The second round
// lets the request wait, again from the best server on. The second round also
// starts when the retry budget is spent, so that an overloaded fleet sees
// little more than one offer a request.
//
// A request to an overloaded pool gets one offer, at its best server, where it
// may wait: elsewhere its prefix is not cached, and reading it again costs the
// pool throughput that it cannot spare.
type Sequence struct {
	ranked   []*clemwire.Host
	retries  *clembudget.Budget
	next     int
	waits    bool
	excluded map[string]bool
	// single ends the sequence at the first server that is not excluded.
	single bool
	last   string
}

// New returns the sequence that the configuration describes.
func New(c Config) *Sequence {
	return &Sequence{ranked: c.Ranked, retries: c.Retries, excluded: map[string]bool{}, waits: c.Overloaded, single: c.Overloaded}
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
// pays for it. An offer in place of one to a server that was excluded since is
// free: a leaving server hands its queue back, and none of it may be lost for
// want of budget.
func (s *Sequence) advance() (*clemwire.Host, bool) {
	if s.single && s.last != "" && !s.excluded[s.last] {
		return nil, false
	}
	isFree := s.next == 0 || s.excluded[s.last]
	for s.next < len(s.ranked) {
		host := s.ranked[s.next]
		s.next++
		if s.excluded[host.GetName()] {
			continue
		}
		s.last = host.GetName()
		return host, isFree || s.retries.Spend(1)
	}
	return nil, false
}

// Exclude takes a server out of the rest of the sequence.
func (s *Sequence) Exclude(server string) { s.excluded[server] = true }
