package clemquota

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headSlack is how much longer than the limit a head may be: the limit need not
	// count the request line, and net/http allows as much.
	headSlack = 4096
	// lateReadTime is how long a head may still be read after its timeout or that of an
	// idle connection: its bytes may have arrived while the process was suspended.
	lateReadTime = 50 * time.Millisecond
	// readBufferSize is the size of net/http's buffer of a connection, in which a part
	// of the next request may remain.
	readBufferSize = 4096
	// lingerTime is how long a connection stays open after a refusal, since closing it
	// with unread bytes would destroy the refusal on its way. net/http waits as long.
	lingerTime = 500 * time.Millisecond
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
	// retryAfterSeconds is when a client may repeat a request that was refused because
	// of memory.
	retryAfterSeconds = 1
)

// Reason says why a connection or request was refused.
type Reason string

// The reasons.
const (
	// ReasonMemory is a request that the memory budget has no room for.
	ReasonMemory Reason = "memory"
	// ReasonHead is a head above the limit of bytes.
	ReasonHead Reason = "head"
	// ReasonTime is a head that was not complete in time.
	ReasonTime Reason = "time"
	// ReasonConnections is a connection above the limit of connections.
	ReasonConnections Reason = "connections"
)

// Limits are the limits on the head of a request and on a connection without one.
type Limits struct {
	// MaxHeadBytes is the size limit of a head in bytes.
	MaxHeadBytes int
	// HeadTimeout is the longest time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// FirstTimeout is the longest time from the start of a connection to the first
	// byte, IdleTimeout that between two requests.
	FirstTimeout, IdleTimeout time.Duration
}

var (
	longAgo = time.Unix(1, 0)
	// errRefused ends the connection. net/http does not answer errors of this type.
	errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("refused by the limits of the listener")}
)

// Values of Conn.headState.
const (
	// headAwaited is a connection of whose next head nothing was read.
	headAwaited = iota
	// headBegun is one of which something was read, or its request is served.
	headBegun
	// headAbandoned is one that is closed before anything of a head is read.
	headAbandoned
)

// Conn is a connection of a Listener. It counts the bytes and lines of each head as
// net/http reads it: a head begins with the connection or when the connection is idle,
// and ends when net/http reports it as active.
type Conn struct {
	net.Conn
	listener *Listener
	hold     *Hold
	// index is the position in listener.conns, guarded by listener.mu.
	index int
	// waitingSince is the time since which the connection has had no complete request,
	// 0 while it has one. hasServed is set once it had one.
	waitingSince atomic.Int64
	hasServed    atomic.Bool
	// endedSince is the time since which the connection only waits for its client to read
	// a refusal, 0 before.
	endedSince atomic.Int64
	isRefused  atomic.Bool
	removeOnce sync.Once
	// headState tells whether bytes of the present head were read.
	headState atomic.Int32

	// The fields below belong to the goroutine that serves the connection and to the one
	// in which net/http reads while a handler runs; these take turns.
	limits Limits
	inHead bool
	// headBytes and reads count what was read of the head.
	headBytes, reads int
	// bufferedLines is the number of line ends among the bytes that net/http may have
	// in its buffer when the next head begins.
	bufferedLines int
	isLate        bool
	// headErr is the error that ended the head. net/http may ask again for the rest of a
	// line.
	headErr error
	// deadline is what net/http last set while a head was read, and deadlinesSet how often
	// it did so for this head: once before it waits for a request with less than four bytes
	// in its buffer, again before it parses the head.
	deadline     time.Time
	deadlinesSet int
}

func (c *Conn) beginHead(timeout func(Limits) time.Duration) {
	c.limits = c.listener.config.Limits()
	c.inHead, c.isLate, c.headErr = true, false, nil
	c.headBytes, c.reads = 0, 0
	c.deadline, c.deadlinesSet = time.Time{}, 0
	c.waitingSince.Store(time.Now().UnixNano())
	c.headState.CompareAndSwap(headBegun, headAwaited)
	c.hold.Release()
	_ = c.setReadDeadline(time.Now().Add(timeout(c.limits)))
}

// endHead ends the counting. A head that was in net/http's buffer as a whole is charged
// now.
func (c *Conn) endHead() {
	c.inHead = false
	if !c.headState.CompareAndSwap(headAwaited, headBegun) && c.headState.Load() == headAbandoned {
		// The head came with the request before. Its request must not be sent.
		c.hold.evict()
	}
	c.waitingSince.Store(0)
	c.hasServed.Store(true)
	if c.reads == 0 {
		_ = c.hold.Charge(int64(c.bufferedLines) * lineMemory)
	}
	_ = c.setReadDeadline(c.deadline)
}

// Read implements net.Conn.
func (c *Conn) Read(to []byte) (int, error) {
	if c.inHead {
		return c.readHead(to)
	}
	n, err := c.Conn.Read(to)
	c.countBuffered(to, n)
	return n, err
}

// Write implements net.Conn. After a refusal nothing else is sent: net/http may take the
// cut head for a malformed one.
func (c *Conn) Write(from []byte) (int, error) {
	if c.isRefused.Load() {
		return 0, errRefused
	}
	return c.Conn.Write(from)
}

// countBuffered counts the line ends that net/http's buffer may have after a read. It
// reads less than the size of its buffer only if there is something in it, and more only
// past the buffer.
func (c *Conn) countBuffered(to []byte, n int) {
	switch {
	case len(to) > readBufferSize:
		c.bufferedLines = 0
		return
	case len(to) == readBufferSize:
		c.bufferedLines = 0
	}
	c.bufferedLines = min(c.bufferedLines+bytes.Count(to[:n], []byte{'\n'}), readBufferSize)
}

