package clemquota

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxSampled is how many connections are looked at to find one to close. The oldest of
// so many is among the oldest tenth of all but for 1 case in 29.
const maxSampled = 32

// ListenerConfig describes a Listener to construct.
type ListenerConfig struct {
	// Listener accepts the connections. Its connections have no TLS below this listener,
	// or are TLS connections themselves.
	Listener net.Listener
	// Budget counts the memory of requests; nil means that nothing is bounded.
	Budget *Budget
	// MaxConns returns the largest number of open connections, 0 for no limit. It may
	// be nil.
	MaxConns func() int
	// Limits returns the limits in force, which apply from the next head on.
	Limits func() Limits
	// OnRefused is called for each refused head or connection. It may be nil.
	OnRefused func(reason Reason, client net.Addr)
}

// Listener is a net.Listener that bounds its connections. Its ConnState and
// ConnContext belong into the http.Server that serves it.
type Listener struct {
	net.Listener
	config ListenerConfig

	// mu guards conns.
	mu    sync.Mutex
	conns []*Conn
}

// NewListener returns a listener for the configuration.
func NewListener(c ListenerConfig) *Listener {
	if c.Budget == nil {
		c.Budget = NewBudget(0)
	}
	if c.MaxConns == nil {
		c.MaxConns = func() int { return 0 }
	}
	if c.OnRefused == nil {
		c.OnRefused = func(Reason, net.Addr) {}
	}
	return &Listener{Listener: c.Listener, config: c}
}

// Accept implements net.Listener. At the limit of connections it closes the one that
// has waited longest without a complete request, or the new one if all have one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		c.hold = l.config.Budget.NewHold(c.evict)
		if l.add(c) {
			c.beginHead(func(limits Limits) time.Duration { return limits.FirstTimeout })
			return c, nil
		}
		l.refused(ReasonConnections, c)
		_ = raw.Close()
	}
}

// ConnState follows the state of a connection. It is for http.Server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.beginHead(func(limits Limits) time.Duration { return limits.IdleTimeout })
	case http.StateHijacked, http.StateClosed:
		c.hold.Release()
	case http.StateNew:
	}
}

// Len returns the number of open connections, 0 for a nil Listener.
func (l *Listener) Len() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// add adds a connection, for which others may be closed, and reports whether there was
// room.
func (l *Listener) add(c *Conn) bool {
	for {
		limit := l.config.MaxConns()
		l.mu.Lock()
		if limit <= 0 || len(l.conns) < limit {
			c.index = len(l.conns)
			l.conns = append(l.conns, c)
			l.mu.Unlock()
			return true
		}
		oldest := l.oldest()
		l.mu.Unlock()
		if oldest == nil {
			return false
		}
		l.refused(ReasonConnections, oldest)
		oldest.closeNow()
	}
}

// oldest returns the connection of a sample that has waited longest: one that was refused
// and only lingers if there is one, else one that never had a complete request, else an
// idle one, or nil.
func (l *Listener) oldest() *Conn {
	var found *Conn
	var since int64
	var order int
	start := rand.IntN(len(l.conns))
	for i := range min(maxSampled, len(l.conns)) {
		at := start + i
		if len(l.conns) > maxSampled {
			at = rand.IntN(len(l.conns))
		}
		c := l.conns[at%len(l.conns)]
		waiting, n := c.waiting()
		if waiting != 0 && (found == nil || n < order || n == order && waiting < since) {
			found, since, order = c, waiting, n
		}
	}
	return found
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.conns[len(l.conns)-1]
	l.conns[c.index], last.index = last, c.index
	l.conns[len(l.conns)-1] = nil
	l.conns = l.conns[:len(l.conns)-1]
}

func (l *Listener) refused(reason Reason, c *Conn) { l.config.OnRefused(reason, c.RemoteAddr()) }
