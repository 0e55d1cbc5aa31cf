package clempool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// testCold are the figures of the first deployment: 15 x 1.5 + 5 requests in a second.
var testCold = ColdFigures{Limit: 27.5, StartTime: 15 * time.Second, Heartbeat: 1200 * time.Millisecond}

func addresses(count int) []string {
	var list []string
	for n := range count {
		list = append(list, fmt.Sprintf("10.2.%d.%d:7003", n/250, n%250))
	}
	return list
}

// newColdEntries returns entries that know each other, without servers.
func newColdEntries(count int) []*Directory {
	rng := rand.New(rand.NewPCG(2, 2))
	all := addresses(count)
	entries := make([]*Directory, count)
	for i := range entries {
		entries[i] = New(Config{
			MaxLoadFactor: func() float64 { return 2 }, Rand: rng.Uint64, Address: all[i],
			Entries:     func() ([]string, bool) { return all, true },
			ColdFigures: func(string) ColdFigures { return testCold },
		})
	}
	return entries
}

// coldRow returns a row that states how long the server is cold, unless that is negative.
func coldRow(n int, incarnation int64, remaining time.Duration) Record {
	return NewRecord(RecordConfig{
		ID: fmt.Sprintf("s%02d", n), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", n), Slots: 8, Incarnation: incarnation,
		Cold: ColdStatement{IsStated: remaining >= 0, Remaining: max(remaining, 0)},
	})
}

// coldState returns StateCold if the server is cold, whether it is ejected or not.
func coldState(d *Directory, id string, now time.Time) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coldAvailability(d.servers[id], now).State()
}

// send acquires a place and sends the request. It reports false if either is refused.
func send(d *Directory, r Request, now time.Time) (*Lease, bool) {
	lease, err := d.Acquire(r, now)
	if err != nil {
		return nil, false
	}
	if lease.CheckSend(now) != nil {
		lease.Release(OutcomeWithdrawn, nil, now)
		return nil, false
	}
	return lease, true
}

// The shares of all entries together stay within the allowance, also while half of them
// know a newer incarnation. If the order depended on the incarnation, all of 29 entries
// would send one request each, which with a burst of one more is over the limit.
func TestSharesOfAllEntriesStayWithinTheAllowance(t *testing.T) {
	for _, c := range []struct{ entries, senders, share int }{{1, 1, 24}, {12, 12, 2}, {29, 24, 1}, {300, 24, 1}} {
		senders := 0
		for i, d := range newColdEntries(c.entries) {
			d.PutRow(coldRow(1, int64(i%2), 9*time.Second), epoch, epoch)
			d.lookUpEntries(epoch)
			d.mu.Lock()
			share := d.coldShare(d.servers["s01"], testCold, epoch.Add(2*time.Second))
			d.mu.Unlock()
			if share > 0 {
				require.Equal(t, c.share, share)
				senders++
			}
		}
		require.Equal(t, c.senders, senders, "%d entries", c.entries)
	}
}

// A cold server got 34 requests in a second where 27.5 are allowed. An entry keeps its share
// in every window of a second, counts what it sent before it knew that the server is cold,
// and gives no place away that a waiting request has.
func TestShareHoldsInEveryWindow(t *testing.T) {
	d := newColdEntries(12)[0]
	learned := epoch.Add(-testCold.heartbeat())
	d.PutRow(coldRow(1, 1, 0), learned, learned)
	_, ok := send(d, Request{Service: "pool"}, epoch)
	require.True(t, ok)
	d.PutRow(coldRow(1, 1, 10*time.Second+testCold.heartbeat()), learned, learned)
	waiting := mustAcquire(t, d, Request{Service: "pool"}, epoch)
	_, err := d.Acquire(Request{Service: "pool"}, epoch)
	require.ErrorContains(t, err, "server s01 is cold until 2026-12-04T00:00:10Z")
	require.True(t, clementineturn.IsNotRun(err))
	require.NoError(t, waiting.CheckSend(epoch.Add(600*time.Millisecond)))
	_, err = d.Acquire(Request{Service: "pool"}, epoch.Add(time.Second))
	require.Positive(t, clementineturn.AsError(err).RetryAfter())
	var sent []time.Time
	for n := range 3000 {
		now := epoch.Add(2*time.Second + time.Duration(n)*time.Millisecond)
		if lease, ok := send(d, Request{Service: "pool"}, now); ok {
			lease.Release(OutcomeServed, nil, now)
			sent = append(sent, now)
		}
	}
	require.Len(t, sent, 6, "in three seconds")
	for i := 2; i < len(sent); i++ {
		require.Greater(t, sent[i].Sub(sent[i-2]), time.Second)
	}
}

