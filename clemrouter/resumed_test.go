package clemrouter

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// cutStream is a stream that breaks off after its first event.
func cutStream() string {
	return "HTTP/1.1 200 OK\r\nSigned: first\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(testEvent(1)), testEvent(1)) + "!"
}

// response returns a response with a length.
func response(status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nSigned: second\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
}

// Guards against an error of the next server within a stream that broke off at the
// first one, and against a stream that ends there as if it were complete (ORDER,
// MIXED).
func TestErrorOfNextServerIsNoPartOfAStream(t *testing.T) {
	const plain, events = "text/plain", "text/event-stream"
	for name, next := range map[string]string{
		"error":                         response("500 Bad", plain, "the error\n\n"),
		"error event":                   response("500 Bad", events, "id: 2\ndata: the error\n\n"),
		"refusal":                       fullResponse,
		"signed refusal":                signedBusyResponse,
		"misdirected":                   misdirectedResponse,
		"client's fault":                response("400 Bad", plain, "the error\n\n"),
		"no content":                    "HTTP/1.1 204 None\r\nSigned: second\r\n\r\n",
		"redirect":                      response("302 Found", plain, "the error\n\n"),
		"error as a success":            response("200 OK", "application/json", `{"error": "the error"}`+"\n\n"),
		"empty success":                 response("200 OK", "application/json", ""),
		"error as an event":             response("200 OK", events, "event: error\ndata: the error\n\n"),
		"error before the next event":   response("200 OK", events, "data: the error\n\n"+testEvent(2)),
		"error with the next event":     chunked("data: the error\n\n", testEvent(2)),
		"head of an error as the body":  response("200 OK", events, "HTTP/1.1 500 Bad\nContent-Type: text/plain\n\nthe error\n\n"),
		"head of an error in a chunk":   chunked("HTTP/1.1 500 Bad\r\nContent-Length: 9\r\n\r\nthe error"),
		"head without length or events": undelimited + "!",
		"reset after the head":          undelimited + resetAfter,
		"comment without events":        undelimited + ": wait\n\n!",
		"unsigned":                      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
		"other run":                     streamHead + testEvent(1) + testEvent(2),
		"no answer":                     connectionReset,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, cutStream(), next)
			status, header, body, err := f.post("/resumable/", nil)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "first", header.Get("Signed"))
			require.Equal(t, testEvent(1), body)
			require.Error(t, err, "the stream looks complete")
		})
	}
}

// Guards against a second run from the start within a stream whose events have no ids,
// or whose last events have none.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	for name, events := range map[string]string{"no id": "data: a\n\n", "no id at the end": testEvent(1) + "data: b\n\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n!", len(events), events), streamHead+events)
			_, _, body, err := f.post("/resumable/", nil)
			require.Error(t, err)
			require.Equal(t, events, body)
			require.Len(t, f.received, 1)
		})
	}
}

// A resumed stream may have nothing left to send. Comments before its first event are
// left out, since nothing shows that they are no error.
func TestRestOfAStream(t *testing.T) {
	for name, c := range map[string]struct{ next, body string }{
		"events":                {streamHead + testEvent(2), testEvent(1) + testEvent(2)},
		"comment before events": {chunked(": wait\n\n", testEvent(2)), testEvent(1) + testEvent(2)},
		"comment with events":   {chunked(": wait\n\n"+testEvent(2), testEvent(3)), testEvent(1) + testEvent(2) + testEvent(3)},
		"comment after events":  {chunked(testEvent(2), ": wait\n\n"), testEvent(1) + testEvent(2) + ": wait\n\n"},
		"nothing left":          {chunked(), testEvent(1)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, cutStream(), c.next)
			_, _, body, err := f.post("/resumable/", nil)
			require.NoError(t, err)
			require.Equal(t, c.body, body)
		})
	}
}

// Guards against a stream that is given up because one of several servers answers with
// an error in place of the rest.
func TestRestComesFromAThirdServer(t *testing.T) {
	f := newFixture(t, cutStream(), response("200 OK", "text/event-stream", "data: the error\n\n"), streamHead+testEvent(2))
	_, _, body, err := f.post("/patient/", nil)
	require.NoError(t, err)
	require.Equal(t, testEvent(1)+testEvent(2), body)
}

// Guards against a stalled stream that is moved though its last event has no id.
func TestStalledStreamWithoutIDsIsNotMoved(t *testing.T) {
	f := newFixture(t, chunked("data: a\n\n", "data: b\n\n"), streamHead+testEvent(1))
	_, _, body, err := f.post("/steady/", nil)
	require.NoError(t, err)
	require.Equal(t, "data: a\n\ndata: b\n\n", body)
	require.Len(t, f.received, 1)
}
