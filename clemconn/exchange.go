package clemconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// readerSize is the buffer of a connection in bytes, a few events of a stream.
	readerSize = 2048
	// largeBody is the size in bytes above which a body is written beside the
	// reading of the answer, since a server may answer before it has read it.
	largeBody = 16 << 10
	// mostStray is the number of answers to other requests that are skipped on a connection.
	mostStray = 2
	// keepMargin is kept from the time at which a server closes an idle connection.
	keepMargin = 500 * time.Millisecond
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Kept is how long a connection may have been idle to be used.
	Kept time.Duration
	// IsOwn reports whether an answer belongs to this request.
	IsOwn func(status int, header http.Header) bool
}

// Response is a backend server's answer. It must be closed.
type Response struct {
	*http.Response
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error
	ended   bool
}

// Exchange sends the request once and returns the head of its answer. The
// connection closes when the context ends. Errors: KindUnavailable with not
// run if no connection could be had; KindMismatch if only answers to other
// requests came; KindUnknown otherwise.
func (p *Pool) Exchange(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.take(ctx, r.Kept)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response := &Response{pool: p, conn: c, stop: stop}
	if response.written, err = c.send(r); err == nil {
		err = response.read(r)
	}
	if err != nil {
		stop()
		_ = c.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		var known *clementineturn.Error
		if errors.As(err, &known) {
			return nil, err
		}
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "backend server %s: %w", p.address, err)
	}
	return response, nil
}

// send writes the request. The channel, if there is one, tells the end of a
// large body's writing.
func (c *conn) send(r *Request) (chan error, error) {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if len(r.Body) <= largeBody {
		_, err := c.Write(b.Bytes())
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(b.Bytes())
		written <- err
	}()
	return written, nil
}

// read reads the head of the request's own answer.
func (r *Response) read(request *Request) error {
	for range mostStray + 1 {
		head, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		if request.IsOwn == nil || request.IsOwn(head.StatusCode, head.Header) {
			r.Response = head
			return nil
		}
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return err
		}
	}
	return clementineturn.Errorf(clementineturn.KindMismatch, "backend server %s: only answers to other requests", r.pool.address)
}

// Read reads the answer's body. io.EOF means that the body is whole.
func (r *Response) Read(to []byte) (int, error) {
	n, err := r.Body.Read(to)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end and the
// connection may carry another request, and closes it otherwise.
func (r *Response) Close() {
	if !r.stop() || !r.mayKeep() {
		_ = r.conn.Close()
		return
	}
	r.conn.until = keptUntil(r.Header.Get("Keep-Alive"))
	r.pool.put(r.conn)
}

func (r *Response) mayKeep() bool {
	if !r.ended || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
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

// keptUntil returns when the server closes the connection if it stays idle.
func keptUntil(header string) time.Time {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Now().Add(time.Duration(seconds)*time.Second - keepMargin)
		}
	}
	return time.Time{}
}
