package clemsidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
)

// TestLimitsFollowConfiguration checks that a change of the pool's slots
// applies to the next offer, without waiting for the next tick.
func TestLimitsFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		f.backend.configure(time.Second, false)
		first := newOffer("r.1", "", time.Minute)
		verdict, err := f.Offer(t.Context(), first)
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())

		second := newOffer("r.2", "", time.Minute)
		second.Eager = true
		verdict, err = f.Offer(t.Context(), second)
		require.NoError(t, err)
		require.Equal(t, "overloaded", verdict.GetRefusal().GetKind(), "the only slot is taken")

		snapshot := f.board.Config().Get().Snapshot()
		for _, entity := range snapshot.GetEntities() {
			if pool := entity.GetPool(); pool != nil {
				pool.Slots, pool.Bound = 4, 10
			}
		}
		f.board.Config().Set(clemconfig.FromSnapshot(snapshot))
		third := newOffer("r.3", "", time.Minute)
		third.Eager = true
		verdict, err = f.Offer(t.Context(), third)
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal(), "the new slots are in force")
	})
}

// TestUndrain checks that the sidecar accepts work again after a drain is
// undone.
func TestUndrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		drain := func(on bool) {
			f.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.WithReason("operator", on) })
			time.Sleep(2 * tickInterval)
		}
		drain(true)
		verdict, err := f.Offer(t.Context(), newOffer("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "draining", verdict.GetRefusal().GetKind())
		drain(false)
		verdict, err = f.Offer(t.Context(), newOffer("r.2", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())
	})
}
