package clemsidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemconfig"
)

// setGeneration changes the organisation at a generation, which makes offers
// of lower generations stale.
func (b *bench) setGeneration(generation uint64) {
	snapshot := proto.CloneOf(b.board.Config().Get().Snapshot())
	snapshot.Generation = generation
	for _, entity := range snapshot.GetEntities() {
		if organisation := entity.GetOrganisation(); organisation != nil {
			organisation.Generation = generation
		}
	}
	b.board.Config().Set(clemconfig.FromSnapshot(snapshot))
}

// TestRepeatAfterChange repeats an offer that was accepted after its scope
// has changed: the work runs, so the repeat gets the first verdict and not a
// refusal as stale, which would say that the work was not run.
func TestRepeatAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		b.backend.set(time.Second, false)
		verdict, err := b.Offer(t.Context(), offerOf("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())

		b.setGeneration(6)
		verdict, err = b.Offer(t.Context(), offerOf("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal(), "the attempt is running")

		verdict, err = b.Offer(t.Context(), offerOf("r.2", "", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "stale", verdict.GetRefusal().GetKind(), "a new attempt is stale")
		require.True(t, verdict.GetRefusal().GetNotRun())
	})
}

// TestWithdrawTooLate ends the context of an item that the gate has granted.
// Go selects at random among ready channels, hence the rounds: each must
// return the granted ticket, never a refusal that leaves the slot taken.
func TestWithdrawTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		for range 64 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			cancel()
			ticket, err := b.queue(ctx, &attempt{offer: offerOf("r.1", "", time.Minute)})
			require.NoError(t, err)
			b.gate.Leave(time.Now(), ticket)
		}
		require.True(t, b.Idle())
	})
}

// TestLostCallStaysLost lets a call's deadline pass while the backend server
// runs it. The call may have had its effect, so a later attempt of its key
// must not run it again and must not be told that it was not run.
func TestLostCallStaysLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		b.backend.set(time.Minute, false)
		verdict, err := b.Offer(t.Context(), offerOf("r.1", "k1", 100*time.Millisecond))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())
		b.Wait()

		b.backend.set(0, false)
		verdict, err = b.Offer(t.Context(), offerOf("r.2", "k1", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "unknown", verdict.GetRefusal().GetKind())
		require.False(t, verdict.GetRefusal().GetNotRun())
		require.Zero(t, b.backend.runs("r.2"))
	})
}
