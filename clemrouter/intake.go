package clemrouter

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemquota"
)

const (
	// writeGrace is how long after its deadline a request's response may still be
	// written: some round trips on a slow link.
	writeGrace = 5 * time.Second
	// unreadBodyTime is how long the rest of a body that is not used may take to arrive
	// before the error response: some round trips on a slow link.
	unreadBodyTime = 5 * time.Second
)

// readBody reads the whole body, so that the request can be retried and that
// net/http detects from then on when the client disconnects. Its memory is charged
// before it is read. Afterwards the request may be sent to a server and is no longer
// evicted.
func (q *request) readBody(limit int) error {
	q.hold = clemquota.FromContext(q.http.Context())
	q.hasTimeLimits = true
	// A client that does not read would hold its response and its connection for ever.
	// net/http lifts the deadline after the request.
	controller := http.NewResponseController(q.writer)
	_ = controller.SetWriteDeadline(q.deadline.Add(writeGrace))
	if q.http.Body == nil || q.http.ContentLength == 0 {
		return q.pin()
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	// A body that never ends would hold its memory for ever. Writers without deadlines
	// are those of tests.
	_ = controller.SetReadDeadline(q.deadline)
	body, err := q.hold.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, int64(limit)), min(q.http.ContentLength, int64(limit)+1), int64(limit))
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		q.body, q.http.Trailer = body, nil
		return q.pin()
	case q.hold.IsEvicted():
		return q.overMemory(q.hold.Pin())
	case isTooLarge(err):
		return clementineturn.Refuse(clementineturn.KindTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.isUnread = true
		return clementineturn.Refuse(clementineturn.KindExpired, "the body was not complete within the request's time limit")
	}
	return clementineturn.Refuse(clementineturn.KindCancelled, "reading the body: %w", err)
}

// limitEarlyError bounds the time of an error response to a request whose body was not
// read. net/http reads up to 256 KiB of that body before it sends the response, without a
// deadline of its own, and a connection with a request in progress is not closed at the
// limit of connections.
func (q *request) limitEarlyError() {
	controller := http.NewResponseController(q.writer)
	readEnd := time.Now().Add(unreadBodyTime)
	_ = controller.SetReadDeadline(readEnd)
	_ = controller.SetWriteDeadline(readEnd.Add(writeGrace))
}

// pin protects the request from eviction, since it may be sent to a server from now on.
func (q *request) pin() error {
	if err := q.hold.Pin(); err != nil {
		return q.overMemory(err)
	}
	return nil
}

// overMemory records that the request was refused because of the memory budget. Its
// connection carries no further request.
func (q *request) overMemory(err error) error {
	q.isUnread = true
	q.writer.Header().Set("Connection", "close")
	q.router.config.Metrics.Counter(clemmetric.IntakeRefused, "listener", "clients", "reason", string(clemquota.ReasonMemory)).Inc(1)
	q.router.config.Events.Emit(clemevent.BodyRefused, zap.String("request", q.requestInfo.RequestID()), zap.String("client", q.http.RemoteAddr), zap.Int64("length", q.http.ContentLength))
	return err
}

// arrivingResponse is the memory of a response while it arrives: that of its head and of
// what is kept of its body.
type arrivingResponse struct {
	memory *clemquota.Response
	head   int64
}

// newArrival returns the memory of a response that arrives. The function ends the arrival.
func (q *request) newArrival(end func()) *arrivingResponse {
	return &arrivingResponse{memory: q.hold.NewResponse(end)}
}

// chargeHead charges the memory of the head. Errors: those of clemquota.Response.
func (a *arrivingResponse) chargeHead(size int64) error {
	a.head = size
	return a.memory.Resize(size)
}

// chargeBody charges what is kept of the body. Errors: those of clemquota.Response.
func (a *arrivingResponse) chargeBody(size int) error { return a.memory.Resize(a.head + int64(size)) }

// readAll reads a body to its end, or up to more than the limit.
func (a *arrivingResponse) readAll(response *clemconn.Response, limit int64) ([]byte, error) {
	body, err := a.memory.ReadAll(io.LimitReader(response, limit+1), a.head, min(response.ContentLength, limit+1), limit+1)
	return body, a.explain(err)
}

// explain returns the error of the eviction if that caused the error, which is that of a
// closed connection then.
func (a *arrivingResponse) explain(err error) error {
	if err == nil {
		return nil
	}
	return cmp.Or(a.memory.Err(), err)
}

// keepResponse charges the memory of a response that has arrived, which is delivered
// whatever the budget. Small responses are left out.
func (q *request) keepResponse(size int) {
	if size > clemquota.SmallResponse {
		q.hold.Force(int64(size))
	}
}

// returnResponse gives the memory of keepResponse back.
func (q *request) returnResponse(size int) {
	if size > clemquota.SmallResponse {
		q.hold.Return(int64(size))
	}
}
