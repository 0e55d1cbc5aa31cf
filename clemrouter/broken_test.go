package clemrouter

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// signedHead is the head of a response up to its status line, without its end.
const signedHead = "Id: " + ownID + "\r\nSigned: s\r\n"

// requireNoAnswer checks what the client gets if a server sends the response, on a request
// of each kind: another server's response, or a failure that promises nothing.
func requireNoAnswer(t *testing.T, response string) {
	t.Helper()
	two := testEvent(1) + testEvent(2)
	for _, c := range []struct {
		path, next string
		status     int
		body       string
		arrivals   int
	}{
		{"/safe/", okResponse, http.StatusOK, "good", 2},
		{"/unsafe/", okResponse, http.StatusBadGateway, "", 1},
		{"/stream/", streamHead + two, http.StatusBadGateway, "", 1},
		{"/resumable/", streamHead + two, http.StatusOK, two, 2},
	} {
		f := newFixture(t, response, c.next)
		status, header, body, err := f.post(c.path, nil)
		require.NoError(t, err, c.path)
		require.Equal(t, c.status, status, c.path)
		if status == http.StatusOK {
			require.Equal(t, c.body, body, c.path)
		}
		for name, values := range header {
			require.NotContains(t, strings.Join(values, ","), "odd", name)
		}
		require.Len(t, f.received, c.arrivals, c.path)
	}
	f := newFixture(t, streamHead+testEvent(1)+"id: 2\n", response)
	status, _, body, err := f.post("/resumable/", nil)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, testEvent(1), body)
	require.Error(t, err, "in place of a stream's rest")
}

// Guards against responses whose status code HTTP does not have. A code below 100 was
// skipped like that of an interim response, and the body taken for the response after it.
func TestStatusOutsideHTTP(t *testing.T) {
	for _, code := range []string{"000", "001", "099", "+00", "+20", "-01", "0x1", "00", "1000"} {
		t.Run(code, func(t *testing.T) {
			head := "HTTP/1.1 " + code + " Odd\r\n" + signedHead
			requireNoAnswer(t, head+"Content-Length: 3\r\n\r\nodd")
			requireNoAnswer(t, head+"Content-Length: 0\r\n\r\n")
			requireNoAnswer(t, head+"\r\nodd!")
			requireNoAnswer(t, head+"Content-Length: 999\r\n\r\nHTTP/1.1 200 OK\r\n"+signedHead+"Content-Length: 3\r\n\r\nodd")
			requireNoAnswer(t, head+"\r\nHTTP/1.1 200 OK\r\n"+signedHead+"Content-Type: text/event-stream\r\n\r\n"+strings.ReplaceAll(testEvent(1), "x", "odd")+"!")
		})
	}
}

// Guards against bytes of another protocol that look like a response. No request asks for
// one, and net/http accepts any version.
func TestResponseOfAnotherProtocol(t *testing.T) {
	rest := signedHead + "Content-Length: 3\r\n\r\nodd"
	for name, start := range map[string]string{
		"switched":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\nHTTP/1.1 200 OK\r\n",
		"switched unasked":   "HTTP/1.1 101 Odd\r\n\r\nHTTP/1.1 200 OK\r\n",
		"version 0.9":        "HTTP/0.9 200 OK\r\n",
		"version 2.0":        "HTTP/2.0 200 OK\r\n",
		"interim, version 3": "HTTP/3.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, start+rest) })
	}
}

// oddNames are lines of a head whose field has a name that HTTP does not have.
var oddNames = map[string]string{
	"blank": "Odd Name: odd", "blank before the colon": "Odd : odd", "tab": "Odd\tName: odd", "tab before the colon": "Odd\t: odd",
	"control byte": "Odd\x01Name: odd", "control byte first": "\x0bOdd: odd", "null byte": "Odd\x00: odd", "delete": "Odd\x7f: odd", "carriage return": "Odd\r: odd",
	"no name": ": odd", "length, blank": "Content-Length : 3", "length, control byte": "Content-Length\x02: 3", "chunks, blank": "Transfer-Encoding : chunked",
}

// Guards against responses with a line that names no field of HTTP: it was passed on, or it
// told how the body is framed, which the client got with its framing or a part of.
func TestNamesOutsideHTTP(t *testing.T) {
	for name, line := range oddNames {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + signedHead
			requireNoAnswer(t, head+line+"\r\nContent-Length: 3\r\n\r\nodd")
			requireNoAnswer(t, head+"Content-Length: 8\r\n"+line+"\r\n\r\n3\r\nodd\r\n0\r\n\r\n!")
			requireNoAnswer(t, head+line+"\r\n\r\n3\r\nodd\r\n0\r\n\r\n!")
			requireNoAnswer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+signedHead+"Content-Type: text/event-stream\r\n\r\n"+strings.ReplaceAll(testEvent(1), "x", "odd")+"!")
			requireNoAnswer(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+head+"Content-Length: 3\r\n\r\nodd")
			requireNoAnswer(t, "HTTP/1.1 500 Odd\r\n"+signedHead+line+"\r\nContent-Length: 3\r\n\r\nodd")
		})
	}
}

// A value that goes on in the next line is joined with a blank (RFC 9112, section 5.2).
func TestFoldedValueIsJoined(t *testing.T) {
	f := newFixture(t, "HTTP/1.1 200 OK\r\n"+signedHead+"Even: a\r\n \tb\r\nContent-Length: 4\r\n\r\ngood")
	status, header, body, err := f.post("/unsafe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "a b", header.Get("Even"))
	require.Equal(t, "good", body)
}

// Guards against a server that stops in the middle of its response's head and closes or
// resets the connection: the client got a success with an empty or short body.
func TestHeadThatBreaksOff(t *testing.T) {
	signed := strings.ReplaceAll(signedHead, ownID, "r1")
	for name, head := range map[string]string{
		"length":          "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 3\r\n\r\n",
		"no length first": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + signed + "\r\n",
		"chunks":          "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n",
		"undelimited":     "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: text/event-stream\r\n\r\n",
		"no body":         "HTTP/1.1 204 No Content\r\n" + signed + "\r\n",
		"interim":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 3\r\n\r\n",
		"line feeds":      "HTTP/1.1 200 OK\n" + strings.ReplaceAll(signed, "\r", "") + "Content-Length: 3\n\n",
		"folded value":    "HTTP/1.1 200 OK\r\n" + signed + "Even: a\r\n \tb\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for at := range head {
				requireNoAnswer(t, head[:at]+"!")
				requireNoAnswer(t, head[:at]+resetAfter)
			}
		})
	}
}
