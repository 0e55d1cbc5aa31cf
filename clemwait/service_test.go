package clemwait

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	target = 300 * time.Millisecond
	run    = 60 * time.Millisecond
)

var epoch = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// busy is the view of an entry that has used its limit.
var busy = View{Slots: 18, Own: 6, Peers: 40, Entries: 12}

// newService returns a service whose requests run for 60 ms and of which this entry
// sends 25 a second.
func newService() *Service {
	s := &Service{}
	for i := range 250 {
		s.Started("other", 0, epoch.Add(time.Duration(i-250)*40*time.Millisecond))
		s.Ended(run, 0, 6)
	}
	return s
}

func newRequest(organisation string, rank int, waited time.Duration) Request {
	return Request{Organisation: organisation, Rank: rank, Target: target, OwnTarget: target, OnTimeBy: epoch.Add(target - waited), Deadline: epoch.Add(3*time.Second - waited)}
}

func mustWait(t *testing.T, s *Service, r Request, now time.Time) *Ticket {
	t.Helper()
	ticket, refused, reason := s.Offer(r, busy, now)
	require.Empty(t, refused)
	require.Equal(t, ReasonNone, reason)
	require.NotNil(t, ticket)
	return ticket
}

// Guards against waits, refusals and allocations at a service that is not scarce.
func TestNothingChangesWithUnderHalfOfTheSlotsInUse(t *testing.T) {
	s := newService()
	for _, r := range []Request{newRequest("a", 0, 0), newRequest("a", 7, 0), newRequest("a", 0, time.Second)} {
		require.Zero(t, testing.AllocsPerRun(10, func() {
			ticket, refused, reason := s.Offer(r, View{Slots: 18, Own: 8, Entries: 12}, epoch)
			require.Nil(t, ticket)
			require.Empty(t, refused)
			require.Equal(t, ReasonNone, reason)
		}))
	}
}

// Guards against an entry that is cut off from the others and fills the servers, as it
// knows of no other requests.
func TestIsolatedEntryKeepsToItsShare(t *testing.T) {
	s := newService()
	sent := 0
	for sent < 18 && s.Admits(newRequest("a", 0, 0), View{Slots: 18, Own: sent, Entries: 12, IsIsolated: true}, epoch) {
		sent++
	}
	require.Equal(t, 4, sent)
}

// Guards against late requests that take places before those that can be on time, and
// against less urgent ones that go before more urgent ones.
func TestOnTimeRequestsGoFirstThenUrgentOnes(t *testing.T) {
	s := newService()
	s.sent = rate{count: 200, at: epoch}
	late := mustWait(t, s, newRequest("a", 0, time.Second), epoch)
	second := mustWait(t, s, newRequest("a", 1, 0), epoch)
	returned := mustWait(t, s, newRequest("a", 0, 40*time.Millisecond), epoch)
	first := mustWait(t, s, newRequest("a", 0, 0), epoch)
	free := View{Slots: 18, Entries: 12}
	for _, expected := range []*Ticket{returned, first, second, late} {
		require.Same(t, expected, s.Next(free, epoch))
	}
	require.Nil(t, s.Next(free, epoch))
}

// Guards against an organisation whose waiting requests are refused for those of one that
// has had more than its share.
func TestOrganisationOverItsShareIsRefusedFirst(t *testing.T) {
	s := newService()
	mustWait(t, s, newRequest("other", 0, 0), epoch)
	last := mustWait(t, s, newRequest("other", 0, 0), epoch)
	ticket, refused, reason := s.Offer(newRequest("a", 0, 0), busy, epoch)
	require.Equal(t, ReasonNone, reason)
	require.Equal(t, []Refused{{last, ReasonFull}}, refused)
	s.Started("a", 0, epoch.Add(-time.Second))
	require.Same(t, ticket, s.Next(View{Slots: 18, Entries: 12}, epoch))
}

// Guards against requests that wait for over an eighth of the target and are refused then:
// either the refusal comes at that time, or the request is sent while it can be on time.
func TestLongWaitEndsWithAPlace(t *testing.T) {
	s := newService()
	first := mustWait(t, s, newRequest("a", 0, 0), epoch)
	second := mustWait(t, s, newRequest("b", 0, 0), epoch)
	require.Empty(t, s.Expire(busy, epoch.Add(hold(target)-1)))
	now := epoch.Add(hold(target))
	require.Equal(t, []Refused{{second, ReasonHeld}}, s.Expire(busy, now))
	for ; s.Len() > 0; now = now.Add(time.Millisecond) {
		require.Empty(t, s.Expire(busy, now))
		if ticket := s.Next(busy, now); ticket != nil {
			require.Same(t, first, ticket)
		}
	}
	// 47 requests take 2.6 run times with 18 slots.
	require.True(t, now.Add(26*run/10).Before(epoch.Add(target)))
}

