package clemconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// startServer starts a server that sends the next of the texts to each request.
// It closes the connection after the last text and after one that ends in "!",
// which it does not send.
func startServer(t *testing.T, responses ...string) (address string, requests chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = make(chan string, 16)
	go func() {
		for len(responses) > 0 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			requests <- "connection"
			reader := bufio.NewReader(conn)
			for len(responses) > 0 {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				body, _ := io.ReadAll(request.Body)
				requests <- request.Method + " " + request.RequestURI + " " + string(body)
				response, closes := strings.CutSuffix(responses[0], "!")
				responses = responses[1:]
				_, _ = io.WriteString(conn, response)
				if closes {
					break
				}
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), requests
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a%2Fb/?q=1", Host: "h", Body: []byte("body"),
		Header: http.Header{"Id": {id}}, MaxIdle: keepAliveMargin * 100,
		Match: func(_ int, header http.Header) Match { return map[string]Match{id: MatchOwn}[header.Get("Id")] },
	}
}

func responseTo(id string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

func exchange(t *testing.T, p *Pool, id string) (string, error) {
	t.Helper()
	response, err := p.Exchange(context.Background(), newRequest(id))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// The target is sent as the client wrote it, and the connection is reused.
func TestConnectionIsReused(t *testing.T) {
	address, requests := startServer(t, responseTo("1"), responseTo("2"))
	p := New(Config{Address: address})
	for _, id := range []string{"1", "2"} {
		body, err := exchange(t, p, id)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Equal(t, "connection", <-requests)
	require.Equal(t, "POST /a%2Fb/?q=1 body", <-requests)
	require.Equal(t, "POST /a%2Fb/?q=1 body", <-requests)
}

// A response to another request that precedes the expected one is skipped.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := startServer(t, responseTo("0")+responseTo("1"))
	body, err := exchange(t, New(Config{Address: address}), "1")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

// A connection with bytes after the response is not reused: they could be taken
// for the next response.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	address, requests := startServer(t, responseTo("1")+responseTo("1"), responseTo("2"))
	p := New(Config{Address: address})
	_, err := exchange(t, p, "1")
	require.NoError(t, err)
	require.Empty(t, p.idle)
	require.Equal(t, "connection", <-requests)
}

// Guards against a late copy of a response that names no request, on a connection that
// carries another request by then.
func TestConnectionOfUnnamedResponseIsNotReused(t *testing.T) {
	address, requests := startServer(t, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
	p := New(Config{Address: address})
	r := newRequest("1")
	r.Match = func(int, http.Header) Match { return MatchUnnamed }
	response, err := p.Exchange(context.Background(), r)
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	require.NoError(t, err)
	response.Close()
	require.Empty(t, p.idle)
	require.Equal(t, "connection", <-requests)
}

func TestBrokenResponses(t *testing.T) {
	for name, response := range map[string]string{
		"no answer":      "!",
		"no HTTP":        "garbage\r\n\r\n!",
		"short body":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok!",
		"cut in a chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab!",
		"no last chunk":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n!",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, response)
			p := New(Config{Address: address})
			_, err := exchange(t, p, "1")
			require.Error(t, err)
			require.False(t, clementineturn.IsNotRun(err), "it may have run")
			require.Empty(t, p.idle)
		})
	}
}

// A response without a length ends with its connection.
func TestResponseWithoutLength(t *testing.T) {
	address, _ := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole!")
	p := New(Config{Address: address})
	body, err := exchange(t, p, "1")
	require.NoError(t, err)
	require.Equal(t, "whole", body)
	require.Empty(t, p.idle)
}

// A failed dial is reported as not run, a connection that closes after the
// request as an unknown outcome. In neither case is the request sent again.
func TestOutcomeOfUnsentRequests(t *testing.T) {
	failed := errors.New("refused")
	p := New(Config{Address: "x", Dial: func(context.Context, string, string) (net.Conn, error) { return nil, failed }})
	_, err := exchange(t, p, "1")
	require.True(t, clementineturn.IsNotRun(err))
	require.ErrorIs(t, err, failed)

	address, requests := startServer(t, "!", responseTo("1"))
	_, err = exchange(t, New(Config{Address: address}), "1")
	require.Error(t, err)
	require.Equal(t, "connection", <-requests)
	require.NotEqual(t, "connection", <-requests)
	require.Empty(t, requests, "sent once")
}

// An idle connection that the server has closed is detected before a request is
// written to it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, requests := startServer(t, responseTo("1")+"!", responseTo("2"))
	p := New(Config{Address: address})
	_, err := exchange(t, p, "1")
	require.NoError(t, err)
	for len(p.idle) > 0 && isUsable(p.idle[0].Conn) { //revive:disable-line:empty-block
	}
	body, err := exchange(t, p, "2")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, []string{"connection", "POST /a%2Fb/?q=1 body", "connection"}, []string{<-requests, <-requests, <-requests})
}

// A cancelled context closes the connection to the server.
func TestCancelClosesConnection(t *testing.T) {
	client, other := net.Pipe()
	p := New(Config{Address: "x", Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(other))
		cancel()
	}()
	r := newRequest("1")
	r.Body = nil
	_, err := p.Exchange(ctx, r)
	require.ErrorIs(t, err, context.Canceled)
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err)
}

func TestKeepAliveDeadline(t *testing.T) {
	require.True(t, keepAliveDeadline("").IsZero())
	require.True(t, keepAliveDeadline("max=5, timeout=x").IsZero())
	require.False(t, keepAliveDeadline("timeout=5, max=100").IsZero())
}

func FuzzExchange(f *testing.F) {
	f.Add([]byte(responseTo("1")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + responseTo("1")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		client, other := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(other))
			_, _ = other.Write(raw)
			_ = other.Close()
		}()
		r := newRequest("1")
		r.Body = nil
		p := New(Config{Address: "x", Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
		response, err := p.Exchange(context.Background(), r)
		if err != nil {
			return
		}
		require.Equal(t, "1", response.Header.Get("Id"))
		_, _ = io.Copy(io.Discard, response)
		response.Close()
	})
}

// A request that is no longer wanted by its server was written all the same. The connection
// is kept, and one that the server closed at once shows that it may have restarted.
func TestBeforeSendEndsTheExchange(t *testing.T) {
	address, requests := startServer(t, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n!", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
	p := New(Config{Address: address})
	exchange := func(refusal error) (lost bool, err error) {
		r := newRequest("r1")
		r.BeforeSend = func(wasLost bool) error {
			lost = wasLost
			return refusal
		}
		response, err := p.Exchange(t.Context(), r)
		if err == nil {
			_, _ = io.Copy(io.Discard, response)
			response.Close()
		}
		return lost, err
	}
	refusal := errors.New("closed")
	_, err := exchange(refusal)
	require.ErrorIs(t, err, refusal)
	_, err = exchange(nil)
	require.NoError(t, err)
	lost, err := exchange(nil)
	require.NoError(t, err)
	require.False(t, lost)
	require.Equal(t, "connection", <-requests)
	require.Contains(t, <-requests, "POST")
	require.Contains(t, <-requests, "POST")
	for len(p.idle) > 0 && !isClosed(p.idle[0].Conn) { //revive:disable-line:empty-block
	}
	lost, err = exchange(nil)
	require.NoError(t, err)
	require.True(t, lost)
	require.Equal(t, "connection", <-requests)
}
