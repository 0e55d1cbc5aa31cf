package clembudget

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var runTimeStart = time.Unix(1_700_000_000, 0)

// observeRuns records complete requests one after the other.
func observeRuns(t *RunTimeTracker, estimate time.Duration, at time.Time, runTimes ...time.Duration) {
	for _, runTime := range runTimes {
		t.Start("r", estimate, at).End(true, at.Add(runTime))
	}
}

// The longest run time is in proportion to the estimate, known after one window, and
// holds for two.
func TestLongestRunTime(t *testing.T) {
	tracker := NewRunTimeTracker()
	_, ok := tracker.Longest("r", time.Second, runTimeStart)
	require.False(t, ok, "nothing is known")
	known := runTimeStart.Add(runTimeWindow)
	observeRuns(tracker, time.Second, runTimeStart, 1, 2, 3, 4, 5, 6, 2*time.Second)
	_, ok = tracker.Longest("r", time.Second, known)
	require.False(t, ok, "too little is known")
	observeRuns(tracker, time.Second, runTimeStart, time.Second)
	_, ok = tracker.Longest("r", time.Second, known.Add(-1))
	require.False(t, ok, "long runs have had no time to end")
	for estimate, want := range map[time.Duration]time.Duration{time.Second: 3 * time.Second, 2 * time.Second: 6 * time.Second} {
		longest, ok := tracker.Longest("r", estimate, known)
		require.True(t, ok)
		require.Equal(t, want, longest)
	}
	_, ok = tracker.Longest("other", time.Second, known)
	require.False(t, ok, "other groups say nothing")
	_, ok = tracker.Longest("r", time.Second, runTimeStart.Add(2*runTimeWindow+time.Second))
	require.False(t, ok, "all of it is old")
}

// A request that still runs counts for the time so far, and one that was cut off as a
// lower bound.
func TestLongestRunTimeCountsRequestsInProgress(t *testing.T) {
	tracker := NewRunTimeTracker()
	run := tracker.Start("r", time.Second, runTimeStart)
	observeRuns(tracker, time.Second, runTimeStart, 1, 2, 3, 4, 5, 6, 7, 8)
	for _, at := range []time.Duration{runTimeWindow, runTimeWindow + 4*time.Second} {
		longest, ok := tracker.Longest("r", time.Second, runTimeStart.Add(at))
		require.True(t, ok)
		require.Equal(t, time.Duration(runTimeMargin*float64(at)), longest)
	}
	run.End(false, runTimeStart.Add(34*time.Second))
	run.End(true, runTimeStart.Add(time.Hour))
	longest, ok := tracker.Longest("r", time.Second, runTimeStart.Add(35*time.Second))
	require.True(t, ok)
	require.Equal(t, 51*time.Second, longest)
}

func TestRunTimeTrackerIsBounded(t *testing.T) {
	tracker := NewRunTimeTracker()
	for i := range 3 * maxRunTimeGroups {
		tracker.Start(fmt.Sprint(i), time.Second, runTimeStart).End(true, runTimeStart)
	}
	require.LessOrEqual(t, len(tracker.groups), maxRunTimeGroups)
}

// Guards against run times that overflow, so that requests seem to end in no time.
func TestLongestRunTimeIsBounded(t *testing.T) {
	for _, estimate := range []time.Duration{0, -time.Second, 1, math.MaxInt64, math.MinInt64} {
		tracker := NewRunTimeTracker()
		observeRuns(tracker, time.Second, runTimeStart, 1, 2, 3, 4, 5, 6, 7, time.Second)
		observeRuns(tracker, estimate, runTimeStart, time.Second)
		for _, of := range []time.Duration{time.Second, time.Hour, math.MaxInt64} {
			longest, ok := tracker.Longest("r", of, runTimeStart.Add(runTimeWindow))
			require.True(t, ok)
			require.GreaterOrEqual(t, longest, time.Second, "%d of %d", of, estimate)
		}
		longest, ok := tracker.Longest("r", estimate, runTimeStart.Add(runTimeWindow))
		require.True(t, ok)
		require.GreaterOrEqual(t, longest, time.Second, "%d", estimate)
	}
}
