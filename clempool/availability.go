package clempool

import (
	"cmp"
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// evacuatedRetryDelay is the delay before a retry that is suggested to a client when
	// every server of a service is in an evacuated data centre: an evacuation lasts for
	// minutes, and its end is known to the entries within some seconds.
	evacuatedRetryDelay = time.Second
	// sweepInterval is the interval at which changes of state that are due to the passage
	// of time are looked for.
	sweepInterval = 250 * time.Millisecond
)

// State says why a backend server takes no new requests, or only some. If several
// apply, the first one after StateOpen is reported.
type State uint8

// The states of a backend server.
const (
	// StateOpen is that of a server that takes requests.
	StateOpen State = iota
	// StateDraining is that of a server whose row says so.
	StateDraining
	// StateLeaving is that of a server that announced its end in a response.
	StateLeaving
	// StateEvacuated is that of a server in an evacuated data centre.
	StateEvacuated
	// StateEjected is that of a server that is left out because of failures, or probed.
	StateEjected
	// StateResting is that of a server that named a time at which it takes requests again.
	StateResting
	// StateLimited is that of a server that states how many requests a second it takes.
	StateLimited
	// StateCold is that of a server that has started lately, and tolerates few requests a
	// second.
	StateCold
	stateCount
)

// String returns the state's name.
func (s State) String() string {
	return [stateCount]string{"open", "draining", "leaving", "evacuated", "ejected", "resting", "limited", "cold"}[s]
}

// TakesNone reports whether a server in the state gets no new request at all.
func (s State) TakesNone() bool {
	switch s {
	case StateDraining, StateLeaving, StateEvacuated, StateResting:
		return true
	}
	return false
}

// Source is where the state of a server is known from.
type Source uint8

// The sources of a state.
const (
	// SourceNone is that of StateOpen.
	SourceNone Source = iota
	// SourceList is the server's row in the store.
	SourceList
	// SourceResponse is a response of the server.
	SourceResponse
	// SourceOutcome is the outcome of a request to the server.
	SourceOutcome
	// SourceOperator is an order of the operator.
	SourceOperator
	// SourcePeer is the report of another entry.
	SourcePeer
)

// String returns the source's name.
func (s Source) String() string {
	return [...]string{"none", "list", "response", "outcome", "operator", "peer"}[s]
}

// Availability is the state of a backend server, since when it holds, until when, and
// its source.
type Availability struct {
	state        State
	source       Source
	since, until time.Time
}

// State returns the state.
func (a Availability) State() State { return a.state }

// Since returns when the state began, or zero if that is not known.
func (a Availability) Since() time.Time { return a.since }

// Until returns when the state ends, or zero if that is not known.
func (a Availability) Until() time.Time { return a.until }

// Source returns where the state is known from.
func (a Availability) Source() Source { return a.source }

// String describes the state and its end.
func (a Availability) String() string {
	if a.until.IsZero() {
		return a.state.String()
	}
	return a.state.String() + " until " + a.until.UTC().Format(time.RFC3339Nano)
}

// Availability returns the state of a server, and false if the server is not listed.
func (d *Directory) Availability(id string, now time.Time) (Availability, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	if s == nil {
		return Availability{}, false
	}
	return d.availability(s, now), true
}

// CountStates returns the number of servers in each state.
func (d *Directory) CountStates(now time.Time) map[State]int {
	d.mu.Lock()
	changes := d.sweepIfDue(now)
	defer func() {
		d.mu.Unlock()
		d.notifyAvailability(changes)
	}()
	counts := make(map[State]int, stateCount)
	for state := range stateCount {
		counts[state] = 0
	}
	for _, s := range d.servers {
		counts[d.availability(s, now).state]++
	}
	return counts
}

// availability returns the state of the server: the first one that applies, in the order
// of the constants. The caller holds mu.
func (d *Directory) availability(s *server, now time.Time) Availability {
	if closed := s.closed(now); closed.state != StateOpen && closed.state != StateResting {
		return closed
	}
	if s.health.isProbing || now.Before(s.health.ejectedUntil) {
		return Availability{state: StateEjected, source: SourceOutcome, since: s.health.ejectedAt, until: s.health.ejectedUntil}
	}
	if closed := s.closed(now); closed.state != StateOpen {
		return closed
	}
	if limit := s.limit.current(); limit.isLimited {
		source := SourceResponse
		if s.limit.peers.at.After(s.limit.own.at) {
			source = SourcePeer
		}
		return Availability{state: StateLimited, source: source, since: limit.at}
	}
	return d.coldAvailability(s, now)
}

// closedState returns the state because of which the server gets no new request at all, or
// StateOpen.
func (s *server) closedState(now time.Time) State {
	switch {
	case s.record.IsDraining():
		return StateDraining
	case s.isLeaving():
		return StateLeaving
	case !s.evacuatedSince.IsZero():
		return StateEvacuated
	case s.rest != nil:
		return s.rest.state(now).state
	}
	return StateOpen
}

