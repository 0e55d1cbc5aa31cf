package clemconfig

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// A retry is recognised by a process that was started after the original
// commit, with other changes in between.
func TestCommitRetryAfterRestart(t *testing.T) {
	table := clemstandin.NewTable()
	before := NewLog(LogConfig{Table: table})
	change := createOrganisation("1", "acme")
	state, first, err := before.Commit(t.Context(), Empty(), change)
	require.NoError(t, err)
	for i := range 5 {
		state, _, err = before.Commit(t.Context(), state, createOrganisation("", fmt.Sprintf("o%d", i)))
		require.NoError(t, err)
	}
	after := NewLog(LogConfig{Table: table})
	restored := FromSnapshot(state.Snapshot())
	next, generation, err := after.Commit(t.Context(), restored, change)
	require.NoError(t, err)
	require.Equal(t, first, generation)
	require.Equal(t, state.Generation(), next.Generation())
}

func TestCommitRetryAfterDelete(t *testing.T) {
	log := NewLog(LogConfig{Table: clemstandin.NewTable()})
	create := createOrganisation("1", "acme")
	state, _, err := log.Commit(t.Context(), Empty(), create)
	require.NoError(t, err)
	remove := proto.CloneOf(create)
	remove.Id, remove.Action = "2", clemwire.Action_ACTION_DELETE
	state, _, err = log.Commit(t.Context(), state, remove)
	require.NoError(t, err)
	state, generation, err := log.Commit(t.Context(), state, create)
	require.NoError(t, err)
	require.EqualValues(t, 1, generation)
	require.Nil(t, state.Organisation("acme"), "a late retry must not create the organisation again")
}

func TestCommitReusedID(t *testing.T) {
	log := NewLog(LogConfig{Table: clemstandin.NewTable()})
	state, _, err := log.Commit(t.Context(), Empty(), createOrganisation("1", "acme"))
	require.NoError(t, err)
	_, _, err = log.Commit(t.Context(), state, createOrganisation("1", "other"))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindKeyReused), "%v", err)
	require.True(t, clementineturn.IsNotRun(err))
}

func TestCommitRetryTableUnavailable(t *testing.T) {
	table := clemstandin.NewTable()
	state, _, err := NewLog(LogConfig{Table: table}).Commit(t.Context(), Empty(), createOrganisation("1", "acme"))
	require.NoError(t, err)
	table.Inject(clemstandin.TableFaults{Down: true})
	_, _, err = NewLog(LogConfig{Table: table}).Commit(t.Context(), state, createOrganisation("1", "acme"))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable), "%v", err)
	require.True(t, clementineturn.IsNotRun(err))
}

func TestRequestIndexBounded(t *testing.T) {
	r := newRequestIndex()
	const newest = 5 * DeduplicationWindow
	for generation := uint64(1); generation <= newest; generation++ {
		r.add(&clemwire.Change{Generation: generation, Id: fmt.Sprint(generation)})
	}
	require.LessOrEqual(t, len(r.idByGeneration), 2*DeduplicationWindow)
	require.LessOrEqual(t, len(r.generationByID), 2*DeduplicationWindow)
	require.Empty(t, r.unread(newest))
	require.EqualValues(t, newest-DeduplicationWindow+1, r.generation(fmt.Sprint(newest-DeduplicationWindow+1)))
}

// An id that was reused after the window maps to the newer generation until
// that one is pruned, in whatever order the rows are read.
func TestRequestIndexReusedID(t *testing.T) {
	const again = DeduplicationWindow + 500
	for name, order := range map[string][2]uint64{"older first": {1, again}, "newer first": {again, 1}} {
		r := newRequestIndex()
		for _, generation := range order {
			r.add(&clemwire.Change{Generation: generation, Id: "x"})
		}
		require.EqualValues(t, again, r.generation("x"), name)
		for generation := uint64(2); generation <= 2*DeduplicationWindow+2; generation++ {
			if generation != again {
				r.add(&clemwire.Change{Generation: generation, Id: fmt.Sprint(generation)})
			}
		}
		require.NotContains(t, r.idByGeneration, uint64(1), name)
		require.EqualValues(t, again, r.generation("x"), name)
	}
}

// racingTable commits a rival change just before the first Put.
type racingTable struct {
	clementineturn.Table
	once  sync.Once
	rival func()
}

// Put implements clementineturn.Table.
func (r *racingTable) Put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	r.once.Do(r.rival)
	return r.Table.Put(ctx, key, value, version)
}

// If two different changes with the same id race for the same row, the loser
// must not mistake the winner's change for its own.
func TestCommitRaceWithSameID(t *testing.T) {
	table := clemstandin.NewTable()
	rival := func() {
		_, _, err := NewLog(LogConfig{Table: table}).Commit(t.Context(), Empty(), createOrganisation("1", "rival"))
		require.NoError(t, err)
	}
	log := NewLog(LogConfig{Table: &racingTable{Table: table, rival: rival}})
	_, _, err := log.Commit(t.Context(), Empty(), createOrganisation("1", "acme"))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindKeyReused), "%v", err)
}

// The first commit of a process reads all rows of the window, 16 at a time, and
// later commits read none of them again.
func TestFindReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 5 * time.Millisecond
		table := clemstandin.NewTable()
		before := NewLog(LogConfig{Table: table})
		state := Empty()
		for i := range DeduplicationWindow + 10 {
			var err error
			state, _, err = before.Commit(t.Context(), state, createOrganisation("", fmt.Sprintf("o%d", i)))
			require.NoError(t, err)
		}
		table.Inject(clemstandin.TableFaults{Delay: delay})
		after := NewLog(LogConfig{Table: table})
		for _, want := range []struct {
			reads uint64
			time  time.Duration
		}{
			{DeduplicationWindow + 1, (DeduplicationWindow/maxConcurrentReads + 2) * delay},
			{2, 3 * delay},
		} {
			reads, _ := table.Counts()
			start := time.Now()
			var err error
			state, _, err = after.Commit(t.Context(), state, createOrganisation("", fmt.Sprintf("n%d", want.reads)))
			require.NoError(t, err)
			now, _ := table.Counts()
			require.LessOrEqual(t, now-reads, want.reads)
			require.Equal(t, want.time, time.Since(start))
		}
	})
}
