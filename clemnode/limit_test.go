package clemnode

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	headerTimeout = 2 * time.Second
	bodyTimeout   = 5 * time.Second
	postHead      = "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\n"
)

// withConnection serves the handler like a node does, in a synctest bubble, and
// runs the test with a connection to it.
func withConnection(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, conn net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		server := newHTTPServer(headerTimeout, bodyTimeout, handler)
		ended := make(chan error, 1)
		listener := network.Listen("entry:80")
		go func() { ended <- server.Serve(listener) }()
		conn, err := network.Dial(t.Context(), "tcp", "entry:80")
		require.NoError(t, err)
		test(t, conn)
		require.NoError(t, conn.Close())
		time.Sleep(time.Second) // net/http closes half a second after refusing a header.
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
}

// respondSlowly reads the body and reports whether that timed out. If it did
// not, it waits for longer than every timeout before it responds.
func respondSlowly(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		_, _ = fmt.Fprintf(w, "timeout %v", errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
	for range 20 {
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
			return
		}
	}
	_, _ = io.WriteString(w, "whole")
}

func readResponse(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

// TestLongResponse checks that responses may take longer than the read timeout,
// also for later requests on the connection.
func TestLongResponse(t *testing.T) {
	withConnection(t, respondSlowly, func(t *testing.T, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for _, request := range []string{postHead + "body", "GET / HTTP/1.1\r\nHost: entry\r\n\r\n", postHead + "body"} {
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			require.Equal(t, "whole", readResponse(t, reader))
		}
	})
}

func TestSlowBody(t *testing.T) {
	withConnection(t, respondSlowly, func(t *testing.T, conn net.Conn) {
		started := time.Now()
		_, err := io.WriteString(conn, postHead+"b")
		require.NoError(t, err)
		require.Equal(t, "timeout true", readResponse(t, bufio.NewReader(conn)))
		require.Equal(t, bodyTimeout, time.Since(started))
	})
}

// TestUnreadBody checks that the read timeout also applies to a body that the
// handler does not read.
func TestUnreadBody(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }
	withConnection(t, handler, func(t *testing.T, conn net.Conn) {
		started := time.Now()
		_, err := io.WriteString(conn, postHead+"b")
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err, "the server closes the connection")
		require.Equal(t, bodyTimeout, time.Since(started))
	})
}

func TestSlowHeader(t *testing.T) {
	withConnection(t, respondSlowly, func(t *testing.T, conn net.Conn) {
		started := time.Now()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: en")
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err)
		require.Equal(t, headerTimeout, time.Since(started))
	})
}

func TestLargeHeader(t *testing.T) {
	withConnection(t, respondSlowly, func(t *testing.T, conn net.Conn) {
		go func() {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\nX-Large: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n")
		}()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		require.NoError(t, response.Body.Close())
	})
}

// TestWriteDeadline checks that a write deadline set for one request does not
// affect the next one on the connection.
func TestWriteDeadline(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
		_ = http.NewResponseController(w).Flush()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
	}
	withConnection(t, handler, func(t *testing.T, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for range 2 {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
			require.NoError(t, err)
			require.Equal(t, "ok", readResponse(t, reader))
			time.Sleep(2 * time.Second)
		}
	})
}
