package clemclaim

import (
	"context"
	"crypto/rand"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestReplay(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		require.NoError(t, grant.Complete(t.Context(), outcome("booked")))
		again, err := f.nodes["b"].claimer.Acquire(t.Context(), offer("k", "2", "cot"))
		require.NoError(t, err)
		require.Equal(t, "booked", string(again.Replay().GetBody()))
		require.Error(t, again.Begin())
	})
}

func TestReplayTooLarge(t *testing.T) {
	runWithFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		require.NoError(t, grant.Complete(t.Context(), outcome(strings.Repeat("x", MaxOutcomeBytes+1))))
		f.nodes["a"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindEvicted, false)
	})
}

func TestOtherPayload(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		f.nodes["b"].requireRefused(t, offer("k", "2", "crib"), clementineturn.KindKeyReused, true)
		require.NoError(t, grant.Begin())
		f.nodes["b"].requireRefused(t, offer("k", "3", "crib"), clementineturn.KindKeyReused, true)
		require.NoError(t, grant.Complete(t.Context(), outcome("booked")))
		f.nodes["b"].requireRefused(t, offer("k", "4", "crib"), clementineturn.KindKeyReused, true)
	})
}

func TestRunningCallIsNotTakenOver(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		f.nodes["b"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		f.nodes["a"].requireRefused(t, offer("k", "3", "cot"), clementineturn.KindInProgress, false)
	})
}

// A claim is voided for another attempt if its call has not begun, for instance
// because it waits in a queue.
func TestHeldClaimIsVoided(t *testing.T) {
	for _, second := range []string{"a", "b"} {
		runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			first := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
			grant := f.nodes[second].mustAcquire(t, offer("k", "2", "cot"))
			require.NoError(t, grant.Begin())
			err := first.Begin()
			require.True(t, clementineturn.IsNotRun(err), "%v", err)
			require.NoError(t, first.Release(t.Context()))
			require.NoError(t, grant.Complete(t.Context(), outcome("booked")))
		})
	}
}

// The holder is suspended between claim and dispatch while the caller retries at
// another sidecar, and then resumes.
func TestSuspendedHolder(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		f.nodes["a"].suspended.Store(true)
		f.nodes["b"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		f.nodes["a"].suspended.Store(false)
		require.NoError(t, grant.Begin())
		f.nodes["b"].requireRefused(t, offer("k", "3", "cot"), clementineturn.KindInProgress, false)
		require.NoError(t, grant.Complete(t.Context(), outcome("booked")))
		again, err := f.nodes["b"].claimer.Acquire(t.Context(), offer("k", "4", "cot"))
		require.NoError(t, err)
		require.Equal(t, "booked", string(again.Replay().GetBody()))
	})
}

// The address of the holder's host now belongs to another sidecar, which does
// not know the token. Its answer does not void the claim, whatever its
// incarnation.
func TestVoidByOtherServer(t *testing.T) {
	for _, incarnation := range []uint64{1, 2} {
		runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			require.NoError(t, f.nodes["a"].mustAcquire(t, offer("k", "1", "cot")).Begin())
			f.start("c", incarnation)
			f.moveAddress("a", "c")
			time.Sleep(supersedeAge)
			f.nodes["b"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
			require.Equal(t, stateHeld, f.nodes["b"].ledgerState(t, "k"))
		})
	}
}

// The holder is restarted while its call runs: the outcome becomes unknown, and
// only an operator can resolve it.
func TestRestartedHolder(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		require.NoError(t, f.nodes["a"].mustAcquire(t, offer("k", "1", "cot")).Begin())
		f.nodes["a"].stop()
		f.start("a", 2)
		f.nodes["b"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		f.nodes["a"].requireRefused(t, offer("k", "3", "cot"), clementineturn.KindInProgress, false)
		time.Sleep(supersedeAge)
		f.nodes["b"].requireRefused(t, offer("k", "4", "cot"), clementineturn.KindUnknown, false)
		f.nodes["a"].requireRefused(t, offer("k", "5", "cot"), clementineturn.KindUnknown, false)

		record, err := f.nodes["b"].ledger.Lookup(t.Context(), "shishu", "k")
		require.NoError(t, err)
		resolved := &clemwire.Record{Claim: record.GetClaim(), State: stateVoid}
		require.True(t, clementineturn.IsKind(f.nodes["b"].ledger.Advance(t.Context(), resolved), clementineturn.KindConflict))
		resolved.Author = "operator"
		require.NoError(t, f.nodes["b"].ledger.Advance(t.Context(), resolved))
		require.NoError(t, f.nodes["b"].mustAcquire(t, offer("k", "6", "cot")).Begin())
	})
}

func TestUnknownOutcome(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		require.NoError(t, grant.RecordUnknown(t.Context(), context.DeadlineExceeded))
		f.nodes["b"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindUnknown, false)
	})
}

func TestRelease(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Release(t.Context()))
		require.Error(t, grant.Begin())
		require.Equal(t, stateVoid, f.nodes["b"].ledgerState(t, "k"))
		f.nodes["b"].mustAcquire(t, offer("k", "2", "cot"))
	})
}

// The claim of a call that began is released, since its backend server could not
// be reached, while the table is unavailable.
func TestReleaseAfterBegin(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		f.table.Inject(clemstandin.TableFaults{Down: true})
		require.Error(t, grant.Release(t.Context()))
		require.Equal(t, 1, f.nodes["a"].claimer.Pending())
		f.table.Inject(clemstandin.TableFaults{})
		require.NoError(t, f.nodes["b"].mustAcquire(t, offer("k", "2", "cot")).Begin())
		f.nodes["a"].waitUntilRecorded(t)
		require.Empty(t, f.nodes["a"].claimer.grants)
		require.Equal(t, stateHeld, f.nodes["a"].ledgerState(t, "k"))
	})
}