func (c *Conn) readHead(to []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	if c.headBytes == 0 && c.hold.IsEvicted() {
		return 0, errRefused
	}
	if c.headBytes >= c.limits.MaxHeadBytes+headSlack {
		return 0, c.refuse(ReasonHead, http.StatusRequestHeaderFieldsTooLarge)
	}
	// Most heads arrive in one piece, and the time of the others runs from the first.
	if c.reads == 1 {
		_ = c.setReadDeadline(time.Now().Add(c.limits.HeadTimeout))
	}
	n, err := c.Conn.Read(to)
	if n == 0 && !c.isLate && errors.Is(err, os.ErrDeadlineExceeded) && !c.hold.IsEvicted() {
		c.isLate = true
		_ = c.setReadDeadline(time.Now().Add(lateReadTime))
		n, err = c.Conn.Read(to)
	}
	if n > 0 && !c.headState.CompareAndSwap(headAwaited, headBegun) && c.headState.Load() == headAbandoned {
		// The client may repeat a request that was not read.
		return 0, errRefused
	}
	if n > 0 {
		lines := headLines(to[:n])
		if c.reads == 0 && c.deadlinesSet != 1 {
			// A part of the head came with the last request.
			lines += c.bufferedLines
		}
		c.reads++
		c.headBytes += n
		c.countBuffered(to, n)
		if c.hold.Charge(int64(n)+int64(lines)*lineMemory) != nil {
			return 0, c.refuse(ReasonMemory, http.StatusServiceUnavailable)
		}
		return n, err
	}
	switch {
	case c.hold.IsEvicted():
		return 0, c.refuse(ReasonMemory, http.StatusServiceUnavailable)
	case c.headBytes > 0 && errors.Is(err, os.ErrDeadlineExceeded):
		c.listener.refused(ReasonTime, c)
	}
	answerPlain(err)
	c.headErr = err
	return n, err
}

// answerPlain answers a request without TLS to a listener with TLS. net/http does so
// only if it sees the TLS connection itself.
func answerPlain(err error) {
	var record tls.RecordHeaderError
	if !errors.As(err, &record) || record.Conn == nil {
		return
	}
	switch string(record.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		_ = record.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(record.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	}
}

// headLines counts the line ends up to an empty line, which ends a head. Empty lines at
// the beginning may come before one.
func headLines(text []byte) int {
	count, at := 0, len(text)-len(bytes.TrimLeft(text, "\r\n"))
	for {
		end := bytes.IndexByte(text[at:], '\n')
		if end < 0 {
			return count
		}
		count++
		at += end + 1
		if rest := text[at:]; bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n")) {
			return count
		}
	}
}

// refuse answers a head that is not complete, so that its request never runs, and ends
// the connection.
func (c *Conn) refuse(reason Reason, status int) error {
	c.headErr = errRefused
	c.isRefused.Store(true)
	c.endedSince.CompareAndSwap(0, time.Now().UnixNano())
	c.listener.refused(reason, c)
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: 0\r\nConnection: close\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + strconv.Itoa(retryAfterSeconds) + "\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, text+"\r\n")
	_ = c.CloseWrite()
	return errRefused
}

// CloseWrite closes the sending half of the connection, where it can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. While a head is read the deadlines are those of
// the limits.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.inHead {
		c.deadline = t
		c.deadlinesSet++
		return nil
	}
	return c.setReadDeadline(t)
}

func (c *Conn) setReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.hold.IsEvicted() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return err
}

// waiting returns since when the connection has waited, 0 if it has a request, and the
// order in which connections are closed at the limit.
func (c *Conn) waiting() (since int64, order int) {
	if ended := c.endedSince.Load(); ended != 0 {
		return ended, 0
	}
	if c.hasServed.Load() {
		return c.waitingSince.Load(), 2
	}
	return c.waitingSince.Load(), 1
}

// abandonHead reports whether nothing of the present head was read, and nothing will be from
// then on.
func (c *Conn) abandonHead() bool { return c.headState.CompareAndSwap(headAwaited, headAbandoned) }

// evict ends reads of the request.
func (c *Conn) evict() {
	c.endedSince.CompareAndSwap(0, time.Now().UnixNano())
	_ = c.Conn.SetReadDeadline(longAgo)
}

// Close implements net.Conn. The connection of a request that was refused or evicted is
// closed only after the refusal had time to reach the client.
func (c *Conn) Close() error {
	if isRefused := c.isRefused.Load(); isRefused || c.hold.IsEvicted() {
		if !isRefused {
			_ = c.CloseWrite()
		}
		time.AfterFunc(lingerTime, c.closeNow)
		c.hold.Release()
		return nil
	}
	err := c.Conn.Close()
	c.removeOnce.Do(func() { c.listener.remove(c) })
	return err
}

// closeNow closes the connection without telling the client, which the close of a TLS
// connection might wait for.
func (c *Conn) closeNow() {
	if secure, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		_ = secure.NetConn().Close()
	}
	_ = c.Conn.Close()
	c.removeOnce.Do(func() { c.listener.remove(c) })
}

type holdKey struct{}

// ConnContext adds the hold of the connection to the context of its requests. It is
// for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, holdKey{}, c.hold)
	}
	return ctx
}

// FromContext returns the hold of the request with the context, or nil.
func FromContext(ctx context.Context) *Hold {
	hold, _ := ctx.Value(holdKey{}).(*Hold)
	return hold
}