// A request that waited for a connection was sent to a server that had become cold
// meanwhile.
func TestRequestIsCheckedAgainBeforeItIsSent(t *testing.T) {
	d := newColdEntries(1)[0]
	d.PutRow(coldRow(1, 1, 0), epoch, epoch)
	var leases []*Lease
	for range 20 {
		leases = append(leases, mustAcquire(t, d, Request{Service: "pool"}, epoch))
	}
	d.PutRow(coldRow(1, 2, 10*time.Second), epoch, epoch)
	sent := 0
	for _, lease := range leases {
		if lease.CheckSend(epoch.Add(time.Millisecond)) == nil {
			sent++
		}
	}
	require.Equal(t, 6, sent, "a quarter of the allowance: others may not know the row yet")
}

// An entry that restarts has lost the count of its last second, and one that does not know
// the other entries cannot know its share.
func TestUnknownShareSendsNothing(t *testing.T) {
	isComplete := false
	d := New(Config{
		MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 }, StartedAt: epoch, Address: "a",
		Entries: func() ([]string, bool) { return []string{"b"}, isComplete }, ColdFigures: func(string) ColdFigures { return testCold },
	})
	d.PutRow(coldRow(1, 1, time.Minute), epoch, epoch)
	_, ok := send(d, Request{Service: "pool"}, epoch.Add(2*time.Second))
	require.False(t, ok, "the list is not known")
	isComplete = true
	_, ok = send(d, Request{Service: "pool"}, epoch.Add(3*time.Second))
	require.True(t, ok)
	d.config.StartedAt = epoch.Add(5 * time.Second)
	_, ok = send(d, Request{Service: "pool"}, epoch.Add(6*time.Second))
	require.False(t, ok, "the first second")
}

// Each way in which an entry learns that a server is cold, and that it is not any more.
func TestColdnessIsLearnedAndEnds(t *testing.T) {
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		act  func(d *Directory, lease *Lease)
		cold []float64
		warm []float64
	}{
		"a row states it":                    {func(d *Directory, _ *Lease) { d.PutRow(coldRow(1, 1, 4*time.Second), at(1), at(1)) }, []float64{1, 4.9}, []float64{5.1}},
		"a newer incarnation states it":      {func(d *Directory, _ *Lease) { d.PutRow(coldRow(1, 2, 4*time.Second), at(1), at(1)) }, []float64{1, 4.9}, []float64{5.1}},
		"a newer incarnation states nothing": {func(d *Directory, _ *Lease) { d.PutRow(coldRow(1, 2, -1), at(1), at(1)) }, []float64{1, 15.9}, []float64{16.1}},
		"a newer incarnation is warm":        {func(d *Directory, _ *Lease) { d.PutRow(coldRow(1, 2, 0), at(1), at(1)) }, nil, []float64{1.1}},
		"a response states it, an older row does not end it": {func(d *Directory, l *Lease) {
			l.RecordCold(8*time.Second, at(1))
			d.PutRow(coldRow(1, 1, 0), at(2.1), at(2.1))
		}, []float64{1, 8.9}, []float64{9.1}},
		"a response states it, a later row ends it": {func(d *Directory, l *Lease) {
			l.RecordCold(8*time.Second, at(1))
			d.PutRow(coldRow(1, 1, 0), at(2.3), at(2.3))
		}, nil, []float64{2.4}},
		"a broken connection, with the store away": {func(d *Directory, l *Lease) {
			l.ConnectionBroken(at(1))
			_, ok := send(d, Request{Service: "pool"}, at(3))
			require.True(t, ok)
		}, []float64{3, 17.9}, []float64{18.1}},
		"unreachable and not contacted since": {func(_ *Directory, l *Lease) { l.Release(OutcomeUnreached, nil, at(1)) }, []float64{60}, nil},
		"a broken connection, until a row of the same incarnation": {func(d *Directory, l *Lease) {
			l.ConnectionBroken(at(1))
			d.PutRow(coldRow(1, 1, 0), at(2.1), at(2.1))
			require.Equal(t, StateCold, coldState(d, "s01", at(2.1)), "the row may be older than the failure")
			d.PutRow(coldRow(1, 1, 0), at(2.3), at(2.3))
		}, nil, []float64{2.4}},
		"a broken connection, until the list is read without a change": {func(d *Directory, l *Lease) {
			l.ConnectionBroken(at(1))
			d.ListRead(at(3))
			require.Equal(t, StateCold, coldState(d, "s01", at(3)), "the server may still be away")
			send(d, Request{Service: "pool"}, at(3.5))
			d.ListRead(at(4.6))
			require.Equal(t, StateCold, coldState(d, "s01", at(4.6)), "it may not have written its row yet")
			d.ListRead(at(4.8))
		}, nil, []float64{4.8}},
		"a failure of the incarnation before": {func(d *Directory, l *Lease) {
			d.PutRow(coldRow(1, 2, 0), at(1), at(1))
			l.Release(OutcomeCrashed, nil, at(2))
		}, nil, []float64{6}},
		"an evacuation is withdrawn": {func(d *Directory, _ *Lease) {
			d.SetEvacuated([]string{""}, at(1))
			d.SetEvacuated(nil, at(2))
		}, []float64{2, 16.9}, []float64{17.1}},
		"an evacuation is withdrawn, until a row is read": {func(d *Directory, _ *Lease) {
			d.SetEvacuated([]string{""}, at(1))
			d.SetEvacuated(nil, at(2))
			d.ListRead(at(3.3))
		}, nil, []float64{3.4}},
		"the row expires and returns": {func(d *Directory, _ *Lease) {
			d.PutRow(coldRow(1, 1, 9*time.Second), at(1), at(1))
			d.Remove("s01")
			d.PutRow(coldRow(1, 1, -1), at(4), at(4))
		}, []float64{4, 9.9}, []float64{10.1}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newColdEntries(1)[0]
			d.PutRow(coldRow(1, 1, 0), epoch, epoch)
			d.ListRead(epoch)
			lease, ok := send(d, Request{Service: "pool"}, at(0.5))
			require.True(t, ok)
			c.act(d, lease)
			for _, second := range c.cold {
				require.Equal(t, StateCold, coldState(d, "s01", at(second)), "at %v s", second)
			}
			for _, second := range c.warm {
				require.NotEqual(t, StateCold, coldState(d, "s01", at(second)), "at %v s", second)
			}
		})
	}
}

