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

// failureCounter counts the offers that are reported as failed.
type failureCounter struct {
	noHealth
	count int
}

func (f *failureCounter) Failed(string, time.Time) { f.count++ }

// TestFailuresOfServers checks which failed offers count against a server: one
// that is too large to send must not.
func TestFailuresOfServers(t *testing.T) {
	for kind, want := range map[clementineturn.Kind]int{clementineturn.KindTooLarge: 0, clementineturn.KindUnavailable: 1} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				health := &failureCounter{}
				e := newEntry(&fakeSidecar{offer: func(context.Context, *clemwire.Offer) (*clemwire.Verdict, error) {
					return nil, clementineturn.Refuse(kind, "no")
				}})
				e.router.config.Health = health
				got := post(e, chatPath, plainChat, nil)
				require.NotEqual(t, http.StatusOK, got.Code)
				requireError(t, kind, "", got)
				require.Contains(t, got.Body.String(), `"not_run":true`)
				require.Equal(t, want, health.count)
			})
		})
	}
}
