// Package clemoffer decides in which order an entry offers a request to the
// ranked backend servers, and whether a server may queue it.
package clemoffer

import (
	"time"

	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Defaults of an entry.
const (
	// RetryRatio and RetryBurst bound the retries, as a ratio of the requests
	// and as a number of offers.
	RetryRatio = 0.25
	RetryBurst = 50
	// OverloadTTL is how long a pool counts as overloaded for an organisation
	// after every offer of one of its requests was refused.
	OverloadTTL = time.Second
)

// Config describes a Sequence to construct.
type Config struct {
	// Ranked holds the candidates, the best first.
	Ranked []*clemwire.Host
	// RetryBudget is the budget for every offer but the first of each round.
	RetryBudget *clembudget.Budget
	// Overloaded is set if the pool recently had no room for work of the
	// organisation.
	Overloaded bool
}

// Sequence yields the offers of one request, in two rounds. The first round is
// eager: a sidecar without a free slot refuses at once, so that the request
// does not wait at its first choice while another server is idle. In the second
// round, which again starts at the best server, the request may wait. The
// second round also starts when the retry budget is spent, so that an
// overloaded fleet gets little more than one offer a request.
//
// A request to an overloaded pool gets one offer, at its best server, where it
// may wait. At other servers its prefix is not cached, and reading it again
// would cost the pool throughput it cannot spare.
type Sequence struct {
	ranked      []*clemwire.Host
	retryBudget *clembudget.Budget
	next        int
	mayWait     bool
	excluded    map[string]bool
	// singleOffer ends the sequence after the first server that is not
	// excluded.
	singleOffer bool
	lastOffered string
}

// New returns the sequence that the configuration describes.
func New(c Config) *Sequence {
	return &Sequence{ranked: c.Ranked, retryBudget: c.RetryBudget, excluded: map[string]bool{}, mayWait: c.Overloaded, singleOffer: c.Overloaded}
}

// Next returns the next server to offer the request to and whether the offer is
// eager. ok is false when no offer is left.
func (s *Sequence) Next() (host *clemwire.Host, eager, ok bool) {
	if host, ok := s.nextInRound(); ok {
		return host, !s.mayWait, true
	}
	if s.mayWait {
		return nil, false, false
	}
	s.mayWait, s.next = true, 0
	host, ok = s.nextInRound()
	return host, false, ok
}

// nextInRound returns the round's next server that is not excluded, if the
// retry budget allows it. An offer that replaces one to a server excluded since
// then is free of charge: a draining server refuses its whole queue, and no
// request of it may fail for lack of budget.
func (s *Sequence) nextInRound() (*clemwire.Host, bool) {
	if s.singleOffer && s.lastOffered != "" && !s.excluded[s.lastOffered] {
		return nil, false
	}
	isFree := s.next == 0 || s.excluded[s.lastOffered]
	for s.next < len(s.ranked) {
		host := s.ranked[s.next]
		s.next++
		if s.excluded[host.GetName()] {
			continue
		}
		s.lastOffered = host.GetName()
		return host, isFree || s.retryBudget.TryWithdraw(1)
	}
	return nil, false
}

// Exclude removes a server from the rest of the sequence.
func (s *Sequence) Exclude(server string) { s.excluded[server] = true }
