package clempool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// incarnationOf returns the record of server s00 in an incarnation.
func incarnationOf(incarnation int64, address string) Record {
	return NewRecord(RecordConfig{ID: "s00", Service: "pool", Address: address, Slots: 8, Incarnation: incarnation})
}

// A server that announced its end crashed the requests that it got afterwards, since its
// row said ready for another heartbeat.
func TestLeavingServerGetsNothingUntilANewIncarnation(t *testing.T) {
	d := newEntries(1, 0, 8)[0]
	d.Put(incarnationOf(5, "10.0.0.1:80"))
	running, held := mustAcquire(t, d, Request{Service: "pool"}, epoch), mustAcquire(t, d, Request{Service: "pool"}, epoch)
	running.RecordLeaving(epoch)
	require.ErrorContains(t, held.CheckSend(epoch), "server s00 is leaving", "a request that holds a lease is checked before it is sent")
	running.Release(OutcomeServed, nil, epoch)
	held.Release(OutcomeWithdrawn, nil, epoch)
	later := epoch.Add(24 * time.Hour)
	for name, change := range map[string]func(){
		"time passes": func() {}, "the row says ready": func() { d.Put(incarnationOf(5, "10.0.0.1:80")) },
		"another address":      func() { d.Put(incarnationOf(5, "10.0.0.2:80")) },
		"an older incarnation": func() { d.Put(incarnationOf(4, "10.0.0.2:80")) },
		"the row was gone":     func() { d.Remove("s00"); d.Put(incarnationOf(5, "10.0.0.1:80")) },
	} {
		change()
		_, err := d.Acquire(Request{Service: "pool"}, later)
		require.True(t, clementineturn.IsNotRun(err), name)
		require.ErrorContains(t, err, "leaving", name)
		a, _ := d.Availability("s00", later)
		require.Equal(t, []any{StateLeaving, SourceResponse, epoch}, []any{a.State(), a.Source(), a.Since()}, name)
	}
	d.Put(incarnationOf(6, "10.0.0.1:80"))
	mustAcquire(t, d, Request{Service: "pool"}, later).Release(OutcomeServed, nil, later)
}

// Guards against a late response of an earlier incarnation, or a peer's report of it, that
// takes its successor out of use, and against a lease at the earlier one that is sent.
func TestEarlierIncarnationDoesNotMarkItsSuccessor(t *testing.T) {
	d := newEntries(1, 0, 8)[0]
	d.Put(incarnationOf(5, "10.0.0.1:80"))
	old, held := mustAcquire(t, d, Request{Service: "pool"}, epoch), mustAcquire(t, d, Request{Service: "pool"}, epoch)
	d.Put(incarnationOf(6, "10.0.0.1:80"))
	old.RecordLeaving(epoch)
	d.SetPeerStats("p", map[string]ServerStats{"s00": {IsLeaving: true, LeavingIncarnation: 4}}, epoch, time.Second)
	require.ErrorContains(t, held.CheckSend(epoch), "leaving")
	require.NoError(t, mustAcquire(t, d, Request{Service: "pool"}, epoch).CheckSend(epoch))
}

// A peer that was notified keeps away from the server also after the report has expired, and
// reports only what it has seen itself.
func TestPeersAreToldOfLeavingServers(t *testing.T) {
	seer, told := newEntries(1, 0, 8)[0], newEntries(1, 0, 8)[0]
	for _, d := range []*Directory{seer, told} {
		d.Put(incarnationOf(5, "10.0.0.1:80"))
	}
	lease := mustAcquire(t, seer, Request{Service: "pool"}, epoch)
	lease.RecordLeaving(epoch)
	lease.Release(OutcomeServed, nil, epoch)
	stats := seer.LocalStats(epoch.Add(time.Minute))
	require.Equal(t, ServerStats{IsLeaving: true, LeavingIncarnation: 5}, ServerStats{IsLeaving: stats["s00"].IsLeaving, LeavingIncarnation: stats["s00"].LeavingIncarnation})
	told.SetPeerStats("p", stats, epoch, time.Second)
	a, _ := told.Availability("s00", epoch.Add(time.Hour))
	require.Equal(t, []any{StateLeaving, SourcePeer}, []any{a.State(), a.Source()})
	require.False(t, told.LocalStats(epoch.Add(time.Hour))["s00"].IsLeaving)
}

// A leaving server that then ends is no crash: it must not eject the server or accuse the
// prompt, and the states of the fleet are reported once.
func TestChangeToLeavingIsReportedOnce(t *testing.T) {
	var changes []string
	d := New(Config{
		MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 },
		OnAvailability: func(id string, before, after Availability) {
			changes = append(changes, fmt.Sprint(id, " ", before.State(), " ", after.State()))
		},
	})
	d.Put(incarnationOf(5, "10.0.0.1:80"))
	lease := mustAcquire(t, d, Request{Service: "pool"}, epoch)
	for range 3 {
		lease.RecordLeaving(epoch)
	}
	require.Equal(t, []string{"s00 open leaving"}, changes)
	require.False(t, lease.ServerHasEnded(t.Context()))
}

// Guards against a growing memory in a fleet whose servers come and go for months.
func TestLeavingMarksAreBounded(t *testing.T) {
	d := newEntries(1, 0, 8)[0]
	d.Put(incarnationOf(5, "10.0.0.1:80"))
	mustAcquire(t, d, Request{Service: "pool"}, epoch).RecordLeaving(epoch)
	for n := range maxLeavingMarks + 10 {
		stats := map[string]ServerStats{fmt.Sprint("gone", n): {IsLeaving: true}}
		d.SetPeerStats("p", stats, epoch.Add(time.Duration(n)*time.Millisecond), time.Second)
	}
	require.Len(t, d.leaving, maxLeavingMarks)
	a, _ := d.Availability("s00", epoch)
	require.Equal(t, StateLeaving, a.State(), "the mark of a listed server is kept")
}
