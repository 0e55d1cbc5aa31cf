package clemrelay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// newStoppedRelay returns a relay that is not started and a table that holds the
// given number of changes.
func newStoppedRelay(t *testing.T, changes int) (*Relay, *clemstandin.Table) {
	table := clemstandin.NewTable()
	log := clemconfig.NewLog(clemconfig.LogConfig{Table: table})
	state := clemconfig.Empty()
	for i := range changes {
		next, _, err := log.Commit(t.Context(), state, newOrganisationChange(fmt.Sprintf("o%d", i)))
		require.NoError(t, err)
		state = next
	}
	r := New(Config{Self: &clemwire.Host{Name: "a"}, Board: clemboard.New(), Log: clemconfig.NewLog(clemconfig.LogConfig{Table: table})})
	r.contact.record()
	return r, table
}

func changesOf(t *testing.T, r *Relay, from, to uint64) []*clemwire.Change {
	var changes []*clemwire.Change
	for g := from; g < to; g++ {
		change, err := r.config.Log.Next(t.Context(), g)
		require.NoError(t, err)
		changes = append(changes, change)
	}
	return changes
}

func TestApplyChanges(t *testing.T) {
	r, _ := newStoppedRelay(t, 5)
	r.ApplyChanges(changesOf(t, r, 0, 1))
	require.False(t, r.Ready(), "changes alone are no configuration")
	r.Adopt(clemconfig.Empty())
	require.True(t, r.Ready())
	steps := []struct{ from, to, want uint64 }{
		{0, 2, 2}, {3, 5, 2}, {0, 1, 2}, {1, 3, 3}, {0, 5, 5}, {0, 5, 5},
	}
	for _, s := range steps {
		r.ApplyChanges(changesOf(t, r, s.from, s.to))
		require.Equal(t, s.want, r.config.Board.Config().Get().Generation(), "changes %d to %d", s.from+1, s.to)
	}
	r.Adopt(clemconfig.Empty())
	require.EqualValues(t, 5, r.config.Board.Config().Get().Generation())
}

// After a state was adopted without the changes that led to it, children are sent
// the missing changes from the table, or a snapshot if they are far behind.
func TestAdoptBackfills(t *testing.T) {
	r, table := newStoppedRelay(t, 200)
	r.Adopt(clemconfig.Empty())
	r.ApplyChanges(changesOf(t, r, 0, 2))
	other := clemconfig.NewLog(clemconfig.LogConfig{Table: table})
	state, err := other.Advance(t.Context(), r.config.Board.Config().Get())
	require.NoError(t, err)
	r.Adopt(state)
	pulled, err := r.Pull(t.Context(), &clemwire.Pull{Generation: 150})
	require.NoError(t, err)
	require.Len(t, pulled.GetChanges(), 50)
	require.Nil(t, pulled.GetSnapshot())
	require.EqualValues(t, 151, pulled.GetChanges()[0].GetGeneration())
	reads, _ := table.Counts()
	_, err = r.Pull(t.Context(), &clemwire.Pull{Generation: 160})
	require.NoError(t, err)
	after, _ := table.Counts()
	require.Equal(t, reads, after, "the changes are held now")
	pulled, err = r.Pull(t.Context(), &clemwire.Pull{Generation: 3})
	require.NoError(t, err)
	require.EqualValues(t, 200, pulled.GetSnapshot().GetGeneration())
}

// The process that committed a change can send it while the table is unavailable.
func TestAdoptKeepsOwnChange(t *testing.T) {
	r, table := newStoppedRelay(t, 3)
	r.Adopt(clemconfig.Empty())
	r.ApplyChanges(changesOf(t, r, 0, 3))
	state, generation, err := r.config.Log.Commit(t.Context(), r.config.Board.Config().Get(), newOrganisationChange("new"))
	require.NoError(t, err)
	table.Inject(clemstandin.TableFaults{Down: true})
	r.Adopt(state)
	pulled, err := r.Pull(t.Context(), &clemwire.Pull{Generation: generation - 1})
	require.NoError(t, err)
	require.Len(t, pulled.GetChanges(), 1)
	require.Equal(t, generation, pulled.GetChanges()[0].GetGeneration())
	require.Len(t, r.ChangesAfter(0), 4, "the changes before it are still held")
}

