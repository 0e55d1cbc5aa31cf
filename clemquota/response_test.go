package clemquota

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Guards against responses that arrive without end and take the memory of all requests, and
// against eviction of a response that is smaller.
func TestLargestResponseIsEvicted(t *testing.T) {
	b := NewBudget(testLimit)
	var evicted []string
	respond := func(name string, size int64) *Response {
		r := b.NewHold(nil).NewResponse(func() { evicted = append(evicted, name) })
		require.NoError(t, r.Resize(size), name)
		return r
	}
	usual := respond("usual", SmallResponse)
	require.Zero(t, b.Used(), "small ones are not counted")
	older, newer := respond("older", 3<<19), respond("newer", 3<<19)
	middle := respond("middle", 1<<20)
	require.Empty(t, evicted, "they have their share")
	require.NoError(t, usual.Resize(SmallResponse+1))
	require.Equal(t, []string{"newer"}, evicted)
	require.True(t, clementineturn.IsKind(newer.Err(), clementineturn.KindOverloaded))
	require.False(t, clementineturn.IsNotRun(newer.Err()), "its request was sent")
	require.Error(t, newer.Resize(1))
	require.NoError(t, older.Err())
	require.Error(t, middle.Resize(3<<20), "the one that grows is the largest")
	require.Equal(t, []string{"newer", "middle"}, evicted)

	reading := b.NewHold(func() { evicted = append(evicted, "request") })
	require.NoError(t, reading.Charge(2<<20), "the rest of the budget is for requests")
	for _, r := range []*Response{usual, older, newer, middle} {
		r.Release()
		r.Release()
	}
	reading.Release()
	require.Zero(t, b.Used())
	require.Empty(t, b.responses)
}

// Guards against a large response that never fits, and against requests that are not sent
// yet and take the place of a response.
func TestResponseComesBeforeUnsentRequests(t *testing.T) {
	b := NewBudget(testLimit)
	sent := b.NewHold(func() { t.Error("evicted") })
	require.NoError(t, sent.Charge(2<<20))
	require.NoError(t, sent.Pin())
	reading := b.NewHold(func() {})
	require.NoError(t, reading.Charge(4<<20))
	r := sent.NewResponse(func() { t.Error("evicted") })
	require.NoError(t, r.Resize(6<<20), "one fits in any case")
	require.True(t, reading.IsEvicted())
	require.Error(t, b.NewHold(nil).Charge(1<<20))
	require.NoError(t, b.NewHold(nil).Charge(ordinarySize))
}

// Guards against memory that is not given back, and against a deadlock.
func TestResponsesGiveBack(t *testing.T) {
	b := NewBudget(testLimit)
	var servers sync.WaitGroup
	for seed := range uint64(16) {
		servers.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 300 {
				r := b.NewHold(nil).NewResponse(func() {})
				size := int64(0)
				for size < 1<<20 && r.Resize(size) == nil {
					size += random.Int64N(1 << 18)
				}
				r.Release()
			}
		})
	}
	servers.Wait()
	require.Zero(t, b.Used())
	require.Zero(t, b.arriving)
	require.Zero(t, b.large)
	require.Empty(t, b.responses)
}

// Guards against a body that takes memory before it is charged, or whose beginning is lost
// with an error.
func TestBodyIsChargedAsItArrives(t *testing.T) {
	const limit = 1 << 20
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		from   io.Reader
		length int64
		size   int
		err    error
	}{
		"length":         {strings.NewReader(strings.Repeat("x", limit)), limit, limit, nil},
		"no length":      {strings.NewReader(strings.Repeat("x", limit)), -1, limit, nil},
		"empty":          {strings.NewReader(""), 0, 0, nil},
		"states much":    {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), limit, 1, broken},
		"without length": {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), -1, 1, broken},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewBudget(64 << 20).NewHold(nil).NewResponse(nil)
			body, err := r.ReadAll(c.from, SmallResponse, c.length, limit)
			require.ErrorIs(t, err, c.err)
			require.Len(t, body, c.size)
			if c.err != nil {
				require.LessOrEqual(t, r.size, int64(SmallResponse+firstBodySize))
			} else if c.size > 0 {
				require.GreaterOrEqual(t, r.size, int64(SmallResponse+c.size))
			}
		})
	}
	var none *Response
	require.NoError(t, none.Resize(1))
	require.NoError(t, none.Err())
	none.Release()
	body, err := none.ReadAll(strings.NewReader("x"), 0, -1, limit)
	require.NoError(t, err)
	require.Equal(t, "x", string(body))
}
