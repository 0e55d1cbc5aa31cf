package clembackend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// TestNotRunMeansNothingSent lets a server close the connection after reading
// some bytes of the request, on new and on reused connections. If the error
// says NotRun, the server must have read none.
func TestNotRunMeansNothingSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		read := rapid.IntRange(0, 400).Draw(rt, "read")
		mode := clemwire.Mode(rapid.IntRange(1, 2).Draw(rt, "mode"))
		reused := rapid.Bool().Draw(rt, "reused")
		synctest.Test(t, func(t *testing.T) {
			network := clemstandin.NewNetwork()
			listener := network.Listen("backend:80")
			seen := make(chan int, 1)
			go func() { seen <- closeAfter(listener, read, reused) }()
			b := New(Config{URL: "http://backend:80", Client: network.Client()})
			offer := reserveOffer()
			if reused {
				offer.Mode = clemwire.Mode_MODE_IDEMPOTENT
				_ = b.Run(t.Context(), offer, &recorder{})
			}
			offer.Mode = mode
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			err := b.Run(ctx, offer, &recorder{})
			b.Close()
			_ = listener.Close()
			if n := <-seen; n > 0 && clementineturn.IsNotRun(err) {
				rt.Fatalf("the server saw %d bytes: %v", n, err)
			}
		})
	})
}

// closeAfter accepts connections and closes each after reading n bytes. If
// respond is set, it first answers one request on the first connection. It
// returns the number of bytes read of unanswered requests.
func closeAfter(l net.Listener, n int, respond bool) int {
	var seen atomic.Int64
	var conns sync.WaitGroup
	for {
		conn, err := l.Accept()
		if err != nil {
			conns.Wait()
			return int(seen.Load())
		}
		first := respond
		respond = false
		conns.Go(func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			if first {
				respondOnce(conn, reader)
			}
			got, _ := io.CopyN(io.Discard, reader, int64(n))
			seen.Add(got)
		})
	}
}

func respondOnce(conn net.Conn, reader *bufio.Reader) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}
