package clemrouter

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

const (
	// mostWhole is the size in bytes up to which an answer is held until it is
	// whole, so that a broken one can be replaced.
	mostWhole = 1 << 20
	// firstRead is the buffer's size for a body of unknown length.
	firstRead = 4096
)

// connectionHeaders concern one connection and are not passed on. The length
// is set anew.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	reply  clementineturn.Reply
}

// isPassable reports whether the client may get a server's failure. A status
// that promises that the request was not run must be true.
func (a *answer) isPassable(route *clemroute.Route) bool {
	return a.reply.NotRun() || !isPromise(a.status) || route.IsIdempotent()
}

// isPromise reports whether the status tells that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// whole reads an answer that is no stream and passes it on if it is good.
func (q *request) whole(response *clemconn.Response, reply clementineturn.Reply) verdict {
	a := &answer{status: response.StatusCode, header: response.Header, reply: reply}
	if reply.NotRun() {
		v := verdict{outcome: clempool.OutcomeRefused, err: clementineturn.Refuse(clementineturn.KindOverloaded, "status %d, not run", a.status)}
		if reply.Misdirected() {
			v.outcome = clempool.OutcomeMisdirected
		}
		_, _ = readAll(io.LimitReader(response, firstRead), response.ContentLength)
		return v
	}
	failed := verdict{outcome: clempool.OutcomeFailed, ran: true}
	body, err := readAll(io.LimitReader(response, mostWhole+1), response.ContentLength)
	if err != nil {
		failed.err = clementineturn.Errorf(clementineturn.KindCut, "the answer broke off after %d bytes: %w", len(body), err)
		return failed
	}
	if a.body = body; len(body) > mostWhole {
		return q.passLarge(response, a)
	}
	switch {
	case !reply.Signed() || response.Header.Get("Content-Encoding") != "":
		failed.err = clementineturn.Errorf(clementineturn.KindMismatch, "status %d without the server's signature or with an encoding", a.status)
		return failed
	case a.status >= http.StatusInternalServerError:
		failed.answer = a
		failed.err = clementineturn.Errorf(clementineturn.KindUnknown, "the server answered %d", a.status)
		return failed
	}
	return verdict{outcome: clempool.OutcomeServed, isDone: true, ran: true, err: q.pass(a)}
}

// pass writes a server's answer to the client.
func (q *request) pass(a *answer) error {
	header := q.writer.Header()
	copyHeader(header, a.header)
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	return q.write(a.status, a.body)
}

// passLarge writes an answer of which only the beginning was read.
func (q *request) passLarge(response *clemconn.Response, a *answer) verdict {
	v := verdict{outcome: clempool.OutcomeServed, isDone: true, ran: true}
	copyHeader(q.writer.Header(), a.header)
	if response.ContentLength >= 0 {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	if v.err = q.write(a.status, a.body); v.err != nil {
		return v
	}
	n, err := io.Copy(q.writer, response)
	if q.bytes += int(n); err != nil {
		v.outcome = clempool.OutcomeFailed
		v.err = clementineturn.Errorf(clementineturn.KindCut, "the answer broke off: %w", err)
	}
	return v
}

// write sends the head and the first bytes of an answer.
func (q *request) write(status int, body []byte) error {
	header := q.writer.Header()
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // net/http would guess one.
	}
	q.started, q.status = true, status
	q.writer.WriteHeader(status)
	n, err := q.writer.Write(body)
	if q.bytes += n; err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
	}
	return nil
}

// refuse answers with the system's own words. A promise that the request was
// not run is made only if that is true.
func (q *request) refuse(err *clementineturn.Error) {
	info := err.Kind().Info()
	status := info.Status()
	if isPromise(status) && !err.NotRun() {
		status = http.StatusBadGateway
	}
	header := q.writer.Header()
	q.router.config.Dialect.Label(header, q.arrival.ID())
	if isPromise(status) && err.Retry() > 0 {
		header.Set("Retry-After", strconv.FormatFloat(err.Retry().Seconds(), 'f', 3, 64))
	}
	body, _ := json.Marshal(map[string]string{"code": err.Kind().String(), "message": err.Message()})
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = q.write(status, body)
}

// copyHeader copies the headers that do not concern one connection.
func copyHeader(to, from http.Header) {
	closes := to["Connection"]
	for name, values := range from {
		to[name] = values
	}
	for _, named := range from["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(to, name)
	}
	if closes != nil {
		to["Connection"] = closes
	}
}

// readAll reads to the end; the length is -1 if it is not known.
func readAll(from io.Reader, length int64) ([]byte, error) {
	var b bytes.Buffer
	if length >= 0 && length <= mostWhole {
		// One more, so that the end is seen without growing.
		b.Grow(int(length) + bytes.MinRead)
	}
	_, err := b.ReadFrom(from)
	return b.Bytes(), err
}

func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// requestTarget returns the path and query as the client sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
