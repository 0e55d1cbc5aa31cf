package clemsidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
)

// A change of the pool's slots decides about the very next offer, not only
// about those after the next tick.
func TestLimitsFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		b.backend.set(time.Second, false)
		first := offerOf("r.1", "", time.Minute)
		verdict, err := b.Offer(t.Context(), first)
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())

		second := offerOf("r.2", "", time.Minute)
		second.Eager = true
		verdict, err = b.Offer(t.Context(), second)
		require.NoError(t, err)
		require.Equal(t, "overloaded", verdict.GetRefusal().GetKind(), "the only slot is taken")

		snapshot := b.board.Config().Get().Snapshot()
		for _, entity := range snapshot.GetEntities() {
			if pool := entity.GetPool(); pool != nil {
				pool.Slots, pool.Bound = 4, 10
			}
		}
		b.board.Config().Set(clemconfig.FromSnapshot(snapshot))
		third := offerOf("r.3", "", time.Minute)
		third.Eager = true
		verdict, err = b.Offer(t.Context(), third)
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal(), "the new slots are in force")
	})
}

// A drain that is undone leaves nothing behind: the server takes work again.
func TestUndrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		drain := func(on bool) {
			b.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.With("operator", on) })
			time.Sleep(2 * tickInterval)
		}
		drain(true)
		verdict, err := b.Offer(t.Context(), offerOf("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "draining", verdict.GetRefusal().GetKind())
		drain(false)
		verdict, err = b.Offer(t.Context(), offerOf("r.2", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())
	})
}
