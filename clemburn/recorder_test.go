package clemburn

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/clementineturn/clementineturn/clemwire"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const target = 690 * time.Millisecond

// onlyCount returns the first count of the window.
func onlyCount(t require.TestingT, counts []*clemwire.Count, window time.Duration) *clemwire.Count {
	for _, c := range counts {
		if c.GetWindow().AsDuration() == window {
			return c
		}
	}
	require.Fail(t, "no count")
	return nil
}

func TestRecord(t *testing.T) {
	r := New(Config{})
	r.Record(epoch, "acme", "p", false, target, target)
	r.Record(epoch, "acme", "p", false, target+1, target)
	r.Record(epoch, "acme", "p", true, time.Hour, target)
	r.Record(epoch, "acme", "p", false, time.Hour, 0)
	c := onlyCount(t, r.Counts(epoch), ShortWindow)
	require.EqualValues(t, 4, c.GetTotal())
	require.EqualValues(t, 1, c.GetFailed())
	require.EqualValues(t, 1, c.GetSlow(), "a failed request is not slow too")
}

func TestEventsLeaveWindows(t *testing.T) {
	r := New(Config{})
	r.Record(epoch, "acme", "p", true, 0, target)
	require.EqualValues(t, 1, onlyCount(t, r.Counts(epoch.Add(ShortWindow-shortStep)), ShortWindow).GetTotal())
	after := r.Counts(epoch.Add(ShortWindow))
	require.Zero(t, onlyCount(t, after, ShortWindow).GetTotal())
	require.EqualValues(t, 1, onlyCount(t, after, LongWindow).GetTotal())
	require.Empty(t, r.Counts(epoch.Add(LongWindow)), "a series without requests is removed")
}

// If the clock steps back, events count in the newest step and none is lost.
func TestClockStepsBack(t *testing.T) {
	r := New(Config{})
	r.Record(epoch.Add(time.Minute), "acme", "p", false, 0, target)
	r.Record(epoch, "acme", "p", false, 0, target)
	r.Record(epoch.Add(2*time.Minute), "acme", "p", false, 0, target)
	require.EqualValues(t, 3, onlyCount(t, r.Counts(epoch.Add(2*time.Minute)), ShortWindow).GetTotal())
}

// A window includes every event younger than its length minus one step and none
// older than its length.
func TestWindowBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{})
		var times []time.Time
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "gap")))
			r.Record(now, "acme", "p", false, 0, target)
			times = append(times, now)
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(ShortWindow)).Draw(t, "wait")))
		var minTotal, maxTotal uint64
		for _, at := range times {
			if now.Sub(at) <= LongWindow-longStep {
				minTotal++
			}
			if now.Sub(at) < LongWindow {
				maxTotal++
			}
		}
		total := onlyCount(t, r.Counts(now), LongWindow).GetTotal()
		require.GreaterOrEqual(t, total, minTotal)
		require.LessOrEqual(t, total, maxTotal)
	})
}

// Pairs above the maximum number of series count together. Series without
// requests are removed to make room for new ones.
func TestMaxSeries(t *testing.T) {
	const limit = 8
	r := New(Config{MaxSeries: limit})
	for i := range 100 {
		r.Record(epoch, fmt.Sprint("o", i), "p", false, 0, target)
	}
	counts := r.Counts(epoch)
	require.Len(t, counts, 2*(limit+1))
	require.Equal(t, OtherOrganisation, counts[0].GetOrganisation())
	require.EqualValues(t, 100-limit, counts[0].GetTotal())
	later := epoch.Add(LongWindow + longStep)
	r.Record(later, "new", "p", false, 0, target)
	require.Equal(t, "new", r.Counts(later)[0].GetOrganisation())
}

func TestConcurrentRecords(t *testing.T) {
	r := New(Config{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				r.Record(epoch, "acme", "p", false, 0, target)
				r.Counts(epoch)
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 8000, onlyCount(t, r.Counts(epoch), LongWindow).GetTotal())
}

func TestGather(t *testing.T) {
	r := New(Config{Now: func() time.Time { return epoch }})
	r.Record(epoch, "acme", "p", false, 0, target)
	g := r.Gather("entry-1")
	require.Equal(t, "entry-1", g.GetNode())
	require.Len(t, g.GetCounts(), 2)
}

func BenchmarkRecord(b *testing.B) {
	r := New(Config{})
	for i := range 26000 {
		r.Record(epoch, fmt.Sprint("o", i), "p", false, 0, target)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(epoch, "o77", "p", false, 0, target)
	}
}

func BenchmarkNewPair(b *testing.B) {
	b.ReportAllocs()
	r := New(Config{MaxSeries: 1 << 30})
	i := 0
	for b.Loop() {
		i++
		r.Record(epoch, fmt.Sprint("o", i), "p", false, 0, target)
	}
}

// BenchmarkGather also reports the size of a message for 6,500 organisations and
// 4 pools.
func BenchmarkGather(b *testing.B) {
	r := New(Config{Now: func() time.Time { return epoch }})
	for i := range 6500 {
		for pool := range 4 {
			r.Record(epoch, fmt.Sprintf("organisation-%d", i), fmt.Sprintf("model-%d", pool), false, 0, target)
		}
	}
	size := 0
	for b.Loop() {
		size = proto.Size(r.Gather("entry-1"))
	}
	b.ReportMetric(float64(size), "B/report")
}