// closed is closedState with the times and the source.
func (s *server) closed(now time.Time) Availability {
	switch s.closedState(now) {
	case StateDraining:
		return Availability{state: StateDraining, source: SourceList}
	case StateLeaving:
		return Availability{state: StateLeaving, source: s.leaving.source, since: s.leaving.at}
	case StateEvacuated:
		return Availability{state: StateEvacuated, source: SourceOperator, since: s.evacuatedSince}
	}
	return s.rest.state(now)
}

// SetEvacuated sets the data centres whose servers get no requests. Those that are not
// among them any more are withdrawn.
func (d *Directory) SetEvacuated(centres []string, now time.Time) {
	d.mu.Lock()
	before := d.evacuated
	d.evacuated = make(map[string]time.Time, len(centres))
	for _, centre := range centres {
		since, isKnown := before[centre]
		if !isKnown {
			since = now
		}
		d.evacuated[centre] = since
	}
	for _, s := range d.servers {
		since := d.evacuated[s.record.Centre()]
		if since.IsZero() && !s.evacuatedSince.IsZero() {
			s.cold.suspect(SourceOperator, now)
			s.cold.contactAt = now
		}
		s.evacuatedSince = since
	}
	changes := d.sweep(now)
	d.mu.Unlock()
	d.notifyAvailability(changes)
}

// availabilityChange is a change of a server's state.
type availabilityChange struct {
	id            string
	before, after Availability
}

// sweep returns the changes of state since the last sweep, if Config.OnAvailability is
// set. The caller holds mu and passes them to notifyAvailability without it.
func (d *Directory) sweep(now time.Time) []availabilityChange {
	if d.config.OnAvailability == nil {
		return nil
	}
	d.sweptAt = now
	var changes []availabilityChange
	for _, s := range d.servers {
		changes = d.note(s, changes, now)
	}
	slices.SortFunc(changes, func(a, b availabilityChange) int { return cmp.Compare(a.id, b.id) })
	return changes
}

// note appends the change of the server's state since it was last reported, if any.
func (d *Directory) note(s *server, changes []availabilityChange, now time.Time) []availabilityChange {
	if d.config.OnAvailability == nil {
		return nil
	}
	after := d.availability(s, now)
	if after.state != s.reported.state {
		changes = append(changes, availabilityChange{id: s.record.ID(), before: s.reported, after: after})
	}
	s.reported = after
	return changes
}

// sweepIfDue is sweep at most once in each sweepInterval.
func (d *Directory) sweepIfDue(now time.Time) []availabilityChange {
	if now.Sub(d.sweptAt) < sweepInterval {
		return nil
	}
	return d.sweep(now)
}

// notifyAvailability calls Config.OnAvailability for each change.
func (d *Directory) notifyAvailability(changes []availabilityChange) {
	for _, c := range changes {
		d.config.OnAvailability(c.id, c.before, c.after)
	}
}

// CheckSend reports whether the request of the lease may still be sent to its server. It
// is called immediately before the request is written: the server may have stopped taking
// requests, or become cold, while a connection was opened. Errors: KindUnavailable and
// KindOverloaded, not run.
func (l *Lease) CheckSend(now time.Time) error {
	d := l.directory
	d.lookUpEntries(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	// The server may have been listed again with another row meanwhile.
	s := d.servers[l.id]
	if s == nil {
		s = l.server
		s.leaving, s.rest = d.leaving[l.id], d.rests[l.id]
	}
	closed := s.closed(now)
	if mark, ok := d.leaving[l.id]; ok && l.incarnation <= mark.incarnation {
		closed = Availability{state: StateLeaving, source: mark.source, since: mark.at}
	}
	if closed.state == StateOpen || closed.state == StateResting {
		if d.rests[l.id].mayReturn(l, now) {
			return l.checkCold(s, now)
		}
		closed = s.closed(now)
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "server %s is %s", l.id, closed)
}

// closedRefusal returns the refusal of a request for which every server that is left is
// closed, or nil if that is not the reason. It names the server that opens first.
func (d *Directory) closedRefusal(svc *service, r Request, now time.Time) error {
	var first *server
	var reason Availability
	areEvacuated := true
	for _, s := range svc.servers {
		if r.excludes(s) {
			continue
		}
		a := s.closed(now)
		if a.state == StateOpen {
			return nil
		}
		areEvacuated = areEvacuated && a.state == StateEvacuated
		if first == nil || !a.until.IsZero() && (reason.until.IsZero() || a.until.Before(reason.until)) {
			first, reason = s, a
		}
	}
	if first == nil || reason.state == StateDraining {
		return nil
	}
	var retry time.Duration
	switch {
	case areEvacuated:
		retry = evacuatedRetryDelay
	case reason.state == StateResting && reason.until.IsZero():
		retry = svc.returns.delay(r.Rank, fullRetryDelay, now)
	case !reason.until.IsZero():
		retry = svc.returns.delay(r.Rank, reason.until.Sub(now), now)
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnavailable, NotRun: true, RetryAfter: retry,
		Message: "service " + r.Service + " has no backend server left to try: server " + first.record.ID() + " is " + reason.String(),
	})
}
