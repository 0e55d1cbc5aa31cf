package clemconfig

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// committer commits changes through its own log, as one process does.
type committer struct {
	log   *Log
	state *State
}

// commitResult is the result of one commit.
type commitResult struct {
	change     *clemwire.Change
	generation uint64
	err        error
}

// commit commits the change once. It also reports whether the state's
// generation did not decrease.
func (o *committer) commit(ctx context.Context, change *clemwire.Change) (commitResult, bool) {
	before := o.state.Generation()
	next, generation, err := o.log.Commit(ctx, o.state, change)
	o.state = next
	return commitResult{change, generation, err}, next.Generation() >= before
}

func drawChange(t *rapid.T, id int) *clemwire.Change {
	n := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "name")
	change := createOrganisation(fmt.Sprintf("id-%d", id), n)
	if rapid.Bool().Draw(t, "delete") {
		change.Action = clemwire.Action_ACTION_DELETE
	}
	return change
}

func drawFaults(t *rapid.T) clemstandin.TableFaults {
	faults := []clemstandin.TableFaults{
		{},
		{LostAnswers: 1},
		{LostAnswers: 3},
		{LateWrites: 1, LateWriteDelay: 50 * time.Millisecond},
		{LateWrites: 2, LateWriteDelay: 3 * time.Second},
		{Down: true},
		{Delay: 20 * time.Millisecond},
		{Delay: 20 * time.Millisecond, LostAnswers: 2},
	}
	return faults[rapid.IntRange(0, len(faults)-1).Draw(t, "faults")]
}

// Several processes commit concurrently while responses are lost and writes are
// late or fail. The log has no gap and no duplicate. It contains each committed
// change at the generation that was returned, and no change that was refused.
func TestLogRacesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid reports a failure by a panic, which has to leave the synctest
		// bubble.
		var failure any
		synctest.Test(t, func(t *testing.T) {
			defer func() { failure = recover() }()
			runLogRace(t.Context(), rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

func runLogRace(ctx context.Context, t *rapid.T) {
	table := clemstandin.NewTable()
	operators := make([]*committer, 3)
	for i := range operators {
		operators[i] = &committer{log: NewLog(LogConfig{Table: table}), state: Empty()}
	}
	var all []commitResult
	id := 0
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		table.Inject(drawFaults(t))
		results := make([]commitResult, len(operators))
		monotonic := make([]bool, len(operators))
		changes := make([]*clemwire.Change, len(operators))
		for i := range operators {
			id++
			changes[i] = drawChange(t, id)
		}
		var wg sync.WaitGroup
		for i, o := range operators {
			wg.Go(func() { results[i], monotonic[i] = o.commit(ctx, changes[i]) })
		}
		wg.Wait()
		require.NotContains(t, monotonic, false, "a state's generation decreased")
		table.Inject(clemstandin.TableFaults{})
		time.Sleep(time.Duration(rapid.IntRange(0, 4).Draw(t, "pause")) * time.Second)
		all = append(all, retryUnknown(ctx, t, operators, results)...)
	}
	time.Sleep(time.Minute)
	checkLog(ctx, t, table, all)
}

// retryUnknown retries commits with an unknown outcome through another process.
// It leaves a random quarter of them as they are.
func retryUnknown(ctx context.Context, t *rapid.T, operators []*committer, results []commitResult) []commitResult {
	for i, r := range results {
		if !clementineturn.IsKind(r.err, clementineturn.KindUnknown) || rapid.IntRange(0, 3).Draw(t, "give up") == 0 {
			continue
		}
		results[i], _ = operators[(i+1)%len(operators)].commit(ctx, r.change)
	}
	return results
}

func checkLog(ctx context.Context, t *rapid.T, table *clemstandin.Table, results []commitResult) {
	log := NewLog(LogConfig{Table: table})
	state, err := log.Advance(ctx, Empty())
	require.NoError(t, err)
	committed := map[string]uint64{}
	for generation := range state.Generation() {
		change, err := log.Next(ctx, generation)
		require.NoError(t, err)
		require.Equal(t, generation+1, change.GetGeneration())
		require.NotContains(t, committed, change.GetId(), "a change was committed twice")
		committed[change.GetId()] = change.GetGeneration()
	}
	for _, r := range results {
		switch {
		case r.err == nil:
			require.Equal(t, r.generation, committed[r.change.GetId()])
		case clementineturn.IsNotRun(r.err):
			require.NotContains(t, committed, r.change.GetId(), "%v", r.err)
		default:
			require.True(t, clementineturn.IsKind(r.err, clementineturn.KindUnknown), "%v", r.err)
		}
	}
}
