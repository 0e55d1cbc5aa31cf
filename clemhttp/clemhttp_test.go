package clemhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// closingServer is a server that responds to the first request of a connection
// and closes the connection after it has read a second one.
type closingServer struct {
	net.Listener
	// requestCount counts the POST and PUT requests.
	requestCount atomic.Int32
	stopped      chan struct{}
}

func newClosingServer(t *testing.T) *closingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &closingServer{Listener: l, stopped: make(chan struct{})}
	go c.serve()
	t.Cleanup(func() {
		_ = l.Close()
		<-c.stopped
	})
	return c
}

func (c *closingServer) serve() {
	defer close(c.stopped)
	for {
		conn, err := c.Accept()
		if err != nil {
			return
		}
		c.serveConn(conn)
	}
}

func (c *closingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.Method == http.MethodPost || req.Method == http.MethodPut {
			c.requestCount.Add(1)
		}
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (c *closingServer) url() string { return "http://" + c.Addr().String() + "/" }

// openIdleConnection leaves an idle connection in the client's pool.
func openIdleConnection(t *testing.T, client *http.Client, url string) {
	resp, err := client.Get(url)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// TestDefaultTransportResends shows the behaviour that this package avoids:
// net/http resends a POST with an Idempotency-Key on its own if the server closes
// a reused connection.
func TestDefaultTransportResends(t *testing.T) {
	server := newClosingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	openIdleConnection(t, client, server.url())
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.url(), bytes.NewReader([]byte("pay")))
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	resp, err := client.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.EqualValues(t, 2, server.requestCount.Load())
}

func TestRequestIsNotResent(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		for _, content := range []string{"pay", ""} {
			t.Run(method+content, func(t *testing.T) {
				server := newClosingServer(t)
				client := New(Config{})
				defer client.CloseIdleConnections()
				openIdleConnection(t, client, server.url())
				req, err := NewRequest(t.Context(), method, server.url(), []byte(content))
				require.NoError(t, err)
				req.Header.Set("Idempotency-Key", "k")
				_, sent, err := Do(client, req)
				require.Error(t, err)
				require.True(t, sent)
				require.EqualValues(t, 1, server.requestCount.Load())
			})
		}
	}
}

func TestDisableKeepAlivesUsesNewConnections(t *testing.T) {
	server := newClosingServer(t)
	shared := &http.Client{Transport: &http.Transport{}}
	defer shared.CloseIdleConnections()
	client := New(Config{Client: shared, DisableKeepAlives: true})
	for range 3 {
		req, err := NewRequest(t.Context(), http.MethodPost, server.url(), []byte("pay"))
		require.NoError(t, err)
		resp, _, err := Do(client, req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	require.EqualValues(t, 3, server.requestCount.Load())
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("Location", "/again")
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := New(Config{})
	defer client.CloseIdleConnections()
	req, err := NewRequest(t.Context(), http.MethodPost, server.URL, []byte("pay"))
	require.NoError(t, err)
	resp, _, err := Do(client, req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusTemporaryRedirect, resp.StatusCode)
	require.EqualValues(t, 1, requests.Load())
}

func TestDoReportsUnsentRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	require.NoError(t, l.Close())
	req, err := NewRequest(t.Context(), http.MethodPost, url, []byte("pay"))
	require.NoError(t, err)
	_, sent, err := Do(New(Config{}), req)
	require.Error(t, err)
	require.False(t, sent, "refused connection")

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, sent, err = Do(New(Config{}), req.WithContext(ended))
	require.ErrorIs(t, err, context.Canceled)
	require.False(t, sent, "context ended before")
}
