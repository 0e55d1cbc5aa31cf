package clembackend

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// runRaw sends an at-most-once call to a server that answers with the text and closes the
// connection, and returns what the sink got.
func runRaw(t *testing.T, response string) (*recorder, error) {
	t.Helper()
	network := clemstandin.NewNetwork()
	listener := network.Listen("backend:80")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	}()
	b := New(Config{URL: "http://backend:80", Client: network.Client()})
	r := &recorder{}
	err := b.Run(t.Context(), reserveOffer(), r)
	b.Close()
	_ = listener.Close()
	<-ended
	return r, err
}

// requireNoResponse checks that the text is no response of a backend server.
func requireNoResponse(t *testing.T, text string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r, err := runRaw(t, text)
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnknown), "%q: %v", text, err)
		require.False(t, clementineturn.IsNotRun(err), text)
		require.Equal(t, (*clemwire.Start)(nil), r.start, text)
	})
}

// Guards against a claim that records a response without a status of HTTP as the outcome
// of its call.
func TestStatusOutsideHTTP(t *testing.T) {
	for _, code := range []string{"000", "099", "+20", "-01"} {
		requireNoResponse(t, "HTTP/1.1 "+code+" Odd\r\nContent-Length: 3\r\n\r\nodd")
		requireNoResponse(t, "HTTP/1.1 "+code+" Odd\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against a claim that records bytes of another protocol, for which no call asks.
func TestResponseOfAnotherProtocol(t *testing.T) {
	requireNoResponse(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\nodd")
}

// Guards against a response with a line that names no field of HTTP and was to tell how the
// body is framed: the caller got a part of the body, or its framing.
func TestNamesOutsideHTTP(t *testing.T) {
	for _, line := range []string{"Odd Name: odd", "Odd\x01: odd", "Transfer-Encoding : chunked", "Transfer-Encoding\x02: chunked"} {
		requireNoResponse(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 8\r\n\r\n3\r\nodd\r\n0\r\n\r\n")
	}
}

// Guards against a backend server that stops in the middle of its response's head and
// closes the connection: the caller got a success with an empty body.
func TestHeadThatBreaksOff(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\nServer: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for at := range head {
			requireNoResponse(t, head[:at])
		}
	}
}
