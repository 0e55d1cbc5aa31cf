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
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	dialTimeout = time.Second
	// redialDelay is the time for which a failed dial answers for later ones.
	redialDelay = 200 * time.Millisecond
	// callTimeout bounds calls whose context has no deadline.
	callTimeout = 10 * time.Second
	idlePerHost = 64
)

// ClientConfig describes the Peers to construct.
type ClientConfig struct {
	// Key is the fleet's shared key.
	Key string
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Dial opens a connection; nil takes TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Peers keeps one connection for calls per peer and a pool for streams.
type Peers struct {
	key  string
	tls  *tls.Config
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	http *http.Client

	mu    sync.Mutex
	peers map[string]*peer
}

// NewPeers returns the peers that the configuration describes.
func NewPeers(c ClientConfig) *Peers {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{DialContext: c.Dial, TLSClientConfig: c.TLS, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute}
	return &Peers{key: c.Key, tls: c.TLS, dial: c.Dial, http: &http.Client{Transport: transport}, peers: map[string]*peer{}}
}

// Peer implements clementineturn.Peers.
func (p *Peers) Peer(address string) clementineturn.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.peers[address]; ok {
		return found
	}
	made := &peer{peers: p, address: address}
	p.peers[address] = made
	return made
}

// Close closes every connection.
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

	// mu guards what follows. It is not held while dialling.
	mu     sync.Mutex
	latest *dial
	closed bool
}

// dial is one attempt to connect. Its result is valid once done is closed.
type dial struct {
	done   chan struct{}
	client *rpc.Client
	err    error
	failed time.Time
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if d := p.latest; d != nil && d.isDone() && d.client != nil {
		_ = d.client.Close()
	}
}

func (d *dial) isDone() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// connect returns the open connection or waits for one. Its errors say not run.
func (p *peer) connect(ctx context.Context) (*rpc.Client, error) {
	d := p.join(ctx)
	select {
	case <-d.done:
		return d.client, d.err
	case <-ctx.Done():
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "peer %s: connecting: %w", p.address, ctx.Err())
	}
}

// join returns the latest dial, or starts one if there is none or the latest
// failed a while ago. Callers share the result of a failed dial: each would
// otherwise wait for a dial of its own to a frozen peer.
func (p *peer) join(ctx context.Context) *dial {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.latest; d != nil && (!d.isDone() || d.err == nil || time.Since(d.failed) < redialDelay) {
		return d
	}
	d := &dial{done: make(chan struct{})}
	p.latest = d
	// The dial serves every caller, so that the end of one must not fail it.
	go p.run(context.WithoutCancel(ctx), d)
	return d
}

func (p *peer) run(ctx context.Context, d *dial) {
	client, err := p.dial(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		_ = client.Close()
		err = net.ErrClosed
	}
	if err != nil {
		d.failed, d.err = time.Now(), clementineturn.Refuse(clementineturn.KindUnavailable, "peer %s: %w", p.address, err)
	} else {
		d.client = client
	}
	close(d.done)
}

func (p *peer) dial(ctx context.Context) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	if err := p.shake(ctx, conn, reader); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClientWithCodec(&clientCodec{newStream(conn, reader)}), nil
}

func (p *peer) open(ctx context.Context) (net.Conn, error) {
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

// shake asks the server to switch the connection to net/rpc.
func (p *peer) shake(ctx context.Context, conn net.Conn, reader *bufio.Reader) error {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	request := fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\n\r\n", rpcPath, p.address, bearer, p.peers.key)
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

// call runs one call. A broken connection is dropped. A call that never left,
// since the connection broke while it was idle, goes over a new one; no other
// is repeated, since the other side may have received it. A message that the
// other side would not read is not sent: it would break the connection for
// every caller.
func (p *peer) call(ctx context.Context, method string, args, result proto.Message) error {
	if size := proto.Size(args); size > maxMessage {
		return clementineturn.Refuse(clementineturn.KindTooLarge, "peer %s: %s: %d bytes are more than %d", p.address, method, size, maxMessage)
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

// callOnce runs one call over the open connection or a new one, and reports
// whether the other side may have received it.
func (p *peer) callOnce(ctx context.Context, method string, args, result proto.Message) (sent bool, err error) {
	client, err := p.connect(ctx)
	if err != nil {
		return false, err
	}
	// Go waits behind a write to a peer that no longer reads, for up to
	// writeTimeout; the caller's context may end before.
	done := make(chan *rpc.Call, 1)
	out := &outgoing{message: args}
	go client.Go(serviceName+"."+method, out, result, done)
	var pending *rpc.Call
	select {
	case <-ctx.Done():
		return true, clementineturn.Errorf(clementineturn.KindUnknown, "peer %s: %s: %w", p.address, method, ctx.Err())
	case pending = <-done:
	}
	if pending.Error == nil {
		return true, nil
	}
	var served rpc.ServerError
	if errors.As(pending.Error, &served) {
		return true, decodeError(served)
	}
	p.drop(client)
	return out.written.Load(), clementineturn.Errorf(clementineturn.KindUnknown, "peer %s: %s: %w", p.address, method, pending.Error)
}

func (p *peer) drop(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.latest; d != nil && d.isDone() && d.client == client {
		_ = client.Close()
		p.latest = nil
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
	back := &clemwire.BeatReply{}
	return back, p.call(ctx, "Beat", beat, back)
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
	answer := &clemwire.Share{}
	return answer, p.call(ctx, "Share", share, answer)
}
