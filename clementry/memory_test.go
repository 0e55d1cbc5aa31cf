package clementry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against answers that do not end and are buffered by an entry for all their
// requests: it would run out of memory with the requests to other backend servers.
func TestAnswersWithoutEndShareTheMemory(t *testing.T) {
	const (
		budget   = 8 << 20
		requests = 16
	)
	for name, data := range map[string][]string{
		"body":        {strings.Repeat("x", maxBufferedBytes-1)},
		"short parts": strings.SplitAfter(strings.Repeat("x", 255)+strings.Repeat(strings.Repeat("x", 4095)+" ", 250), " "),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endless := &fakeSidecar{frames: func(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
					frames := completeFrames(fetch, "text/plain", data)
					for _, frame := range frames[:len(frames)-1] {
						if err := handler(frame); err != nil {
							return err
						}
					}
					<-ctx.Done()
					return clementineturn.AsError(ctx.Err())
				}}
				network := clemstandin.NewNetwork()
				memory := clemquota.NewBudget(budget)
				listener := clemquota.NewListener(clemquota.ListenerConfig{Listener: network.Listen("entry:80"), Budget: memory, Limits: func() clemquota.Limits {
					return clemquota.Limits{MaxHeadBytes: 16384, HeadTimeout: time.Minute, FirstTimeout: time.Minute, IdleTimeout: time.Minute}
				}})
				router := chi.NewRouter()
				newEntry(endless).Mount(router)
				server := &http.Server{Handler: router, ConnState: listener.ConnState, ConnContext: clemquota.ConnContext}
				served := make(chan error, 1)
				go func() { served <- server.Serve(listener) }()
				statuses := make(chan int, requests)
				for range requests {
					go func() {
						request, err := http.NewRequest(http.MethodPost, "http://entry:80/v1/chat/completions", strings.NewReader(streamedChat))
						if err != nil {
							statuses <- 0
							return
						}
						request.Close = true
						request.Header.Set("Authorization", bearerPrefix+apiKey)
						response, err := network.Client().Do(request)
						if err != nil {
							statuses <- 0
							return
						}
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
						statuses <- response.StatusCode
					}()
				}
				synctest.Wait()
				require.LessOrEqual(t, memory.Used(), int64(budget))
				require.Greater(t, memory.Used(), int64(budget/4), "those that fit are waited for")
				time.Sleep(time.Hour)
				for range requests {
					require.GreaterOrEqual(t, <-statuses, http.StatusInternalServerError, "none is complete")
				}
				require.NoError(t, server.Close())
				require.ErrorIs(t, <-served, http.ErrServerClosed)
				synctest.Wait()
				require.Zero(t, memory.Used())
			})
		})
	}
}
