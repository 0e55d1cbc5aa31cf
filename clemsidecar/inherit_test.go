package clemsidecar

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// busyBackend reports load from an earlier incarnation of the sidecar.
type busyBackend struct {
	*fakeBackend
	running atomic.Int64
}

func (b *busyBackend) Load(context.Context) (int, uint64, error) {
	running := int(b.running.Load())
	return running, uint64(running) * 500, nil
}

// offerUntilRefused makes offers until the first refusal and returns the number
// of accepted ones.
func (f *fixture) offerUntilRefused(t *testing.T, prefix string) int {
	for i := range 20 {
		offer := newOffer(fmt.Sprintf("%s.%d", prefix, i), "", time.Minute)
		offer.Eager = true
		verdict, err := f.Offer(t.Context(), offer)
		require.NoError(t, err)
		if verdict.GetRefusal() != nil {
			return i
		}
	}
	return 20
}

// TestRestartWithBusyEngine checks that a sidecar that starts while its engine
// is busy admits less until the engine's old work is done, and as much as with
// an idle engine afterwards.
func TestRestartWithBusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeBackend{body: []byte("{}"), runsByAttempt: map[string]int{}, runsByKey: map[string]int{}}
		busy := &busyBackend{fakeBackend: fake}
		busy.running.Store(6)
		busy.configure(2*time.Second, false)
		f := newFixtureWith(8, busy)
		f.backend = fake
		defer f.close()
		time.Sleep(time.Second)
		require.Equal(t, uint64(3000), f.gate.Report().Load(), "inherited work counts as load")
		require.Less(t, f.offerUntilRefused(t, "early"), 8)

		busy.running.Store(0)
		time.Sleep(10 * time.Second)
		require.Zero(t, f.gate.Report().Load())
		require.Equal(t, idleCapacity(t), f.offerUntilRefused(t, "late"))
	})
}

// idleCapacity returns the number of offers that a sidecar with the same slots
// accepts when its engine is idle.
func idleCapacity(t *testing.T) int {
	f := newFixture(8)
	defer f.close()
	f.backend.configure(2*time.Second, false)
	return f.offerUntilRefused(t, "idle")
}