// Two pulls may find the same gap in the recent changes. Guards against a failure of
// the later one, for which no gap is left.
func TestBackfillWithoutGap(t *testing.T) {
	r, _ := newStoppedRelay(t, 5)
	r.Adopt(clemconfig.Empty())
	r.ApplyChanges(changesOf(t, r, 0, 5))
	for generation := range uint64(6) {
		require.NoError(t, r.store.backfill(t.Context(), generation))
	}
	require.Len(t, r.ChangesAfter(0), 5)
}

func TestPullWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newStoppedRelay(t, 2)
		_, err := r.Pull(t.Context(), &clemwire.Pull{})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnready))
		r.Adopt(clemconfig.Empty())
		start := time.Now()
		pulled, err := r.Pull(t.Context(), &clemwire.Pull{Wait: durationpb.New(time.Second)})
		require.NoError(t, err)
		require.Empty(t, pulled.GetChanges())
		require.Equal(t, time.Second, time.Since(start))
		go func() {
			time.Sleep(300 * time.Millisecond)
			r.ApplyChanges(changesOf(t, r, 0, 2))
		}()
		start = time.Now()
		pulled, err = r.Pull(t.Context(), &clemwire.Pull{Wait: durationpb.New(time.Second)})
		require.NoError(t, err)
		require.Len(t, pulled.GetChanges(), 2)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
		pulled, err = r.Pull(t.Context(), &clemwire.Pull{Generation: 7})
		require.NoError(t, err)
		require.EqualValues(t, 2, pulled.GetGeneration(), "a child that is ahead gets nothing")
	})
}

// A pull that would exceed maxWaitingPulls is replied to at once.
func TestPullWaitersBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newStoppedRelay(t, 0)
		r.Adopt(clemconfig.Empty())
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range maxWaitingPulls {
			wg.Go(func() { _, _ = r.Pull(ctx, &clemwire.Pull{Wait: durationpb.New(time.Hour)}) })
		}
		synctest.Wait()
		start := time.Now()
		_, err := r.Pull(ctx, &clemwire.Pull{Wait: durationpb.New(time.Second)})
		require.NoError(t, err)
		require.Zero(t, time.Since(start))
		cancel()
		wg.Wait()
	})
}

// A process without peers bootstraps from a log that takes longer to read than one
// attempt may last, also while the object store is unavailable.
func TestBootLongLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, table := newStoppedRelay(t, 900)
		require.NoError(t, r.config.Log.SetSnapshotGeneration(t.Context(), 500))
		r.config.Objects = &fakeObjects{}
		table.Inject(clemstandin.TableFaults{Delay: 10 * time.Millisecond})
		for range 5 {
			r.bootstrap(t.Context())
		}
		require.True(t, r.Ready())
		require.EqualValues(t, 900, r.config.Board.Config().Get().Generation())
	})
}

// A node without contact to its parents and the table refuses pulls, so that its
// children use other parents. The root of a data centre does not refuse them.
func TestPullCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newStoppedRelay(t, 0)
		r.Adopt(clemconfig.Empty())
		time.Sleep(2 * contactTimeout)
		_, err := r.Pull(t.Context(), &clemwire.Pull{})
		require.NoError(t, err)
		r.tree.Store(&tree{})
		_, err = r.Pull(t.Context(), &clemwire.Pull{})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable))
	})
}

func TestApplyPulledRejectsGaps(t *testing.T) {
	r, _ := newStoppedRelay(t, 5)
	require.Error(t, r.applyPulled(&clemwire.Pulled{Generation: 5, Changes: changesOf(t, r, 1, 5)}))
	require.Error(t, r.applyPulled(&clemwire.Pulled{Generation: 5}))
	require.False(t, r.Ready())
	require.NoError(t, r.applyPulled(&clemwire.Pulled{Generation: 5, Changes: changesOf(t, r, 0, 5)}))
	require.NoError(t, r.applyPulled(&clemwire.Pulled{Generation: 2, Snapshot: &clemwire.Snapshot{Generation: 2}}))
	require.EqualValues(t, 5, r.config.Board.Config().Get().Generation())
}

func TestSnapshotPacks(t *testing.T) {
	r, _ := newStoppedRelay(t, 50)
	state, err := r.config.Log.Advance(t.Context(), clemconfig.Empty())
	require.NoError(t, err)
	value, err := encodeSnapshot(state)
	require.NoError(t, err)
	decoded, err := decodeSnapshot(value)
	require.NoError(t, err)
	require.Equal(t, state.Snapshot().String(), decoded.Snapshot().String())
	for length := range len(value) {
		_, err := decodeSnapshot(value[:length])
		require.Error(t, err, "cut at %d", length)
	}
}
