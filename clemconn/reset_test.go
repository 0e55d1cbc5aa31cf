package clemconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// uploadSize is the size in bytes of a request's body, more than the kernel buffers.
	uploadSize = 16 << 20
	// resetRounds is how often a connection is reset. Which system call gets to know of
	// it differs.
	resetRounds = 40
	// undelimitedHead is the head of a response that ends with its connection.
	undelimitedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
)

// newUpload returns a request whose body the server need not read before it responds.
func newUpload(size int) *Request {
	r := newRequest("1")
	r.Body = []byte(strings.Repeat("x", size))
	return r
}

// scriptedConn is a connection whose reads return a response and its end, while the
// write of the request's body waits for them and returns an error or nil.
type scriptedConn struct {
	net.Conn
	response io.Reader
	hasEnded chan struct{}
	writeErr error
}

func (c *scriptedConn) Read(to []byte) (int, error) {
	n, err := c.response.Read(to)
	if err == io.EOF {
		select {
		case <-c.hasEnded:
		default:
			close(c.hasEnded)
		}
	}
	return n, err
}

func (c *scriptedConn) Write(from []byte) (int, error) {
	if len(from) > maxInlineBody {
		<-c.hasEnded
		return 0, c.writeErr
	}
	return len(from), nil
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *scriptedConn) Close() error { return nil }

// Guards against a part of an undelimited response that is taken for the whole because the
// write of the request, and not the read of the response, got the reset of the connection.
func TestResetThatTheWriteGets(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		writeErr error
		isWhole  bool
	}{
		"undelimited, reset":  {head: undelimitedHead, writeErr: syscall.ECONNRESET},
		"undelimited, broken": {head: undelimitedHead, writeErr: syscall.EPIPE},
		"undelimited, closed": {head: undelimitedHead, isWhole: true},
		"length, reset":       {head: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n", writeErr: syscall.ECONNRESET, isWhole: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Address: "x", Dial: func(context.Context, string, string) (net.Conn, error) {
				return &scriptedConn{response: strings.NewReader(c.head + "good"), hasEnded: make(chan struct{}), writeErr: c.writeErr}, nil
			}})
			response, err := p.Exchange(t.Context(), newUpload(maxInlineBody+1))
			require.NoError(t, err)
			defer response.Close()
			body, err := io.ReadAll(response)
			require.Equal(t, "good", string(body))
			if c.isWhole {
				require.NoError(t, err)
				return
			}
			require.True(t, IsBroken(err), "%v", err)
			_, err = response.Read(make([]byte, 1))
			require.True(t, IsBroken(err), "the error stays: %v", err)
		})
	}
}

// startEarlyServer starts a server that responds to each request before it has read the
// body, and ends the connection with the function. It returns the server's address.
func startEarlyServer(t *testing.T, response string, end func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
				_, _ = io.WriteString(conn, response)
				end(conn.(*net.TCPConn))
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// The same with sockets.
func TestResetDuringAnUpload(t *testing.T) {
	address := startEarlyServer(t, undelimitedHead+"half of it", func(conn *net.TCPConn) {
		// The client reads the response and waits for its end by then.
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
	})
	p := New(Config{Address: address})
	whole := 0
	for range resetRounds {
		response, err := p.Exchange(t.Context(), newUpload(uploadSize))
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(response); err == nil {
			whole++
		}
		response.Close()
	}
	require.Zero(t, whole, fmt.Sprintf("of %d broken responses look whole", resetRounds))
}

// Guards against an undelimited response that waits for the rest of an upload which its
// server does not read, or that is taken for a broken one because of it.
func TestEndBeforeTheEndOfAnUpload(t *testing.T) {
	hasRead := make(chan struct{})
	address := startEarlyServer(t, undelimitedHead+"whole", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-hasRead
	})
	defer close(hasRead)
	response, err := New(Config{Address: address}).Exchange(t.Context(), newUpload(uploadSize))
	require.NoError(t, err)
	defer response.Close()
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}
