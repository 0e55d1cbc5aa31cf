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
	headerTime = 2 * time.Second
	bodyTime   = 5 * time.Second
	postHead   = "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\n"
)

// inBubble serves the handler as a listener of a node does, in virtual time.
func inBubble(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, conn net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		server := newServer(headerTime, bodyTime, handler)
		ended := make(chan error, 1)
		listener := network.Listen("entry:80")
		go func() { ended <- server.Serve(listener) }()
		conn, err := network.Dial(t.Context(), "tcp", "entry:80")
		require.NoError(t, err)
		test(t, conn)
		require.NoError(t, conn.Close())
		time.Sleep(time.Second) // The server lingers half a second after it refused a header.
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
}

// respond reads the body and answers with its error's kind, or with ticks of
// a second for longer than every timeout.
func respond(w http.ResponseWriter, r *http.Request) {
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

func answerOf(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

// TestLongAnswer takes longer than the time for a request, twice on one connection.
func TestLongAnswer(t *testing.T) {
	inBubble(t, respond, func(t *testing.T, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for _, request := range []string{postHead + "body", "GET / HTTP/1.1\r\nHost: entry\r\n\r\n", postHead + "body"} {
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			require.Equal(t, "whole", answerOf(t, reader))
		}
	})
}

func TestSlowBody(t *testing.T) {
	inBubble(t, respond, func(t *testing.T, conn net.Conn) {
		begun := time.Now()
		_, err := io.WriteString(conn, postHead+"b")
		require.NoError(t, err)
		require.Equal(t, "timeout true", answerOf(t, bufio.NewReader(conn)))
		require.Equal(t, bodyTime, time.Since(begun))
	})
}

// TestUnreadBody sends a slow body to a handler that does not want it.
func TestUnreadBody(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }
	inBubble(t, handler, func(t *testing.T, conn net.Conn) {
		begun := time.Now()
		_, err := io.WriteString(conn, postHead+"b")
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err, "the server closes the connection")
		require.Equal(t, bodyTime, time.Since(begun))
	})
}

func TestSlowHeader(t *testing.T) {
	inBubble(t, respond, func(t *testing.T, conn net.Conn) {
		begun := time.Now()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: en")
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err)
		require.Equal(t, headerTime, time.Since(begun))
	})
}

func TestLargeHeader(t *testing.T) {
	inBubble(t, respond, func(t *testing.T, conn net.Conn) {
		go func() {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\nX-Large: "+strings.Repeat("x", 2*maxHeader)+"\r\n\r\n")
		}()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		require.NoError(t, response.Body.Close())
	})
}

// TestWriteDeadline lets a request's write deadline pass between two requests.
func TestWriteDeadline(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
		_ = http.NewResponseController(w).Flush()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
	}
	inBubble(t, handler, func(t *testing.T, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for range 2 {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
			require.NoError(t, err)
			require.Equal(t, "ok", answerOf(t, reader))
			time.Sleep(2 * time.Second)
		}
	})
}
