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
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		require.NoError(t, grant.Finish(t.Context(), outcome("booked")))
		again, err := f.nodes["b"].keeper.Acquire(t.Context(), offer("k", "2", "cot"))
		require.NoError(t, err)
		require.Equal(t, "booked", string(again.Replay().GetBody()))
		require.Error(t, again.Begin())
	})
}

func TestReplayTooLarge(t *testing.T) {
	inFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		require.NoError(t, grant.Finish(t.Context(), outcome(strings.Repeat("x", OutcomeLimit+1))))
		f.nodes["a"].refused(t, offer("k", "2", "cot"), clementineturn.KindEvicted, false)
	})
}

func TestOtherPayload(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		f.nodes["b"].refused(t, offer("k", "2", "crib"), clementineturn.KindKeyReused, true)
		require.NoError(t, grant.Begin())
		f.nodes["b"].refused(t, offer("k", "3", "crib"), clementineturn.KindKeyReused, true)
		require.NoError(t, grant.Finish(t.Context(), outcome("booked")))
		f.nodes["b"].refused(t, offer("k", "4", "crib"), clementineturn.KindKeyReused, true)
	})
}

func TestRunningIsNotTakenOver(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		f.nodes["b"].refused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		f.nodes["a"].refused(t, offer("k", "3", "cot"), clementineturn.KindInProgress, false)
	})
}

// The holder has not begun, for instance because its call waits in a queue,
// and the caller tries elsewhere.
func TestHeldIsVoided(t *testing.T) {
	for _, second := range []string{"a", "b"} {
		inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			first := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
			grant := f.nodes[second].acquire(t, offer("k", "2", "cot"))
			require.NoError(t, grant.Begin())
			err := first.Begin()
			require.True(t, clementineturn.IsNotRun(err), "%v", err)
			require.NoError(t, first.Abandon(t.Context()))
			require.NoError(t, grant.Finish(t.Context(), outcome("booked")))
		})
	}
}

// The holder is suspended between claim and dispatch while the caller retries
// elsewhere, then wakes.
func TestFrozenHolder(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		f.nodes["a"].frozen.Store(true)
		f.nodes["b"].refused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		f.nodes["a"].frozen.Store(false)
		require.NoError(t, grant.Begin())
		f.nodes["b"].refused(t, offer("k", "3", "cot"), clementineturn.KindInProgress, false)
		require.NoError(t, grant.Finish(t.Context(), outcome("booked")))
		again, err := f.nodes["b"].keeper.Acquire(t.Context(), offer("k", "4", "cot"))
		require.NoError(t, err)
		require.Equal(t, "booked", string(again.Replay().GetBody()))
	})
}

// The address of the holder's host has passed to another sidecar, which does
// not hold the token. Whatever its incarnation, it cannot speak for the holder.
func TestVoidByOtherServer(t *testing.T) {
	for _, incarnation := range []uint64{1, 2} {
		inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			require.NoError(t, f.nodes["a"].acquire(t, offer("k", "1", "cot")).Begin())
			f.start("c", incarnation)
			f.move("a", "c")
			time.Sleep(supersedeAge)
			f.nodes["b"].refused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
			require.Equal(t, stateHeld, f.nodes["b"].state(t, "k"))
		})
	}
}

// Order server and sidecar are restarted while the call is out.
func TestRestartedHolder(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		require.NoError(t, f.nodes["a"].acquire(t, offer("k", "1", "cot")).Begin())
		f.nodes["a"].stop()
		f.start("a", 2)
		f.nodes["b"].refused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		f.nodes["a"].refused(t, offer("k", "3", "cot"), clementineturn.KindInProgress, false)
		time.Sleep(supersedeAge)
		f.nodes["b"].refused(t, offer("k", "4", "cot"), clementineturn.KindUnknown, false)
		f.nodes["a"].refused(t, offer("k", "5", "cot"), clementineturn.KindUnknown, false)

		record, err := f.nodes["b"].ledger.Lookup(t.Context(), "shishu", "k")
		require.NoError(t, err)
		resolved := &clemwire.Record{Claim: record.GetClaim(), State: stateVoid}
		require.True(t, clementineturn.IsKind(f.nodes["b"].ledger.Advance(t.Context(), resolved), clementineturn.KindConflict))
		resolved.Author = "operator"
		require.NoError(t, f.nodes["b"].ledger.Advance(t.Context(), resolved))
		require.NoError(t, f.nodes["b"].acquire(t, offer("k", "6", "cot")).Begin())
	})
}

func TestLose(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		require.NoError(t, grant.Lose(t.Context(), context.DeadlineExceeded))
		f.nodes["b"].refused(t, offer("k", "2", "cot"), clementineturn.KindUnknown, false)
	})
}

func TestAbandon(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Abandon(t.Context()))
		require.Error(t, grant.Begin())
		require.Equal(t, stateVoid, f.nodes["b"].state(t, "k"))
		f.nodes["b"].acquire(t, offer("k", "2", "cot"))
	})
}

// The call began, but its backend server could not be reached.
func TestAbandonAfterBegin(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		f.table.Inject(clemstandin.TableFaults{Down: true})
		require.Error(t, grant.Abandon(t.Context()))
		require.Equal(t, 1, f.nodes["a"].keeper.Pending())
		f.table.Inject(clemstandin.TableFaults{})
		require.NoError(t, f.nodes["b"].acquire(t, offer("k", "2", "cot")).Begin())
		f.nodes["a"].settled(t)
		require.Empty(t, f.nodes["a"].keeper.grants)
		require.Equal(t, stateHeld, f.nodes["a"].state(t, "k"))
	})
}