func TestDeadlineBeforeBegin(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		o := offer("k", "1", "cot")
		o.Timeout = durationpb.New(time.Second)
		grant := f.nodes["a"].mustAcquire(t, o)
		time.Sleep(time.Second)
		err := grant.Begin()
		require.True(t, clementineturn.IsKind(err, clementineturn.KindExpired))
		require.True(t, clementineturn.IsNotRun(err))
		f.nodes["a"].waitUntilRecorded(t)
		require.Equal(t, stateVoid, f.nodes["a"].ledgerState(t, "k"))
	})
}

// The writes of a claim and of its outcome take effect, and their answers are
// lost.
func TestLostAnswerOfClaim(t *testing.T) {
	runWithFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		f.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		f.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
		require.NoError(t, grant.Complete(t.Context(), outcome("booked")))
		require.Equal(t, stateDone, f.nodes["a"].ledgerState(t, "k"))
	})
}

// The write of a claim takes effect long after its caller got an error that
// states that the work was not run, and after its sidecar stopped.
func TestLateClaim(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		f.nodes["a"].mustAcquire(t, offer("other", "0", "cot"))
		f.table.Inject(clemstandin.TableFaults{LateWrites: 100, LateWriteDelay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.nodes["a"].claimer.Acquire(ctx, offer("k", "1", "cot"))
		require.True(t, clementineturn.IsNotRun(err), "%v", err)
		f.nodes["a"].stop()
		f.nodes["a"].stop = func() {}
		f.table.Inject(clemstandin.TableFaults{})
		time.Sleep(2 * time.Minute)
		require.Equal(t, stateHeld, f.nodes["b"].ledgerState(t, "k"))
		require.NoError(t, f.nodes["b"].mustAcquire(t, offer("k", "2", "cot")).Begin())
	})
}

func TestTableDown(t *testing.T) {
	down := clemstandin.TableFaults{Down: true}
	t.Run("claim", func(t *testing.T) {
		runWithFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
			f.table.Inject(down)
			f.nodes["a"].requireRefused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
			f.table.Inject(clemstandin.TableFaults{})
			f.nodes["a"].mustAcquire(t, offer("k", "2", "cot"))
		})
	})
	t.Run("void", func(t *testing.T) {
		runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
			f.table.Inject(down)
			f.nodes["b"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindUnavailable, true)
			require.NoError(t, grant.Begin())
		})
	})
	for name, end := range map[string]func(context.Context, *Grant) error{
		"finish": func(ctx context.Context, g *Grant) error { return g.Complete(ctx, outcome("booked")) },
		"lose":   func(ctx context.Context, g *Grant) error { return g.RecordUnknown(ctx, context.Canceled) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
				grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
				require.NoError(t, grant.Begin())
				f.table.Inject(down)
				require.Error(t, end(t.Context(), grant))
				require.Equal(t, 1, f.nodes["a"].claimer.Pending())
				time.Sleep(time.Hour)
				f.table.Inject(clemstandin.TableFaults{})
				f.nodes["b"].requireRefused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
				f.nodes["a"].waitUntilRecorded(t)
				require.NotEqual(t, stateHeld, f.nodes["b"].ledgerState(t, "k"))
			})
		})
	}
}

// Pending is not 0 while a claim is written, its call runs or its completion is
// written, so that a graceful shutdown waits.
func TestPendingCoversEveryStep(t *testing.T) {
	runWithFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		claimer := f.nodes["a"].claimer
		f.nodes["a"].mustAcquire(t, offer("warm", "0", "cot")).releaseNotBegun()
		f.nodes["a"].waitUntilRecorded(t)
		f.table.Inject(clemstandin.TableFaults{Delay: time.Second})
		for _, end := range []func(*Grant) error{
			func(g *Grant) error { return g.Complete(t.Context(), outcome("booked")) },
			func(g *Grant) error { return g.RecordUnknown(t.Context(), context.Canceled) },
			func(g *Grant) error { return g.Release(t.Context()) },
		} {
			o := offer(rand.Text(), rand.Text(), "cot")
			done := make(chan error, 1)
			go func() {
				grant, err := claimer.Acquire(t.Context(), o)
				if err == nil {
					err = grant.Begin()
				}
				if err == nil {
					err = end(grant)
				}
				done <- err
			}()
			synctest.Wait()
			for len(done) == 0 {
				require.Equal(t, 1, claimer.Pending())
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
			}
			require.NoError(t, <-done)
			require.Zero(t, claimer.Pending())
		}
	})
}

// The same attempt is offered twice, while it runs and after it was released.
func TestRepeatedAttempt(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		f.nodes["a"].requireRefused(t, offer("k", "1", "cot"), clementineturn.KindInProgress, false)
		require.NoError(t, grant.Release(t.Context()))
		f.nodes["a"].requireRefused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
		f.nodes["b"].mustAcquire(t, offer("k", "2", "cot"))
	})
}

// A token is voided for another sidecar, which is suspended before it records
// the void. The token must not run, even if it is offered again within the
// resolution of the clock.
func TestRepeatedAttemptAfterVoid(t *testing.T) {
	runWithFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		claimer := f.nodes["a"].claimer
		grant := f.nodes["a"].mustAcquire(t, offer("k", "1", "cot"))
		voided := claimer.Void(&clemwire.Void{Token: "1", Incarnation: 1})
		require.Equal(t, clemwire.TokenState_TOKEN_STATE_VOIDED, voided.GetState())
		require.True(t, clementineturn.IsNotRun(grant.Begin()))
		f.nodes["a"].requireRefused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
		f.nodes["a"].mustAcquire(t, offer("k", "2", "cot"))
	})
}
