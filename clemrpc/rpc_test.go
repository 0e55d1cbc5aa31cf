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
	testKey = "fleet"
	address = "10.0.0.1:80"
)

// fakePeer is a peer whose calls the tests define.
type fakePeer struct {
	UnimplementedPeer
	offer func(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error)
	fetch func(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error
}

func (f *fakePeer) Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	return f.offer(ctx, offer)
}

func (f *fakePeer) Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	return f.fetch(ctx, fetch, handler)
}

// clientServerPair is a fixture: a server and a client over an in-memory network.
type clientServerPair struct {
	clementineturn.Peer
	server *Server
	peers  *Peers
	mu     sync.Mutex
	dials  int
	close  func()
	// delay is the duration of a dial.
	delay time.Duration
	// wrap, if not nil, replaces each connection of the client.
	wrap func(net.Conn) net.Conn
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, peer *fakePeer, test func(t *testing.T, p *clientServerPair)) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, peer)
		defer p.close()
		test(t, p)
	})
}

func newPair(t *testing.T, peer *fakePeer) *clientServerPair {
	network := clemstandin.NewNetwork()
	p := &clientServerPair{server: NewServer(ServerConfig{Context: context.Background(), Key: testKey, Peer: peer})}
	router := chi.NewRouter()
	p.server.Mount(router)
	server := &http.Server{Handler: router}
	ended := make(chan error, 1)
	listener := network.Listen(address)
	go func() { ended <- server.Serve(listener) }()
	p.peers = NewPeers(ClientConfig{Key: testKey, Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
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
	server := &fakePeer{offer: func(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
		switch offer.GetAttempt() {
		case "panics":
			panic("a fault of the code")
		case "refuses":
			return nil, clementineturn.Invalid("attempt", "no")
		}
		return accept(ctx, offer)
	}}
	inBubble(t, server, func(t *testing.T, p *clientServerPair) {
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

// TestLargeCall sends an offer larger than a peer reads. It alone must be refused,
// while a call on the same connection continues.
func TestLargeCall(t *testing.T) {
	server := &fakePeer{offer: func(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
		time.Sleep(time.Second)
		return accept(ctx, offer)
	}}
	inBubble(t, server, func(t *testing.T, p *clientServerPair) {
		other := make(chan error, 1)
		go func() {
			_, err := p.Offer(t.Context(), &clemwire.Offer{Attempt: "a"})
			other <- err
		}()
		synctest.Wait()
		_, err := p.Offer(t.Context(), &clemwire.Offer{Attempt: "b", Body: make([]byte, maxMessageSize)})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindTooLarge), err)
		require.True(t, clementineturn.IsNotRun(err), err)
		require.NoError(t, <-other)
		require.Equal(t, 1, p.dials)
	})
}

func TestWrongKey(t *testing.T) {
	inBubble(t, &fakePeer{offer: accept}, func(t *testing.T, p *clientServerPair) {
		p.peers.key = "other"
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		require.True(t, clementineturn.IsNotRun(err), err)
		err = p.Fetch(t.Context(), &clemwire.Fetch{}, func(*clemwire.Frame) error { return nil })
		require.Error(t, err)
	})
}

// TestDialOutlivesCaller cancels the caller that started the dial. Another caller that
// waits for the same connection must obtain it.
func TestDialOutlivesCaller(t *testing.T) {
	inBubble(t, &fakePeer{offer: accept}, func(t *testing.T, p *clientServerPair) {
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

// blockingConn blocks writes once block is closed, as does a connection to a frozen
// peer whose buffers are full.
type blockingConn struct {
	net.Conn
	block   chan struct{}
	blocked chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (c *blockingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *blockingConn) Write(p []byte) (int, error) {
	select {
	case <-c.block:
		c.blocked <- struct{}{}
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(p)
	}
}

// TestFrozenPeer calls a peer whose connection blocks writes. A call that waits behind
// the blocked write of another one must end with its own context.
func TestFrozenPeer(t *testing.T) {
	p := newPair(t, &fakePeer{offer: accept})
	defer p.close()
	blocking := &blockingConn{block: make(chan struct{}), blocked: make(chan struct{}), closed: make(chan struct{})}
	p.wrap = func(conn net.Conn) net.Conn {
		if p.dials > 1 {
			return conn
		}
		blocking.Conn = conn
		return blocking
	}
	_, err := p.Offer(t.Context(), &clemwire.Offer{})
	require.NoError(t, err)
	close(blocking.block)
	blockedResult := make(chan error, 1)
	go func() {
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		blockedResult <- err
	}()
	<-blocking.blocked
	ctx, cancel := context.WithCancel(t.Context())
	waitingResult := make(chan error, 1)
	go func() {
		_, err := p.Offer(ctx, &clemwire.Offer{})
		waitingResult <- err
	}()
	cancel()
	err = <-waitingResult
	require.Error(t, err)
	require.NoError(t, blocking.Close())
	require.True(t, clementineturn.IsKind(<-blockedResult, clementineturn.KindUnknown))
	require.Eventually(t, func() bool {
		_, err := p.Offer(t.Context(), &clemwire.Offer{})
		return err == nil
	}, time.Minute, time.Millisecond, "the connection is replaced")
}

// TestWriteTimeout writes a request that the server does not read. The write must fail
// after writeTimeout.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer server.Close()
		start := time.Now()
		err := newStream(client, nil).write(&clemwire.Head{}, &clemwire.Offer{Body: make([]byte, 1<<20)})
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, writeTimeout, time.Since(start))
		require.NoError(t, client.Close())
	})
}

// TestCloseEndsCalls closes the server while a call runs. The call must end, and later
// ones must fail.
func TestCloseEndsCalls(t *testing.T) {
	server := &fakePeer{offer: func(ctx context.Context, _ *clemwire.Offer) (*clemwire.Verdict, error) {
		<-ctx.Done()
		return nil, clementineturn.AsError(ctx.Err())
	}}
	inBubble(t, server, func(t *testing.T, p *clientServerPair) {
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

// TestBrokenWhileIdle closes the connection between two calls, as the restart of a
// peer does. Since nothing of the second call was sent, it must use a new connection.
func TestBrokenWhileIdle(t *testing.T) {
	inBubble(t, &fakePeer{offer: accept}, func(t *testing.T, p *clientServerPair) {
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
	server := &fakePeer{fetch: func(_ context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
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
	inBubble(t, server, func(t *testing.T, p *clientServerPair) {
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

// TestFetchStopped stops reading after the first frame. The server must end the answer
// after frameWriteTimeout.
func TestFetchStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handlerErr := make(chan error, 1)
		p := newPair(t, &fakePeer{fetch: func(_ context.Context, _ *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
			large := frame(0)
			large.Data = make([]byte, 64<<10)
			for {
				if err := handler(large); err != nil {
					handlerErr <- err
					return err
				}
			}
		}})
		defer p.close()
		start := time.Now()
		err := p.Fetch(t.Context(), &clemwire.Fetch{}, func(*clemwire.Frame) error {
			require.Error(t, <-handlerErr)
			return io.ErrShortWrite
		})
		require.ErrorIs(t, err, io.ErrShortWrite)
		require.Equal(t, frameWriteTimeout, time.Since(start))
	})
}
