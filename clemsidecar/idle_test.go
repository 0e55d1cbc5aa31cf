package clemsidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdleWithUndecidedOffer checks that a sidecar is not idle between the
// registration of an offer and the gate's decision. Otherwise a graceful
// shutdown could cut off the work that the offer is about to start.
func TestIdleWithUndecidedOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		a, isNew := f.register(newOffer("r.1", "", time.Minute), func() {})
		require.True(t, isNew)
		require.False(t, f.Idle())
		f.finish(a)
		require.True(t, f.Idle())
	})
}
