package clemquota

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

var testLimits = Limits{MaxHeadBytes: 16384, HeadTimeout: 2 * time.Second, FirstTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}

// testServer is a server behind a Listener in a bubble.
type testServer struct {
	t        *testing.T
	network  *clemstandin.Network
	listener *Listener
	budget   *Budget

	mu      sync.Mutex
	refused []Reason
}

func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	conn, err := s.network.Dial(s.t.Context(), "tcp", "entry:80")
	require.NoError(s.t, err)
	return conn, bufio.NewReader(conn)
}

func (s *testServer) reasons() []Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// withServer serves the handler and runs the test in a synctest bubble.
func withServer(t *testing.T, limit int64, maxConns int, handler http.HandlerFunc, test func(s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{t: t, network: clemstandin.NewNetwork(), budget: NewBudget(limit)}
		s.listener = NewListener(ListenerConfig{
			Listener: s.network.Listen("entry:80"), Budget: s.budget, MaxConns: func() int { return maxConns }, Limits: func() Limits { return testLimits },
			OnRefused: func(reason Reason, _ net.Addr) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.refused = append(s.refused, reason)
			},
		})
		server := &http.Server{Handler: handler, ConnState: s.listener.ConnState, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(s.listener) }()
		test(s)
		time.Sleep(2 * lingerTime)
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
		synctest.Wait()
		require.Zero(t, s.budget.Used(), "all memory is given back")
		require.Zero(t, s.listener.Len())
	})
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %d %d", r.URL.Path, len(r.Header), len(body))
}

func read(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// Guards against limits that the largest legal head does not pass, on a new or a reused
// connection, and against bytes of a body that are counted as those of a head.
func TestLargestLegalHeadIsServed(t *testing.T) {
	withServer(t, testLimit, 0, echo, func(s *testServer) {
		conn, reader := s.dial()
		defer conn.Close()
		for _, line := range []string{"A:\n", "A: " + strings.Repeat("x", 16000) + "\n", strings.Repeat("B: c\r\n", 10)} {
			head := "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n"
			head += strings.Repeat(line, (16384-len(head)-2)/len(line)) + "\r\n"
			go func() { _, _ = io.WriteString(conn, head+strings.Repeat("\n", 100000)) }()
			status, body := read(s.t, reader)
			require.Equal(s.t, http.StatusOK, status)
			require.Equal(s.t, "/a 2 100000", body)
		}
		require.Empty(s.t, s.reasons())
	})
}

// Guards against heads without an end or above the limit, and against statuses other
// than 431, after which a client might send the same again.
func TestLargerHeadIsRefused(t *testing.T) {
	for name, repeated := range map[string]string{"line": "x", "lines": "A: b\r\n", "fold": "\r\n x"} {
		t.Run(name, func(t *testing.T) {
			withServer(t, 0, 0, echo, func(s *testServer) {
				conn, reader := s.dial()
				defer conn.Close()
				go func() {
					for _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nA: "); err == nil; {
						_, err = io.WriteString(conn, strings.Repeat(repeated, 1000))
					}
				}()
				status, _ := read(s.t, reader)
				require.Equal(s.t, http.StatusRequestHeaderFieldsTooLarge, status)
				rest, err := io.ReadAll(reader)
				require.NoError(s.t, err)
				require.Empty(s.t, rest, "one response")
				require.Equal(s.t, []Reason{ReasonHead}, s.reasons())
			})
		})
	}
}

// Guards against heads that are sent so slowly that they hold a connection, and against
// one that is cut within its time.
func TestSlowHead(t *testing.T) {
	withServer(t, testLimit, 0, echo, func(s *testServer) {
		conn, reader := s.dial()
		time.Sleep(testLimits.FirstTimeout - time.Second)
		for _, text := range []string{"GET /s", "low HTTP/1.1\r\nHost: x\r\n\r", "\n"} {
			_, err := io.WriteString(conn, text)
			require.NoError(s.t, err)
			time.Sleep(testLimits.HeadTimeout/2 - time.Millisecond)
		}
		status, _ := read(s.t, reader)
		require.Equal(s.t, http.StatusOK, status)
		started := time.Now()
		_, err := io.WriteString(conn, "GET /")
		require.NoError(s.t, err)
		_, err = io.Copy(io.Discard, reader)
		require.NoError(s.t, err)
		require.Equal(s.t, testLimits.HeadTimeout+lateReadTime, time.Since(started))
		require.Equal(s.t, []Reason{ReasonTime}, s.reasons())
	})
}

