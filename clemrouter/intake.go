package clemrouter

import (
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
	// firstBodySize is the size in bytes of the first buffer of a body: a client that
	// only states a large body holds no more.
	firstBodySize = 64 << 10
	// bodyGrowth is the factor by which a full buffer grows.
	bodyGrowth = 4
)

// readBody reads the whole body, so that the request can be retried and that
// net/http detects from then on when the client disconnects. Its memory is charged
// before it is read. Afterwards the request may be sent to a server and is no longer
// evicted.
func (q *request) readBody(limit int) error {
	q.hold = clemquota.FromContext(q.http.Context())
	if q.http.Body == nil || q.http.ContentLength == 0 {
		return q.pin()
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	// A body that never ends would hold its memory for ever. Writers without deadlines
	// are those of tests.
	controller := http.NewResponseController(q.writer)
	_ = controller.SetReadDeadline(q.deadline)
	body, err := q.readCharged(http.MaxBytesReader(q.writer, q.http.Body, int64(limit)), min(q.http.ContentLength, int64(limit)+1))
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
		return clementineturn.Refuse(clementineturn.KindExpired, "the body was not complete within the request's time limit")
	}
	return clementineturn.Refuse(clementineturn.KindCancelled, "reading the body: %w", err)
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
	q.writer.Header().Set("Connection", "close")
	q.router.config.Metrics.Counter(clemmetric.IntakeRefused, "listener", "clients", "reason", string(clemquota.ReasonMemory)).Inc(1)
	q.router.config.Events.Emit(clemevent.BodyRefused, zap.String("request", q.requestInfo.RequestID()), zap.Int64("length", q.http.ContentLength))
	return err
}

// readCharged reads to the end. The length is the expected one, or -1 if unknown.
func (q *request) readCharged(from io.Reader, length int64) ([]byte, error) {
	size := int64(firstBodySize)
	if length >= 0 {
		size = min(size, length)
	} else {
		size /= bodyGrowth * bodyGrowth
	}
	if err := q.hold.Charge(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == length {
				return body, expectEnd(from)
			}
			size := bodyGrowth * int64(cap(body))
			if length >= 0 {
				size = min(size, length)
			}
			if err := q.hold.Charge(size); err != nil {
				return nil, err
			}
			q.hold.Return(int64(cap(body)))
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// expectEnd reads the end of a body that has its expected length. The error of a body
// above the limit comes with it.
func expectEnd(from io.Reader) error {
	var one [1]byte
	for {
		n, err := from.Read(one[:])
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case n > 0:
			return clementineturn.Errorf(clementineturn.KindInternal, "a body is longer than its stated length")
		}
	}
}

// chargeResponse charges the memory of a response, which is delivered whatever the
// budget, as it grows from the charged size. Small responses are left out.
func (q *request) chargeResponse(charged *int64, size int64) {
	if size > firstBodySize && size > *charged {
		q.hold.Force(size - *charged)
		*charged = size
	}
}

// expectedSize returns the memory that a buffered response will take, as far as it is
// known before it is read.
func expectedSize(response *clemconn.Response) int64 {
	return min(max(response.ContentLength, 0), maxBufferedBody)
}
