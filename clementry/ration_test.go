package clementry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
)

// TestMemoryBudget acquires and releases in any order: neither the budget nor an
// organisation's share is ever exceeded, and a request that fits into both is
// never refused.
func TestMemoryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newMemoryBudget(0)
		held, total := map[string][]int64{}, int64(0)
		sum := func(name string) (n int64) {
			for _, bytes := range held[name] {
				n += bytes
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name")
				bytes := rapid.Int64Range(1, minMemoryBudget/organisationDivisor).Draw(t, "bytes")
				fits := sum(name)+bytes <= minMemoryBudget/organisationDivisor && total+bytes <= minMemoryBudget
				require.Equal(t, fits, b.acquire(name, bytes) == nil)
				if fits {
					held[name], total = append(held[name], bytes), total+bytes
				}
			},
			"give": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				if len(held[name]) > 0 {
					b.release(name, held[name][0])
					held[name], total = held[name][1:], total-held[name][0]
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, total, b.used)
				for name, own := range b.usedBy {
					require.Equal(t, sum(name), own)
				}
			},
		})
	})
}

func TestMemoryBudgetRefuses(t *testing.T) {
	e := newEntry(alteringSidecar("application/json", []string{"{}"}, unaltered))
	require.NoError(t, e.memory.acquire("cribs", minMemoryBudget/organisationDivisor-requestOverhead))
	got := post(e, chatPath, plainChat, nil)
	requireError(t, clementineturn.KindOverloaded, "", got)
	require.NotEmpty(t, got.Header().Get(headerRequest))
	require.NotEmpty(t, got.Header().Get("Retry-After"))
	e.memory.release("cribs", maxBody)
	require.Equal(t, http.StatusOK, post(e, chatPath, plainChat, nil).Code)
	require.EqualValues(t, minMemoryBudget/organisationDivisor-requestOverhead-maxBody, e.memory.used, "the request released its bytes")
}

func TestRequestMemory(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader("{}"))
	require.EqualValues(t, requestOverhead+2, requestMemory(r, maxBody))
	r.ContentLength = 1 << 40
	require.EqualValues(t, requestOverhead+maxBody, requestMemory(r, maxBody))
	r.ContentLength = -1
	require.EqualValues(t, requestOverhead+maxBody, requestMemory(r, maxBody))
}
