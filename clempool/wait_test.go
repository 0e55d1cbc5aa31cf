package clempool

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwait"
)

// newWaiter returns an entry with two servers that are full by the reports of a peer, and
// a request that waits there.
func newWaiter(t *testing.T) (*Directory, *Waiter) {
	t.Helper()
	d := newEntries(1, 2, 6)[0]
	setPeerLoad(d, 18, epoch)
	lease, waiter, err := d.AcquireOrWait(scarceRequest(), epoch)
	require.NoError(t, err)
	require.Nil(t, lease)
	require.NotNil(t, waiter)
	return d, waiter
}

func scarceRequest() Request {
	return Request{Service: "pool", Target: scarceTarget, OnTimeBy: epoch.Add(scarceTarget), Deadline: epoch.Add(scarceTimeout)}
}

// setPeerLoad makes a peer report the number of requests at each server.
func setPeerLoad(d *Directory, running int, now time.Time) {
	stats := map[string]ServerStats{}
	for id := range d.servers {
		stats[id] = ServerStats{Running: running}
	}
	d.SetPeerStats("other", stats, now, peerStatsTTL)
}

func isDone(w *Waiter) bool {
	select {
	case <-w.Done():
		return true
	default:
		return false
	}
}

// Guards against a request that waited and is sent to a server that went away or drains
// meanwhile: the server is chosen when the request leaves the queue.
func TestWaitingRequestGoesToAServerThatStillTakesRequests(t *testing.T) {
	d, waiter := newWaiter(t)
	d.Remove(newRecord(0, 6).ID())
	draining := newRecord(1, 6).config
	draining.Draining = true
	d.Put(NewRecord(draining))
	d.Put(newRecord(2, 6))
	setPeerLoad(d, 0, epoch.Add(10*time.Millisecond))
	require.True(t, isDone(waiter))
	lease, err := waiter.Result()
	require.NoError(t, err)
	require.Equal(t, newRecord(2, 6).ID(), lease.Server())
}

// Guards against requests that wait for a service without servers.
func TestWaitingRequestIsRefusedWithoutServers(t *testing.T) {
	d, waiter := newWaiter(t)
	for n := range 2 {
		d.Remove(newRecord(n, 6).ID())
	}
	waiter.Check(epoch.Add(time.Millisecond))
	require.True(t, isDone(waiter))
	_, err := waiter.Result()
	require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable))
	require.True(t, clementineturn.IsNotRun(err))
}

// Guards against counts of a peer that is gone, for which requests wait or are refused
// until they expire, and against an entry that then takes the whole service.
func TestWaitingRequestIsSentOnceOldCountsExpire(t *testing.T) {
	d, waiter := newWaiter(t)
	waiter.Check(epoch.Add(scarceTarget / 8))
	require.True(t, isDone(waiter), "a refusal is not held")
	_, err := waiter.Result()
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded))
	now := epoch.Add(2 * peerStatsTTL)
	request := scarceRequest()
	request.OnTimeBy, request.Deadline = now.Add(scarceTarget), now.Add(scarceTimeout)
	sent := 0
	for ; sent < 36; sent++ {
		lease, _, _ := d.AcquireOrWait(request, now)
		if lease == nil {
			break
		}
	}
	require.GreaterOrEqual(t, sent, 6, "half of the slots")
	require.Less(t, sent, 36*2/3, "half of what all entries may send and its rounding")
}

// Guards against a place that stays taken for a client that left while it waited.
func TestWaitOfClientThatLeftTakesNoPlace(t *testing.T) {
	d, waiter := newWaiter(t)
	waiter.Cancel(epoch.Add(time.Millisecond))
	require.Zero(t, d.Waiting())
	d, waiter = newWaiter(t)
	setPeerLoad(d, 0, epoch.Add(time.Millisecond))
	require.True(t, isDone(waiter))
	waiter.Cancel(epoch.Add(2 * time.Millisecond))
	for _, s := range d.servers {
		require.Zero(t, s.running)
	}
}

// Guards against a shortage that nobody sees, and against a report for each request.
func TestScarcityIsReportedOnce(t *testing.T) {
	var changes []Scarcity
	d := newEntries(1, 2, 6)[0]
	d.config.OnScarcity = func(_ string, change Scarcity, _ int) { changes = append(changes, change) }
	_, _, err := d.AcquireOrWait(scarceRequest(), epoch)
	require.NoError(t, err)
	setPeerLoad(d, 18, epoch)
	for range 3 {
		_, _, _ = d.AcquireOrWait(scarceRequest(), epoch)
	}
	require.Equal(t, []Scarcity{ScarcityBegan}, changes)
	setPeerLoad(d, 0, epoch.Add(scarcityTTL+time.Second))
	require.Equal(t, []Scarcity{ScarcityBegan, ScarcityEnded}, changes)
}

