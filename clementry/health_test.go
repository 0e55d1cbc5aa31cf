package clementry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// failures counts the offers that were held against a server.
type failures struct {
	noHealth
	count int
}

func (f *failures) Failed(string, time.Time) { f.count++ }

// TestFailuresOfServers fails an offer in two ways: an offer that was too
// large to send must not count against the server.
func TestFailuresOfServers(t *testing.T) {
	for kind, want := range map[clementineturn.Kind]int{clementineturn.KindTooLarge: 0, clementineturn.KindUnavailable: 1} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				health := &failures{}
				e := newEntry(&fakeSidecar{offer: func(context.Context, *clemwire.Offer) (*clemwire.Verdict, error) {
					return nil, clementineturn.Refuse(kind, "no")
				}})
				e.router.config.Health = health
				got := ask(e, chatPath, plain, nil)
				require.NotEqual(t, http.StatusOK, got.Code)
				requireError(t, kind, "", got)
				require.Contains(t, got.Body.String(), `"not_run":true`)
				require.Equal(t, want, health.count)
			})
		})
	}
}
