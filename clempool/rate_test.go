package clempool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// state makes the server of the lease state a limit, or none for a negative one.
func state(l *Lease, limit float64, now time.Time) {
	if limit < 0 {
		l.RecordRateLimit(nil, now)
		return
	}
	l.RecordRateLimit(&limit, now)
}

// sendAll sends requests at intervals and returns how many were admitted.
func sendAll(d *Directory, r Request, interval, duration time.Duration, start time.Time) (admitted int) {
	for now := start; now.Before(start.Add(duration)); now = now.Add(interval) {
		if lease, err := d.Acquire(r, now); err == nil {
			admitted++
			lease.Release(OutcomeServed, nil, now.Add(interval/2))
		}
	}
	return admitted
}

// Guards against requests beyond the limit of a server that is the only one, with and
// without a prompt: the rest is refused as not run, with the time at which there is room.
func TestOnlyServerGetsNoMoreThanItsLimit(t *testing.T) {
	for name, r := range map[string]Request{"plain": {Service: "pool"}, "prompt": prompt(1, 100)} {
		t.Run(name, func(t *testing.T) {
			d := newEntries(1, 1, 128)[0]
			lease := mustAcquire(t, d, r, epoch)
			state(lease, 5, epoch)
			lease.Release(OutcomeServed, nil, epoch)
			_, err := d.Acquire(r, epoch)
			require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded))
			require.True(t, clementineturn.IsNotRun(err))
			require.GreaterOrEqual(t, clementineturn.AsError(err).RetryAfter(), 200*time.Millisecond)
			admitted := sendAll(d, r, 10*time.Millisecond, 10*time.Second, epoch)
			require.InDelta(t, 50, admitted, 4)
		})
	}
}

// Guards against a limit that a late response ends, and against one that outlasts its
// statement.
func TestLimitEndsWithALaterRequest(t *testing.T) {
	d := newEntries(1, 1, 128)[0]
	r := Request{Service: "pool"}
	early, first := mustAcquire(t, d, r, epoch), mustAcquire(t, d, r, epoch)
	state(first, 1, epoch.Add(time.Second))
	state(early, -1, epoch.Add(2*time.Second))
	require.True(t, d.servers[first.Server()].isLimited(), "the response is to a request from before")
	late := mustAcquire(t, d, r, epoch.Add(3*time.Second))
	state(late, -1, epoch.Add(4*time.Second))
	require.False(t, d.servers[first.Server()].isLimited())
	require.Positive(t, sendAll(d, r, 10*time.Millisecond, time.Second, epoch.Add(4*time.Second))-90)
}

// Guards against a limit that follows a server into its next start.
func TestRestartedServerHasNoLimit(t *testing.T) {
	d := newEntries(1, 1, 128)[0]
	lease := mustAcquire(t, d, Request{Service: "pool"}, epoch)
	state(lease, 0, epoch)
	record := d.servers[lease.Server()].record.config
	record.Incarnation++
	d.Put(NewRecord(record))
	require.False(t, d.servers[lease.Server()].isLimited())
}

// Guards against entries that do not know of a limit or of the others' requests: one
// entry has a response with the limit, the others its reports.
func TestEntriesShareALimit(t *testing.T) {
	entries := newEntries(3, 1, 128)
	r := Request{Service: "pool"}
	lease := mustAcquire(t, entries[0], r, epoch)
	state(lease, 5, epoch)
	lease.Release(OutcomeServed, nil, epoch)
	admitted, now := 0, epoch
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		exchangeState(entries, now)
		for _, d := range entries {
			if l, err := d.Acquire(r, now); err == nil {
				admitted++
				l.Release(OutcomeServed, nil, now)
			}
		}
	}
	require.InDelta(t, 50, admitted, 8)
}

// Guards against requests that go first only at servers without a limit: when all are
// limited, less urgent requests leave room for them.
func TestUrgentRequestsGoFirstAtLimitedServers(t *testing.T) {
	d := newEntries(1, 4, 128)[0]
	for n := range 4 {
		limit := 4.0
		d.servers[newRecord(n, 128).ID()].limit.record(&limit, epoch, epoch)
	}
	served := map[int]int{}
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
		for _, rank := range []int{3, 0} {
			if lease, err := d.Acquire(Request{Service: "pool", Rank: rank, Organisation: fmt.Sprint(rank)}, now); err == nil {
				served[rank]++
				lease.Release(OutcomeServed, nil, now)
			}
		}
	}
	require.Greater(t, served[0], 2*served[3])
}

// Guards against refusals in the name of fair shares while servers without a limit have
// room.
func TestFairSharesDoNotApplyWhileUnlimitedServersHaveRoom(t *testing.T) {
	d := newEntries(1, 4, 8)[0]
	limit := 2.0
	for n := range 3 {
		d.servers[newRecord(n, 8).ID()].limit.record(&limit, epoch, epoch)
	}
	for n := range 10 {
		mustAcquire(t, d, Request{Service: "pool", Organisation: fmt.Sprint(n)}, epoch)
	}
	for range 10 {
		mustAcquire(t, d, Request{Service: "pool", Organisation: "large"}, epoch)
	}
}

// Guards against a limit that begins again and counts what peers sent while there was
// none.
func TestLimitThatBeginsAgainStartsAnew(t *testing.T) {
	var l rateLimit
	limit := 5.0
	l.record(&limit, epoch, epoch)
	l.recordPeer("b", ServerStats{IsCounted: true, Sent: 10}, epoch)
	l.record(nil, epoch.Add(time.Second), epoch.Add(time.Second))
	l.record(&limit, epoch.Add(time.Hour), epoch.Add(time.Hour))
	level := l.level
	l.recordPeer("b", ServerStats{IsCounted: true, Sent: 100_000}, epoch.Add(time.Hour))
	require.InDelta(t, level, l.level, 0.001)
	l.recordPeer("b", ServerStats{IsCounted: true, Sent: 100_001}, epoch.Add(time.Hour))
	require.InDelta(t, level+1, l.level, 0.001)
}
