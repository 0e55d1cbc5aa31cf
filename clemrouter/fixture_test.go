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
	"strconv"
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
	tokens, _ := strconv.Atoi(header.Get("Tokens"))
	var parts []clementineturn.PromptPart
	if prompt, err := strconv.Atoi(header.Get("Prompt")); err == nil {
		parts = append(parts, clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: 1, Tokens: prompt}))
	}
	return clementineturn.NewRequestInfo(clementineturn.RequestInfoConfig{
		RequestID: header.Get("Id"), APIKey: header.Get("Key"), Timeout: timeout, MaxOutputTokens: tokens, Parts: parts,
	}), nil
}

func (testDialect) EncodeRequest(header http.Header, d clementineturn.Dispatch) http.Header {
	return http.Header{"Id": header["Id"], "Organisation": {d.Organisation()}, "Resume": {d.LastEventID()}, "Server": {d.Server()}}
}

func (testDialect) DecodeResponse(status int, header http.Header) clementineturn.ResponseInfo {
	rest, _ := time.ParseDuration(header.Get("Rest"))
	var leavingErr error
	if text := header.Get("Leaving"); text != "" && text != "1" {
		leavingErr = clementineturn.Invalid("Leaving", "it is %q", text)
	}
	return clementineturn.NewResponseInfo(clementineturn.ResponseInfoConfig{
		Leaving: header.Get("Leaving") == "1", LeavingError: leavingErr, Rest: rest,
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
	// onDial, if set, is called before each dial.
	onDial func()
	// runTime is how long the servers take before they respond.
	runTime time.Duration
}

// Responses of backend servers. A final "!" closes the connection, and ownID stands for
// the request's id.
const (
	ownID               = "OWN"
	okResponse          = "HTTP/1.1 200 OK\r\nId: " + ownID + "\r\nSigned: s\r\nContent-Length: 4\r\n\r\ngood"
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
	// sentAgain at the end of a response sends it once more when the next request has
	// arrived on the connection.
	sentAgain = "again"
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

// newFixture returns a fixture whose router listens.
func newFixture(t *testing.T, responses ...string) *fixture {
	t.Helper()
	f := newBareFixture(t, responses...)
	f.front = httptest.NewServer(f.router)
	t.Cleanup(f.front.Close)
	return f
}

// newBareFixture returns a fixture whose router gets requests from serve alone, as in
// a synctest bubble.
func newBareFixture(t *testing.T, responses ...string) *fixture {
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
			route("stream", clemroute.KindStream, 1, false), route("resumable", clemroute.KindStream, 2, true), route("patient", clemroute.KindStream, 3, true), quickRetry, steady,
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
		directory.Put(clempool.NewRecord(clempool.RecordConfig{ID: id, Service: "pool", Address: id, Slots: 8, SoftwareVersion: "v1"}))
	}
	f.router = New(Config{
		Dialect: testDialect{}, Table: table, Directory: directory,
		RetryBudget: clembudget.NewRetryWindow(clembudget.RetryWindowConfig{
			Length: func() time.Duration { return time.Minute }, Ratio: func() float64 { return 0 }, Slack: func() float64 { return 3 },
		}),
	})
	return f
}

// serve passes a request to the router and returns the response. The status is 0 if
// the router aborted it.
func (f *fixture) serve(path string, header http.Header, body io.Reader) *httptest.ResponseRecorder {
	return f.serveUntil(context.Background(), path, header, body)
}

// serveUntil is serve for a request whose context may end.
func (f *fixture) serveUntil(ctx context.Context, path string, header http.Header, body io.Reader) (recorder *httptest.ResponseRecorder) {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1"+path, body)
	request.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	for name, values := range header {
		request.Header[name] = values
	}
	recorder = httptest.NewRecorder()
	defer func() {
		if aborted := recover(); aborted != nil {
			recorder.Code = 0
		}
	}()
	f.router.ServeHTTP(recorder, request)
	return recorder
}

// arrivals returns the number of requests that servers received.
func (f *fixture) arrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.received)
}

// setRunTime sets how long the servers take from now on.
func (f *fixture) setRunTime(runTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runTime = runTime
}

// closeServers closes all connections to the servers.
func (f *fixture) closeServers() {
	for _, id := range []string{"s1", "s2", "s3"} {
		f.router.config.Directory.Remove(id)
	}
}

func (f *fixture) dial(context.Context, string, string) (net.Conn, error) {
	if f.onDial != nil {
		f.onDial()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingDials > 0 {
		f.failingDials--
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	conn := &resettableConn{Conn: client}
	f.dials++
	go f.respond(server, &conn.isReset)
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

func (f *fixture) respond(conn net.Conn, isReset *atomic.Bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, late); err != nil {
			return
		}
		f.mu.Lock()
		f.received = append(f.received, request)
		response := connectionReset
		if len(f.responses) > 0 {
			response, f.responses = f.responses[0], f.responses[1:]
		}
		runTime := f.runTime
		f.mu.Unlock()
		time.Sleep(runTime)
		if response == noResponse {
			_, _ = reader.ReadByte()
			return
		}
		response = strings.ReplaceAll(response, ownID, request.Header.Get("Id"))
		response, isTwice := strings.CutSuffix(response, sentAgain)
		if late = ""; isTwice {
			late = response
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
