package clemrouter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

// The status that the client gets, and how many times servers received the
// request, for each combination of route and outcomes.
func TestResponses(t *testing.T) {
	noKey := http.Header{"Key": {""}}
	for name, c := range map[string]struct {
		path      string
		header    http.Header
		responses []string
		refused   int
		status    int
		sent      int
	}{
		"served":                                   {path: "/safe/x", responses: []string{okResponse}, status: 200, sent: 1},
		"no route":                                 {path: "/other/", status: 404},
		"no key":                                   {path: "/safe/", header: noKey, status: 401},
		"malformed header":                         {path: "/safe/", header: http.Header{"Broken": {"1"}}, status: 400},
		"safe is tried again after an error":       {path: "/safe/", responses: []string{serverErrorResponse, okResponse}, status: 200, sent: 2},
		"safe is limited to its attempts":          {path: "/safe/", responses: []string{serverErrorResponse, serverErrorResponse, okResponse}, status: 500, sent: 2},
		"safe is tried again after a reset":        {path: "/safe/", responses: []string{connectionReset, okResponse}, status: 200, sent: 2},
		"unsigned success counts as none":          {path: "/safe/", responses: []string{unsignedResponse, okResponse}, status: 200, sent: 2},
		"unsafe runs once, the error is forwarded": {path: "/unsafe/", responses: []string{serverErrorResponse, okResponse}, status: 500, sent: 1},
		"unsafe with unknown outcome":              {path: "/unsafe/", responses: []string{connectionReset, okResponse}, status: 502, sent: 1},
		"unsafe that was not run is retried":       {path: "/unsafe/", responses: []string{fullResponse, okResponse}, status: 200, sent: 2},
		"unsafe that was misdirected is retried":   {path: "/unsafe/", responses: []string{misdirectedResponse, okResponse}, status: 200, sent: 2},
		"unsafe with a signed 503 becomes 502":     {path: "/unsafe/", responses: []string{signedBusyResponse, okResponse}, status: 502, sent: 1},
		"unreached servers need no budget":         {path: "/unsafe/", responses: []string{okResponse}, refused: 2, status: 200, sent: 1},
		"all full is a true refusal":               {path: "/unsafe/", responses: []string{fullResponse, fullResponse, fullResponse, fullResponse}, status: 503, sent: 3},
		"stream that is not resumable":             {path: "/stream/", responses: []string{connectionReset, okResponse}, status: 502, sent: 1},
		"resumable stream at a silent server":      {path: "/hasty/", responses: []string{noResponse, streamHead + testEvent(1)}, status: 200, sent: 2},
		"resumable stream before its start":        {path: "/resumable/", responses: []string{connectionReset, streamHead + testEvent(1)}, status: 200, sent: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.responses...)
			f.failingDials = c.refused
			status, header, _, err := f.post(c.path, c.header)
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Len(t, f.received, c.sent)
			if status == 503 || status == 429 {
				require.NotEmpty(t, header.Get("Retry-After"))
			}
			if status >= 400 && status != 500 {
				require.Equal(t, "r1", header.Get("Id"))
				require.Empty(t, header.Get("Signed"))
			}
			require.Zero(t, f.router.ActiveRequests())
		})
	}
}

// Without a configuration, a request is refused as not run and the client is told
// when to retry: sooner if another entry can serve it.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t)
	f.router.config.Table = &clemroute.Table{}
	status, header, _, err := f.post("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "0.100", header.Get("Retry-After"), "another entry can serve it")

	// No entry has a configuration, as after a power loss of all entries during an
	// outage of the store.
	f.router.config.NoPeerServes = func() bool { return true }
	_, header, _, err = f.post("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, "1.000", header.Get("Retry-After"))
}

func TestBodyAboveLimitIsRefused(t *testing.T) {
	f := newFixture(t, okResponse)
	response, err := f.front.Client().Post(f.front.URL+"/safe/", "", strings.NewReader(strings.Repeat("x", 65)))
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusUnauthorized, response.StatusCode, "the key is checked first")
	request, err := http.NewRequest(http.MethodPost, f.front.URL+"/safe/", strings.NewReader(strings.Repeat("x", 65)))
	require.NoError(t, err)
	request.Header.Set("Key", "k")
	response, err = f.front.Client().Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Empty(t, f.received)
}

