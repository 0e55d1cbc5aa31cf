package clemrpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	dialTimeout = time.Second
	// redialDelay is the time after a failed dial during which calls return its
	// error instead of dialling again.
	redialDelay = 200 * time.Millisecond
	// callTimeout bounds calls whose context has no deadline.
	callTimeout    = 10 * time.Second
	maxIdlePerHost = 64
	// maxHeadBytes and maxHeadLines bound the head of a peer's response, which has fewer
	// than ten lines.
	maxHeadBytes = 16 << 10
	maxHeadLines = 256
)

// ClientConfig describes the Peers to construct.
type ClientConfig struct {
	// Key is the fleet's shared key.
	Key string
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Dial opens a connection. The default is a TCP dial with a timeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Peers calls the other processes of the fleet. It holds one connection for
// calls per peer and a pool of HTTP connections for answer streams.
type Peers struct {
	key  string
	tls  *tls.Config
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	http *http.Client

	mu    sync.Mutex
	peers map[string]*peer
}

// NewPeers returns a client for the configuration. It dials on first use.
func NewPeers(c ClientConfig) *Peers {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{DialContext: c.Dial, TLSClientConfig: c.TLS, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	return &Peers{key: c.Key, tls: c.TLS, dial: c.Dial, http: &http.Client{Transport: transport}, peers: map[string]*peer{}}
}

// Peer implements clementineturn.Peers.
func (p *Peers) Peer(address string) clementineturn.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.peers[address]; ok {
		return found
	}
	created := &peer{peers: p, address: address}
	p.peers[address] = created
	return created
}

// Close closes the open connections for calls and the idle ones of streams.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.close()
	}
	p.http.CloseIdleConnections()
}

// peer implements clementineturn.Peer for one address. Its callers share one
// connection for calls.
type peer struct {
	peers   *Peers
	address string

	// mu guards the fields below. It is not held while dialling.
	mu       sync.Mutex
	lastDial *dialAttempt
	isClosed bool
}

// dialAttempt is one attempt to connect. Its result is valid once done is closed.
type dialAttempt struct {
	done     chan struct{}
	client   *rpc.Client
	err      error
	failedAt time.Time
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	if d := p.lastDial; d != nil && d.isDone() && d.client != nil {
		_ = d.client.Close()
	}
}

func (d *dialAttempt) isDone() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// connect returns the open connection or waits for one. For its errors IsNotRun is
// true, since no call was sent.
func (p *peer) connect(ctx context.Context) (*rpc.Client, error) {
	d := p.currentDial(ctx)
	select {
	case <-d.done:
		return d.client, d.err
	case <-ctx.Done():
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "peer %s: connecting: %w", p.address, ctx.Err())
	}
}

// currentDial returns the last dial attempt, or starts a new one if there is
// none or the last one failed longer than redialDelay ago. Callers share the
// result of a failed attempt, since each would otherwise wait for its own dial
// to a frozen peer.
func (p *peer) currentDial(ctx context.Context) *dialAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.lastDial; d != nil && (!d.isDone() || d.err == nil || time.Since(d.failedAt) < redialDelay) {
		return d
	}
	d := &dialAttempt{done: make(chan struct{})}
	p.lastDial = d
	// Callers share the attempt, so the end of one caller's context must not cancel
	// it.
	go p.runDial(context.WithoutCancel(ctx), d)
	return d
}

func (p *peer) runDial(ctx context.Context, d *dialAttempt) {
	client, err := p.dialRPC(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.isClosed {
		_ = client.Close()
		err = net.ErrClosed
	}
	if err != nil {
		d.failedAt, d.err = time.Now(), clementineturn.Refuse(clementineturn.KindUnavailable, "peer %s: %w", p.address, err)
	} else {
		d.client = client
	}
	close(d.done)
}

func (p *peer) dialRPC(ctx context.Context) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.openConn(ctx)
	if err != nil {
		return nil, err
	}
	limit := clemquota.NewReadLimit(conn)
	limit.Set(maxHeadBytes, maxHeadLines)
	reader := bufio.NewReader(limit)
	if err := p.upgrade(ctx, conn, reader); err != nil {
		_ = conn.Close()
		return nil, err
	}
	limit.Lift()
	return rpc.NewClientWithCodec(&clientCodec{newStream(conn, reader)}), nil
}

