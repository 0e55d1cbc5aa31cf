package clemwait

import (
	"math"
	"slices"
	"time"
)

const (
	// holdShare is the share of the latency target after which a request that waits is
	// refused or committed. One that is refused must have been held for an eighth of the
	// target at most; the rest allows for late timers of an entry with little processor.
	holdShare = 0.9 / 8
	// minQueue is the number of requests that may wait at an entry in any case.
	minQueue = 2
	// maxWaiting and maxBytes bound the requests that wait for one service at one entry.
	maxWaiting = 64
	maxBytes   = 16 << 20
	// checkInterval is how often a waiting request is looked at where no answer of this
	// entry's own requests makes room.
	checkInterval = 5 * time.Millisecond
	// onTimeMargin is the part of the run time that a request may take longer than
	// expected and still be on time.
	onTimeMargin = 0.5
	// commitPart is the part of its slack that a request may be expected to wait for when
	// it has waited for as long as one that is refused.
	commitPart = 0.67
)

// Request is a request to a scarce service.
type Request struct {
	Organisation string
	// Rank is the position in the order of urgency, 0 the first.
	Rank int
	// Target is the shortest latency target of the requests that are at least as
	// urgent, OwnTarget that of the request itself.
	Target, OwnTarget time.Duration
	// OnTimeBy is when the answer is late for the caller, counted from its first
	// attempt. Deadline is when the caller gives up. Both may be zero.
	OnTimeBy, Deadline time.Time
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Value is what the caller keeps with the request.
	Value any
}

// hold returns for how long a request with the target waits until it is refused or
// committed.
func hold(target time.Duration) time.Duration { return time.Duration(holdShare * float64(target)) }

// Ticket is a request that waits.
type Ticket struct {
	request Request
	until   time.Time
	// wasLate is set if the request could not be on time when it came.
	wasLate bool
	// isCommitted is set once the request has waited for so long that it may no longer be
	// refused.
	isCommitted bool
}

// Value returns Request.Value.
func (t *Ticket) Value() any { return t.request.Value }

// Request returns the request.
func (t *Ticket) Request() Request { return t.request }

// CheckAt returns when Expire or Next must be called again.
func (t *Ticket) CheckAt(now time.Time) time.Time {
	if next := now.Add(checkInterval); next.Before(t.until) || t.isCommitted {
		return next
	}
	return t.until
}

// Reason says why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonNone means that the request was not refused.
	ReasonNone Reason = iota
	// ReasonFull means that others go first and that the request would have waited for
	// too long.
	ReasonFull
	// ReasonHeld means that it waited for as long as it may.
	ReasonHeld
	// ReasonLate means that it can no longer be answered within its latency target.
	ReasonLate
	// ReasonExpired means that it can no longer be answered before its deadline.
	ReasonExpired
	// ReasonBound means that the queue has reached its bound in number or bytes.
	ReasonBound
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"none", "full", "held", "late", "expired", "bound"}[r]
}

// Explanation returns the reason as a part of an error message.
func (r Reason) Explanation() string {
	return [...]string{
		"", "others go first and the wait would be too long", "no place became free within an eighth of the latency target",
		"the answer would be too late", "the answer would come after the deadline", "the waiting requests have reached their bound",
	}[r]
}

// Refused is a waiting request that is refused.
type Refused struct {
	Ticket *Ticket
	Reason Reason
}

// Service holds what an entry knows of a scarce service and the requests that wait for
// it. The zero value is ready for use. It is not safe for concurrent use.
type Service struct {
	admission admission
	waiting   []*Ticket
	bytes     int
	// sent is the rate at which requests are sent, usage that of each organisation by
	// rank. An urgent kind is not held back for the sake of a less urgent one.
	sent  rate
	usage map[int]*usage
	// returns holds the times given to refused callers.
	returns schedule
}

// Len returns the number of waiting requests.
func (s *Service) Len() int { return len(s.waiting) }