// A stream that breaks off within an event: the client gets the complete events
// and an error that the stream is incomplete.
func TestIncompleteEventIsDropped(t *testing.T) {
	f := newFixture(t, "HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n"+
		fmt.Sprintf("%x\r\n%s\r\n", len(testEvent(1)), testEvent(1))+"5\r\nid: 2\r\n!")
	status, _, body, err := f.post("/stream/", nil)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, testEvent(1), body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A resumable stream that breaks off continues at another server after the last
// complete event.
func TestBrokenStreamResumesAtAnotherServer(t *testing.T) {
	truncated := "HTTP/1.1 200 OK\r\nSigned: first\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(testEvent(1)+testEvent(2)), testEvent(1)+testEvent(2)) + "5\r\nid: 3\r\n!"
	f := newFixture(t, truncated, streamHead+testEvent(3)+testEvent(4))
	status, header, body, err := f.post("/resumable/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "first", header.Get("Signed"), "the first server's headers are kept")
	require.Equal(t, testEvent(1)+testEvent(2)+testEvent(3)+testEvent(4), body)
	require.Equal(t, "2", f.received[1].Header.Get("Resume"))
}

// A stream is aborted if the server that resumes it skips an event id, since its
// events then belong to another run.
func TestStreamWithEventGapIsAborted(t *testing.T) {
	truncated := "HTTP/1.1 200 OK\r\nSigned: first\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(testEvent(1)), testEvent(1)) + "!"
	f := newFixture(t, truncated, streamHead+testEvent(3))
	_, _, body, err := f.post("/resumable/", nil)
	require.Error(t, err)
	require.Equal(t, testEvent(1), body)
}

// Retries stop when the retry budget is exhausted: with a ratio of 0 and a slack of
// 3, the fourth request is not retried.
func TestRetriesStayWithinBudget(t *testing.T) {
	responses := []string{serverErrorResponse, okResponse, serverErrorResponse, okResponse, serverErrorResponse, okResponse, serverErrorResponse, serverErrorResponse}
	f := newFixture(t, responses...)
	for range 3 {
		status, _, _, _ := f.post("/safe/", nil)
		require.Equal(t, http.StatusOK, status)
	}
	status, _, _, _ := f.post("/safe/", nil)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Len(t, f.received, 7)
}

// A draining entry serves requests that can end in time, refuses the others as
// not run, and asks clients to close their connections.
func TestDraining(t *testing.T) {
	f := newFixture(t, okResponse)
	f.router.Drain(time.Now().Add(time.Hour))
	status, header, _, err := f.post("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "close", header.Get("Connection"))
	f = newFixture(t, okResponse)
	f.router.Drain(time.Now())
	status, header, _, err = f.post("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Empty(t, f.received)
}

// A client that disconnects during a stream ends the request.
func TestClientDisconnectEndsRequest(t *testing.T) {
	f := newFixture(t, "HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n"+
		fmt.Sprintf("%x\r\n%s\r\n", len(testEvent(1)), testEvent(1)))
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/stream/", nil)
	require.NoError(t, err)
	request.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	response, err := f.front.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len(testEvent(1))))
	require.NoError(t, err)
	cancel()
	require.Eventually(t, func() bool { return f.router.ActiveRequests() == 0 }, waitLimit, waitInterval)
}

func TestEventIDs(t *testing.T) {
	events := summarizeEvents([]byte("x-versions: 2\nid: 7\ndata: a\n\nid:8\ndata: b\n\n"))
	require.Equal(t, []any{"7", "8", 2}, []any{events.firstID, events.lastID, events.count})
	require.True(t, isNextEvent("7", "8"))
	require.False(t, isNextEvent("7", "9"))
	require.True(t, isNextEvent("a", "b"))
}

// A request whose connection was still being opened reached a server of a data centre that
// was evacuated meanwhile. It is refused as not run; the servers are not ejected.
func TestEvacuationWhileConnectionIsOpened(t *testing.T) {
	f := newFixture(t, okResponse, okResponse)
	directory := f.router.config.Directory
	f.onDial = func() { directory.SetEvacuated([]string{""}, time.Now()) }
	status, header, _, err := f.post("/unsafe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Empty(t, f.received)
	f.onDial = nil
	directory.SetEvacuated(nil, time.Now())
	require.Equal(t, 3, directory.CountStates(time.Now())[clempool.StateOpen])
	status, _, _, err = f.post("/unsafe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
