package clemconfig

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

func TestRecent(t *testing.T) {
	r := newRecent()
	for g := uint64(1); g <= 2*maxRecent; g++ {
		r.add(&clemwire.Change{Generation: g})
	}
	require.Len(t, r.changes, maxRecent)
	r.add(&clemwire.Change{Generation: 1})
	require.Len(t, r.changes, maxRecent, "old changes are not kept again")
	changes, ok := r.between(maxRecent, 2*maxRecent)
	require.True(t, ok)
	require.Len(t, changes, maxRecent)
	require.EqualValues(t, maxRecent+1, changes[0].GetGeneration())
	for _, c := range []struct{ after, last uint64 }{{maxRecent - 1, maxRecent + 1}, {0, 2 * maxRecent}, {5, 3}, {maxRecent, 2*maxRecent + 1}} {
		_, ok := r.between(c.after, c.last)
		require.False(t, ok, "%d to %d", c.after, c.last)
	}
}
