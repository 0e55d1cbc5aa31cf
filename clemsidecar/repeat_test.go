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

// setGeneration changes the organisation at the given generation, which makes
// offers with lower generations stale.
func (f *fixture) setGeneration(generation uint64) {
	snapshot := proto.CloneOf(f.board.Config().Get().Snapshot())
	snapshot.Generation = generation
	for _, entity := range snapshot.GetEntities() {
		if organisation := entity.GetOrganisation(); organisation != nil {
			organisation.Generation = generation
		}
	}
	f.board.Config().Set(clemconfig.FromSnapshot(snapshot))
}

// TestDuplicateAfterConfigChange offers an accepted attempt again after an
// entity in its scope has changed. The work is running, so the duplicate must
// get the first verdict and not a stale refusal, which would report the work as
// not run.
func TestDuplicateAfterConfigChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		f.backend.configure(time.Second, false)
		verdict, err := f.Offer(t.Context(), newOffer("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())

		f.setGeneration(6)
		verdict, err = f.Offer(t.Context(), newOffer("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal(), "the attempt is running")

		verdict, err = f.Offer(t.Context(), newOffer("r.2", "", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "stale", verdict.GetRefusal().GetKind(), "a new attempt is stale")
		require.True(t, verdict.GetRefusal().GetNotRun())
	})
}

// TestContextEndsAfterGrant ends the context of an item that the gate has
// already granted. enqueue must return the granted ticket, never a refusal that
// leaks the slot. The test repeats because select chooses at random among ready
// channels.
func TestContextEndsAfterGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		for range 64 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			cancel()
			ticket, err := f.enqueue(ctx, &attempt{offer: newOffer("r.1", "", time.Minute)})
			require.NoError(t, err)
			f.gate.Release(time.Now(), ticket)
		}
		require.True(t, f.Idle())
	})
}

// TestUnknownOutcomeIsNotRunAgain lets a call's deadline pass while the backend
// server runs it. The call may have taken effect, so a later attempt with the
// same key must neither run nor be reported as not run.
func TestUnknownOutcomeIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		f.backend.configure(time.Minute, false)
		verdict, err := f.Offer(t.Context(), newOffer("r.1", "k1", 100*time.Millisecond))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())
		f.Wait()

		f.backend.configure(0, false)
		verdict, err = f.Offer(t.Context(), newOffer("r.2", "k1", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "unknown", verdict.GetRefusal().GetKind())
		require.False(t, verdict.GetRefusal().GetNotRun())
		require.Zero(t, f.backend.runs("r.2"))
	})
}