// Offer decides on a request that has just come. It returns a ticket if the request
// waits, and a reason if it is refused; otherwise the request may be sent. The waiting
// requests that are refused in its place are returned too.
func (s *Service) Offer(r Request, v View, now time.Time) (ticket *Ticket, refused []Refused, reason Reason) {
	if len(s.waiting) == 0 && v.IsFree() {
		return nil, nil, ReasonNone
	}
	if !r.Deadline.IsZero() && now.Add(s.admission.runTime).After(r.Deadline) {
		return nil, nil, ReasonExpired
	}
	s.usageOf(r.Rank).touch(r.Organisation, now)
	ticket = &Ticket{request: r, until: now.Add(hold(r.OwnTarget)), wasLate: s.isLate(r, v, now)}
	if !v.IsFull && !s.isPreceded(ticket, v, now) && s.admission.admits(r, ticket.wasLate, s.isOver(r, now), v, now) {
		return nil, nil, ReasonNone
	}
	if !ticket.wasLate {
		s.admission.contendedAt = now
	}
	if s.bytes+r.Bytes > maxBytes {
		return nil, nil, ReasonBound
	}
	s.waiting = append(s.waiting, ticket)
	s.bytes += r.Bytes
	for len(s.waiting) > s.queueLimit(hold(r.OwnTarget), now) {
		last := s.last(now)
		reason := ReasonFull
		if len(s.waiting) > maxWaiting {
			reason = ReasonBound
		}
		s.remove(last)
		if last == ticket {
			return nil, refused, reason
		}
		refused = append(refused, Refused{last, reason})
	}
	return ticket, refused, ReasonNone
}

// Admits reports whether a request that cannot wait may be sent now.
func (s *Service) Admits(r Request, v View, now time.Time) bool {
	return s.admission.admits(r, s.isLate(r, v, now), s.isOver(r, now), v, now)
}

// Next returns the waiting request that is sent next and no longer waits, or nil if none
// may be sent now.
func (s *Service) Next(v View, now time.Time) *Ticket {
	var first *Ticket
	for _, t := range s.waiting {
		if (first == nil || s.compare(t, first, now) < 0) && s.mayGo(t, v, now) {
			first = t
		}
	}
	if first == nil {
		return nil
	}
	s.remove(first)
	return first
}

// mayGo reports whether the waiting request may be sent now. A committed one is sent when
// it would be late otherwise.
func (s *Service) mayGo(t *Ticket, v View, now time.Time) bool {
	return t.isCommitted && s.isLate(t.request, v, now) ||
		s.admission.admits(t.request, t.wasLate, s.isOver(t.request, now), v, now)
}

// Expire removes the requests that must wait no longer.
func (s *Service) Expire(v View, now time.Time) []Refused {
	var refused []Refused
	for _, t := range slices.Clone(s.waiting) {
		reason := ReasonNone
		switch r := t.request; {
		case !r.Deadline.IsZero() && now.Add(s.admission.runTime).After(r.Deadline):
			reason = ReasonExpired
		case t.isCommitted:
			continue
		case !t.wasLate && s.isLate(r, v, now):
			reason = ReasonLate
		case !now.Before(t.until) && s.mayCommit(t, v, now):
			t.isCommitted = true
			continue
		case !now.Before(t.until):
			reason = ReasonHeld
		default:
			continue
		}
		s.remove(t)
		refused = append(refused, Refused{t, reason})
	}
	return refused
}

// mayCommit reports whether the request is the first of those that are not committed, and
// will be on time after those that are.
func (s *Service) mayCommit(t *Ticket, v View, now time.Time) bool {
	if t.wasLate || t.request.OnTimeBy.IsZero() || s.isOver(t.request, now) {
		return false
	}
	committed := 1
	for _, other := range s.waiting {
		switch {
		case other.isCommitted:
			committed++
		case other != t && s.compare(other, t, now) < 0:
			return false
		}
	}
	slack := t.request.OnTimeBy.Sub(now) - s.stayWithMargin(v)
	return float64(committed) <= commitPart*s.sent.perSecond(now, rateTime)*slack.Seconds()
}

// Cancel removes a request whose caller has left, and reports whether it was waiting.
func (s *Service) Cancel(t *Ticket) bool { return s.remove(t) }

// Clear removes and returns all waiting requests.
func (s *Service) Clear() []*Ticket {
	waiting := s.waiting
	s.waiting, s.bytes = nil, 0
	return waiting
}

