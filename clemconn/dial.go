// Package clemconn is the HTTP/1.1 client of an entry for its backend servers,
// with a connection pool for each server. Unlike net/http's transport, it never
// resends a request on its own, reports whether the request may have been sent,
// and checks that a response belongs to the request.
package clemconn

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout is some hundred times the latency between two data centres,
	// and less than the time after which a lost SYN is retransmitted.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long written bytes may remain unacknowledged until the
	// kernel closes the connection.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount are TCP keep-alive settings that
	// detect a dead connection within two seconds, before clients abort a stream.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failed
	},
}

// Dial opens a TCP connection that fails soon after the peer stops responding.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// isUsable reports whether an idle connection can carry a request: the peer has
// neither closed it nor sent anything. A connection that is not a syscall.Conn
// counts as usable.
func isUsable(conn net.Conn) bool {
	_, ok, err := readOne(conn)
	return !ok || err == syscall.EAGAIN
}

// isClosed reports whether the peer has closed or reset the connection.
func isClosed(conn net.Conn) bool {
	n, ok, err := readOne(conn)
	return ok && (err == nil && n == 0 || err == syscall.ECONNRESET)
}

// readOne reads a byte from the connection without waiting. It returns false if the
// connection is not a syscall.Conn.
func readOne(conn net.Conn) (n int, ok bool, failed error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, failed = syscall.Read(int(fd), one[:])
		return true
	})
	if err != nil {
		failed = err
	}
	return n, true, failed
}
