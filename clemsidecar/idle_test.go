package clemsidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdleCountsUndecided asks a sidecar whether it is idle while an offer is
// between its arrival and the gate. A graceful shutdown that began then would
// cut the work that the offer is about to start.
func TestIdleCountsUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		a, fresh := b.enter(offerOf("r.1", "", time.Minute), func() {})
		require.True(t, fresh)
		require.False(t, b.Idle())
		b.end(a)
		require.True(t, b.Idle())
	})
}
