package clemspread

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// cutStore is one entry's way to the store, which may be cut.
type cutStore struct {
	*fakeStore
	isCut atomic.Bool
}

func (s *cutStore) Read(ctx context.Context, section clementineturn.Section) (clementineturn.Batch, error) {
	return s.Follow(ctx, section, 0, 0)
}

// Follow waits for its time if the way is cut, as a call does whose bytes are held.
func (s *cutStore) Follow(ctx context.Context, section clementineturn.Section, after uint64, wait time.Duration) (clementineturn.Batch, error) {
	if s.isCut.Load() {
		ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
		defer cancel()
		<-ctx.Done()
		return clementineturn.Batch{}, clementineturn.Errorf(clementineturn.KindUnavailable, "store: %w", ctx.Err())
	}
	return s.fakeStore.Follow(ctx, section, after, wait)
}

// Found by soak seeds 30 and 34: an entry whose way to the store was cut knew
// of a leaving server seconds after the others, which it could hear.
func TestEntryCutFromTheStoreLearnsTheListFromOthers(t *testing.T) {
	for name, forgets := range map[string]bool{"history kept": false, "history forgotten": true} {
		t.Run(name, func(t *testing.T) {
			in(t, func(ctx context.Context, n *network, store *fakeStore) {
				n.start(ctx, "b", store)
				cut := &cutStore{fakeStore: store}
				e := n.start(ctx, "a", cut)
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, e.config.Directory.Len())
				cut.isCut.Store(true)
				store.forget(forgets)
				time.Sleep(500 * time.Millisecond)
				store.set(clementineturn.SectionServers, "z", "10.0.0.9:80")
				time.Sleep(2 * time.Second)
				require.Equal(t, 2, e.config.Directory.Len())
			})
		})
	}
}
