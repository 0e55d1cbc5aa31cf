package clemconfig

import (
	"errors"
	"slices"
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

func TestCommitLostResponse(t *testing.T) {
	table := clemstandin.NewTable()
	log := NewLog(LogConfig{Table: table})
	table.Inject(clemstandin.TableFaults{LostAnswers: 1})
	state, generation, err := log.Commit(t.Context(), Empty(), createOrganisation("1", "acme"))
	require.NoError(t, err)
	require.EqualValues(t, 1, generation)
	require.NotNil(t, state.Organisation("acme"))
}

// Concurrent changes create one generation for each request, and a retry
// returns the generation of its request. Changes without an id are not mistaken
// for retries of each other.
func TestCommitConcurrent(t *testing.T) {
	for name, test := range map[string]struct {
		ids, names []string
		// shared sends all changes to one process.
		shared bool
		want   []uint64
	}{
		"requests at one process": {ids: []string{"a", "b", "c", "d"}, names: []string{"a", "b", "c", "d"}, shared: true, want: []uint64{1, 2, 3, 4}},
		"requests without an id":  {ids: make([]string, 4), names: []string{"a", "b", "c", "d"}, want: []uint64{1, 2, 3, 4}},
		"repeats of one request":  {ids: slices.Repeat([]string{"1"}, 8), names: slices.Repeat([]string{"acme"}, 8), want: []uint64{1}},
	} {
		t.Run(name, func(t *testing.T) {
			table := clemstandin.NewTable()
			sharedLog := NewLog(LogConfig{Table: table})
			generations, errs := make([]uint64, len(test.ids)), make([]error, len(test.ids))
			var wg sync.WaitGroup
			for i, id := range test.ids {
				log := sharedLog
				if !test.shared {
					log = NewLog(LogConfig{Table: table})
				}
				wg.Go(func() {
					_, generations[i], errs[i] = log.Commit(t.Context(), Empty(), createOrganisation(id, test.names[i]))
				})
			}
			wg.Wait()
			require.NoError(t, errors.Join(errs...))
			slices.Sort(generations)
			require.Equal(t, test.want, slices.Compact(generations))
			state, err := sharedLog.Advance(t.Context(), Empty())
			require.NoError(t, err)
			require.EqualValues(t, len(test.want), state.Generation())
			require.Len(t, state.List(clemwire.EntityKind_ENTITY_KIND_ORGANISATION), len(test.want))
		})
	}
}
