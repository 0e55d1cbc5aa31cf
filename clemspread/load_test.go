package clemspread

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
)

// Found by a sweep to 300 entries: when all start at once, each told all
// others the whole list of servers, and their links were full for seconds.
// The store answers all of them; nobody needs to be told.
func TestEntriesThatStartAtOnceDoNotTellWholeLists(t *testing.T) {
	const fleet, servers = 40, 200
	in(t, func(ctx context.Context, n *network, store *fakeStore) {
		for i := range servers {
			store.set(clementineturn.SectionServers, fmt.Sprint("s", i), "10.0.0.1:80")
		}
		var entries []*Spread
		for i := range fleet {
			entries = append(entries, n.start(ctx, fmt.Sprintf("e%02d", i), store))
		}
		time.Sleep(3 * time.Second)
		for _, e := range entries {
			require.Equal(t, fleet, e.Entries())
			require.Equal(t, servers+1, e.config.Directory.Len())
		}
		require.Less(t, n.count(&n.rows), fleet*servers, "less than a list for each")

		// In steady state a message is small, whatever the fleet's size.
		before := n.count(&n.bytes)
		time.Sleep(10 * time.Second)
		messages := fleet * (fleet - 1) * int(10*time.Second/entries[0].roster.pace())
		require.Less(t, n.count(&n.bytes)-before, 150*messages)

		// A change goes to each entry about once, not once from each other.
		rows := n.count(&n.rows)
		for i := range servers / 10 {
			store.set(clementineturn.SectionServers, fmt.Sprint("s", i), "10.0.0.2:80")
		}
		time.Sleep(4 * time.Second)
		require.Less(t, n.count(&n.rows)-rows, 2*fleet*servers/10)
	})
}

// The same when the store answers nobody but one: the others ask, one at a time.
func TestEntriesWithoutStoreAskOneAtATime(t *testing.T) {
	const fleet, servers = 20, 100
	in(t, func(ctx context.Context, n *network, store *fakeStore) {
		for i := range servers {
			store.set(clementineturn.SectionServers, fmt.Sprint("s", i), "10.0.0.1:80")
		}
		n.start(ctx, "e00", store)
		away := newFakeStore()
		away.silence(true)
		var entries []*Spread
		for i := range fleet {
			entries = append(entries, n.start(ctx, fmt.Sprintf("e%02d", i+1), away, "e00"))
		}
		time.Sleep(4 * time.Second)
		for _, e := range entries {
			require.True(t, e.IsReady())
			require.Equal(t, servers+1, e.config.Directory.Len())
		}
		require.Less(t, n.count(&n.rows), 6*fleet*servers)
	})
}

// Found by the soak: while reads are older than the history that the store
// still has, the feed goes on from none of them; the loop of both was unpaced.
func TestOldReadsOfAForgetfulStoreArePaced(t *testing.T) {
	in(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.isForgetful = true
		n.start(ctx, "a", store)
		time.Sleep(5 * time.Second)
		require.Less(t, store.counted(), 100)
	})
}

// The pattern "the store is down for seconds" (platform_down): one call at a
// time looks whether it is back, and all goes on at once when it is.
func TestStoreThatIsAwayIsAskedSeldom(t *testing.T) {
	in(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.refuse(true)
		e := n.start(ctx, "a", store)
		require.True(t, e.IsAlone())
		time.Sleep(5 * time.Second)
		require.Less(t, store.counted(), 20, "three loops that retry each on their own call 40 times")
		store.refuse(false)
		time.Sleep(time.Second)
		require.True(t, e.IsReady())
		store.refuse(true)
		time.Sleep(3 * time.Second)
		store.set(clementineturn.SectionServers, "a", "")
		store.refuse(false)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 1, e.config.Directory.Len(), "rows that lapsed in an outage have time to come back")
		time.Sleep(2 * time.Second)
		require.Zero(t, e.config.Directory.Len())
	})
}

// The pattern "entries are restarted in turn" (roll_term, node_kill): one that
// started anew is told what the others sent to servers before.
func TestEntryThatStartsAnewLearnsWhatServersKeep(t *testing.T) {
	in(t, func(ctx context.Context, n *network, store *fakeStore) {
		a := n.start(ctx, "a", store)
		first, stop := context.WithCancel(ctx)
		n.start(first, "b", store)
		time.Sleep(2 * time.Second)
		shared := []clementineturn.Part{clementineturn.NewPart(clementineturn.PartConfig{ID: 7, Tokens: 900})}
		lease, err := a.config.Directory.Take(clempool.Want{Service: "pool", Shared: shared, Input: 900}, time.Now())
		require.NoError(t, err)
		lease.Done(clempool.OutcomeServed, nil, time.Now())
		time.Sleep(time.Second)
		stop()
		b := n.start(ctx, "b", store)
		time.Sleep(2 * time.Second)
		lease, err = b.config.Directory.Take(clempool.Want{Service: "pool", Shared: shared, Input: 900}, time.Now())
		require.NoError(t, err)
		require.Equal(t, 900, lease.Kept())
	})
}

// The pattern "all entries lose power" (herd_kill, closing): the engines still
// keep prompts that no entry knows of. Each is asked once, by one entry, and
// all know; an entry that starts beside others that run asks none.
func TestEntriesThatStartAtOnceAskEachEngineOnce(t *testing.T) {
	in(t, func(ctx context.Context, n *network, store *fakeStore) {
		for port := range 20 {
			store.set(clementineturn.SectionServers, fmt.Sprint("s", port), fmt.Sprintf("10.0.0.1:%d", 100+port))
		}
		entries := []*Spread{n.start(ctx, "a", store), n.start(ctx, "b", store), n.start(ctx, "c", store)}
		time.Sleep(2 * time.Second)
		require.Len(t, n.engines(), 21)
		for address, times := range n.engines() {
			require.Equal(t, 1, times, address)
		}
		for _, e := range entries {
			for port := range 20 {
				shared := []clementineturn.Part{clementineturn.NewPart(clementineturn.PartConfig{ID: uint64(100 + port), Tokens: 900})}
				lease, err := e.config.Directory.Take(clempool.Want{Service: "pool", Shared: shared, Input: 900}, time.Now())
				require.NoError(t, err)
				require.Equal(t, fmt.Sprint("s", port), lease.Server())
				lease.Done(clempool.OutcomeServed, nil, time.Now())
			}
		}
		time.Sleep(10 * time.Second)
		n.start(ctx, "d", store)
		time.Sleep(2 * time.Second)
		for address, times := range n.engines() {
			require.Equal(t, 1, times, address)
		}
	})
}
