package clemrpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	key     = "fleet"
	address = "10.0.0.1:80"
)

// fakePeer serves what the tests ask for.
type fakePeer struct {
	Unsupported
	offer func(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error)
	fetch func(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error
}

func (f *fakePeer) Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	return f.offer(ctx, offer)
}

func (f *fakePeer) Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	return f.fetch(ctx, fetch, handler)
}

// pair is a server and its client over an in-memory network.
type pair struct {
	clementineturn.Peer
	server *Server
	peers  *Peers
	mu     sync.Mutex
	dials  int
	close  func()
	// delay is how long a dial takes.
	delay time.Duration
	// wrap changes the client's connections.
	wrap func(net.Conn) net.Conn
}

func inBubble(t *testing.T, serves *fakePeer, test func(t *testing.T, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, serves)
		defer p.close()
		test(t, p)
	})
}

func newPair(t *testing.T, serves *fakePeer) *pair {
	network := clemstandin.NewNetwork()
	p := &pair{server: NewServer(ServerConfig{Context: context.Background(), Key: key, Peer: serves})}
	router := chi.NewRouter()
	p.server.Mount(router)
	server := &http.Server{Handler: router}
	ended := make(chan error, 1)
	listener := network.Listen(address)
	go func() { ended <- server.Serve(listener) }()
	p.peers = NewPeers(ClientConfig{Key: key, Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
		p.mu.Lock()
		p.dials++
		p.mu.Unlock()
		if p.delay > 0 {
			time.Sleep(p.delay)
		}
		conn, err := network.Dial(ctx, kind, address)
		if err == nil && p.wrap != nil {
			conn = p.wrap(conn)
		}
		return conn, err
	}})
	p.Peer = p.peers.Peer(address)
	p.close = func() {
		p.server.Close()
		p.peers.Close()
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	}
	return p
}

func accept(context.Context, *clemwire.Offer) (*clemwire.Verdict, error) {
	return &clemwire.Verdict{Status: &clemwire.Status{Server: "srv-1"}}, nil
}

func TestCalls(t *testing.T) {
	serves := &fakePeer{offer: func(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
		switch offer.GetAttempt() {
		case "panics":
			panic("a fault of the code")
		case "refuses":
			return nil, clementineturn.Invalid("attempt", "no")
		}
		return accept(ctx, offer)
	}}
	inBubble(t, serves, func(t *testing.T, p *pair) {
		for range 3 {
			verdict, err := p.Offer(t.Context(), &clemwire.Offer{Attempt: "a"})
			require.NoError(t, err)
			require.Equal(t, "srv-1", verdict.GetStatus().GetServer())
		}
		_, err := p.Offer(t.Context(), &clemwire.Offer{Attempt: "refuses"})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindInvalid) && clementineturn.IsNotRun(err))
		require.Equal(t, "attempt", clementineturn.AsError(err).Field())
		_, err = p.Offer(t.Context(), &clemwire.Offer{Attempt: "panics"})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindInternal))
		require.False(t, clementineturn.IsNotRun(err))
		_, err = p.Gather(t.Context())
		require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound))
		require.Equal(t, 1, p.dials, "one connection for all calls")
	})
}

// TestLargeCall offers more than a peer reads: the offer alone is refused, and
// a call that shares the connection goes on.
func TestLargeCall(t *testing.T) {
	serves := &fakePeer{offer: func(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
		time.Sleep(time.Second)
		return accept(ctx, offer)
	}}
	inBubble(t, serves, func(t *testing.T, p *pair) {
		other := make(chan error, 1)
		go func() {
			_, err := p.Offer(t.Context(), &clemwire.Offer{Attempt: "a"})
			other <- err
		}()
		synctest.Wait()
		_, err := p.Offer(t.Context(), &clemwire.Offer{Attempt: "b", Body: make([]byte, maxMessage)})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindTooLarge), err)
		require.True(t, clementineturn.IsNotRun(err), err)
		require.NoError(t, <-other)
		require.Equal(t, 1, p.dials)
	})
}

func TestWrongKey(t *testing.T) {
	inBubble(t, &fakePeer{offer: accept}, func(t *testing.T, p *pair) {
		p.peers.key = "other"
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		require.True(t, clementineturn.IsNotRun(err), err)
		err = p.Fetch(t.Context(), &clemwire.Fetch{}, func(*clemwire.Frame) error { return nil })
		require.Error(t, err)
	})
}

// TestDialOutlivesCaller cancels the caller that dials; another one that
// waits for the same connection gets it.
func TestDialOutlivesCaller(t *testing.T) {
	inBubble(t, &fakePeer{offer: accept}, func(t *testing.T, p *pair) {
		p.delay = 10 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, err := p.Offer(ctx, &clemwire.Offer{})
			first <- err
		}()
		time.Sleep(5 * time.Millisecond)
		cancel()
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		require.NoError(t, err)
		require.Error(t, <-first)
	})
}

