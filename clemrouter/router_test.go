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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

// testDialect names its headers by single words.
type testDialect struct{}

func (testDialect) Arrival(header http.Header) (clementineturn.Arrival, error) {
	if header.Get("Broken") != "" {
		return clementineturn.NewArrival(clementineturn.ArrivalConfig{ID: header.Get("Id")}), clementineturn.Invalid("Broken", "it is there")
	}
	patience, _ := time.ParseDuration(header.Get("Patience"))
	return clementineturn.NewArrival(clementineturn.ArrivalConfig{ID: header.Get("Id"), Key: header.Get("Key"), Patience: patience}), nil
}

func (testDialect) Outgoing(header http.Header, d clementineturn.Dispatch) http.Header {
	return http.Header{"Id": header["Id"], "Organisation": {d.Organisation()}, "Resume": {d.Resume()}, "Server": {d.Server()}}
}

func (testDialect) Reply(status int, header http.Header) clementineturn.Reply {
	return clementineturn.NewReply(clementineturn.ReplyConfig{
		ID: header.Get("Id"), Signed: header.Get("Signed") != "",
		NotRun: header.Get("Unrun") != "" || status == http.StatusMisdirectedRequest, Misdirected: status == http.StatusMisdirectedRequest,
	})
}

func (testDialect) Label(header http.Header, id string) { header.Set("Id", id) }

// world is a router before scripted backend servers.
type world struct {
	t      *testing.T
	router *Router
	front  *httptest.Server

	mu      sync.Mutex
	answers []string
	// got are the heads of the requests that servers got.
	got []*http.Request
	// dials fail while they are positive.
	refused int
}

// The answers of backend servers; "!" at the end closes the connection.
const (
	good     = "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 4\r\n\r\ngood"
	bad      = "HTTP/1.1 500 Bad\r\nSigned: s\r\nContent-Length: 3\r\n\r\nbad"
	full     = "HTTP/1.1 503 Full\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
	stranger = "HTTP/1.1 421 Wrong\r\nContent-Length: 0\r\n\r\n"
	unsigned = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	busy     = "HTTP/1.1 503 Busy\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"
	reset    = "!"
	// hang sends nothing until the other side closes the connection.
	hang      = "hang"
	streaming = "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n"
)

// waitLimit bounds waiting for what must happen; it is no measure of speed.
const (
	waitLimit = time.Minute
	waitPace  = time.Millisecond
)