// Guards against idle connections that are closed before the configured time or never.
func TestIdleConnection(t *testing.T) {
	withServer(t, testLimit, 0, echo, func(s *testServer) {
		conn, reader := s.dial()
		for range 3 {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			require.NoError(s.t, err)
			read(s.t, reader)
			time.Sleep(testLimits.IdleTimeout - time.Millisecond)
		}
		started := time.Now()
		_, err := io.Copy(io.Discard, reader)
		require.NoError(s.t, err)
		require.Equal(s.t, time.Millisecond+lateReadTime, time.Since(started))
		require.Empty(s.t, s.reasons())
	})
}

// Guards against many small lines that are not charged since they came with an earlier
// request, and against their connections being kept.
func TestHeadsOverMemory(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n" + strings.Repeat("A:\n", 1300) + "\r\n"
	for name, before := range map[string]string{"new connection": "", "after another request": "GET / HTTP/1.1\r\nHost: x\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			withServer(t, 1<<20, 0, echo, func(s *testServer) {
				var conns []net.Conn
				var closed atomic.Int64
				for range 20 {
					conn, reader := s.dial()
					conns = append(conns, conn)
					go func() {
						_, _ = io.Copy(io.Discard, reader)
						closed.Add(1)
					}()
					go func() { _, _ = io.WriteString(conn, before+head) }()
					synctest.Wait()
					require.LessOrEqual(t, s.budget.Used(), int64(5<<18), "the budget and what leaves")
				}
				time.Sleep(2 * lingerTime)
				require.GreaterOrEqual(t, closed.Load(), int64(16), "a head takes some 260 kB")
				conn, reader := s.dial()
				_, err := io.WriteString(conn, "GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n")
				require.NoError(t, err)
				status, _ := read(t, reader)
				require.Equal(t, http.StatusOK, status)
				for _, conn := range append(conns, conn) {
					_ = conn.Close()
				}
			})
		})
	}
}

// Guards against refusals of evicted requests that are destroyed on their way, since the
// connection is closed while bytes of the body are unread.
func TestEvictedRequestLingers(t *testing.T) {
	budget := NewBudget(1 << 20)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(ListenerConfig{Listener: inner, Budget: budget, Limits: func() Limits { return testLimits }})
	charged := make(chan struct{})
	server := &http.Server{ConnState: listener.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold := FromContext(r.Context())
		_ = hold.Charge(100)
		close(charged)
		for !hold.IsEvicted() {
			time.Sleep(time.Millisecond)
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusTooManyRequests)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 90000))
	require.NoError(t, err)
	<-charged
	pinned, pressure := budget.NewHold(nil), budget.NewHold(nil)
	require.NoError(t, pinned.Charge(1<<19))
	require.NoError(t, pinned.Pin())
	pressure.Force(1 << 20)
	time.Sleep(lingerTime / 5)
	// The client notices the refusal only after it has written more.
	_, err = io.WriteString(conn, strings.Repeat("x", 1000))
	require.NoError(t, err)
	time.Sleep(lingerTime / 5)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
}

// Guards against lines of a request that are counted again as those of the next one on
// the connection, which made an ordinary request a large one, and against lines that came
// with the last request and are not counted.
func TestLinesAreCountedOnce(t *testing.T) {
	var charged atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		hold := FromContext(r.Context())
		hold.budget.mu.Lock()
		charged.Store(hold.size)
		hold.budget.mu.Unlock()
		echo(w, r)
	}
	withServer(t, testLimit, 0, handler, func(s *testServer) {
		conn, reader := s.dial()
		defer conn.Close()
		exchange := func(texts ...string) int64 {
			for _, text := range texts {
				_, err := io.WriteString(conn, text)
				require.NoError(s.t, err)
				synctest.Wait()
			}
			read(s.t, reader)
			return charged.Load()
		}
		post, get := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n"+strings.Repeat("\n", 3000), "GET / HTTP/1.1\r\nHost: x\r\n"
		for range 20 {
			exchange(post)
			require.Less(s.t, exchange(get+"\r\n"), int64(1000))
		}
		exchange(get + "\r\n" + get + strings.Repeat("A:\n", 1000))
		require.GreaterOrEqual(s.t, exchange("\r\n"), int64(1000*lineMemory))
	})
}

