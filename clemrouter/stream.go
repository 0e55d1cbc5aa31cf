package clemrouter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clempool"
)

const (
	// streamRead is the buffer for events in bytes, some events at a time.
	streamRead = 4096
	// mostEvent bounds the size of one event in bytes.
	mostEvent = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// stream passes the events of an answer on as they come, whole ones only. It
// calls begun whenever bytes came.
func (q *request) stream(response *clemconn.Response, reply clementineturn.Reply, begun func()) verdict {
	v := verdict{outcome: clempool.OutcomeFailed, ran: true}
	if !reply.Signed() || response.Header.Get("Content-Encoding") != "" {
		v.err = clementineturn.Errorf(clementineturn.KindMismatch, "a stream without the server's signature or with an encoding")
		return v
	}
	var pending []byte
	chunk := make([]byte, streamRead)
	for {
		n, err := response.Read(chunk)
		if n > 0 {
			begun()
		}
		pending = append(pending, chunk[:n]...)
		if at := bytes.LastIndex(pending, eventEnd); at >= 0 {
			whole := pending[:at+len(eventEnd)]
			if failed := q.forward(response, whole); failed != nil {
				v.outcome, v.isDone, v.err = clempool.OutcomeAbandoned, true, failed
				if clementineturn.IsKind(failed, clementineturn.KindMismatch) {
					v.outcome = clempool.OutcomeFailed
				}
				return v
			}
			pending = append(pending[:0], pending[at+len(eventEnd):]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			if !q.started {
				v.isDone, v.err = true, q.begin(response, nil)
			}
			return verdict{outcome: clempool.OutcomeServed, isDone: true, ran: true, err: v.err}
		case err == io.EOF:
			err = io.ErrUnexpectedEOF
		case err == nil && len(pending) > mostEvent:
			err = clementineturn.Errorf(clementineturn.KindTooLarge, "an event is larger than %d bytes", mostEvent)
		}
		if err != nil {
			return q.broken(v, err)
		}
	}
}

// broken returns the verdict on a stream that broke off.
func (q *request) broken(v verdict, err error) verdict {
	if !time.Now().Before(q.deadline) {
		err = context.DeadlineExceeded
	}
	v.err = clementineturn.Errorf(clementineturn.KindCut, "the stream broke off after %d events: %w", q.events, err)
	if q.http.Context().Err() != nil {
		v.outcome = clempool.OutcomeAbandoned
	}
	return v
}

// forward writes whole events to the client.
func (q *request) forward(response *clemconn.Response, events []byte) error {
	first, last, count := eventIDs(events)
	if q.last != "" && !follows(q.last, first) {
		return clementineturn.Errorf(clementineturn.KindMismatch, "event %q does not follow event %q", first, q.last)
	}
	if q.events == 0 {
		q.first = time.Since(q.arrived)
		q.router.config.Metrics.Timer(clemmetric.FirstTime, "route", q.route.Kind().String()).Update(q.first)
	}
	if q.started {
		n, err := q.writer.Write(events)
		if q.bytes += n; err != nil {
			return clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
		}
	} else if err := q.begin(response, events); err != nil {
		return err
	}
	if last != "" {
		q.last = last
	}
	q.events += count
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
	}
	return nil
}

// begin writes the head of the answer with the first events.
func (q *request) begin(response *clemconn.Response, events []byte) error {
	copyHeader(q.writer.Header(), response.Header)
	return q.write(response.StatusCode, events)
}

// eventIDs returns the ids of the first and last event that have one, and the number of events.
func eventIDs(events []byte) (first, last string, count int) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if len(line) == 0 {
			count++
			continue
		}
		if id, ok := bytes.CutPrefix(line, eventID); ok {
			last = string(bytes.TrimSpace(id))
			if first == "" {
				first = last
			}
		}
	}
	// The last separator ends with an empty line of its own.
	return first, last, max(count-1, 0)
}

// follows reports whether an id may come after another one. Only numbers can be compared.
func follows(before, after string) bool {
	b, errBefore := strconv.ParseUint(before, 10, 64)
	a, errAfter := strconv.ParseUint(after, 10, 64)
	return errBefore != nil || errAfter != nil || a == b+1
}

// noteResumed logs that a stream goes on at another server.
func (q *request) noteResumed(server string) {
	q.router.config.Events.Emit(clemevent.RequestResumed, zap.String("request", q.arrival.ID()),
		zap.String("server", server), zap.String("after", q.last), zap.Int("events", q.events))
}