// fill takes places at the servers as if requests ran there.
func fill(t *testing.T, w *world, places int) {
	t.Helper()
	for range places {
		_, err := w.router.config.Directory.Take(clempool.Want{Service: "pool"}, time.Now())
		require.NoError(t, err)
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

func newWorld(t *testing.T, answers ...string) *world {
	t.Helper()
	w := &world{t: t, answers: answers}
	table := &clemroute.Table{}
	route := func(name string, kind clemroute.Kind, attempts int, isResumable bool) clemroute.RouteConfig {
		return clemroute.RouteConfig{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Kind: kind, Attempts: attempts, Resumable: isResumable,
			Timeout: time.Minute, Objective: 10 * time.Second, Targets: []clemroute.Target{clemroute.NewTarget("pool", 1)},
		}
	}
	hasty := route("hasty", clemroute.KindStream, 2, true)
	hasty.Objective = 20 * time.Millisecond
	configuration, err := clemroute.New(clemroute.Config{
		Version: 1,
		Routes: []clemroute.RouteConfig{
			route("safe", clemroute.KindSafe, 2, false), route("unsafe", clemroute.KindUnsafe, 1, false),
			route("stream", clemroute.KindStream, 1, false), route("resumable", clemroute.KindStream, 2, true), hasty,
		},
		Services:      []clemroute.ServiceConfig{{Name: "pool"}},
		Organisations: []clemroute.OrganisationConfig{{Name: "acme", Keys: []string{"k"}}},
		Limits:        clemroute.LimitsConfig{Body: 64},
	})
	require.NoError(t, err)
	table.Apply(configuration)
	directory := clempool.New(clempool.Config{
		Multiple: func() float64 { return 2 }, Draw: func() uint64 { return 0 }, Dial: w.dial,
	})
	for _, id := range []string{"s1", "s2", "s3"} {
		directory.Put(clempool.NewRecord(clempool.RecordConfig{ID: id, Service: "pool", Address: id, Slots: 8}))
	}
	w.router = New(Config{
		Dialect: testDialect{}, Table: table, Directory: directory,
		Repeats: clembudget.NewWindow(clembudget.WindowConfig{
			Span: func() time.Duration { return time.Minute }, Share: func() float64 { return 0 }, Slack: func() float64 { return 3 },
		}),
	})
	w.front = httptest.NewServer(w.router)
	t.Cleanup(w.front.Close)
	return w
}

func (w *world) dial(context.Context, string, string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused > 0 {
		w.refused--
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go w.serve(server)
	return client, nil
}

func (w *world) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		w.mu.Lock()
		w.got = append(w.got, request)
		answer := reset
		if len(w.answers) > 0 {
			answer, w.answers = w.answers[0], w.answers[1:]
		}
		w.mu.Unlock()
		if answer == hang {
			_, _ = reader.ReadByte()
			return
		}
		text, closes := strings.CutSuffix(answer, "!")
		_, _ = io.WriteString(conn, text)
		if closes || strings.HasPrefix(text, streaming) {
			return
		}
	}
}

// ask sends a request and returns status, headers, body and the body's error.
func (w *world) ask(path string, header http.Header) (int, http.Header, string, error) {
	w.t.Helper()
	request, err := http.NewRequest(http.MethodPost, w.front.URL+path, strings.NewReader("body"))
	require.NoError(w.t, err)
	request.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := w.front.Client().Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	if response.Close {
		// The client's library takes the header out.
		response.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

// What a client is told, and how often servers got the request.
func TestAnswers(t *testing.T) {
	none := http.Header{"Key": {""}}
	for name, c := range map[string]struct {
		path    string
		header  http.Header
		answers []string
		refused int
		status  int
		sent    int
	}{
		"served":                                {path: "/safe/x", answers: []string{good}, status: 200, sent: 1},
		"no route":                              {path: "/other/", status: 404},
		"no key":                                {path: "/safe/", header: none, status: 401},
		"malformed header":                      {path: "/safe/", header: http.Header{"Broken": {"1"}}, status: 400},
		"safe is tried again after an error":    {path: "/safe/", answers: []string{bad, good}, status: 200, sent: 2},
		"safe keeps to its attempts":            {path: "/safe/", answers: []string{bad, bad, good}, status: 500, sent: 2},
		"safe is tried again after a reset":     {path: "/safe/", answers: []string{reset, good}, status: 200, sent: 2},
		"unsigned success is none":              {path: "/safe/", answers: []string{unsigned, good}, status: 200, sent: 2},
		"unsafe runs once, the error is passed": {path: "/unsafe/", answers: []string{bad, good}, status: 500, sent: 1},
		"unsafe with unknown outcome":           {path: "/unsafe/", answers: []string{reset, good}, status: 502, sent: 1},
		"unsafe that was not run goes on":       {path: "/unsafe/", answers: []string{full, good}, status: 200, sent: 2},
		"unsafe at a stranger goes on":          {path: "/unsafe/", answers: []string{stranger, good}, status: 200, sent: 2},
		"unsafe with an untrue promise":         {path: "/unsafe/", answers: []string{busy, good}, status: 502, sent: 1},
		"unreached servers cost nothing":        {path: "/unsafe/", answers: []string{good}, refused: 2, status: 200, sent: 1},
		"all full is a true promise":            {path: "/unsafe/", answers: []string{full, full, full, full}, status: 503, sent: 3},
		"stream that is not resumable":          {path: "/stream/", answers: []string{reset, good}, status: 502, sent: 1},
		"resumable stream at a silent server":   {path: "/hasty/", answers: []string{hang, streaming + event(1)}, status: 200, sent: 2},
		"resumable stream before its start":     {path: "/resumable/", answers: []string{reset, streaming + event(1)}, status: 200, sent: 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, c.answers...)
			w.refused = c.refused
			status, header, _, err := w.ask(c.path, c.header)
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Len(t, w.got, c.sent)
			if status == 503 || status == 429 {
				require.NotEmpty(t, header.Get("Retry-After"))
			}
			if status >= 400 && status != 500 {
				require.Equal(t, "r1", header.Get("Id"))
				require.Empty(t, header.Get("Signed"))
			}
			require.Zero(t, w.router.Active())
		})
	}
}

// Without a configuration a request is refused as not run, never as unknown.
func TestNoConfiguration(t *testing.T) {
	w := newWorld(t)
	w.router.config.Table = &clemroute.Table{}
	status, header, _, err := w.ask("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "0.100", header.Get("Retry-After"), "another entry takes it")

	// After all entries lost power while the store is down nobody has one.
	w.router.config.IsAlone = func() bool { return true }
	_, header, _, err = w.ask("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, "1.000", header.Get("Retry-After"))
}

// Bodies above the limit are refused.
func TestLargeBody(t *testing.T) {
	w := newWorld(t, good)
	response, err := w.front.Client().Post(w.front.URL+"/safe/", "", strings.NewReader(strings.Repeat("x", 65)))
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusUnauthorized, response.StatusCode, "the key is looked at first")
	request, err := http.NewRequest(http.MethodPost, w.front.URL+"/safe/", strings.NewReader(strings.Repeat("x", 65)))
	require.NoError(t, err)
	request.Header.Set("Key", "k")
	response, err = w.front.Client().Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Empty(t, w.got)
}

// A torn event is dropped, and the client sees that the stream is not complete.
func TestTornStreamIsCut(t *testing.T) {
	w := newWorld(t, "HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n"+
		fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1))+"5\r\nid: 2\r\n!")
	status, _, body, err := w.ask("/stream/", nil)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, event(1), body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A resumable stream goes on at another server after its last whole event.
func TestBrokenStreamGoesOn(t *testing.T) {
	torn := "HTTP/1.1 200 OK\r\nSigned: first\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(event(1)+event(2)), event(1)+event(2)) + "5\r\nid: 3\r\n!"
	w := newWorld(t, torn, streaming+event(3)+event(4))
	status, header, body, err := w.ask("/resumable/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "first", header.Get("Signed"), "the first server's headers stay")
	require.Equal(t, event(1)+event(2)+event(3)+event(4), body)
	require.Equal(t, "2", w.got[1].Header.Get("Resume"))
}

// Events that do not follow the last one belong to another run.
func TestStreamWithAGapIsCut(t *testing.T) {
	torn := "HTTP/1.1 200 OK\r\nSigned: first\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1)) + "!"
	w := newWorld(t, torn, streaming+event(3))
	_, _, body, err := w.ask("/resumable/", nil)
	require.Error(t, err)
	require.Equal(t, event(1), body)
}

// Repeats stop when the budget that all entries share is spent.
func TestRepeatsKeepToTheBudget(t *testing.T) {
	answers := []string{bad, good, bad, good, bad, good, bad, bad}
	w := newWorld(t, answers...)
	for range 3 {
		status, _, _, _ := w.ask("/safe/", nil)
		require.Equal(t, http.StatusOK, status)
	}
	status, _, _, _ := w.ask("/safe/", nil)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Len(t, w.got, 7)
}

// An entry that leaves serves what ends in time, refuses the rest as not run,
// and asks clients to use another connection.
func TestLeaving(t *testing.T) {
	w := newWorld(t, good)
	w.router.Leave(time.Now().Add(time.Hour))
	status, header, _, err := w.ask("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "close", header.Get("Connection"))
	w = newWorld(t, good)
	w.router.Leave(time.Now())
	status, header, _, err = w.ask("/safe/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Empty(t, w.got)
}

// A client that leaves ends the work at the server.
func TestClientLeaves(t *testing.T) {
	w := newWorld(t, "HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n"+
		fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1)))
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+"/stream/", nil)
	require.NoError(t, err)
	request.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	response, err := w.front.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len(event(1))))
	require.NoError(t, err)
	cancel()
	require.Eventually(t, func() bool { return w.router.Active() == 0 }, waitLimit, waitPace)
}

func TestEventIDs(t *testing.T) {
	first, last, count := eventIDs([]byte("x-versions: 2\nid: 7\ndata: a\n\nid:8\ndata: b\n\n"))
	require.Equal(t, []any{"7", "8", 2}, []any{first, last, count})
	require.True(t, follows("7", "8"))
	require.False(t, follows("7", "9"))
	require.True(t, follows("a", "b"))
}
