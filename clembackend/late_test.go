package clembackend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// repeatResponses answers the requests of each connection, the first with a refusal
// that comes once more when the next one is there. It returns at the listener's end.
func repeatResponses(l net.Listener) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		conns.Go(func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			late := ""
			for n := 0; ; n++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				response := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
				if request.Header.Get("X-Request-Id") == "first" {
					response = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
				}
				if _, err := fmt.Fprint(conn, late, response); err != nil {
					return
				}
				late = response
			}
		})
	}
}

// Guards against an earlier refusal that a faulty server sends once more on a kept
// connection: an at-most-once call, whose outcome it would falsify, has a connection of
// its own.
func TestLateCopyIsNoAnswerToAnAtMostOnceCall(t *testing.T) {
	for _, mode := range []clemwire.Mode{clemwire.Mode_MODE_AT_MOST_ONCE, clemwire.Mode_MODE_IDEMPOTENT} {
		t.Run(mode.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := clemstandin.NewNetwork()
				listener := network.Listen("backend:80")
				ended := make(chan struct{})
				go func() { repeatResponses(listener); close(ended) }()
				b := New(Config{URL: "http://backend:80", Client: network.Client()})
				for _, call := range []struct {
					request string
					mode    clemwire.Mode
					status  uint32
				}{{"first", mode, 503}, {"second", clemwire.Mode_MODE_AT_MOST_ONCE, 200}, {"third", clemwire.Mode_MODE_AT_MOST_ONCE, 200}} {
					offer := reserveOffer()
					offer.Request, offer.Mode = call.request, call.mode
					r := &recorder{}
					require.NoError(t, b.Run(t.Context(), offer, r))
					require.Equal(t, call.status, r.start.GetStatus(), call.request)
				}
				b.Close()
				_ = listener.Close()
				<-ended
			})
		})
	}
}
