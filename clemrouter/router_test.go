package clemrouter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

// testDialect is a Dialect with headers of one word each.
type testDialect struct{}

func (testDialect) DecodeRequest(header http.Header) (clementineturn.RequestInfo, error) {
	if header.Get("Broken") != "" {
		return clementineturn.NewRequestInfo(clementineturn.RequestInfoConfig{RequestID: header.Get("Id")}), clementineturn.Invalid("Broken", "it is there")
	}
	timeout, _ := time.ParseDuration(header.Get("Patience"))
	return clementineturn.NewRequestInfo(clementineturn.RequestInfoConfig{RequestID: header.Get("Id"), APIKey: header.Get("Key"), Timeout: timeout}), nil
}

func (testDialect) EncodeRequest(header http.Header, d clementineturn.Dispatch) http.Header {
	return http.Header{"Id": header["Id"], "Organisation": {d.Organisation()}, "Resume": {d.LastEventID()}, "Server": {d.Server()}}
}

func (testDialect) DecodeResponse(status int, header http.Header) clementineturn.ResponseInfo {
	return clementineturn.NewResponseInfo(clementineturn.ResponseInfoConfig{
		RequestID: header.Get("Id"), Signed: header.Get("Signed") != "",
		NotRun: header.Get("Unrun") != "" || status == http.StatusMisdirectedRequest, Misdirected: status == http.StatusMisdirectedRequest,
	})
}

func (testDialect) SetRequestID(header http.Header, id string) { header.Set("Id", id) }

// fixture is a router in front of backend servers that send scripted responses.
type fixture struct {
	t      *testing.T
	router *Router
	front  *httptest.Server

	mu        sync.Mutex
	responses []string
	// received holds the requests that the servers received.
	received []*http.Request
	// dials is the number of connections, failingDials that of dials that still fail.
	dials, failingDials int
}

// Responses of backend servers. A final "!" closes the connection.
const (
	okResponse          = "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 4\r\n\r\ngood"
	serverErrorResponse = "HTTP/1.1 500 Bad\r\nSigned: s\r\nContent-Length: 3\r\n\r\nbad"
	fullResponse        = "HTTP/1.1 503 Full\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
	misdirectedResponse = "HTTP/1.1 421 Wrong\r\nContent-Length: 0\r\n\r\n"
	unsignedResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	signedBusyResponse  = "HTTP/1.1 503 Busy\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"
	connectionReset     = "!"
	// noResponse sends nothing until the router closes the connection.
	noResponse = "hang"
	// pause makes the server wait for pauseTime, longer than the timeout of the
	// steady route, before it sends the rest.
	pause = "pause"
	// resetAfter at the end of a response resets the connection.
	resetAfter = "reset"
	// shortPause is a twentieth of it.
	shortPause = "rest"
	streamHead = "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n"
)

// waitLimit is the timeout of conditions that must become true. It does not test
// speed.
const (
	waitLimit    = time.Minute
	waitInterval = time.Millisecond
)

const pauseTime = 80 * time.Millisecond

// occupySlots takes slots of the servers as if requests were running there.
func occupySlots(t *testing.T, f *fixture, slots int) {
	t.Helper()
	for range slots {
		_, err := f.router.config.Directory.Acquire(clempool.Request{Service: "pool"}, time.Now())
		require.NoError(t, err)
	}
}

