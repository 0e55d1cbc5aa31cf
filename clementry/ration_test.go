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

// TestRation takes and gives back in any order: neither the whole nor an
// organisation's part is ever passed, and an organisation that holds nothing
// finds room whatever one other holds.
func TestRation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRation(0)
		held, all := map[string][]int64{}, int64(0)
		sum := func(name string) (n int64) {
			for _, bytes := range held[name] {
				n += bytes
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name")
				bytes := rapid.Int64Range(1, rationBytes/rationShare).Draw(t, "bytes")
				fits := sum(name)+bytes <= rationBytes/rationShare && all+bytes <= rationBytes
				require.Equal(t, fits, r.take(name, bytes) == nil)
				if fits {
					held[name], all = append(held[name], bytes), all+bytes
				}
			},
			"give": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				if len(held[name]) > 0 {
					r.give(name, held[name][0])
					held[name], all = held[name][1:], all-held[name][0]
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, all, r.held)
				for name, own := range r.organisations {
					require.Equal(t, sum(name), own)
				}
			},
		})
	})
}

func TestRationRefuses(t *testing.T) {
	e := newEntry(spoiled("application/json", []string{"{}"}, same))
	require.NoError(t, e.ration.take("cribs", rationBytes/rationShare-requestBytes))
	got := ask(e, chatPath, plain, nil)
	requireError(t, clementineturn.KindOverloaded, "", got)
	require.NotEmpty(t, got.Header().Get(headerRequest))
	require.NotEmpty(t, got.Header().Get("Retry-After"))
	e.ration.give("cribs", maxBody)
	require.Equal(t, http.StatusOK, ask(e, chatPath, plain, nil).Code)
	require.EqualValues(t, rationBytes/rationShare-requestBytes-maxBody, e.ration.held, "it was given back")
}

func TestRequestCost(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader("{}"))
	require.EqualValues(t, requestBytes+2, cost(r, maxBody))
	r.ContentLength = 1 << 40
	require.EqualValues(t, requestBytes+maxBody, cost(r, maxBody))
	r.ContentLength = -1
	require.EqualValues(t, requestBytes+maxBody, cost(r, maxBody))
}
