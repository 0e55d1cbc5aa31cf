package clemconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// mostIdle is the number of kept connections to one backend server, above
// the requests that one entry usually has there at once.
const mostIdle = 32

// Config describes a Pool to construct.
type Config struct {
	// Address is the backend server's.
	Address string
	// Dial opens a connection; nil takes Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps the connections to one backend server.
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

// conn is one connection. One request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// since is when the connection was last used.
	since time.Time
	// until is when the server closes it if it stays idle; zero if it did not say.
	until time.Time
}

// take returns a connection that was used within the given time, or a new
// one. Errors say not run.
func (p *Pool) take(ctx context.Context, kept time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			break
		}
		isFresh := now.Sub(c.since) <= kept && (c.until.IsZero() || now.Before(c.until))
		if isFresh && c.reader.Buffered() == 0 && isQuiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	opened, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "backend server %s: %w", p.address, err)
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readerSize)}, nil
}

func (p *Pool) pop() *conn {
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

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= mostIdle {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	p.idle = append(p.idle, c)
}

// Close closes the idle connections. Those in use close when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
