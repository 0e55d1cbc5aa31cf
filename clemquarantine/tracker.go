// Package clemquarantine finds prompt parts that crash backend servers and keeps
// requests with them away from the servers (a circuit breaker for queries of death).
//
// Every request that a server was running when it ended is a suspect, and most of
// them are bystanders. A part is quarantined if it was present in the crashes of
// several servers and no server has answered a prompt with it in between. Entries
// exchange what they saw, since each of them sees few of the requests, and the
// quarantines.
package clemquarantine

import (
	"slices"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// DefaultTerm is how long a quarantine lasts after the last request with the part.
	DefaultTerm = 5 * time.Minute
	// maxCrashes is the number of crashes that are remembered, maxSuspects that of
	// the parts remembered with each, and maxQuarantines that of quarantines.
	maxCrashes     = 128
	maxSuspects    = 512
	maxQuarantines = 1024
	// maxServed is half the number of parts whose last successful response is
	// remembered.
	maxServed = 2048
)

// Part is a part of the prompts of a service.
type Part struct {
	Service string
	ID      uint64
}

// Config describes a Tracker to construct.
type Config struct {
	// Term is how long a quarantine lasts after the last request with the part; 0 means
	// DefaultTerm.
	Term time.Duration
	// OnCrash, if set, is called when a server's crash becomes known for the first
	// time, with the parts of the first prompt that is known to have been there.
	OnCrash func(server, service string, parts []uint64)
	// OnQuarantined and OnReleased, if set, are called when a quarantine takes effect here
	// and when it ends.
	OnQuarantined, OnReleased func(Quarantine)
}

// Tracker holds the evidence and the quarantines of an entry. It is safe for concurrent
// use.
type Tracker struct {
	config Config

	// mu guards everything below.
	mu sync.Mutex
	// crashes holds the crashes in the order in which they became known, and suspects
	// the crashes in which a part was present.
	crashes  []*crash
	suspects map[Part][]*crash
	// undecided holds the parts whose evidence has to be weighed.
	undecided map[Part]struct{}
	// served and servedBefore hold when a response with a part last succeeded, as seen
	// by this entry; peerServed the same for its peers, for suspects only.
	served, servedBefore, peerServed map[Part]time.Time
	// reported is the time of the last success of a part that was sent to peers.
	reported    map[Part]time.Time
	findings    findingLog
	quarantines map[Part]*Quarantine
	// refuted holds the quarantines that new evidence ended since TakeRefuted.
	refuted []Quarantine
	// expired holds when the quarantine of a part ended that was not released.
	expired map[Part]time.Time
	// attempts are the requests in flight that have shared parts.
	attempts map[*Attempt]struct{}
	// quarantined receives a value when a part was quarantined.
	quarantined chan struct{}
	// pending holds the calls of Config's functions to make once mu is released.
	pending []func()
}

// New returns a Tracker without evidence.
func New(c Config) *Tracker {
	if c.Term <= 0 {
		c.Term = DefaultTerm
	}
	return &Tracker{
		config: c, quarantined: make(chan struct{}, 1), suspects: map[Part][]*crash{}, undecided: map[Part]struct{}{}, served: map[Part]time.Time{}, peerServed: map[Part]time.Time{}, reported: map[Part]time.Time{},
		quarantines: map[Part]*Quarantine{}, expired: map[Part]time.Time{}, attempts: map[*Attempt]struct{}{},
	}
}

// unlock releases mu and makes the pending calls.
func (t *Tracker) unlock() {
	pending := t.pending
	t.pending = nil
	t.mu.Unlock()
	for _, call := range pending {
		call()
	}
}

// Check returns an error for a request with a quarantined part, which must not be
// sent to a server. Errors: KindQuarantined, not run.
func (t *Tracker) Check(service string, parts []clementineturn.PromptPart, now time.Time) error {
	t.mu.Lock()
	defer t.unlock()
	t.evaluate(now)
	for _, p := range parts {
		if q := t.quarantines[Part{service, p.ID()}]; q != nil {
			t.recordSighting(q, now)
			return clementineturn.Refuse(clementineturn.KindQuarantined, "prompt part %x crashed %d servers of service %s; prompts with it are refused for %s after the last one",
				q.ID, q.Crashes, service, t.config.Term)
		}
	}
	return nil
}

// IsSuspect reports whether one of the parts was present in the crashes of several
// servers without a successful response since. A request with such a part is not
// sent to a second server.
func (t *Tracker) IsSuspect(service string, parts []clementineturn.PromptPart) bool {
	t.mu.Lock()
	defer t.unlock()
	return slices.ContainsFunc(parts, func(p clementineturn.PromptPart) bool {
		return t.evidenceAgainst(Part{service, p.ID()}).moments >= suspectCrashes
	})
}

// lastServed returns when a response with the part last succeeded anywhere.
func (t *Tracker) lastServed(p Part) time.Time { return later(t.ownServed(p), t.peerServed[p]) }

// recordServed records a successful response with the parts. Old records are
// dropped by generation.
func (t *Tracker) recordServed(parts []Part, now time.Time) {
	for _, p := range parts {
		if len(t.served) >= maxServed {
			t.served, t.servedBefore = map[Part]time.Time{}, t.served
		}
		t.served[p] = now
		t.addServedFinding(p)
	}
	t.evaluate(now)
}

// ownServed returns when a response with the part last succeeded at this entry.
func (t *Tracker) ownServed(p Part) time.Time { return later(t.served[p], t.servedBefore[p]) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