func testEvent(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

func newFixture(t *testing.T, responses ...string) *fixture {
	t.Helper()
	f := &fixture{t: t, responses: responses}
	table := &clemroute.Table{}
	route := func(name string, kind clemroute.Kind, attempts int, isResumable bool) clemroute.RouteConfig {
		return clemroute.RouteConfig{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: isResumable,
			Timeout: time.Minute, LatencyTarget: 10 * time.Second, Targets: []clemroute.Target{clemroute.NewTarget("pool", 1)},
		}
	}
	quickRetry := route("hasty", clemroute.KindStream, 2, true)
	quickRetry.LatencyTarget = 20 * time.Millisecond
	steady := route("steady", clemroute.KindStream, 2, true)
	steady.EventGapTarget = 20 * time.Millisecond
	configuration, err := clemroute.New(clemroute.Config{
		Version: 1,
		Routes: []clemroute.RouteConfig{
			route("safe", clemroute.KindSafe, 2, false), route("unsafe", clemroute.KindUnsafe, 1, false),
			route("stream", clemroute.KindStream, 1, false), route("resumable", clemroute.KindStream, 2, true), quickRetry, steady,
		},
		Services:      []clemroute.ServiceConfig{{Name: "pool"}},
		Organisations: []clemroute.OrganisationConfig{{Name: "acme", Keys: []string{"k"}}},
		Limits:        clemroute.LimitsConfig{MaxBodyBytes: 64},
	})
	require.NoError(t, err)
	table.Apply(configuration)
	directory := clempool.New(clempool.Config{
		MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 }, Dial: f.dial,
	})
	for _, id := range []string{"s1", "s2", "s3"} {
		directory.Put(clempool.NewRecord(clempool.RecordConfig{ID: id, Service: "pool", Address: id, Slots: 8}))
	}
	f.router = New(Config{
		Dialect: testDialect{}, Table: table, Directory: directory,
		RetryBudget: clembudget.NewRetryWindow(clembudget.RetryWindowConfig{
			Length: func() time.Duration { return time.Minute }, Ratio: func() float64 { return 0 }, Slack: func() float64 { return 3 },
		}),
	})
	f.front = httptest.NewServer(f.router)
	t.Cleanup(f.front.Close)
	return f
}

func (f *fixture) dial(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingDials > 0 {
		f.failingDials--
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	conn := &resettableConn{Conn: client}
	f.dials++
	go f.serve(server, &conn.isReset)
	return conn, nil
}

// resettableConn is a connection whose end can be a reset.
type resettableConn struct {
	net.Conn
	isReset atomic.Bool
}

func (c *resettableConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	if err == io.EOF && c.isReset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

func (f *fixture) serve(conn net.Conn, isReset *atomic.Bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.mu.Lock()
		f.received = append(f.received, request)
		response := connectionReset
		if len(f.responses) > 0 {
			response, f.responses = f.responses[0], f.responses[1:]
		}
		f.mu.Unlock()
		if response == noResponse {
			_, _ = reader.ReadByte()
			return
		}
		text, resets := strings.CutSuffix(response, resetAfter)
		isReset.Store(resets)
		text, closes := strings.CutSuffix(text, "!")
		for i, part := range strings.Split(text, pause) {
			if i > 0 {
				time.Sleep(pauseTime)
			}
			for j, piece := range strings.Split(part, shortPause) {
				if j > 0 {
					time.Sleep(pauseTime / 20)
				}
				if _, err := io.WriteString(conn, piece); err != nil {
					return
				}
			}
		}
		if closes || resets || strings.HasPrefix(text, streamHead) {
			return
		}
	}
}

// post sends a request and returns the response's status, headers, body, and the
// error of reading the body.
func (f *fixture) post(path string, header http.Header) (int, http.Header, string, error) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.front.URL+path, strings.NewReader("body"))
	require.NoError(f.t, err)
	request.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := f.front.Client().Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	if response.Close {
		// net/http's client removes the header.
		response.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

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
	f.router.config.NoPeerConfigured = func() bool { return true }
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
	first, last, count := eventIDs([]byte("x-versions: 2\nid: 7\ndata: a\n\nid:8\ndata: b\n\n"))
	require.Equal(t, []any{"7", "8", 2}, []any{first, last, count})
	require.True(t, isNextEvent("7", "8"))
	require.False(t, isNextEvent("7", "9"))
	require.True(t, isNextEvent("a", "b"))
}
