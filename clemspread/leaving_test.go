package clemspread

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clempool"
)

// Guards against requests from other entries to a server that announced its end to one of
// them, until its row says so a heartbeat later.
func TestPeersLearnOfLeavingServers(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entries := []*Syncer{n.start(ctx, "a", store), n.start(ctx, "b", store), n.start(ctx, "c", store)}
		time.Sleep(5 * time.Second)
		lease, err := entries[1].config.Directory.Acquire(clempool.Request{Service: "pool"}, time.Now())
		require.NoError(t, err)
		lease.RecordLeaving(time.Now())
		lease.Release(clempool.OutcomeServed, nil, time.Now())
		time.Sleep(500 * time.Millisecond)
		for i, source := range []clempool.Source{clempool.SourcePeer, clempool.SourceResponse, clempool.SourcePeer} {
			a, isListed := entries[i].config.Directory.Availability("a", time.Now())
			require.True(t, isListed)
			require.Equal(t, []any{clempool.StateLeaving, source}, []any{a.State(), a.Source()})
		}
	})
}

// Guards against requests from entries of other groups to a server that announced its end
// to one entry: the announcement passes two delegates.
func TestOtherGroupsLearnOfLeavingServers(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		lease, err := f.entries[probingEntry].config.Directory.Acquire(clempool.Request{Service: "pool"}, time.Now())
		require.NoError(t, err)
		lease.RecordLeaving(time.Now())
		lease.Release(clempool.OutcomeServed, nil, time.Now())
		time.Sleep(1500 * time.Millisecond)
		for name, e := range f.entries {
			a, isListed := e.config.Directory.Availability(lease.Server(), time.Now())
			require.True(t, isListed, name)
			require.Equal(t, clempool.StateLeaving, a.State(), name)
		}
	})
}
