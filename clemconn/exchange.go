package clemconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemhttp"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes, enough for
	// a few events of a stream.
	readBufferSize = 2048
	// maxInlineBody is the size in bytes above which a body is written in a
	// goroutine while the response is read, since a server may respond before it
	// has read the body.
	maxInlineBody = 16 << 10
	// maxHeadBytes is the size limit of the head of a response, with the interim
	// responses before it.
	maxHeadBytes = 256 << 10
	// maxHeadLines is the limit of its lines, each of which takes up to 200 bytes: 1.6 MB
	// in all.
	maxHeadLines = 8192
	// maxStrayBody is how many bytes of a response to another request are skipped.
	maxStrayBody = 1 << 20
	// maxStrayResponses is how many responses to other requests are skipped on a
	// connection.
	maxStrayResponses = 2
	// keepAliveMargin is how long before the server's keep-alive timeout an idle
	// connection is no longer used.
	keepAliveMargin = 500 * time.Millisecond
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Match is what a response says about the request that it belongs to.
type Match uint8

const (
	// MatchOther is a response to another request.
	MatchOther Match = iota
	// MatchUnnamed is a response that names no request. It counts as a response to the
	// present request. The connection carries no further request, since a late copy of
	// the response could not be distinguished from the response to it.
	MatchUnnamed
	// MatchOwn is a response to the present request.
	MatchOwn
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is how long a connection may have been idle to be reused.
	MaxIdle time.Duration
	// Match returns which request a response belongs to; nil means MatchOwn.
	Match func(status int, header http.Header) Match
	// BeforeSend, if set, is called once there is a connection, before the first byte is
	// written. Its error ends the exchange, and the connection is kept. wasLost is set if
	// the server closed an idle connection too early for that to be a timeout: it may have
	// ended and started again.
	BeforeSend func(wasLost bool) error
	// ChargeHead, if set, is called with the memory in bytes that the head of the response
	// takes, as it grows. Its error ends the exchange.
	ChargeHead func(size int64) error
}

// Response is a backend server's response. It must be closed.
type Response struct {
	*http.Response
	pool       *Pool
	conn       *conn
	stopCancel func() bool
	// written holds the result of writing a large body once it is known; nil if the
	// body was written before the response was read.
	written chan error
	atEOF   bool
	// isUnnamed is set if the response names no request.
	isUnnamed bool
}

// Exchange sends the request once and returns the response after its head was
// read. The connection is closed when the context ends. Errors: KindUnavailable,
// not run, if there was no connection; KindMismatch if only responses to other
// requests arrived; KindTooLarge if the head does not end within maxHeadBytes and maxHeadLines or a
// response to another request within maxStrayBody; KindUnknown otherwise, with the
// context's cause if it ended; those of BeforeSend and ChargeHead.
func (p *Pool) Exchange(ctx context.Context, r *Request) (*Response, error) {
	c, wasLost, err := p.acquire(ctx, r.MaxIdle)
	if err != nil {
		return nil, err
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(wasLost); err != nil {
			p.keep(c)
			return nil, err
		}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	response := &Response{pool: p, conn: c, stopCancel: stopCancel}
	if response.written, err = c.writeRequest(r); err == nil {
		err = response.readHead(r)
	}
	if err != nil {
		stopCancel()
		_ = c.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if c.limit.IsExceeded() {
			err = clementineturn.Errorf(clementineturn.KindTooLarge, "backend server %s: more than %d bytes or %d lines of a head or %d bytes of an answer to another request", p.address, maxHeadBytes, maxHeadLines, maxStrayBody)
		}
		var known *clementineturn.Error
		if errors.As(err, &known) {
			return nil, err
		}
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "backend server %s: %w", p.address, err)
	}
	return response, nil
}

// writeRequest writes the request. For a large body it returns a channel that
// receives the result once the goroutine has written it.
func (c *conn) writeRequest(r *Request) (chan error, error) {
	var b bytes.Buffer
	inline := r.Body
	if len(r.Body) > maxInlineBody {
		// The body is not copied, since that would double its memory.
		inline = nil
	}
	b.Grow(1024 + len(inline))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	b.Write(inline)
	if len(r.Body) <= maxInlineBody {
		_, err := c.Write(b.Bytes())
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		text := net.Buffers{b.Bytes(), r.Body}
		_, err := text.WriteTo(c.Conn)
		written <- err
	}()
	return written, nil
}

// readHead reads the head of the response to the request.
func (r *Response) readHead(request *Request) error {
	r.conn.limit.Set(maxHeadBytes, maxHeadLines)
	r.conn.limit.Charge(request.ChargeHead)
	defer r.conn.limit.Lift()
	for range maxStrayResponses + 1 {
		head, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return err
		}
		if head.ProtoMajor != 1 {
			return fmt.Errorf("malformed response: version %.20q", head.Proto)
		}
		if err := clemhttp.CheckHead(head); err != nil {
			return err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		match := MatchOwn
		if request.Match != nil {
			match = request.Match(head.StatusCode, head.Header)
		}
		if match != MatchOther {
			r.Response, r.isUnnamed = head, match == MatchUnnamed
			return nil
		}
		r.conn.limit.Charge(nil)
		r.conn.limit.Set(maxStrayBody, maxStrayBody)
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return err
		}
		r.conn.limit.Set(maxHeadBytes, maxHeadLines)
		r.conn.limit.Charge(request.ChargeHead)
	}
	return clementineturn.Errorf(clementineturn.KindMismatch, "backend server %s: only answers to other requests", r.pool.address)
}

// Read reads the response's body. io.EOF means that the body is complete, as far as its
// framing and the connection show.
func (r *Response) Read(to []byte) (int, error) {
	n, err := r.Body.Read(to)
	if err == io.EOF && r.IsUndelimited() {
		err = r.checkEnd()
	}
	if err == io.EOF {
		r.atEOF = true
	}
	return n, err
}

// IsUndelimited reports whether the body has neither a length nor chunks, so that it ends
// with the connection.
func (r *Response) IsUndelimited() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// checkEnd returns io.EOF if the connection of an undelimited response was closed, and
// another error if it was reset. The kernel reports a reset to one system call only: if
// that is the write of the request's body, reads see an ordinary end.
func (r *Response) checkEnd() error {
	if r.written == nil {
		return io.EOF
	}
	// The response has ended, so that the rest of the request is of no use.
	_ = r.conn.SetWriteDeadline(longAgo)
	err := <-r.written
	r.written <- err
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("the connection broke before the end of the request: %w", err)
	}
	return io.EOF
}

// Close returns the connection to the pool if the response was read to its end
// and the connection can carry another request, and closes it otherwise.
func (r *Response) Close() {
	if !r.stopCancel() || !r.isReusable() {
		_ = r.conn.Close()
		return
	}
	r.conn.usableUntil = keepAliveDeadline(r.Header.Get("Keep-Alive"))
	r.pool.release(r.conn)
}

// isReusable reports whether the connection can carry another request.
func (r *Response) isReusable() bool {
	if !r.atEOF || r.isUnnamed || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.IsUndelimited() {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// keepAliveDeadline returns until when the connection may be used if it stays
// idle, from the Keep-Alive header of the response, or zero without a timeout.
func keepAliveDeadline(header string) time.Time {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Now().Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
	return time.Time{}
}