// A cold server gets a request only if the others are full or its prompt is cheaper there,
// and it adds neither slots nor load to the service.
func TestColdServerIsChosenLast(t *testing.T) {
	d := newColdEntries(1)[0]
	for n := range 3 {
		d.PutRow(coldRow(n, 1, 0), epoch, epoch)
	}
	first := mustAcquire(t, d, prompt(7, 30_000), epoch)
	first.ResponseStarted()
	first.Release(OutcomeServed, nil, epoch)
	later := epoch.Add(time.Minute)
	var number int
	_, err := fmt.Sscanf(first.Server(), "s%d", &number)
	require.NoError(t, err)
	d.PutRow(coldRow(number, 1, 10*time.Second), later, later)
	lease := mustAcquire(t, d, prompt(7, 30_000), later)
	require.Equal(t, first.Server(), lease.Server(), "the prompt is cached there")
	lease.Release(OutcomeServed, nil, later)
	for n := range 30 {
		lease := mustAcquire(t, d, prompt(uint64(100+n), 200), later)
		require.NotEqual(t, first.Server(), lease.Server())
		lease.ResponseStarted()
		lease.Release(OutcomeServed, nil, later)
	}
	counts := map[string]int{}
	for range 50 {
		counts[mustAcquire(t, d, Request{Service: "pool"}, later).Server()]++
	}
	require.Equal(t, 2, counts[first.Server()], "after 2 x 24 places of the others: %v", counts)
}

// Rows that state how long servers are cold change no choice in a deployment without the
// figures for it.
func TestWithoutColdFiguresChoicesAreTheSame(t *testing.T) {
	plain, cold := newEntries(1, 12, 8)[0], newEntries(1, 0, 8)[0]
	for n := range 12 {
		r := newRecord(n, 8)
		r.config.Cold = ColdStatement{IsStated: true, Remaining: time.Hour}
		cold.PutRow(r, epoch, epoch)
	}
	for n := range 400 {
		now := epoch.Add(time.Duration(n) * 10 * time.Millisecond)
		r := prompt(uint64(n%37), 500)
		if n%3 == 0 {
			r = Request{Service: "pool"}
		}
		a, errA := plain.Acquire(r, now)
		b, errB := cold.Acquire(r, now)
		require.Equal(t, errA == nil, errB == nil)
		if errA != nil {
			continue
		}
		require.Equal(t, a.Server(), b.Server())
		require.NoError(t, b.CheckSend(now))
		for _, lease := range []*Lease{a, b} {
			if n%5 == 0 {
				lease.Release(OutcomeUnreached, nil, now)
			} else if n%2 == 0 {
				lease.Release(OutcomeServed, nil, now)
			}
		}
	}
}

// The list of entries was looked up with the directory locked, and its keeper waited for the
// directory under the lock that the list needs: the entry stood still. Found by the soak.
func TestListOfEntriesIsLookedUpWithoutLocks(t *testing.T) {
	var d *Directory
	d = New(Config{
		MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 }, ColdFigures: func(string) ColdFigures { return testCold },
		Entries: func() ([]string, bool) { return []string{fmt.Sprint(d.Len())}, true },
	})
	d.PutRow(coldRow(1, 1, time.Minute), epoch, epoch)
	_, ok := send(d, Request{Service: "pool"}, epoch)
	require.True(t, ok)
}