func TestDeadlineBeforeBegin(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		o := offer("k", "1", "cot")
		o.Timeout = durationpb.New(time.Second)
		grant := f.nodes["a"].acquire(t, o)
		time.Sleep(time.Second)
		err := grant.Begin()
		require.True(t, clementineturn.IsKind(err, clementineturn.KindExpired))
		require.True(t, clementineturn.IsNotRun(err))
		f.nodes["a"].settled(t)
		require.Equal(t, stateVoid, f.nodes["a"].state(t, "k"))
	})
}

// The claim's write takes effect and its answer is lost.
func TestLostAnswerOfClaim(t *testing.T) {
	inFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		f.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		require.NoError(t, grant.Begin())
		f.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
		require.NoError(t, grant.Finish(t.Context(), outcome("booked")))
		require.Equal(t, stateDone, f.nodes["a"].state(t, "k"))
	})
}

// The claim's write takes effect long after its caller was told that it was not run.
func TestLateClaim(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		f.nodes["a"].acquire(t, offer("other", "0", "cot"))
		f.table.Inject(clemstandin.TableFaults{LateWrites: 100, Late: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.nodes["a"].keeper.Acquire(ctx, offer("k", "1", "cot"))
		require.True(t, clementineturn.IsNotRun(err), "%v", err)
		f.nodes["a"].stop()
		f.nodes["a"].stop = func() {}
		f.table.Inject(clemstandin.TableFaults{})
		time.Sleep(2 * time.Minute)
		require.Equal(t, stateHeld, f.nodes["b"].state(t, "k"))
		require.NoError(t, f.nodes["b"].acquire(t, offer("k", "2", "cot")).Begin())
	})
}

func TestTableDown(t *testing.T) {
	down := clemstandin.TableFaults{Down: true}
	t.Run("claim", func(t *testing.T) {
		inFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
			f.table.Inject(down)
			f.nodes["a"].refused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
			f.table.Inject(clemstandin.TableFaults{})
			f.nodes["a"].acquire(t, offer("k", "2", "cot"))
		})
	})
	t.Run("void", func(t *testing.T) {
		inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
			f.table.Inject(down)
			f.nodes["b"].refused(t, offer("k", "2", "cot"), clementineturn.KindUnavailable, true)
			require.NoError(t, grant.Begin())
		})
	})
	for name, end := range map[string]func(context.Context, *Grant) error{
		"finish": func(ctx context.Context, g *Grant) error { return g.Finish(ctx, outcome("booked")) },
		"lose":   func(ctx context.Context, g *Grant) error { return g.Lose(ctx, context.Canceled) },
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
				grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
				require.NoError(t, grant.Begin())
				f.table.Inject(down)
				require.Error(t, end(t.Context(), grant))
				require.Equal(t, 1, f.nodes["a"].keeper.Pending())
				time.Sleep(time.Hour)
				f.table.Inject(clemstandin.TableFaults{})
				f.nodes["b"].refused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
				f.nodes["a"].settled(t)
				require.NotEqual(t, stateHeld, f.nodes["b"].state(t, "k"))
			})
		})
	}
}

// A graceful shutdown must not leave while a claim, a call or the record of
// its end is on the way.
func TestPendingCoversEveryStep(t *testing.T) {
	inFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		keeper := f.nodes["a"].keeper
		f.nodes["a"].acquire(t, offer("warm", "0", "cot")).giveUp()
		f.nodes["a"].settled(t)
		f.table.Inject(clemstandin.TableFaults{Delay: time.Second})
		for _, end := range []func(*Grant) error{
			func(g *Grant) error { return g.Finish(t.Context(), outcome("booked")) },
			func(g *Grant) error { return g.Lose(t.Context(), context.Canceled) },
			func(g *Grant) error { return g.Abandon(t.Context()) },
		} {
			o := offer(rand.Text(), rand.Text(), "cot")
			done := make(chan error, 1)
			go func() {
				grant, err := keeper.Acquire(t.Context(), o)
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
				require.Equal(t, 1, keeper.Pending())
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
			}
			require.NoError(t, <-done)
			require.Zero(t, keeper.Pending())
		}
	})
}

// An attempt that is offered twice runs once.
func TestRepeatedAttempt(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		f.nodes["a"].refused(t, offer("k", "1", "cot"), clementineturn.KindInProgress, false)
		require.NoError(t, grant.Abandon(t.Context()))
		f.nodes["a"].refused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
		f.nodes["b"].acquire(t, offer("k", "2", "cot"))
	})
}

// A token was voided for another sidecar, which is suspended before it records
// the void. The token must not run, also if it is offered once more within the
// resolution of the clock.
func TestRepeatedAttemptAfterVoid(t *testing.T) {
	inFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		keeper := f.nodes["a"].keeper
		grant := f.nodes["a"].acquire(t, offer("k", "1", "cot"))
		voided := keeper.Void(&clemwire.Void{Token: "1", Incarnation: 1})
		require.Equal(t, clemwire.TokenState_TOKEN_STATE_VOIDED, voided.GetState())
		require.True(t, clementineturn.IsNotRun(grant.Begin()))
		f.nodes["a"].refused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
		f.nodes["a"].acquire(t, offer("k", "2", "cot"))
	})
}
