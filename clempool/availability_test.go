package clempool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// putIn lists the numbered servers in a data centre.
func putIn(d *Directory, centre string, numbers ...int) {
	for _, n := range numbers {
		d.Put(NewRecord(RecordConfig{ID: fmt.Sprintf("s%02d", n), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", n), Centre: centre, Slots: 8}))
	}
}

// In the first deployment's trouble-1, 2,808 requests reached the servers of a data centre
// after the time by which it had to be empty.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	d := newEntries(1, 0, 8)[0]
	putIn(d, "a", 0, 1, 2)
	putIn(d, "b", 3)
	held := mustAcquire(t, d, Request{Service: "pool", Tried: []string{"s03"}}, epoch)
	require.NoError(t, held.CheckSend(epoch))
	d.SetEvacuated([]string{"a"}, epoch)
	require.ErrorContains(t, held.CheckSend(epoch), "server "+held.Server()+" is evacuated", "a request that holds a lease is checked before it is sent")
	held.Release(OutcomeWithdrawn, nil, epoch)
	for n := range 6 {
		require.Equal(t, "s03", mustAcquire(t, d, prompt(uint64(n), 100), epoch).Server())
	}
	_, err := d.Acquire(Request{Service: "pool", Tried: []string{"s03"}}, epoch)
	require.True(t, clementineturn.IsNotRun(err))
	require.ErrorContains(t, err, "evacuated")
	require.Equal(t, time.Second, clementineturn.AsError(err).RetryAfter())
	putIn(d, "a", 4)
	a, _ := d.Availability("s04", epoch)
	require.Equal(t, StateEvacuated, a.State(), "a server that is listed during the evacuation")
	d.SetEvacuated(nil, epoch.Add(time.Second))
	require.NotEqual(t, "s03", mustAcquire(t, d, Request{Service: "pool", Tried: []string{"s03"}}, epoch.Add(time.Second)).Server())
}

// With two of three data centres evacuated at four times the load, 1,183 of 4,555 requests
// went to servers with more than twice the mean of all servers, and three more. The rest of
// a service must not carry what exceeds its load bound.
func TestEvacuationKeepsTheLoadBound(t *testing.T) {
	d := newEntries(1, 0, 8)[0]
	for n := range 12 {
		putIn(d, "a", n)
	}
	putIn(d, "b", 12, 13)
	d.SetEvacuated([]string{"a"}, epoch)
	counts, refused := map[string]int{}, 0
	for range 20 {
		lease, err := d.Acquire(prompt(1, 100), epoch)
		if err != nil {
			require.True(t, clementineturn.IsNotRun(err))
			require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded))
			refused++
			continue
		}
		counts[lease.Server()]++
	}
	total := counts["s12"] + counts["s13"]
	bound := 2*float64(total)/14 + loadBoundSlack
	require.Equal(t, 20, total+refused)
	require.GreaterOrEqual(t, total, 8, "what the bound allows is served")
	require.LessOrEqual(t, float64(max(counts["s12"], counts["s13"])), bound+1, "%v", counts)
}

// Of several states the first in the order of the constants is reported, and each change
// once.
func TestAvailabilityOrderAndChanges(t *testing.T) {
	var changes []string
	d := New(Config{
		MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 },
		OnAvailability: func(id string, before, after Availability) {
			changes = append(changes, fmt.Sprintf("%s %s-%s %s", id, before.State(), after.State(), after.Source()))
		},
	})
	putIn(d, "a", 0)
	limit := 3.0
	lease := mustAcquire(t, d, Request{Service: "pool"}, epoch)
	lease.RecordRateLimit(&limit, epoch)
	d.LocalStats(epoch)
	lease.Release(OutcomeUnreached, nil, epoch)
	d.LocalStats(epoch.Add(sweepInterval))
	d.SetEvacuated([]string{"a"}, epoch.Add(2*sweepInterval))
	d.Put(NewRecord(RecordConfig{ID: "s00", Service: "pool", Address: "10.0.0.0:80", Centre: "a", Slots: 8, Draining: true}))
	d.LocalStats(epoch.Add(4 * sweepInterval))
	d.LocalStats(epoch.Add(6 * sweepInterval))
	require.Equal(t, []string{"s00 open-limited response", "s00 limited-ejected outcome", "s00 ejected-evacuated operator", "s00 evacuated-draining list"}, changes)
	require.Equal(t, 1, d.CountStates(epoch)[StateDraining])
	require.Zero(t, d.CountStates(epoch)[StateOpen])
}

// Guards against a cold server that gets requests beyond the load bound while others are
// evacuated.
func TestEvacuationKeepsTheLoadBoundOfColdServers(t *testing.T) {
	d := newColdEntries(1)[0]
	putIn(d, "east", 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	d.PutRow(coldRow(1, 1, time.Minute), epoch, epoch)
	d.SetEvacuated([]string{"east"}, epoch)
	d.SetPeerStats("other", map[string]ServerStats{"s01": {Running: 20}}, epoch, peerStatsTTL)
	_, err := d.Acquire(Request{Service: "pool"}, epoch.Add(time.Second))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded), "the bound is 6.5")
	require.True(t, clementineturn.IsNotRun(err))
}
