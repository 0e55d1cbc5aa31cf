package clemrouter

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

const (
	// maxBufferedBody is the size in bytes up to which a response is buffered
	// until it is complete, so that another server can be tried if it breaks off.
	maxBufferedBody = 1 << 20
	// maxForwardedBody is the size limit in bytes of a response that is no stream and
	// states no length: it may come without end.
	maxForwardedBody = 64 << 20
	// maxRefusalBody is how many bytes of a refusal's body are read, so that its
	// connection can be reused.
	maxRefusalBody = 4096
	// maxReturnPart is the part of the client's time left after which it comes back
	// at the latest.
	maxReturnPart = 3
)

// hopByHopHeaders apply to a single connection and are not forwarded.
// Content-Length is among them because it is set again.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// bufferedResponse is a backend server's response with its body.
type bufferedResponse struct {
	status       int
	header       http.Header
	body         []byte
	responseInfo clementineturn.ResponseInfo
}

// mayForward reports whether a failure response may be forwarded to the client.
// A status that implies that the request was not run is only forwarded if that
// is true or if the request is idempotent.
func (r *bufferedResponse) mayForward(route *clemroute.Route) bool {
	return r.responseInfo.NotRun() || !impliesNotRun(r.status) || route.IsIdempotent()
}

// impliesNotRun reports whether a client concludes from the status that the
// request was not and will not be run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardResponse reads a response that is not a stream and forwards it to the
// client unless it is a failure.
func (q *request) forwardResponse(response *clemconn.Response, responseInfo clementineturn.ResponseInfo, arrival *arrivingResponse) attemptResult {
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, responseInfo: responseInfo}
	if responseInfo.NotRun() {
		result := attemptResult{outcome: clempool.OutcomeRefused, err: clementineturn.Refuse(clementineturn.KindOverloaded, "status %d, not run", buffered.status)}
		if responseInfo.Misdirected() {
			result.outcome = clempool.OutcomeMisdirected
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response, maxRefusalBody))
		return result
	}
	failed := attemptResult{outcome: clempool.OutcomeFailed, mayHaveRun: true}
	body, err := arrival.readAll(response, maxBufferedBody)
	if err != nil {
		failed.err = clementineturn.Errorf(clementineturn.KindCut, "the answer broke off after %d bytes: %w", len(body), err)
		return failed
	}
	buffered.body = body
	arrival.memory.Release()
	q.keepResponse(cap(body))
	defer func() {
		// A failure response may be kept until the end of the request.
		if buffered.status < http.StatusInternalServerError {
			q.returnResponse(cap(body))
		}
	}()
	switch {
	case !responseInfo.Signed() || response.Header.Get("Content-Encoding") != "":
		failed.err = clementineturn.Errorf(clementineturn.KindMismatch, "status %d without the server's signature or with an encoding", buffered.status)
		return failed
	case buffered.status >= http.StatusInternalServerError:
		failed.err = clementineturn.Errorf(clementineturn.KindUnknown, "the server answered %d", buffered.status)
		if len(body) <= maxBufferedBody {
			failed.errorResponse = buffered
		}
		return failed
	case len(body) > maxBufferedBody:
		return q.forwardLarge(response, buffered)
	}
	return attemptResult{outcome: clempool.OutcomeServed, isFinal: true, mayHaveRun: true, err: q.writeBuffered(buffered)}
}

// writeBuffered writes a backend server's response to the client.
func (q *request) writeBuffered(buffered *bufferedResponse) error {
	header := q.writer.Header()
	copyHeader(header, buffered.header)
	header.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	return q.writeHead(buffered.status, buffered.body)
}

// forwardLarge forwards a response of which only the beginning was buffered.
func (q *request) forwardLarge(response *clemconn.Response, buffered *bufferedResponse) attemptResult {
	result := attemptResult{outcome: clempool.OutcomeServed, isFinal: true, mayHaveRun: true}
	copyHeader(q.writer.Header(), buffered.header)
	if response.ContentLength >= 0 {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	if result.err = q.writeHead(buffered.status, buffered.body); result.err != nil {
		result.outcome = clempool.OutcomeAbandoned
		return result
	}
	body := &bodyReader{from: response}
	if response.ContentLength < 0 {
		body.from = io.LimitReader(response, maxForwardedBody+1-int64(len(buffered.body)))
	}
	n, err := io.Copy(q.writer, body)
	q.bytesWritten += int(n)
	switch {
	case body.err != nil:
		result.outcome = clempool.OutcomeFailed
		result.err = clementineturn.Errorf(clementineturn.KindCut, "the answer broke off: %w", body.err)
	case err != nil:
		result.outcome = clempool.OutcomeAbandoned
		result.err = clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
	case response.ContentLength < 0 && n+int64(len(buffered.body)) > maxForwardedBody:
		result.outcome = clempool.OutcomeFailed
		result.err = clementineturn.Errorf(clementineturn.KindTooLarge, "the answer is larger than %d bytes", int64(maxForwardedBody))
	}
	return result
}

// bodyReader keeps the error of reading a body apart from that of writing it on.
type bodyReader struct {
	from io.Reader
	err  error
}

// Read implements io.Reader.
func (r *bodyReader) Read(to []byte) (int, error) {
	n, err := r.from.Read(to)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// writeHead writes the status, the headers and the first bytes of a response.
func (q *request) writeHead(status int, body []byte) error {
	header := q.writer.Header()
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // Keeps net/http from detecting one.
	}
	if q.router.IsDraining() {
		header["Connection"] = []string{"close"}
	}
	q.isStarted, q.status = true, status
	q.writer.WriteHeader(status)
	n, err := q.writer.Write(body)
	if q.bytesWritten += n; err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
	}
	return nil
}

// writeError writes an error response of the router's own. A status that implies
// that the request was not run is only sent if that is true, else 502.
func (q *request) writeError(err *clementineturn.Error) {
	info := err.Kind().Info()
	status := info.Status()
	if impliesNotRun(status) && !err.NotRun() {
		status = http.StatusBadGateway
	}
	header := q.writer.Header()
	q.router.config.Dialect.SetRequestID(header, q.requestInfo.RequestID())
	if retry := q.retryAfter(err); impliesNotRun(status) && retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	body, _ := json.Marshal(map[string]string{"code": err.Kind().String(), "message": err.Message()})
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = q.writeHead(status, body)
}

// retryAfter returns when the client may come back after a refusal: at a time at
// which enough of its own time is left for the request to be served.
func (q *request) retryAfter(err *clementineturn.Error) time.Duration {
	retry := err.RetryAfter()
	if !q.deadline.IsZero() {
		retry = min(retry, time.Until(q.deadline)/maxReturnPart)
	}
	return retry
}

// copyHeader copies all headers but hop-by-hop ones. A Connection header that
// the target already has stays.
func copyHeader(to, from http.Header) {
	connection := to["Connection"]
	for name, values := range from {
		to[name] = values
	}
	for _, named := range from["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	if connection != nil {
		to["Connection"] = connection
	}
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
