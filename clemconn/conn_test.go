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

// server answers each request with the next text; it closes the connection
// after a text that ends in "!", without the mark, and after the last one.
func server(t *testing.T, answers ...string) (address string, requests chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = make(chan string, 16)
	go func() {
		for len(answers) > 0 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			requests <- "connection"
			reader := bufio.NewReader(conn)
			for len(answers) > 0 {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				body, _ := io.ReadAll(request.Body)
				requests <- request.Method + " " + request.RequestURI + " " + string(body)
				answer, closes := strings.CutSuffix(answers[0], "!")
				answers = answers[1:]
				_, _ = io.WriteString(conn, answer)
				if closes {
					break
				}
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), requests
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a%2Fb/?q=1", Host: "h", Body: []byte("body"),
		Header: http.Header{"Id": {id}}, Kept: keepMargin * 100,
		IsOwn: func(_ int, header http.Header) bool { return header.Get("Id") == id },
	}
}

func answerTo(id string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

func exchange(t *testing.T, p *Pool, id string) (string, error) {
	t.Helper()
	response, err := p.Exchange(context.Background(), request(id))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// The target goes out as the client sent it, and the connection is used again.
func TestConnectionIsKept(t *testing.T) {
	address, requests := server(t, answerTo("1"), answerTo("2"))
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

// An extra answer that comes where the next one is due belongs to no request.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := server(t, answerTo("0")+answerTo("1"))
	body, err := exchange(t, New(Config{Address: address}), "1")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

// Bytes after a whole answer poison the connection: it is not used again.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	address, requests := server(t, answerTo("1")+answerTo("1"), answerTo("2"))
	p := New(Config{Address: address})
	_, err := exchange(t, p, "1")
	require.NoError(t, err)
	require.Empty(t, p.idle)
	require.Equal(t, "connection", <-requests)
}

func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"no answer":      "!",
		"no HTTP":        "garbage\r\n\r\n!",
		"short body":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok!",
		"cut in a chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab!",
		"no last chunk":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n!",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := server(t, answer)
			p := New(Config{Address: address})
			_, err := exchange(t, p, "1")
			require.Error(t, err)
			require.False(t, clementineturn.IsNotRun(err), "it may have run")
			require.Empty(t, p.idle)
		})
	}
}

// An answer without a length ends with its connection.
func TestAnswerWithoutLength(t *testing.T) {
	address, _ := server(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole!")
	p := New(Config{Address: address})
	body, err := exchange(t, p, "1")
	require.NoError(t, err)
	require.Equal(t, "whole", body)
	require.Empty(t, p.idle)
}

// Only a request of which no byte was written is known not to have run, and
// nothing is sent a second time.
func TestOutcomeOfUnsentRequests(t *testing.T) {
	failed := errors.New("refused")
	p := New(Config{Address: "x", Dial: func(context.Context, string, string) (net.Conn, error) { return nil, failed }})
	_, err := exchange(t, p, "1")
	require.True(t, clementineturn.IsNotRun(err))
	require.ErrorIs(t, err, failed)

	address, requests := server(t, "!", answerTo("1"))
	_, err = exchange(t, New(Config{Address: address}), "1")
	require.Error(t, err)
	require.Equal(t, "connection", <-requests)
	require.NotEqual(t, "connection", <-requests)
	require.Empty(t, requests, "sent once")
}

// A connection that the server closed while it was idle is noticed before
// anything is written to it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, requests := server(t, answerTo("1")+"!", answerTo("2"))
	p := New(Config{Address: address})
	_, err := exchange(t, p, "1")
	require.NoError(t, err)
	for len(p.idle) > 0 && isQuiet(p.idle[0].Conn) { //revive:disable-line:empty-block
	}
	body, err := exchange(t, p, "2")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, []string{"connection", "POST /a%2Fb/?q=1 body", "connection"}, []string{<-requests, <-requests, <-requests})
}

// A context that ends closes the connection towards the server.
func TestCancelClosesConnection(t *testing.T) {
	client, other := net.Pipe()
	p := New(Config{Address: "x", Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(other))
		cancel()
	}()
	r := request("1")
	r.Body = nil
	_, err := p.Exchange(ctx, r)
	require.ErrorIs(t, err, context.Canceled)
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err)
}

func TestKeptUntil(t *testing.T) {
	require.True(t, keptUntil("").IsZero())
	require.True(t, keptUntil("max=5, timeout=x").IsZero())
	require.False(t, keptUntil("timeout=5, max=100").IsZero())
}

func FuzzExchange(f *testing.F) {
	f.Add([]byte(answerTo("1")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answerTo("1")))
	f.Fuzz(func(t *testing.T, answer []byte) {
		client, other := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(other))
			_, _ = other.Write(answer)
			_ = other.Close()
		}()
		r := request("1")
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
