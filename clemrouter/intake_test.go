package clemrouter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// withConnection serves a fixture's router with a budget in a bubble and runs the test
// with a connection to it.
func withConnection(t *testing.T, test func(f *fixture, budget *clemquota.Budget, conn net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		f, network, budget := newBareFixture(t, okResponse, okResponse), clemstandin.NewNetwork(), clemquota.NewBudget(1<<20)
		limits := clemquota.Limits{MaxHeadBytes: 4096, HeadTimeout: time.Minute, FirstTimeout: time.Minute, IdleTimeout: time.Minute}
		listener := clemquota.NewListener(clemquota.ListenerConfig{Listener: network.Listen("front:80"), Budget: budget, Limits: func() clemquota.Limits { return limits }})
		server := &http.Server{Handler: f.router, ConnState: listener.ConnState, ConnContext: clemquota.ConnContext}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		conn, err := network.Dial(t.Context(), "tcp", "front:80")
		require.NoError(t, err)
		test(f, budget, conn)
		require.NoError(t, conn.Close())
		f.closeServers()
		time.Sleep(time.Second)
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
		require.Zero(t, budget.Used())
	})
}

const slowPost = "POST /safe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nPatience: 2s\r\nContent-Length: 4\r\n\r\n"

func readStatus(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// Guards against bodies that are held for ever, and against a time limit of one body
// that ends a later request on the connection.
func TestBodyHasTheTimeOfItsRequest(t *testing.T) {
	withConnection(t, func(f *fixture, _ *clemquota.Budget, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for range 2 {
			for _, text := range []string{slowPost + "b", "ody"} {
				_, err := io.WriteString(conn, text)
				require.NoError(t, err)
				time.Sleep(time.Second)
			}
			status, body := readStatus(t, reader)
			require.Equal(t, http.StatusOK, status, body)
			time.Sleep(5 * time.Second)
		}
		started := time.Now()
		_, err := io.WriteString(conn, slowPost+"b")
		require.NoError(t, err)
		status, body := readStatus(t, reader)
		require.Equal(t, http.StatusGatewayTimeout, status, body)
		require.Equal(t, 2*time.Second, time.Since(started))
		require.Equal(t, 2, f.arrivals(), "the last one was not sent")
	})
}

// Guards against clients that do not read their responses and hold their connections for
// ever, and against a write deadline that ends a later request.
func TestUnreadResponseEnds(t *testing.T) {
	withConnection(t, func(f *fixture, _ *clemquota.Budget, conn net.Conn) {
		reader := bufio.NewReader(conn)
		_, err := io.WriteString(conn, slowPost+"body")
		require.NoError(t, err)
		time.Sleep(2*time.Second + writeGrace - time.Millisecond)
		status, _ := readStatus(t, reader)
		require.Equal(t, http.StatusOK, status, "it is still delivered")
		time.Sleep(20 * time.Second)
		_, err = io.WriteString(conn, slowPost+"body")
		require.NoError(t, err)
		time.Sleep(2*time.Second + writeGrace + time.Millisecond)
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection is closed")
		require.Equal(t, 2, f.arrivals())
	})
}

// Guards against a refusal because of memory that another status than that of a request
// that was not run goes with, or after which the request is sent.
func TestEvictedBodyIsNotSent(t *testing.T) {
	withConnection(t, func(f *fixture, budget *clemquota.Budget, conn net.Conn) {
		_, err := io.WriteString(conn, slowPost+"b")
		require.NoError(t, err)
		synctest.Wait()
		require.Positive(t, budget.Used())
		forwarded, response := budget.NewHold(nil), budget.NewHold(nil)
		require.NoError(t, forwarded.Charge(1<<19))
		require.NoError(t, forwarded.Pin())
		response.Force(2 << 20)
		reader := bufio.NewReader(conn)
		status, body := readStatus(t, reader)
		require.Equal(t, http.StatusTooManyRequests, status)
		require.Contains(t, body, "over memory")
		_, err = io.Copy(io.Discard, reader)
		require.NoError(t, err, "the connection is closed")
		require.Zero(t, f.arrivals())
		forwarded.Release()
		response.Release()
	})
}

// Guards against clients that get an error before their body is read, and then hold their
// connections for ever with a body that does not arrive or with responses that they do
// not read.
func TestEarlyErrorEndsUnreadBody(t *testing.T) {
	for name, head := range map[string]string{
		"no route": "POST /nowhere HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nContent-Length: 4\r\n\r\n",
		"no key":   "POST /safe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nContent-Length: 4\r\n\r\n",
		"broken":   "POST /safe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nBroken: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withConnection(t, func(_ *fixture, _ *clemquota.Budget, conn net.Conn) {
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
				_, err := io.WriteString(conn, head)
				require.NoError(t, err)
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.GreaterOrEqual(t, response.StatusCode, http.StatusBadRequest)
				require.Less(t, response.StatusCode, http.StatusInternalServerError)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				_, err = reader.ReadByte()
				require.ErrorIs(t, err, io.EOF, "the connection is closed")
			})
		})
	}
	t.Run("responses are not read", func(t *testing.T) {
		withConnection(t, func(_ *fixture, _ *clemquota.Budget, conn net.Conn) {
			require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Minute)))
			var err error
			for range 10000 {
				if _, err = io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\n\r\n"); err != nil {
					break
				}
			}
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is closed")
		})
	})
}
