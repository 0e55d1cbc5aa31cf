package clemconfig

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// logModel is a set of processes that share one table. Each has its own log and
// a state that may be outdated.
type logModel struct {
	table  *clemstandin.Table
	logs   []*Log
	states []*State
	// acknowledged holds the generation returned for each request id.
	acknowledged map[string]uint64
}

func (p *logModel) restart(i int) {
	p.logs[i], p.states[i] = NewLog(LogConfig{Table: p.table}), Empty()
}

// request creates or deletes an organisation under an id that other processes
// use too. Equal ids always mean equal requests.
func (p *logModel) request(t *rapid.T, i, id int) {
	change := createOrganisation(fmt.Sprint("id", id), fmt.Sprint("o", id%3))
	if id%2 == 1 {
		change.Action = clemwire.Action_ACTION_DELETE
	}
	state, generation, err := p.logs[i].Commit(context.Background(), p.states[i], change)
	if state != nil {
		p.states[i] = state
	}
	if err != nil {
		kind := clementineturn.AsError(err).Kind()
		require.Contains(t, []clementineturn.Kind{
			clementineturn.KindExists, clementineturn.KindNotFound, clementineturn.KindUnavailable, clementineturn.KindUnknown,
		}, kind, "%v", err)
		require.Equal(t, kind != clementineturn.KindUnknown, clementineturn.IsNotRun(err), "%v", err)
		return
	}
	if first, ok := p.acknowledged[change.GetId()]; ok {
		require.Equal(t, first, generation, "id %d", id)
	}
	p.acknowledged[change.GetId()] = generation
}

// Each request id creates at most one generation, and every successful commit
// returns that generation, also with restarts and with lost, late or failed
// writes.
func TestEachRequestIDCommitsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			runLogModel(rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

func runLogModel(t *rapid.T) {
	const count = 3
	p := &logModel{
		table: clemstandin.NewTable(), logs: make([]*Log, count), states: make([]*State, count), acknowledged: map[string]uint64{},
	}
	for i := range count {
		p.restart(i)
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		p.step(t, rapid.IntRange(0, count-1).Draw(t, "process"))
	}
	p.table.Inject(clemstandin.TableFaults{})
	time.Sleep(2 * time.Second)
	p.check(t)
}

func (p *logModel) step(t *rapid.T, i int) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		p.restart(i)
	case 1:
		p.table.Inject(clemstandin.TableFaults{Down: rapid.Bool().Draw(t, "down")})
	case 2:
		p.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
	case 3:
		p.table.Inject(clemstandin.TableFaults{LateWrites: 1, LateWriteDelay: time.Second})
	case 4:
		time.Sleep(2 * time.Second)
	default:
		p.request(t, i, rapid.IntRange(0, 11).Draw(t, "id"))
	}
}

// check reads the whole log and compares it with the acknowledged generations.
func (p *logModel) check(t *rapid.T) {
	log, ids, generation := NewLog(LogConfig{Table: p.table}), map[string]uint64{}, uint64(0)
	for {
		change, err := log.Next(context.Background(), generation)
		if clementineturn.IsKind(err, clementineturn.KindNotFound) {
			break
		}
		require.NoError(t, err)
		generation++
		require.Zero(t, ids[change.GetId()], "id %s created two generations", change.GetId())
		ids[change.GetId()] = generation
	}
	for id, generation := range p.acknowledged {
		require.Equal(t, ids[id], generation, "id %s", id)
	}
}
