package clemsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// linkChunk is the size in bytes in which a link passes on what it reads.
	linkChunk = 16 << 10
	// holdPoll is the pace at which a held direction looks whether it is free.
	holdPoll = 5 * time.Millisecond
)

// direction is one of the two ways of a link.
type direction int

const (
	// up is the way from the caller, down the way back.
	up direction = iota
	down
)

// link is a proxy on the loopback interface between a caller and a target that
// may move. It is open unless a fault holds it.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	held   [2]int
	delay  time.Duration
	pairs  map[*pair]bool
	ended  sync.WaitGroup
}

// pair is a connection through a link.
type pair struct {
	ends [2]net.Conn
	// isSilent is set when nothing comes through any more, for good.
	isSilent bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, pairs: map[*pair]bool{}}
	l.ended.Add(1)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// move sends new connections to another target; "" refuses them.
func (l *link) move(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// hold stops the bytes of a direction until the returned function is called.
func (l *link) hold(d direction) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[d]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held[d]--
	}
}

// slow delays what comes by the time, until the returned function is called.
func (l *link) slow(by time.Duration) func() {
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
	for p := range l.pairs {
		p.close(true)
	}
}

// silence lets nothing through the connections that there are, for good.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.isSilent = true
	}
}

// close ends the link and its connections.
func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
	l.ended.Wait()
}

func (p *pair) close(resets bool) {
	for _, end := range p.ends {
		if tcp, ok := end.(*net.TCPConn); ok && resets {
			_ = tcp.SetLinger(0)
		}
		_ = end.Close()
	}
}

func (l *link) accept() {
	defer l.ended.Done()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.ended.Add(1)
		go l.connect(conn)
	}
}

func (l *link) connect(caller net.Conn) {
	defer l.ended.Done()
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	called, err := net.Dial("tcp", target)
	if target == "" || err != nil {
		if tcp, ok := caller.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = caller.Close()
		return
	}
	p := &pair{ends: [2]net.Conn{caller, called}}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, up) })
	both.Go(func() { l.pump(p, down) })
	both.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	p.close(false)
}

// pump passes the bytes of one direction on until its end.
func (l *link) pump(p *pair, d direction) {
	from, to := p.ends[d], p.ends[1-d]
	chunk := make([]byte, linkChunk)
	for {
		n, err := from.Read(chunk)
		if !l.wait(p, d) {
			// A silent connection swallows the end, too.
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				p.close(true)
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
			p.close(true)
			return
		}
	}
}

// wait waits until the direction is free; it is false if the connection is silent.
func (l *link) wait(p *pair, d direction) bool {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	for {
		l.mu.Lock()
		isSilent, isHeld := p.isSilent, l.held[d] > 0
		l.mu.Unlock()
		if isSilent || !isHeld {
			return !isSilent
		}
		time.Sleep(holdPoll)
	}
}
