package clemconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquota"
)

// maxIdleConns is the maximum number of idle connections to one backend server.
// It is above the usual number of concurrent requests of one entry to a server.
const maxIdleConns = 32

// minIdleTimeout is shorter than the idle timeout of any server that announces none.
const minIdleTimeout = time.Second

// checkTimeout bounds the check of whether a server refuses connections: some round
// trips between data centres, since a request waits for it.
const checkTimeout = 100 * time.Millisecond

// Config describes a Pool to construct.
type Config struct {
	// Address is the address of the backend server.
	Address string
	// Dial opens a connection; nil means the package's Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds the idle connections to one backend server and opens new ones. It is
// safe for concurrent use.
type Pool struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// New returns an empty pool.
func New(c Config) *Pool {
	if c.Dial == nil {
		c.Dial = Dial
	}
	return &Pool{address: c.Address, dial: c.Dial}
}

// conn is a connection, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit limits what reader reads while a head is expected.
	limit *clemquota.ReadLimit
	// idleSince is when the connection was last used.
	idleSince time.Time
	// usableUntil is shortly before the server closes the idle connection; zero if
	// the server announced no timeout.
	usableUntil time.Time
}

// acquire returns an idle connection that was used within the last maxIdle, or a
// new one. wasLost is set if the server closed an idle connection before its timeout.
// Errors: KindUnavailable, not run.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (_ *conn, wasLost bool, _ error) {
	now := time.Now()
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		isFresh := now.Sub(c.idleSince) <= maxIdle && (c.usableUntil.IsZero() || now.Before(c.usableUntil))
		if isFresh && c.reader.Buffered() == 0 && isUsable(c.Conn) {
			return c, wasLost, nil
		}
		if now.Sub(c.idleSince) < minIdleTimeout || now.Before(c.usableUntil) {
			wasLost = wasLost || isClosed(c.Conn)
		}
		_ = c.Close()
	}
	opened, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, wasLost, clementineturn.Refuse(clementineturn.KindUnavailable, "backend server %s: %w", p.address, err)
	}
	return newConn(opened), wasLost, nil
}

func newConn(opened net.Conn) *conn {
	limit := clemquota.NewReadLimit(opened)
	return &conn{Conn: opened, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize)}
}

// RefusesConnections reports whether the server's address refuses connections, as it
// does after its process ended. A connection that is accepted is kept for a request.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	opened, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.release(newConn(opened))
	return false
}

// IsBroken reports whether the error is that of a connection which the other side
// closed or reset.
func IsBroken(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, io.ErrClosedPipe} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// release keeps a connection that was just used for another request, or closes it if the
// pool is closed or has enough.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.keep(c)
}

// keep is release for a connection that was not used: it stays idle since its last use, at
// the end of which the server began to count its own timeout.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.idle = append(p.idle, c)
}

// Close closes the idle connections. Connections in use are closed when their
// responses are.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
