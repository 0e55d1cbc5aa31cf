package clemquota

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that a stopping server drops after it has read them, and against
// connections that keep it from its end.
func TestStoppedListenerAnswersWhatArrives(t *testing.T) {
	const (
		request = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n"
		maxWait = 5 * time.Second
	)
	withServer(t, testLimit, 0, echo, func(s *testServer) {
		type client struct {
			conn   net.Conn
			reader *bufio.Reader
		}
		clients := map[string]client{}
		for name, first := range map[string]string{"kept": request, "kept, in a head": request, "new": "", "new, in a head": request[:10], "unused": ""} {
			conn, reader := s.dial()
			defer conn.Close()
			_, err := io.WriteString(conn, first)
			require.NoError(t, err)
			if first == request {
				status, _ := read(t, reader)
				require.Equal(t, http.StatusOK, status)
			}
			clients[name] = client{conn, reader}
		}
		synctest.Wait()
		_, err := io.WriteString(clients["kept, in a head"].conn, request[:1])
		require.NoError(t, err)
		synctest.Wait()
		s.listener.Stop()
		s.listener.Stop()
		s.listener.CloseIdle(maxWait)
		synctest.Wait()
		require.Equal(t, 4, s.listener.Len())
		_, err = clients["kept"].reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		_, err = s.network.Dial(t.Context(), "tcp", "entry:80")
		require.Error(t, err, "no connection is accepted")

		time.Sleep(testLimits.HeadTimeout / 2)
		for name, rest := range map[string]string{"kept, in a head": request[1:], "new": request, "new, in a head": request[10:]} {
			_, err := io.WriteString(clients[name].conn, rest)
			require.NoError(t, err, name)
			status, body := read(t, clients[name].reader)
			require.Equal(t, http.StatusOK, status, name)
			require.Equal(t, "/late 0 0", body, name)
		}
		synctest.Wait()
		s.listener.CloseIdle(maxWait)
		synctest.Wait()
		require.Equal(t, 1, s.listener.Len(), "one may still get its first request")
		time.Sleep(maxWait)
		s.listener.CloseIdle(maxWait)
		synctest.Wait()
		require.Zero(t, s.listener.Len())
	})
}

// Guards against a request that is served on a connection which is closed in the same
// moment: its client takes it for one that was not read.
func TestClosedConnectionReadsNoHead(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := NewListener(ListenerConfig{Limits: func() Limits { return testLimits }})
	newConn := func() *Conn {
		c := &Conn{Conn: near, listener: l, hold: l.config.Budget.NewHold(nil)}
		c.beginHead(func(limits Limits) time.Duration { return limits.FirstTimeout })
		return c
	}
	c := newConn()
	require.True(t, c.abandonHead())
	go func() { _, _ = io.WriteString(far, "GET") }()
	n, err := c.Read(make([]byte, 16))
	require.ErrorIs(t, err, errRefused)
	require.Zero(t, n)

	c = newConn()
	require.True(t, c.abandonHead())
	c.endHead()
	require.Error(t, c.hold.Pin(), "a head that came with the request before is not sent either")

	c = newConn()
	go func() { _, _ = io.WriteString(far, "GET") }()
	_, err = c.Read(make([]byte, 16))
	require.NoError(t, err)
	require.False(t, c.abandonHead())
}
