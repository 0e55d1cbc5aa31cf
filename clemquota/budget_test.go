package clemquota

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

const testLimit = 8 << 20

// Guards against small requests that are refused because large ones hold the budget,
// and against eviction of the small or older ones first.
func TestLargestAndNewestAreEvictedFirst(t *testing.T) {
	b := NewBudget(testLimit)
	var evicted []string
	hold := func(name string, n int64) *Hold {
		h := b.NewHold(func() { evicted = append(evicted, name) })
		require.NoError(t, h.Charge(n), name)
		return h
	}
	hold("older", 2<<20)
	hold("newer", 2<<20)
	hold("small", ordinarySize)
	last := hold("last", 1<<20)
	require.Empty(t, evicted)
	require.NoError(t, last.Charge(1<<20-1))
	require.Empty(t, evicted, "the large part is 6 MiB")
	hold("other", 1<<20)
	require.Equal(t, []string{"newer"}, evicted)
	err := b.NewHold(nil).Charge(3 << 20)
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded))
	require.True(t, clementineturn.IsNotRun(err))
	require.Equal(t, []string{"newer"}, evicted, "a request does not evict smaller ones")
	for range (testLimit - 7<<20) / ordinarySize {
		hold("ordinary", ordinarySize)
	}
	require.Equal(t, []string{"newer"}, evicted)
}

// Guards against a response that is lost because the budget is exceeded, and against
// eviction of a request that a server may have run.
func TestForwardedRequestsAreKept(t *testing.T) {
	b := NewBudget(testLimit)
	forwarded := b.NewHold(func() { t.Error("evicted") })
	require.NoError(t, forwarded.Charge(4<<20))
	require.NoError(t, forwarded.Pin())
	reading := b.NewHold(func() {})
	require.NoError(t, reading.Charge(1<<20))
	forwarded.Force(16 << 20)
	require.True(t, reading.IsEvicted())
	require.Error(t, reading.Pin(), "it is not sent")
	require.Error(t, reading.Charge(1))
	require.Error(t, b.NewHold(nil).Charge(1<<20))
	require.NoError(t, b.NewHold(nil).Charge(ordinarySize), "ordinary requests have a part of their own")
	forwarded.Return(20 << 20)
	require.NoError(t, b.NewHold(nil).Charge(1<<20))
}

// Guards against a limit below what a single request needs.
func TestSingleLargeRequestFits(t *testing.T) {
	b := NewBudget(testLimit)
	h := b.NewHold(nil)
	require.NoError(t, h.Charge(2*testLimit))
	require.Error(t, b.NewHold(nil).Charge(2*testLimit+1))
	h.Release()
	require.Zero(t, b.Used())
}

// Guards against memory that is not given back, and against a deadlock of requests that
// hold parts of the budget and ask for more.
func TestBudgetIsGivenBack(t *testing.T) {
	b := NewBudget(testLimit)
	var clients sync.WaitGroup
	for seed := range uint64(16) {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, 0))
			for range 300 {
				h := b.NewHold(func() {})
				for range 4 {
					if h.Charge(random.Int64N(1<<21)) != nil {
						break
					}
				}
				if h.Pin() == nil {
					h.Force(random.Int64N(1 << 20))
				}
				h.Release()
			}
		})
	}
	clients.Wait()
	require.Zero(t, b.Used())
	require.Zero(t, b.large)
	require.Empty(t, b.holds)
	var none *Hold
	require.NoError(t, none.Charge(1))
	require.NoError(t, none.Pin())
	none.Force(1)
	none.Return(1)
	none.Release()
	require.False(t, none.IsEvicted())
}

// Guards against a body of unknown length that takes a multiple of the largest one, and
// against the limit being taken for the body's length.
func TestUnknownLengthTakesNoMoreThanTheLimit(t *testing.T) {
	const limit = 4 << 20
	for _, size := range []int{0, 1, unknownBodySize, limit - 1, limit, limit + 1} {
		h := NewBudget(64 << 20).NewHold(nil)
		from := http.MaxBytesReader(nil, io.NopCloser(bytes.NewReader(make([]byte, size))), limit)
		body, err := h.ReadAll(from, -1, limit)
		require.LessOrEqual(t, h.size, int64(limit))
		if size > limit {
			var tooLarge *http.MaxBytesError
			require.ErrorAs(t, err, &tooLarge)
			continue
		}
		require.NoError(t, err)
		require.Len(t, body, size)
		require.LessOrEqual(t, cap(body), limit)
	}
}
