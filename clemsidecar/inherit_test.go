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

// busyBackend reports work that it runs for an earlier sidecar.
type busyBackend struct {
	*fakeBackend
	running atomic.Int64
}

func (b *busyBackend) Load(context.Context) (int, uint64, error) {
	running := int(b.running.Load())
	return running, uint64(running) * 500, nil
}

// admitted offers work until the sidecar refuses and returns how much it took.
func (b *bench) admitted(t *testing.T, prefix string) int {
	for i := range 20 {
		offer := offerOf(fmt.Sprintf("%s.%d", prefix, i), "", time.Minute)
		offer.Eager = true
		verdict, err := b.Offer(t.Context(), offer)
		require.NoError(t, err)
		if verdict.GetRefusal() != nil {
			return i
		}
	}
	return 20
}

// A sidecar that starts beside a busy engine takes less until the engine's
// old work is done, and everything afterwards.
func TestRestartBesideBusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeBackend{answer: []byte("{}"), seen: map[string]int{}, keys: map[string]int{}}
		busy := &busyBackend{fakeBackend: fake}
		busy.running.Store(6)
		busy.set(2*time.Second, false)
		b := newBenchWith(8, busy)
		b.backend = fake
		defer b.close()
		time.Sleep(time.Second)
		require.Equal(t, uint64(3000), b.gate.Report().Load(), "the old work counts")
		require.Less(t, b.admitted(t, "early"), 8)

		busy.running.Store(0)
		time.Sleep(10 * time.Second)
		require.Zero(t, b.gate.Report().Load())
		require.Equal(t, busyLimit(t), b.admitted(t, "late"))
	})
}

// busyLimit returns what a sidecar with the same slots takes beside an idle engine.
func busyLimit(t *testing.T) int {
	b := newBench(8)
	defer b.close()
	b.backend.set(2*time.Second, false)
	return b.admitted(t, "idle")
}