// Guards against connections without requests that take the place of clients, and
// against running requests that are closed for new connections.
func TestConnectionsAreBounded(t *testing.T) {
	var release chan struct{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		echo(w, r)
	}
	withServer(t, testLimit, 4, handler, func(s *testServer) {
		release = make(chan struct{})
		running, runningReader := s.dial()
		_, err := io.WriteString(running, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		idle, idleReader := s.dial()
		_, err = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		read(t, idleReader)
		for range 20 {
			time.Sleep(time.Millisecond)
			s.dial()
			synctest.Wait()
			require.LessOrEqual(t, s.listener.Len(), 4)
		}
		require.Len(t, s.reasons(), 18)
		_, err = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		read(t, idleReader)
		close(release)
		status, _ := read(t, runningReader)
		require.Equal(t, http.StatusOK, status)
	})
}

// Guards against refused requests that take the place of clients while their connections
// linger.
func TestRefusedConnectionsGiveWay(t *testing.T) {
	withServer(t, 1<<20, 4, echo, func(s *testServer) {
		for range 4 {
			conn, reader := s.dial()
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nb")
			require.NoError(t, err)
			go func() { _, _ = io.Copy(io.Discard, reader) }()
		}
		synctest.Wait()
		pinned := s.budget.NewHold(nil)
		require.NoError(t, pinned.Charge(1<<19))
		require.NoError(t, pinned.Pin())
		pressure := s.budget.NewHold(nil)
		pressure.Force(1 << 20)
		synctest.Wait()
		require.Equal(t, 4, s.listener.Len(), "they linger")
		conn, reader := s.dial()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		status, _ := read(t, reader)
		require.Equal(t, http.StatusOK, status)
		require.NoError(t, conn.Close())
		pinned.Release()
		pressure.Release()
	})
}

// FuzzHead sends bytes as requests to a server with limits and to one without. Guards
// against requests that the counting changes, and memory that is not given back.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 7)
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\nHost: x\n\n"), 1)
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: b\r\n\r\n\r\n\r\nGET / HTTP/1.0\r\n\r\n"), 4096)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\n", 5000)+"\n"), 100)
	f.Add([]byte("\r\n\r\n\n\r GET"), 3)
	f.Fuzz(func(t *testing.T, sent []byte, chunk int) {
		if len(sent) > testLimits.MaxHeadBytes {
			return
		}
		chunk = 1 + max(chunk, -chunk, 0)%8192
		plain, counted := serveBytes(t, sent, chunk, false), serveBytes(t, sent, chunk, true)
		require.Equal(t, plain, counted)
	})
}

// serveBytes returns the responses of a server to the bytes, sent in chunks.
func serveBytes(t *testing.T, sent []byte, chunk int, counts bool) string {
	var mu sync.Mutex
	var responses bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		inner := network.Listen("entry:80")
		server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header()["Date"] = nil
			echo(w, r)
		})}
		budget := NewBudget(testLimit)
		if counts {
			listener := NewListener(ListenerConfig{Listener: inner, Budget: budget, Limits: func() Limits { return testLimits }})
			inner, server.ConnState, server.ConnContext = listener, listener.ConnState, ConnContext
		}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(inner) }()
		conn, err := network.Dial(t.Context(), "tcp", "entry:80")
		require.NoError(t, err)
		go func() {
			buffer := make([]byte, 4096)
			for {
				n, err := conn.Read(buffer)
				mu.Lock()
				responses.Write(buffer[:n])
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
		for rest := sent; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
			if _, err := conn.Write(rest[:min(chunk, len(rest))]); err != nil {
				break
			}
		}
		synctest.Wait()
		_ = conn.Close()
		_ = server.Close()
		<-ended
		synctest.Wait()
		time.Sleep(2 * lingerTime)
		require.Zero(t, budget.Used())
	})
	return responses.String()
}
