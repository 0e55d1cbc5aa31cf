package clembudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In no window of the span are there more repeats than the share of the
// requests of that window or the one before it, plus the slack.
func TestWindowBoundsRepeats(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	span := 10 * time.Second
	w := NewWindow(WindowConfig{
		Span: func() time.Duration { return span }, Share: func() float64 { return 0.2 }, Slack: func() float64 { return 7 },
	})
	start := time.Now()
	var requests, repeats []time.Duration
	for at := time.Duration(0); at < time.Minute; at += time.Duration(rng.IntN(40)) * time.Millisecond {
		w.Earn("s", start.Add(at))
		requests = append(requests, at)
		for range 3 {
			if w.Spend("s", start.Add(at)) {
				repeats = append(repeats, at)
			}
		}
	}
	count := func(times []time.Duration, from, to time.Duration) (n int) {
		for _, at := range times {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	require.NotEmpty(t, repeats)
	for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
		most := max(count(requests, from, from+span), count(requests, from-span, from), count(requests, from-span/2, from+span/2))
		require.LessOrEqual(t, float64(count(repeats, from, from+span)), 0.2*float64(most)+7, "from %v", from)
	}
}

// Names have windows of their own.
func TestWindowNames(t *testing.T) {
	w := NewWindow(WindowConfig{
		Span: func() time.Duration { return time.Second }, Share: func() float64 { return 0 }, Slack: func() float64 { return 1 },
	})
	now := time.Now()
	require.True(t, w.Spend("a", now))
	require.False(t, w.Spend("a", now))
	require.True(t, w.Spend("b", now))
	require.True(t, w.Spend("a", now.Add(2*time.Second)))
}