func (p *peer) openConn(ctx context.Context) (net.Conn, error) {
	conn, err := p.peers.dial(ctx, "tcp", p.address)
	if err != nil || p.peers.tls == nil {
		return conn, err
	}
	config := p.peers.tls.Clone()
	if config.ServerName == "" {
		host, _, _ := net.SplitHostPort(p.address)
		config.ServerName = host
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// upgrade requests with CONNECT that the server switch the connection to net/rpc.
func (p *peer) upgrade(ctx context.Context, conn net.Conn, reader *bufio.Reader) error {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	request := fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\n\r\n", rpcPath, p.address, bearerPrefix, p.peers.key)
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return conn.SetDeadline(time.Time{})
}

// call sends one call and waits for the reply. A broken connection is
// discarded. A call of which nothing was written, since the connection broke
// while it was idle, is retried once over a new one. No other call is retried,
// since the peer may have received it. A message larger than the peer reads is
// refused, since it would break the connection for every caller.
func (p *peer) call(ctx context.Context, method string, args, result proto.Message) error {
	if size := proto.Size(args); size > maxMessageSize {
		return clementineturn.Refuse(clementineturn.KindTooLarge, "peer %s: %s: %d bytes are more than %d", p.address, method, size, maxMessageSize)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	sent, err := p.callOnce(ctx, method, args, result)
	if err != nil && !sent && !clementineturn.IsNotRun(err) {
		sent, err = p.callOnce(ctx, method, args, result)
	}
	if err != nil && !sent && !clementineturn.IsNotRun(err) {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "%w", err)
	}
	return err
}

// callOnce sends one call over the open connection or a new one, and reports
// whether the peer may have received it.
func (p *peer) callOnce(ctx context.Context, method string, args, result proto.Message) (sent bool, err error) {
	client, err := p.connect(ctx)
	if err != nil {
		return false, err
	}
	// Client.Go blocks behind the write of another call to a peer that no longer
	// reads, for up to writeTimeout. The caller's context may end before.
	done := make(chan *rpc.Call, 1)
	request := &trackedRequest{message: args}
	go client.Go(serviceName+"."+method, request, result, done)
	var completed *rpc.Call
	select {
	case <-ctx.Done():
		return true, clementineturn.Errorf(clementineturn.KindUnknown, "peer %s: %s: %w", p.address, method, ctx.Err())
	case completed = <-done:
	}
	if completed.Error == nil {
		return true, nil
	}
	var serverError rpc.ServerError
	if errors.As(completed.Error, &serverError) {
		return true, decodeError(serverError)
	}
	p.discard(client)
	return request.isWritten.Load(), clementineturn.Errorf(clementineturn.KindUnknown, "peer %s: %s: %w", p.address, method, completed.Error)
}

func (p *peer) discard(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.lastDial; d != nil && d.isDone() && d.client == client {
		_ = client.Close()
		p.lastDial = nil
	}
}

// Offer implements clementineturn.Peer.
func (p *peer) Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	verdict := &clemwire.Verdict{}
	return verdict, p.call(ctx, "Offer", offer, verdict)
}

// Cancel implements clementineturn.Peer.
func (p *peer) Cancel(ctx context.Context, cancel *clemwire.Cancel) (*clemwire.Cancelled, error) {
	cancelled := &clemwire.Cancelled{}
	return cancelled, p.call(ctx, "Cancel", cancel, cancelled)
}

// Void implements clementineturn.Peer.
func (p *peer) Void(ctx context.Context, void *clemwire.Void) (*clemwire.Voided, error) {
	voided := &clemwire.Voided{}
	return voided, p.call(ctx, "Void", void, voided)
}

// Submit implements clementineturn.Peer.
func (p *peer) Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error) {
	submitted := &clemwire.Submitted{}
	return submitted, p.call(ctx, "Submit", submit, submitted)
}

// Pull implements clementineturn.Peer.
func (p *peer) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	pulled := &clemwire.Pulled{}
	return pulled, p.call(ctx, "Pull", pull, pulled)
}

// Beat implements clementineturn.Peer.
func (p *peer) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	beatReply := &clemwire.BeatReply{}
	return beatReply, p.call(ctx, "Beat", beat, beatReply)
}

// Probe implements clementineturn.Peer.
func (p *peer) Probe(ctx context.Context) (*clemwire.Probed, error) {
	probed := &clemwire.Probed{}
	return probed, p.call(ctx, "Probe", &clemwire.Probe{}, probed)
}

// Gather implements clementineturn.Peer.
func (p *peer) Gather(ctx context.Context) (*clemwire.Gathered, error) {
	gathered := &clemwire.Gathered{}
	return gathered, p.call(ctx, "Gather", &clemwire.Gather{}, gathered)
}

// Share implements clementineturn.Peer.
func (p *peer) Share(ctx context.Context, share *clemwire.Share) (*clemwire.Share, error) {
	peerShare := &clemwire.Share{}
	return peerShare, p.call(ctx, "Share", share, peerShare)
}
