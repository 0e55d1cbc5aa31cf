package clemconfig

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

func TestRecentChanges(t *testing.T) {
	r := newRecentChanges()
	for g := uint64(1); g <= 2*maxRecentChanges; g++ {
		r.add(&clemwire.Change{Generation: g})
	}
	require.Len(t, r.changes, maxRecentChanges)
	r.add(&clemwire.Change{Generation: 1})
	require.Len(t, r.changes, maxRecentChanges, "old changes are not cached again")
	changes, ok := r.between(maxRecentChanges, 2*maxRecentChanges)
	require.True(t, ok)
	require.Len(t, changes, maxRecentChanges)
	require.EqualValues(t, maxRecentChanges+1, changes[0].GetGeneration())
	for _, c := range []struct{ after, last uint64 }{{maxRecentChanges - 1, maxRecentChanges + 1}, {0, 2 * maxRecentChanges}, {5, 3}, {maxRecentChanges, 2*maxRecentChanges + 1}} {
		_, ok := r.between(c.after, c.last)
		require.False(t, ok, "%d to %d", c.after, c.last)
	}
}
