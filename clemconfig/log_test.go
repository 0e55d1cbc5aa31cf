package clemconfig

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func createOrganisation(id, n string) *clemwire.Change {
	return &clemwire.Change{Id: id, Action: clemwire.Action_ACTION_CREATE, Entity: &clemwire.Entity{
		Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: n, Weight: 1, Queue: 10}},
	}}
}

func TestCommitLostAnswer(t *testing.T) {
	table := clemstandin.NewTable()
	log := NewLog(LogConfig{Table: table})
	table.Inject(clemstandin.TableFaults{LostAnswers: 1})
	state, generation, err := log.Commit(t.Context(), Empty(), createOrganisation("1", "acme"))
	require.NoError(t, err)
	require.EqualValues(t, 1, generation)
	require.NotNil(t, state.Organisation("acme"))
}

func TestCommitRace(t *testing.T) {
	log := NewLog(LogConfig{Table: clemstandin.NewTable()})
	names := []string{"a", "b", "c", "d"}
	var wg sync.WaitGroup
	for _, n := range names {
		wg.Go(func() {
			_, _, err := log.Commit(t.Context(), Empty(), createOrganisation(n, n))
			require.NoError(t, err)
		})
	}
	wg.Wait()
	state, err := log.Advance(t.Context(), Empty())
	require.NoError(t, err)
	require.EqualValues(t, len(names), state.Generation())
}