// Guards against requests that wait although their caller will be gone.
func TestRequestPastItsDeadlineIsRefusedAtOnce(t *testing.T) {
	s := newService()
	_, _, reason := s.Offer(newRequest("a", 0, 3*time.Second-run/2), busy, epoch)
	require.Equal(t, ReasonExpired, reason)
	ticket := mustWait(t, s, newRequest("a", 0, 3*time.Second-run-time.Millisecond), epoch)
	require.Equal(t, []Refused{{ticket, ReasonExpired}}, s.Expire(busy, epoch.Add(2*time.Millisecond)))
}

// Guards against waiting requests that fill the memory.
func TestWaitingRequestsAreBounded(t *testing.T) {
	s := newService()
	s.sent = rate{count: 1e6, at: epoch}
	for range maxWaiting {
		mustWait(t, s, newRequest("a", 0, 0), epoch)
	}
	_, _, reason := s.Offer(newRequest("a", 0, 0), busy, epoch)
	require.Equal(t, ReasonBound, reason)
	require.Equal(t, maxWaiting, s.Len())
	s.Clear()
	large := newRequest("a", 0, 0)
	large.Bytes = maxBytes
	ticket := mustWait(t, s, large, epoch)
	large.Bytes = 1
	_, _, reason = s.Offer(large, busy, epoch)
	require.Equal(t, ReasonBound, reason)
	require.True(t, s.Cancel(ticket))
	mustWait(t, s, large, epoch)
}

// Guards against callers that are all told to come back at once, or at a time at which
// they cannot be on time although there was an earlier one.
func TestRetryAfterIsSpreadAndInTimeWhilePossible(t *testing.T) {
	s := newService()
	light := View{Slots: 18, Own: 2, Peers: 18, Entries: 12}
	var last time.Duration
	inTime := 0
	for range 40 {
		retry := s.RetryAfter(newRequest("a", 0, 0), light, epoch)
		require.Greater(t, retry, last)
		if last = retry; retry+run < target {
			inTime++
			continue
		}
		require.GreaterOrEqual(t, retry, lateReturnDelay)
	}
	require.Positive(t, inTime)
	require.Less(t, inTime, 5)
	require.LessOrEqual(t, last, maxReturnDelay)
	require.GreaterOrEqual(t, newService().RetryAfter(newRequest("a", 0, time.Second), light, epoch), lateReturnDelay)
}

// Guards against many entries that fill a few slots with one request each.
func TestManyEntriesSendAtTheirShareOfTheRate(t *testing.T) {
	s := newService()
	view := View{Slots: 18, Peers: 60, Entries: 300}
	sent := 0
	for i := range 10_000 {
		if now := epoch.Add(time.Duration(i) * time.Millisecond); s.Admits(newRequest("a", 0, -time.Hour), view, now) {
			s.Started("a", 0, now)
			sent++
		}
	}
	// 300 requests a second over 300 entries are 10 for each in ten seconds.
	require.InDelta(t, 10, sent, 2)
}

// Guards against servers that are slower than their slots suggest and get as many
// requests as fast ones.
func TestLimitFollowsTheRunTime(t *testing.T) {
	s := newService()
	fast := s.admission.limit(busy, target)
	for range 200 {
		s.Ended(5*run, 5, 6)
	}
	require.InDelta(t, 18.0/12, s.admission.limit(busy, target), 0.01, "the share of the slots")
	require.Greater(t, fast, 2*18.0/12)
	for range 200 {
		s.Ended(2*run, 11, 6)
	}
	require.InDelta(t, fast, s.admission.limit(busy, target), 0.1, "the wait at the server does not count")
}

// A burst at one entry is no shortage. Requests were held and refused by the entry's part
// of the limit while servers had places: on days without overload up to a third more calls
// came late.
func TestBurstsAreSentWhileAnswersAreInTime(t *testing.T) {
	s := newService()
	burst := View{Slots: 18, Own: 8, Peers: 20, Entries: 12}
	for range 20 {
		s.Observe(run, target, false, epoch)
	}
	ticket, _, reason := s.Offer(newRequest("other", 0, 0), burst, epoch)
	require.Nil(t, ticket)
	require.Equal(t, ReasonNone, reason)
	for range 4 {
		s.Observe(target, target, false, epoch)
	}
	ticket, _, _ = s.Offer(newRequest("other", 0, 0), burst, epoch)
	require.NotNil(t, ticket, "a third of the last answers was slow")
	require.True(t, s.Cancel(ticket))
	later := epoch.Add(shortTime)
	ticket, _, _ = s.Offer(Request{Organisation: "other", Target: target, OwnTarget: target, OnTimeBy: later.Add(target)}, burst, later)
	require.Nil(t, ticket, "it was long ago")
}
