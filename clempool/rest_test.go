package clempool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// newRestingDirectory returns a directory with one server that rests for the time.
func newRestingDirectory(t *testing.T, asked time.Duration) *Directory {
	t.Helper()
	d := newEntries(1, 0, 8)[0]
	d.Put(incarnationOf(5, "10.0.0.1:80"))
	lease := mustAcquire(t, d, Request{Service: "pool"}, epoch)
	lease.RecordHead(asked, epoch)
	lease.Release(OutcomeRefused, nil, epoch)
	return d
}

// mayAcquire reports whether the server gets a request now, and ends it with a response
// if it does.
func mayAcquire(d *Directory, now time.Time) bool {
	lease, err := d.Acquire(Request{Service: "pool"}, now)
	if err != nil {
		return false
	}
	lease.Release(OutcomeAbandoned, nil, now)
	return true
}

// Guards against requests at a server that asked for none until a time, whatever happens
// before that time.
func TestRestingServerGetsNothingUntilTheLatestEnd(t *testing.T) {
	d := newEntries(1, 0, 8)[0]
	d.Put(incarnationOf(5, "10.0.0.1:80"))
	first, second, held := mustAcquire(t, d, Request{Service: "pool"}, epoch), mustAcquire(t, d, Request{Service: "pool"}, epoch), mustAcquire(t, d, Request{Service: "pool"}, epoch)
	first.RecordHead(4*time.Second, epoch)
	second.RecordHead(time.Second, epoch.Add(time.Second))
	end := epoch.Add(4 * time.Second)
	a, _ := d.Availability("s00", epoch)
	require.Equal(t, []any{StateResting, SourceResponse, epoch, end}, []any{a.State(), a.Source(), a.Since(), a.Until()})
	require.ErrorContains(t, held.CheckSend(end.Add(-time.Millisecond)), "resting")
	for name, change := range map[string]func(){
		"a success of an earlier request": func() { second.RecordHead(0, epoch); second.Release(OutcomeServed, nil, epoch) },
		"a new incarnation":               func() { d.Put(incarnationOf(6, "10.0.0.1:80")) },
		"the row was gone":                func() { d.Remove("s00"); d.Put(incarnationOf(6, "10.0.0.1:80")) },
	} {
		change()
		_, err := d.Acquire(Request{Service: "pool"}, end.Add(-time.Millisecond))
		require.True(t, clementineturn.IsNotRun(err), name)
		require.ErrorContains(t, err, "resting until", name)
	}
	require.True(t, mayAcquire(d, end))
}

// Guards against a burst at the end of a rest: one request, then a second one once it was
// answered, then all.
func TestRestEndsGradually(t *testing.T) {
	d := newRestingDirectory(t, time.Second)
	now := epoch.Add(time.Second)
	for range restReturns {
		lease := mustAcquire(t, d, Request{Service: "pool"}, now)
		require.NoError(t, lease.CheckSend(now))
		require.False(t, mayAcquire(d, now))
		lease.RecordHead(0, now)
		lease.Release(OutcomeServed, nil, now)
	}
	for range 5 {
		require.NoError(t, mustAcquire(t, d, Request{Service: "pool"}, now).CheckSend(now))
	}
}

// A request that was chosen before the rest and is sent after its end is one of those that
// the server gets one after the other.
func TestEarlierLeaseCountsAsReturn(t *testing.T) {
	d := newEntries(1, 0, 8)[0]
	d.Put(incarnationOf(5, "10.0.0.1:80"))
	lease, held, other := mustAcquire(t, d, Request{Service: "pool"}, epoch), mustAcquire(t, d, Request{Service: "pool"}, epoch), mustAcquire(t, d, Request{Service: "pool"}, epoch)
	lease.RecordHead(time.Second, epoch)
	now := epoch.Add(time.Second)
	require.NoError(t, held.CheckSend(now))
	require.Error(t, other.CheckSend(now))
	require.False(t, mayAcquire(d, now))
}

// Guards against a server that stays out of use because the first request after its rest
// got no answer, or gets one only after long work.
func TestUnansweredReturnDoesNotKeepTheServerOut(t *testing.T) {
	d := newRestingDirectory(t, time.Second)
	now := epoch.Add(time.Second)
	mustAcquire(t, d, Request{Service: "pool"}, now).Release(OutcomeFailed, nil, now)
	mustAcquire(t, d, Request{Service: "pool"}, now)
	require.False(t, mayAcquire(d, now.Add(restAnswerTime-time.Millisecond)))
	require.True(t, mayAcquire(d, now.Add(restAnswerTime)))
}

// A server that refuses the first request after its rest with another one rests again, and
// one that asks for hours rests for a minute.
func TestRestIsRenewedAndBounded(t *testing.T) {
	d := newRestingDirectory(t, time.Second)
	now := epoch.Add(time.Second)
	lease := mustAcquire(t, d, Request{Service: "pool"}, now)
	lease.RecordHead(6*time.Hour, now)
	lease.Release(OutcomeRefused, nil, now)
	a, _ := d.Availability("s00", now)
	require.Equal(t, now.Add(MaxRest), a.Until())
	require.True(t, mayAcquire(d, now.Add(MaxRest)))
}

// If every server rests, the refusal names the earliest end, and the callers are spread
// after it.
func TestRefusalNamesTheEarliestEndOfRests(t *testing.T) {
	d := newRestingDirectory(t, 5*time.Second)
	putIn(d, "a", 1)
	lease := mustAcquire(t, d, Request{Service: "pool"}, epoch)
	lease.RecordHead(2*time.Second, epoch)
	lease.Release(OutcomeRefused, nil, epoch)
	var last time.Duration
	for range 3 {
		_, err := d.Acquire(Request{Service: "pool"}, epoch)
		require.True(t, clementineturn.IsNotRun(err))
		require.ErrorContains(t, err, "s01 is resting until")
		retry := clementineturn.AsError(err).RetryAfter()
		require.GreaterOrEqual(t, retry, 2*time.Second)
		require.Greater(t, retry, last)
		last = retry
	}
}

// A resting server is no server with slots: the others are not taken for idle because of
// its slots.
func TestRestingServerHasNoSlots(t *testing.T) {
	d := newRestingDirectory(t, 5*time.Second)
	putIn(d, "a", 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	require.Equal(t, 8, d.candidates(d.services["pool"], Request{Service: "pool"}, epoch).slots)
}

// Guards against a server whose responses take longer than restAnswerTime, and that gets one
// request in each such time for good after it rested once.
func TestSlowAnswersEndTheReturn(t *testing.T) {
	d := newRestingDirectory(t, time.Second)
	now := epoch.Add(time.Second)
	var leases []*Lease
	for range restReturns {
		lease := mustAcquire(t, d, Request{Service: "pool"}, now)
		require.NoError(t, lease.CheckSend(now))
		leases = append(leases, lease)
		require.False(t, mayAcquire(d, now))
		now = now.Add(restAnswerTime)
	}
	for _, lease := range leases {
		now = now.Add(restAnswerTime)
		lease.RecordHead(0, now)
		lease.Release(OutcomeServed, nil, now)
	}
	require.Empty(t, d.rests)
}