// Guards against entries that are cut off from each other and each take half of the slots,
// as they know of no other requests.
func TestIsolatedEntrySendsItsPart(t *testing.T) {
	d := newEntries(1, 3, 6)[0]
	for i := range 11 {
		d.SetPeerStats(strconv.Itoa(i), nil, epoch, peerStatsTTL)
	}
	now := epoch.Add(2 * peerStatsTTL)
	request := scarceRequest()
	request.OnTimeBy, request.Deadline = now.Add(scarceTarget), now.Add(scarceTimeout)
	for range 4 {
		lease, _, err := d.AcquireOrWait(request, now)
		require.NoError(t, err)
		require.NotNil(t, lease)
	}
	_, waiter, err := d.AcquireOrWait(request, now)
	require.NoError(t, err)
	require.NotNil(t, waiter)
}

// Guards against an entry that has only requests without a prefix and never looks up the
// list of entries: it has no share at cold servers and refuses every request.
func TestWaitingRequestsNeedTheListOfEntries(t *testing.T) {
	d := newColdEntries(2)[0]
	d.PutRow(coldRow(1, 1, 9*time.Second), epoch, epoch)
	_, _, _ = d.AcquireOrWait(scarceRequest(), epoch)
	require.True(t, d.entries.isKnown)
}

// newColdWaitEntry returns an entry whose only other peer is idle, with the figures of
// testCold for the service "pool" and none for others.
func newColdWaitEntry() *Directory {
	return New(Config{
		MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 },
		ColdFigures: func(service string) ColdFigures {
			if service != "pool" {
				return ColdFigures{}
			}
			return testCold
		},
	})
}

// Guards against a service whose servers are all cold and that gets nothing: without slots
// no request was admitted. Their shares limit the requests.
func TestColdServersAloneAreUsed(t *testing.T) {
	for _, acquire := range []func(*Directory, Request, time.Time) (*Lease, error){
		func(d *Directory, r Request, now time.Time) (*Lease, error) {
			lease, _, err := d.AcquireOrWait(r, now)
			return lease, err
		},
		(*Directory).Acquire,
	} {
		d := newColdWaitEntry()
		d.PutRow(coldRow(1, 1, 9*time.Second), epoch, epoch)
		now := epoch.Add(2 * time.Second)
		sent := 0
		for range 30 {
			lease, err := acquire(d, scarceRequest(), now)
			if err != nil {
				require.Contains(t, err.Error(), "cold")
				require.True(t, clementineturn.IsNotRun(err))
				break
			}
			require.NotNil(t, lease, "the request does not wait")
			require.NoError(t, lease.CheckSend(now))
			lease.Release(OutcomeServed, nil, now)
			sent++
		}
		require.Equal(t, testCold.allowance(), sent)
	}
}

// Guards against slots of cold servers that count as free for waiting requests.
func TestColdServersHaveNoSlotsForWaitingRequests(t *testing.T) {
	d := newColdWaitEntry()
	d.PutRow(coldRow(1, 1, 0), epoch, epoch)
	d.PutRow(coldRow(2, 1, 9*time.Second), epoch, epoch)
	d.SetPeerStats("other", map[string]ServerStats{"s01": {Running: 1}}, epoch, peerStatsTTL)
	var waiter *Waiter
	sent := 0
	for ; waiter == nil; sent++ {
		var err error
		_, waiter, err = d.AcquireOrWait(scarceRequest(), epoch)
		require.NoError(t, err)
	}
	require.Less(t, sent, 24, "the server that is open is not full")
	waiter.Check(epoch.Add(time.Millisecond))
	require.False(t, isDone(waiter))
}

// Guards against requests of this entry that run on at a closed server and use up its part
// of the slots of the others.
func TestRequestsAtClosedServersLeaveTheSlotsOfOthers(t *testing.T) {
	d := newEntries(1, 2, 6)[0]
	for range 11 {
		mustAcquire(t, d, scarceRequest(), epoch)
	}
	d.mu.Lock()
	svc := d.services["pool"]
	d.mu.Unlock()
	leaving := newRecord(0, 6)
	atLeaving := d.servers[leaving.ID()].running
	d.markLeaving(leaving.ID(), &leavingMark{at: epoch, source: SourceResponse})
	d.SetPeerStats("other", map[string]ServerStats{newRecord(1, 6).ID(): {Running: 2}}, epoch, peerStatsTTL)
	view := d.view(svc, d.candidates(svc, Request{}, epoch), epoch)
	require.Equal(t, 11-atLeaving, view.Own)
	require.Equal(t, 2, view.Peers)
	require.Equal(t, 6, view.Slots)
}

