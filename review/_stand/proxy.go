package main

import (
	"io"
	"net"
	"sync"
)

// link is the path from a front to the store. While it is cut nothing passes.
type link struct {
	address, target string

	mu    sync.Mutex
	isCut bool
	conns []net.Conn
}

// newLink opens a path to the target.
func newLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("a link cannot listen: %v", err)
	}
	l := &link{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l
}

func (l *link) carry(conn net.Conn) {
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	isCut := l.isCut
	l.mu.Unlock()
	if isCut {
		return
	}
	other, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go l.copy(other, conn)
	l.copy(conn, other)
}

// copy passes bytes on until the link is cut or a side ends.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		isCut := l.isCut
		l.mu.Unlock()
		if isCut {
			// What was sent into the cut is lost, and the channel stays silent.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// cut cuts the link or heals it. Channels that were open during the cut are reset.
func (l *link) cut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	if !isCut {
		for _, conn := range l.conns {
			_ = conn.Close()
		}
		l.conns = nil
	}
}
