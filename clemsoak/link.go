package clemsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// linkBufferSize is the size of a link's read buffer in bytes.
	linkBufferSize = 16 << 10
	// blockPollInterval is the interval at which a blocked direction checks
	// whether it is open again.
	blockPollInterval = 5 * time.Millisecond
)

// direction is one of the two directions of a link.
type direction int

const (
	// toTarget is the direction from the caller to the target, toCaller the
	// opposite one.
	toTarget direction = iota
	toCaller
)

// link is a TCP proxy on the loopback interface between callers and a target,
// whose address may change. Faults can block, delay, reset or blackhole it.
type link struct {
	listener net.Listener

	mu          sync.Mutex
	target      string
	blocked     [2]int
	delay       time.Duration
	connections map[*connection]bool
	running     sync.WaitGroup
}

// connection is a proxied connection.
type connection struct {
	ends [2]net.Conn
	// isBlackholed is set once the connection discards everything it reads.
	isBlackholed bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, connections: map[*connection]bool{}}
	l.running.Add(1)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// setTarget sets the target of new connections; "" refuses them.
func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// block holds back the bytes of a direction until the returned function is
// called.
func (l *link) block(d direction) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[d]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.blocked[d]--
	}
}

// addDelay delays what the link reads by the given time until the returned
// function is called.
func (l *link) addDelay(by time.Duration) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay += by
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.delay -= by
	}
}

// reset resets all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.close(true)
	}
}

// blackhole makes the existing connections discard everything from now on.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.isBlackholed = true
	}
}

// close closes the link and its connections.
func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
	l.running.Wait()
}

func (c *connection) close(resets bool) {
	for _, end := range c.ends {
		if tcp, ok := end.(*net.TCPConn); ok && resets {
			_ = tcp.SetLinger(0)
		}
		_ = end.Close()
	}
}

func (l *link) accept() {
	defer l.running.Done()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.running.Add(1)
		go l.connect(conn)
	}
}

func (l *link) connect(caller net.Conn) {
	defer l.running.Done()
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	upstream, err := net.Dial("tcp", target)
	if target == "" || err != nil {
		if tcp, ok := caller.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = caller.Close()
		return
	}
	c := &connection{ends: [2]net.Conn{caller, upstream}}
	l.mu.Lock()
	l.connections[c] = true
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copyDirection(c, toTarget) })
	copies.Go(func() { l.copyDirection(c, toCaller) })
	copies.Wait()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
	c.close(false)
}

// copyDirection copies the bytes of one direction until its end.
func (l *link) copyDirection(c *connection, d direction) {
	from, to := c.ends[d], c.ends[1-d]
	chunk := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(chunk)
		if !l.wait(c, d) {
			// A blackholed connection does not forward the end either.
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				c.close(true)
				return
			}
		}
		switch {
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			c.close(true)
			return
		}
	}
}

// wait waits for the delay and until the direction is open. It returns false if
// the connection is blackholed.
func (l *link) wait(c *connection, d direction) bool {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	for {
		l.mu.Lock()
		isBlackholed, isBlocked := c.isBlackholed, l.blocked[d] > 0
		l.mu.Unlock()
		if isBlackholed || !isBlocked {
			return !isBlackholed
		}
		time.Sleep(blockPollInterval)
	}
}
