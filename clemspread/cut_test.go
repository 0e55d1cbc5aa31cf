package clemspread

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// cuttableStore is one entry's connection to the store, which may be cut.
type cuttableStore struct {
	*fakeStore
	isCut atomic.Bool
}

func (s *cuttableStore) Read(ctx context.Context, section clementineturn.Section) (clementineturn.Batch, error) {
	return s.Follow(ctx, section, 0, 0)
}

// Follow blocks until its timeout if the connection is cut, as a call does whose
// packets are dropped.
func (s *cuttableStore) Follow(ctx context.Context, section clementineturn.Section, after uint64, wait time.Duration) (clementineturn.Batch, error) {
	if s.isCut.Load() {
		ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
		defer cancel()
		<-ctx.Done()
		return clementineturn.Batch{}, clementineturn.Errorf(clementineturn.KindUnavailable, "store: %w", ctx.Err())
	}
	return s.fakeStore.Follow(ctx, section, after, wait)
}

// Guards against an entry that has lost its connection to the store learning of
// changed servers seconds after its peers, although it can reach them (soak seeds
// 30 and 34).
func TestEntryCutFromTheStoreLearnsTheListFromOthers(t *testing.T) {
	for name, isHistoryLost := range map[string]bool{"history kept": false, "history forgotten": true} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
				n.start(ctx, "b", store)
				cut := &cuttableStore{fakeStore: store}
				e := n.start(ctx, "a", cut)
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, e.config.Directory.Len())
				cut.isCut.Store(true)
				store.setHistoryLost(isHistoryLost)
				time.Sleep(500 * time.Millisecond)
				store.set(clementineturn.SectionServers, "z", "10.0.0.9:80")
				time.Sleep(2 * time.Second)
				require.Equal(t, 2, e.config.Directory.Len())
			})
		})
	}
}

// An entry whose list lies between two reads of the peer that can reach the
// store, without history between them, must not keep a server that the peer never
// knew: it requests the whole list.
func TestEntryCutFromTheStoreGetsTheWholeListAcrossAGap(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		first, second := &cuttableStore{fakeStore: store}, &cuttableStore{fakeStore: store}
		peer := n.start(ctx, "b", first)
		time.Sleep(3 * time.Second)
		first.isCut.Store(true)
		store.setHistoryLost(true)
		// Only a, which no peer can reach yet, reads this server's row.
		store.set(clementineturn.SectionServers, "y", "10.0.0.8:80")
		apart := &network{entries: map[string]*Syncer{}, engineCalls: map[string]int{}}
		e := apart.start(ctx, "a", second)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, 2, e.config.Directory.Len())
		second.isCut.Store(true)
		store.set(clementineturn.SectionServers, "y", "")
		store.set(clementineturn.SectionServers, "z", "10.0.0.9:80")
		first.isCut.Store(false)
		time.Sleep(4 * time.Second)
		require.Equal(t, 2, peer.config.Directory.Len())
		apart.join("b", peer)
		n.join("a", e)
		time.Sleep(wholeListDelay + unreachableInterval + rowRecoveryGrace)
		var addresses []string
		for _, record := range e.config.Directory.Records() {
			addresses = append(addresses, record.Address())
		}
		require.ElementsMatch(t, []string{"10.0.0.1:80", "10.0.0.9:80"}, addresses)
	})
}

// An entry that has read the removal of a row, and lost its connection to the store before the
// row was written again, gets it back from a peer that has seen neither: the peer's changes do
// not lead to its list, so that the entry requests the whole one.
func TestEntryCutFromTheStoreGetsARowBack(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		stores := map[string]*cuttableStore{"a": {fakeStore: store}, "b": {fakeStore: store}}
		store.set(clementineturn.SectionServers, "y", "10.0.0.8:80")
		entries := map[string]*Syncer{}
		for address, connection := range stores {
			entries[address] = n.start(ctx, address, connection)
		}
		time.Sleep(3 * time.Second)
		n.leave("a")
		n.leave("b")
		stores["b"].isCut.Store(true)
		time.Sleep(500 * time.Millisecond)
		store.set(clementineturn.SectionServers, "y", "")
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, entries["a"].config.Directory.Len())
		stores["a"].isCut.Store(true)
		time.Sleep(500 * time.Millisecond)
		store.set(clementineturn.SectionServers, "y", "10.0.0.8:80")
		stores["b"].isCut.Store(false)
		time.Sleep(4 * time.Second)
		for address, e := range entries {
			n.join(address, e)
		}
		time.Sleep(wholeListDelay + unreachableInterval)
		require.Equal(t, 2, entries["b"].config.Directory.Len())
		require.Equal(t, 2, entries["a"].config.Directory.Len())
	})
}
