package clemrpc

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against answers that are cut while they are sent, since the memory of their
// request's head is wanted for other requests.
func TestRunningAnswerIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &fakePeer{fetch: func(ctx context.Context, _ *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(time.Second):
				return handler(&clemwire.Frame{End: &clemwire.End{}})
			}
		}}
		network, budget, router := clemstandin.NewNetwork(), clemquota.NewBudget(1<<20), chi.NewRouter()
		calls := NewServer(ServerConfig{Context: t.Context(), Key: testKey, Peer: peer})
		calls.Mount(router)
		limits := clemquota.Limits{MaxHeadBytes: 4096, HeadTimeout: time.Minute, FirstTimeout: time.Minute, IdleTimeout: time.Minute}
		listener := clemquota.NewListener(clemquota.ListenerConfig{Listener: network.Listen(address), Budget: budget, Limits: func() clemquota.Limits { return limits }})
		server := &http.Server{Handler: router, ConnState: listener.ConnState, ConnContext: clemquota.ConnContext}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		conn, err := network.Dial(t.Context(), "tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET "+answersPath+"?from=0 HTTP/1.1\r\nHost: x\r\nAuthorization: "+bearerPrefix+testKey+"\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		other, pressure := budget.NewHold(nil), budget.NewHold(nil)
		require.NoError(t, other.Charge(1<<19))
		require.NoError(t, other.Pin())
		pressure.Force(1 << 20)
		started := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, time.Second, time.Since(started), "the answer was not ended before")
		require.NoError(t, conn.Close())
		time.Sleep(time.Second)
		require.NoError(t, server.Close())
		<-ended
		calls.Close()
		other.Release()
		pressure.Release()
		require.Zero(t, budget.Used())
	})
}