// stuckConn takes no bytes once it is stopped, as a frozen peer's buffers do.
type stuckConn struct {
	net.Conn
	stopped chan struct{}
	waits   chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (c *stuckConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *stuckConn) Write(p []byte) (int, error) {
	select {
	case <-c.stopped:
		c.waits <- struct{}{}
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(p)
	}
}

// TestFrozenPeer calls a peer whose connection takes no bytes: a call that
// waits behind the write of another one ends with its own context.
func TestFrozenPeer(t *testing.T) {
	p := newPair(t, &fakePeer{offer: accept})
	defer p.close()
	stuck := &stuckConn{stopped: make(chan struct{}), waits: make(chan struct{}), closed: make(chan struct{})}
	p.wrap = func(conn net.Conn) net.Conn {
		if p.dials > 1 {
			return conn
		}
		stuck.Conn = conn
		return stuck
	}
	_, err := p.Offer(t.Context(), &clemwire.Offer{})
	require.NoError(t, err)
	close(stuck.stopped)
	writes := make(chan error, 1)
	go func() {
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		writes <- err
	}()
	<-stuck.waits
	ctx, cancel := context.WithCancel(t.Context())
	waits := make(chan error, 1)
	go func() {
		_, err := p.Offer(ctx, &clemwire.Offer{})
		waits <- err
	}()
	cancel()
	err = <-waits
	require.Error(t, err)
	require.NoError(t, stuck.Close())
	require.True(t, clementineturn.IsKind(<-writes, clementineturn.KindUnknown))
	require.Eventually(t, func() bool {
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		return err == nil
	}, time.Minute, time.Millisecond, "the connection is replaced")
}

// TestWriteTimeout writes a request that the server does not read.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		begun := time.Now()
		err := newStream(near, nil).write(&clemwire.Head{}, &clemwire.Offer{Body: make([]byte, 1<<20)})
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, writeTimeout, time.Since(begun))
		require.NoError(t, near.Close())
	})
}

// TestCloseEndsCalls closes the server while a call runs.
func TestCloseEndsCalls(t *testing.T) {
	serves := &fakePeer{offer: func(ctx context.Context, _ *clemwire.Offer) (*clemwire.Verdict, error) {
		<-ctx.Done()
		return nil, clementineturn.AsError(ctx.Err())
	}}
	inBubble(t, serves, func(t *testing.T, p *pair) {
		ended := make(chan error, 1)
		go func() {
			_, err := p.Offer(t.Context(), &clemwire.Offer{})
			ended <- err
		}()
		time.Sleep(time.Second)
		p.server.Close()
		require.Error(t, <-ended)
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		require.Error(t, err, "a closed server takes no connection")
	})
}

// TestBrokenWhileIdle breaks the connection between two calls, as the restart
// of a peer does: the second one never left, so it goes over a new connection.
func TestBrokenWhileIdle(t *testing.T) {
	inBubble(t, &fakePeer{offer: accept}, func(t *testing.T, p *pair) {
		var latest net.Conn
		p.wrap = func(conn net.Conn) net.Conn {
			latest = conn
			return conn
		}
		for dials := range 3 {
			_, err := p.Offer(t.Context(), &clemwire.Offer{})
			require.NoError(t, err)
			require.Equal(t, dials+1, p.dials)
			require.NoError(t, latest.Close())
			synctest.Wait()
		}
	})
}

func frame(seq uint64) *clemwire.Frame {
	return &clemwire.Frame{Request: "r", Attempt: "r.1", Seq: seq, Data: []byte("data")}
}

func TestFetch(t *testing.T) {
	serves := &fakePeer{fetch: func(_ context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
		switch fetch.GetAttempt() {
		case "gone":
			return clementineturn.Errorf(clementineturn.KindEvicted, "gone")
		case "empty end":
			return handler(&clemwire.Frame{End: &clemwire.End{}})
		case "no end":
			_ = handler(frame(0))
			panic(http.ErrAbortHandler)
		}
		for seq := fetch.GetFrom(); seq < 5; seq++ {
			if err := handler(frame(seq)); err != nil {
				return err
			}
		}
		return handler(&clemwire.Frame{Request: "r", Attempt: "r.1", Seq: 5, End: &clemwire.End{}})
	}}
	inBubble(t, serves, func(t *testing.T, p *pair) {
		fetch := func(attempt string, handler func(*clemwire.Frame) error) error {
			return p.Fetch(t.Context(), &clemwire.Fetch{Request: "r", Attempt: attempt, From: 2}, handler)
		}
		for range 3 {
			var seqs []uint64
			require.NoError(t, fetch("r.1", func(f *clemwire.Frame) error {
				seqs = append(seqs, f.GetSeq())
				return nil
			}))
			require.Equal(t, []uint64{2, 3, 4, 5}, seqs)
		}
		require.Equal(t, 1, p.dials, "answers reuse a connection")
		none := func(*clemwire.Frame) error { return nil }
		require.True(t, clementineturn.IsKind(fetch("gone", none), clementineturn.KindEvicted))
		require.True(t, clementineturn.IsKind(fetch("no end", none), clementineturn.KindCut))
		require.True(t, clementineturn.IsKind(fetch("empty end", none), clementineturn.KindMismatch))
		require.ErrorIs(t, fetch("r.1", func(*clemwire.Frame) error { return io.ErrShortWrite }), io.ErrShortWrite)
	})
}

// TestFetchStopped reads no further after the first frame: the server gives
// the answer up after answerTimeout.
func TestFetchStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		given := make(chan error, 1)
		p := newPair(t, &fakePeer{fetch: func(_ context.Context, _ *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
			large := frame(0)
			large.Data = make([]byte, 64<<10)
			for {
				if err := handler(large); err != nil {
					given <- err
					return err
				}
			}
		}})
		defer p.close()
		begun := time.Now()
		err := p.Fetch(t.Context(), &clemwire.Fetch{}, func(*clemwire.Frame) error {
			require.Error(t, <-given)
			return io.ErrShortWrite
		})
		require.ErrorIs(t, err, io.ErrShortWrite)
		require.Equal(t, answerTimeout, time.Since(begun))
	})
}