// Started records that a request of the organisation was sent.
func (s *Service) Started(organisation string, rank int, now time.Time) {
	s.admission.started()
	s.usageOf(rank).add(organisation, now)
	s.sent.add(1, now, rateTime)
}

// usageOf returns the usage of a rank.
func (s *Service) usageOf(rank int) *usage {
	if s.usage == nil {
		s.usage = map[int]*usage{}
	}
	if s.usage[rank] == nil {
		s.usage[rank] = &usage{organisations: map[string]*rate{}}
	}
	return s.usage[rank]
}

// Ended records that a server with the number of slots, at which the load was known when
// the request was sent, answered after the elapsed time.
func (s *Service) Ended(elapsed time.Duration, load, slots int) {
	s.admission.ended(elapsed, load, slots)
}

// Observe records an answer that came after the elapsed time, or a rejection by a server.
// Answers show whether the service is short of capacity.
func (s *Service) Observe(elapsed, target time.Duration, isRejected bool, now time.Time) {
	s.admission.observe(isRejected || float64(elapsed) > slowShare*float64(target), now)
}

// IsUpdateDue reports whether Update has an effect.
func (s *Service) IsUpdateDue(interval time.Duration, now time.Time) bool {
	return now.Sub(s.admission.extraAt) >= interval
}

// Update applies a new report of another entry. Interval is the time between reports.
func (s *Service) Update(v View, target, interval time.Duration, now time.Time) {
	s.admission.update(v, target, interval, now)
}

// isLate reports whether the answer to a request sent now is expected too late for its
// caller.
func (s *Service) isLate(r Request, v View, now time.Time) bool {
	if r.OnTimeBy.IsZero() {
		return false
	}
	return now.Add(s.stayWithMargin(v)).After(r.OnTimeBy)
}

// stayWithMargin returns the time that nearly all requests sent now are at a server.
func (s *Service) stayWithMargin(v View) time.Duration {
	return s.admission.stay(v) + time.Duration(onTimeMargin*float64(s.admission.runTime))
}

// compare orders waiting requests: those that are committed come first, then those that can
// be on time, then by rank, then those of organisations within their share, then by the time
// that is left.
func (s *Service) compare(a, b *Ticket, now time.Time) int {
	if a.isCommitted != b.isCommitted {
		if a.isCommitted {
			return -1
		}
		return 1
	}
	if a.wasLate != b.wasLate {
		if b.wasLate {
			return -1
		}
		return 1
	}
	if a.request.Rank != b.request.Rank {
		return a.request.Rank - b.request.Rank
	}
	if excessA, excessB := s.excess(a.request, now), s.excess(b.request, now); excessA != excessB {
		if excessA < excessB {
			return -1
		}
		return 1
	}
	if a.request.OnTimeBy.IsZero() != b.request.OnTimeBy.IsZero() {
		// One without a latency target can wait.
		if b.request.OnTimeBy.IsZero() {
			return -1
		}
		return 1
	}
	return a.request.OnTimeBy.Compare(b.request.OnTimeBy)
}

// isPreceded reports whether a waiting request that may be sent goes before the one that
// has come.
func (s *Service) isPreceded(t *Ticket, v View, now time.Time) bool {
	return slices.ContainsFunc(s.waiting, func(other *Ticket) bool { return s.compare(other, t, now) <= 0 && s.mayGo(other, v, now) })
}

// last returns the waiting request that goes last.
func (s *Service) last(now time.Time) *Ticket {
	last := s.waiting[0]
	for _, t := range s.waiting[1:] {
		if s.compare(t, last, now) >= 0 {
			last = t
		}
	}
	return last
}

// queueLimit returns the number of requests that may wait: as many as are expected to be
// sent in the given time.
func (s *Service) queueLimit(within time.Duration, now time.Time) int {
	sent := math.Ceil(s.sent.perSecond(now, rateTime) * within.Seconds())
	return int(min(max(sent, minQueue), maxWaiting))
}

// remove removes the ticket and reports whether it was waiting.
func (s *Service) remove(t *Ticket) bool {
	at := slices.Index(s.waiting, t)
	if at < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	s.bytes -= t.request.Bytes
	return true
}
