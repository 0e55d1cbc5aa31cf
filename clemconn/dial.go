// Package clemconn keeps HTTP/1.1 connections to backend servers. Unlike
// net/http's transport it never sends a request again by itself, tells
// whether a byte of a request was written, and matches answers to requests.
package clemconn

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout is how long a connection may take: some hundred times the
	// way between two data centres, and less than a retransmitted SYN.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long written bytes may stay without an acknowledgement
	// before the connection counts as dead.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle, probeGap and probeCount find a silent connection within two
	// seconds, before clients give a stream up.
	probeIdle  = time.Second
	probeGap   = 500 * time.Millisecond
	probeCount = 2
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeGap, Count: probeCount},
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

// Dial opens a TCP connection that fails soon after the other side went silent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// isQuiet reports whether a connection is open and has nothing to read. A
// connection that is not TCP's counts as quiet.
func isQuiet(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, failed = syscall.Read(int(fd), one[:])
		return true
	})
	return err == nil && failed == syscall.EAGAIN
}
