package clemfront

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemrouter"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// Guards against a front that is killed with requests in progress because its grace
// period is shorter than the time in which load balancers notice that it drains.
func TestDrainEndsWithinTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		for _, isBusy := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := &front{settings: &activeSettings{}, router: clemrouter.New(clemrouter.Config{})}
				f.settings.Store(clemsite.NewSettings(clemsite.SettingsConfig{Bounds: clemsite.NewBounds(clemsite.BoundsConfig{GracePeriod: grace})}))
				clients := f.clientServer()
				clients.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					<-r.Context().Done()
					w.WriteHeader(http.StatusBadGateway)
				})
				network := clemstandin.NewNetwork()
				listener := network.Listen("front:80")
				served := make(chan error, 1)
				go func() { served <- clients.Serve(listener) }()
				answered := make(chan *http.Response, 1)
				if isBusy {
					go func() {
						response, err := network.Client().Get("http://front:80/")
						assert.NoError(t, err)
						answered <- response
					}()
					synctest.Wait()
				}
				start := time.Now()
				f.drain(clients)
				require.Less(t, time.Since(start), grace)
				if isBusy {
					response := <-answered
					require.NoError(t, response.Body.Close())
					require.Equal(t, http.StatusBadGateway, response.StatusCode)
				}
				require.ErrorIs(t, <-served, http.ErrServerClosed)
			})
		}
	}
}
