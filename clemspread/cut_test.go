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
