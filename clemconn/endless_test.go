package clemconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// maxHeapGrowth bounds the memory that one endless response may take.
const maxHeapGrowth = 8 << 20

// endless sends the start and then the repeated text until the caller closes the
// connection.
func endless(start, repeated string) (dial func(context.Context, string, string) (net.Conn, error), ended chan int) {
	ended = make(chan int, 1)
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			sent, err := io.WriteString(server, start)
			chunk := strings.Repeat(repeated, 1+4096/len(repeated))
			for err == nil {
				var n int
				n, err = io.WriteString(server, chunk)
				sent += n
			}
			ended <- sent
		}()
		return client, nil
	}, ended
}

// Bytes that are no answer come without end, in each place of a response. The
// exchange ends with an error that says which bound they crossed, without having
// read much more than it, and the connection is closed.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nId: 0\r\n"
	for name, c := range map[string]struct {
		start, repeated string
		isTooLarge      bool
	}{
		"status line":                      {start: "HTTP/1.1 200 ", repeated: "x", isTooLarge: true},
		"no line end":                      {repeated: "\x00", isTooLarge: true},
		"header line":                      {start: "HTTP/1.1 200 OK\r\nA: ", repeated: "x", isTooLarge: true},
		"header lines":                     {start: "HTTP/1.1 200 OK\r\n", repeated: "A: b\r\n", isTooLarge: true},
		"interim responses":                {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body of another response":         {start: other + "\r\n", repeated: "x", isTooLarge: true},
		"chunks of another response":       {start: other + "Transfer-Encoding: chunked\r\n\r\n", repeated: "4\r\nabcd\r\n", isTooLarge: true},
		"responses to other requests":      {repeated: other + "Content-Length: 0\r\n\r\n"},
		"chunk extension of another":       {start: other + "Transfer-Encoding: chunked\r\n\r\n4;", repeated: "x"},
		"trailers of another response":     {start: other + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "A: b\r\n"},
		"header lines of a later response": {start: other + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", repeated: "A: b\r\n", isTooLarge: true},
	} {
		t.Run(name, func(t *testing.T) {
			dial, ended := endless(c.start, c.repeated)
			p := New(Config{Address: "x", Dial: dial})
			r := newRequest("1")
			r.Body = nil
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := p.Exchange(ctx, r)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "it ended before the deadline")
			require.False(t, clementineturn.IsNotRun(err), "the request was sent")
			require.Equal(t, c.isTooLarge, clementineturn.IsKind(err, clementineturn.KindTooLarge), err)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxHeapGrowth))
			require.LessOrEqual(t, <-ended, maxStrayBody+maxHeadBytes)
			require.Empty(t, p.idle)
		})
	}
}

// Guards against heads whose many short lines take far more memory than their bytes, and
// against a limit that the lines of another response's body count towards.
func TestHeadLinesAreBounded(t *testing.T) {
	exchange := func(text string) (*Response, uint64, error) {
		dial, _ := endless(text, "\n")
		r := newRequest("1")
		r.Body = nil
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		response, err := New(Config{Address: "x", Dial: dial}).Exchange(context.Background(), r)
		runtime.ReadMemStats(&after)
		return response, after.TotalAlloc - before.TotalAlloc, err
	}
	_, allocated, err := exchange("HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("A:\n", 64<<10) + "\r\n")
	require.True(t, clementineturn.IsKind(err, clementineturn.KindTooLarge), err)
	require.Less(t, allocated, uint64(2<<20))
	other := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100000)
	response, _, err := exchange(other + "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("A:\n", 4096) + "\r\n")
	require.NoError(t, err)
	require.Len(t, response.Header["A"], 4096)
	response.Close()
}

// The parts of a body that are no content do not come without end either.
func TestEndlessFramingEndsTheBody(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"chunk size":      {start: head, repeated: "0"},
		"chunk extension": {start: head + "4;", repeated: "x"},
		"trailer line":    {start: head + "0\r\nA: ", repeated: "x"},
		"trailers":        {start: head + "0\r\n", repeated: "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			dial, ended := endless(c.start, c.repeated)
			p := New(Config{Address: "x", Dial: dial})
			r := newRequest("1")
			r.Body = nil
			response, err := p.Exchange(context.Background(), r)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response)
			require.Error(t, err)
			response.Close()
			require.LessOrEqual(t, <-ended, maxHeadBytes)
		})
	}
}
