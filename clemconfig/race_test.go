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

// operator commits changes through a log of its own, as one process does.
type operator struct {
	log   *Log
	state *State
}

// result is what one commit answered.
type result struct {
	change     *clemwire.Change
	generation uint64
	err        error
}

// commit tries once and checks that the operator's state does not go back.
func (o *operator) commit(ctx context.Context, change *clemwire.Change) (result, bool) {
	before := o.state.Generation()
	next, generation, err := o.log.Commit(ctx, o.state, change)
	o.state = next
	return result{change, generation, err}, next.Generation() >= before
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
		{LateWrites: 1, Late: 50 * time.Millisecond},
		{LateWrites: 2, Late: 3 * time.Second},
		{Down: true},
		{Delay: 20 * time.Millisecond},
		{Delay: 20 * time.Millisecond, LostAnswers: 2},
	}
	return faults[rapid.IntRange(0, len(faults)-1).Draw(t, "faults")]
}

// Several processes commit at once while writes are lost, late or refused.
// The log has no gap, holds no change twice, holds each change that was
// accepted at the generation that was answered, and none that was refused.
func TestLogRacesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// A failed draw ends in a panic, which has to leave the bubble to reach rapid.
		var failure any
		synctest.Test(t, func(t *testing.T) {
			defer func() { failure = recover() }()
			raceOnce(t.Context(), rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

func raceOnce(ctx context.Context, t *rapid.T) {
	table := clemstandin.NewTable()
	operators := make([]*operator, 3)
	for i := range operators {
		operators[i] = &operator{log: NewLog(LogConfig{Table: table}), state: Empty()}
	}
	var all []result
	id := 0
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		table.Inject(drawFaults(t))
		results := make([]result, len(operators))
		kept := make([]bool, len(operators))
		changes := make([]*clemwire.Change, len(operators))
		for i := range operators {
			id++
			changes[i] = drawChange(t, id)
		}
		var wg sync.WaitGroup
		for i, o := range operators {
			wg.Go(func() { results[i], kept[i] = o.commit(ctx, changes[i]) })
		}
		wg.Wait()
		require.NotContains(t, kept, false, "a state went back")
		table.Inject(clemstandin.TableFaults{})
		time.Sleep(time.Duration(rapid.IntRange(0, 4).Draw(t, "pause")) * time.Second)
		all = append(all, settleUnknown(ctx, t, operators, results)...)
	}
	time.Sleep(time.Minute)
	checkLog(ctx, t, table, all)
}

// settleUnknown repeats, through another process, the commits whose outcome is not known.
func settleUnknown(ctx context.Context, t *rapid.T, operators []*operator, results []result) []result {
	for i, r := range results {
		if !clementineturn.IsKind(r.err, clementineturn.KindUnknown) || rapid.IntRange(0, 3).Draw(t, "give up") == 0 {
			continue
		}
		results[i], _ = operators[(i+1)%len(operators)].commit(ctx, r.change)
	}
	return results
}

func checkLog(ctx context.Context, t *rapid.T, table *clemstandin.Table, results []result) {
	log := NewLog(LogConfig{Table: table})
	state, err := log.Advance(ctx, Empty())
	require.NoError(t, err)
	made := map[string]uint64{}
	for generation := range state.Generation() {
		change, err := log.Next(ctx, generation)
		require.NoError(t, err)
		require.Equal(t, generation+1, change.GetGeneration())
		require.NotContains(t, made, change.GetId(), "a change was accepted twice")
		made[change.GetId()] = change.GetGeneration()
	}
	for _, r := range results {
		switch {
		case r.err == nil:
			require.Equal(t, r.generation, made[r.change.GetId()])
		case clementineturn.IsNotRun(r.err):
			require.NotContains(t, made, r.change.GetId(), "%v", r.err)
		default:
			require.True(t, clementineturn.IsKind(r.err, clementineturn.KindUnknown), "%v", r.err)
		}
	}
}
