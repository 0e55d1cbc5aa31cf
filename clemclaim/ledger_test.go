package clemclaim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// Operations that arrive during a write are written together by the next one,
// with at most one write per interval.
func TestGroupCommit(t *testing.T) {
	runWithLedgers(t, 1, func(t *testing.T, table *clemstandin.Table, ledgers []*Ledger) {
		table.Inject(clemstandin.TableFaults{Delay: 5 * time.Millisecond})
		claimAndAdvance(t, ledgers[0], "warm", stateHeld)
		time.Sleep(time.Second)
		_, before := table.Counts()
		start := time.Now()
		var claims sync.WaitGroup
		for i := range 300 {
			claims.Go(func() { claimAndAdvance(t, ledgers[0], fmt.Sprint(i), stateHeld) })
			time.Sleep(time.Millisecond)
		}
		claims.Wait()
		_, after := table.Counts()
		require.LessOrEqual(t, after-before, uint64(time.Since(start)/DefaultWriteInterval)+1)
	})
}

func TestIdleBucketCommitsAtOnce(t *testing.T) {
	runWithLedgers(t, 1, func(t *testing.T, table *clemstandin.Table, ledgers []*Ledger) {
		claimAndAdvance(t, ledgers[0], "warm", stateHeld)
		time.Sleep(time.Second)
		table.Inject(clemstandin.TableFaults{Delay: 5 * time.Millisecond})
		start := time.Now()
		claimAndAdvance(t, ledgers[0], "k", stateHeld)
		require.Equal(t, 5*time.Millisecond, time.Since(start))
	})
}

func TestCancelBeforeWrite(t *testing.T) {
	runWithLedgers(t, 1, func(t *testing.T, _ *clemstandin.Table, ledgers []*Ledger) {
		claimAndAdvance(t, ledgers[0], "k", stateHeld)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := ledgers[0].Claim(ctx, claimOfKey("l"))
		require.True(t, clementineturn.IsNotRun(err), "%v", err)
		_, err = ledgers[0].Lookup(t.Context(), "shishu", "l")
		require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound))
	})
}

// Two ledgers with different numbers of buckets would both find a key unclaimed,
// each in another bucket. The second is refused.
func TestOtherNumberOfBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := clemstandin.NewTable()
		few, stopFew := startLedgers(LedgerConfig{Table: table, Buckets: 2}, 1)
		defer stopFew()
		many, stopMany := startLedgers(LedgerConfig{Table: table, Buckets: 3}, 1)
		defer stopMany()
		table.Inject(clemstandin.TableFaults{LostAnswers: 1})
		claimAndAdvance(t, few[0], "k", stateHeld)
		for _, key := range []string{"k", "l", "m"} {
			_, err := many[0].Claim(t.Context(), claimOfKey(key))
			require.True(t, clementineturn.IsNotRun(err), "%v", err)
			require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable), "%v", err)
		}
	})
}

// The index of an unused bucket is dropped if it is large, and read again when
// the bucket is used.
func TestIdleBucketIsUnloaded(t *testing.T) {
	runWithLedgers(t, 2, func(t *testing.T, _ *clemstandin.Table, ledgers []*Ledger) {
		b := ledgers[0].buckets[0]
		size := func(add int) int {
			synctest.Wait()
			b.mu.Lock()
			defer b.mu.Unlock()
			for i := range add {
				b.log.index.doneInHead[newClaimID("shishu", fmt.Sprint(i))] = 0
			}
			return b.log.index.size()
		}
		claim := claimAndAdvance(t, ledgers[0], "k", stateHeld)
		time.Sleep(2 * unloadDelay)
		require.Equal(t, 1, size(0))
		size(maxIdleKeys + 1)
		claimAndAdvance(t, ledgers[0], "l", stateHeld)
		time.Sleep(unloadDelay / 2)
		require.Greater(t, size(0), maxIdleKeys)
		time.Sleep(unloadDelay)
		require.Zero(t, size(0))
		found, err := ledgers[0].Lookup(t.Context(), "shishu", "k")
		require.NoError(t, err)
		require.True(t, sameClaim(claim, found.GetClaim()))
	})
}

// A lookup whose caller stops waiting has no unknown outcome.
func TestLookupIsNeverUnknown(t *testing.T) {
	runWithLedgers(t, 1, func(t *testing.T, table *clemstandin.Table, ledgers []*Ledger) {
		table.Inject(clemstandin.TableFaults{Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := ledgers[0].Lookup(ctx, "shishu", "k")
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable), "%v", err)
	})
}

func TestStoppedLedgerRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledgers, stop := startLedgers(LedgerConfig{Table: clemstandin.NewTable()}, 1)
		stop()
		_, err := ledgers[0].Claim(t.Context(), claimOfKey("k"))
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable))
		require.True(t, clementineturn.IsNotRun(err))
	})
}

func TestFullQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := NewLedger(LedgerConfig{Table: clemstandin.NewTable(), Buckets: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var waiting sync.WaitGroup
		for range maxQueueLength {
			waiting.Go(func() { _, _ = ledger.Claim(ctx, claimOfKey("k")) })
		}
		synctest.Wait()
		_, err := ledger.Claim(ctx, claimOfKey("k"))
		require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded))
		require.True(t, clementineturn.IsNotRun(err))
		cancel()
		waiting.Wait()
	})
}

// The claimer ends with an error if outcomes are still pending.
func TestEndWithPendingOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := clemstandin.NewTable()
		ledgers, stop := startLedgers(LedgerConfig{Table: table}, 1)
		defer stop()
		ctx, cancel := context.WithCancel(t.Context())
		claimer := NewClaimer(ClaimerConfig{Ledger: ledgers[0], Server: "a", Incarnation: 1})
		done := claimer.Start(ctx)
		grant, err := claimer.Acquire(t.Context(), offer("k", "1", "cot"))
		require.NoError(t, err)
		require.NoError(t, grant.Begin())
		require.Error(t, grant.Begin())
		table.Inject(clemstandin.TableFaults{Down: true})
		require.Error(t, grant.Complete(t.Context(), outcome("booked")))
		cancel()
		require.True(t, clementineturn.IsKind(<-done, clementineturn.KindUnknown))
		require.Equal(t, 1, claimer.Pending())
	})
}
