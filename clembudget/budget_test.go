package clembudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Extra work never exceeds the ratio of the requested work plus the burst.
func TestBudgetLimitsExtraWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "share")
		burst := rapid.Float64Range(0, 100).Draw(t, "burst")
		b := New(Config{Ratio: ratio, Burst: burst})
		work, extra := 0.0, 0.0
		for _, cost := range rapid.SliceOf(rapid.Float64Range(-50, 50)).Draw(t, "costs") {
			if cost >= 0 {
				b.Deposit(cost)
				work += cost
			} else if b.TryWithdraw(-cost) {
				extra -= cost
			}
			if extra > burst+ratio*work+1e-6 {
				t.Fatalf("extra %v of work %v", extra, work)
			}
		}
	})
}

// newObservedHedge returns a HedgePolicy with measurements from 1 to 100 ms.
func newObservedHedge(t *testing.T) *HedgePolicy {
	t.Helper()
	h := NewHedgePolicy(HedgePolicyConfig{Quantile: 0.95, Burst: 10, Cooldown: 5 * time.Second, MinDelay: time.Millisecond})
	h.Deposit("p", 0.1, 1000)
	for i := range 100 {
		h.Observe(start, "p", time.Duration(i+1)*time.Millisecond)
	}
	return h
}

func TestHedgeDelayIsQuantileOfPreviousWindow(t *testing.T) {
	h := newObservedHedge(t)
	_, ok := h.Delay(start, "p")
	require.False(t, ok, "the window is not over")
	delay, ok := h.Delay(start.Add(hedgeWindow), "p")
	require.True(t, ok)
	require.InDelta(t, 95*time.Millisecond, delay, float64(2*time.Millisecond))
	_, ok = h.Delay(start.Add(hedgeWindow), "other")
	require.False(t, ok)
}

func TestHedgeStopsAfterOverload(t *testing.T) {
	h := newObservedHedge(t)
	now := start.Add(hedgeWindow)
	require.True(t, h.TryWithdraw(now, "p", 5))
	h.RecordOverload(now, "p")
	_, ok := h.Delay(now.Add(4*time.Second), "p")
	require.False(t, ok)
	require.False(t, h.TryWithdraw(now.Add(4*time.Second), "p", 1))
	require.True(t, h.TryWithdraw(now.Add(5*time.Second), "p", 5))
	require.False(t, h.TryWithdraw(now.Add(5*time.Second), "p", 5), "the budget is exhausted")
}

func TestOverloadIsPerOrganisationAndNotExtended(t *testing.T) {
	o := NewOverloadTracker(OverloadTrackerConfig{TTL: time.Second})
	require.False(t, o.IsOverloaded(start, "p", "a"))
	o.Record(start, "p", "a")
	o.Record(start.Add(900*time.Millisecond), "p", "a")
	require.True(t, o.IsOverloaded(start.Add(999*time.Millisecond), "p", "a"))
	require.False(t, o.IsOverloaded(start.Add(999*time.Millisecond), "p", "b"))
	require.False(t, o.IsOverloaded(start.Add(time.Second), "p", "a"))
	o.Record(start.Add(3*time.Second), "p", "b")
	require.Len(t, o.recorded, 1, "expired records are removed")
}
