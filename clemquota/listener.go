package clemquota

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	// stopped is closed once the inner listener is, with stopErr, and closed by Close.
	stopped, closed     chan struct{}
	stopOnce, closeOnce sync.Once
	stopErr             error

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
	return &Listener{Listener: c.Listener, config: c, stopped: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. At the limit of connections it closes the one that
// has waited longest without a complete request, or the new one if all have one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.awaitClose()
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

// Stop ends the acceptance of connections. Those that are open are served until Close:
// http.Server.Shutdown would drop the requests that arrive on them without an answer.
func (l *Listener) Stop() { _ = l.stop() }

// stop closes the inner listener, once, and returns the error of that.
func (l *Listener) stop() error {
	l.stopOnce.Do(func() {
		l.stopErr = l.Listener.Close()
		close(l.stopped)
	})
	return l.stopErr
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.stop()
}

// awaitClose waits for Close after Stop, since http.Server ends with an error of Accept.
func (l *Listener) awaitClose() {
	select {
	case <-l.stopped:
		<-l.closed
	default:
	}
}

// CloseIdle closes the connections that wait for the next request, and those that have
// waited longer than the time for the first one. No request that was read is lost.
func (l *Listener) CloseIdle(maxWait time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	conns := slices.Clone(l.conns)
	l.mu.Unlock()
	before := time.Now().Add(-maxWait).UnixNano()
	for _, c := range conns {
		since := c.waitingSince.Load()
		if since != 0 && (c.hasServed.Load() || since < before) && c.abandonHead() {
			_ = c.Close()
		}
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
