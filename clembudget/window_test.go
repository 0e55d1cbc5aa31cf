package clembudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// No interval as long as the window has more retries than the ratio of the
// requests of that interval, or of one that starts up to a window earlier, plus
// the slack.
func TestWindowLimitsRetries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	span := 10 * time.Second
	w := NewRetryWindow(RetryWindowConfig{
		Length: func() time.Duration { return span }, Ratio: func() float64 { return 0.2 }, Slack: func() float64 { return 7 },
	})
	start := time.Now()
	var requests, retries []time.Duration
	for at := time.Duration(0); at < time.Minute; at += time.Duration(rng.IntN(40)) * time.Millisecond {
		w.Deposit("s", start.Add(at))
		requests = append(requests, at)
		for range 3 {
			if w.TryWithdraw("s", start.Add(at)) {
				retries = append(retries, at)
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
	require.NotEmpty(t, retries)
	for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
		maxRequests := max(count(requests, from, from+span), count(requests, from-span, from), count(requests, from-span/2, from+span/2))
		require.LessOrEqual(t, float64(count(retries, from, from+span)), 0.2*float64(maxRequests)+7, "from %v", from)
	}
}

// Names have separate windows.
func TestWindowNamesAreSeparate(t *testing.T) {
	w := NewRetryWindow(RetryWindowConfig{
		Length: func() time.Duration { return time.Second }, Ratio: func() float64 { return 0 }, Slack: func() float64 { return 1 },
	})
	now := time.Now()
	require.True(t, w.TryWithdraw("a", now))
	require.False(t, w.TryWithdraw("a", now))
	require.True(t, w.TryWithdraw("b", now))
	require.True(t, w.TryWithdraw("a", now.Add(2*time.Second)))
}