// Guards against a sum over other groups that counts as one entry once it is missing: the
// entry would take a part of the slots as if they had ended.
func TestMissingSumCountsAsAllItsEntries(t *testing.T) {
	d := newEntries(1, 3, 6)[0]
	svc := d.services["pool"]
	busy := map[string]ServerStats{newRecord(0, 6).ID(): {Running: 18}}
	d.SetFleetSize(60)
	d.SetFleetStats(FleetStats{Entries: 44, Members: map[string]bool{"other": true}}, epoch, peerStatsTTL)
	now := epoch.Add(peerStatsTTL + time.Millisecond)
	mustAcquire(t, d, scarceRequest(), now)
	for n := range 15 {
		d.SetPeerStats(strconv.Itoa(n), busy, now, peerStatsTTL)
	}
	view := d.view(svc, d.candidates(svc, Request{}, now), now)
	require.True(t, view.IsIsolated, "44 of 59 other entries do not report")
	require.Equal(t, 60, view.Entries)
}

// Guards against callers that are told to return long before a limited server takes their
// request.
func TestRefusalOfALimitedServerNamesItsTime(t *testing.T) {
	d := newEntries(1, 1, 64)[0]
	limit := 0.5
	lease := mustAcquire(t, d, scarceRequest(), epoch)
	lease.RecordRateLimit(&limit, epoch)
	lease.Release(OutcomeServed, nil, epoch)
	_, waiter, err := d.AcquireOrWait(scarceRequest(), epoch)
	require.Nil(t, waiter)
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded))
	require.True(t, clementineturn.IsNotRun(err))
	require.GreaterOrEqual(t, clementineturn.AsError(err).RetryAfter(), time.Second)
}

// Guards against a data race between a waiting request and others that commit it.
func TestCheckTimeOfAWaitingRequestIsReadWithTheLock(t *testing.T) {
	d, waiter := newWaiter(t)
	at := epoch.Add(scarceTarget / 8)
	wait := &d.services["pool"].wait
	for range 50 {
		wait.Started("", 0, epoch)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			d.mu.Lock()
			refused := wait.Expire(clemwait.View{Slots: 1000, Entries: 1}, at)
			d.mu.Unlock()
			if len(refused) > 0 {
				panic("the request is refused and not committed")
			}
		}
	}()
	for range 100 {
		waiter.CheckAt(at)
	}
	<-done
}

// Guards against a server that counts as reachable again because a client left to whose
// request it was assigned, but which was not sent.
func TestPlaceThatIsGivenBackSaysNothingOfTheServer(t *testing.T) {
	d, waiter := newWaiter(t)
	setPeerLoad(d, 0, epoch.Add(time.Millisecond))
	require.True(t, isDone(waiter))
	s := d.servers[waiter.lease.Server()]
	s.health.isUnreachable = true
	waiter.Cancel(epoch.Add(2 * time.Millisecond))
	require.True(t, s.health.isUnreachable)
}

// Guards against an entry of a large fleet that takes its part of the unused slots several
// times before the sum over the other groups shows it.
func TestUnusedSlotsAreDistributedAtTheAgeOfSums(t *testing.T) {
	d := newEntries(1, 3, 6)[0]
	svc := d.services["pool"]
	busy := map[string]ServerStats{newRecord(0, 6).ID(): {Running: 6}, newRecord(1, 6).ID(): {Running: 6}}
	d.SetFleetSize(60)
	d.SetPeerStats("other", busy, epoch, peerStatsTTL)
	d.SetFleetStats(FleetStats{Entries: 44, Age: 600 * time.Millisecond, Members: map[string]bool{"other": true}}, epoch, peerStatsTTL)
	mustAcquire(t, d, scarceRequest(), epoch)
	d.SetPeerStats("other", busy, epoch, peerStatsTTL)
	require.False(t, svc.wait.IsUpdateDue(time.Millisecond, epoch), "distributed now")
	now := epoch.Add(300 * time.Millisecond)
	d.SetPeerStats("other", busy, now, peerStatsTTL)
	require.True(t, svc.wait.IsUpdateDue(time.Millisecond, now), "not distributed again")
}
