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
	// streamReadSize is the size of the read buffer in bytes: some events at a time.
	streamReadSize = 4096
	// maxEventSize is the size limit of one event in bytes.
	maxEventSize = 1 << 20
)

var (
	eventEnd  = []byte("\n\n")
	eventID   = []byte("id:")
	eventData = []byte("data:")
	// lineID and lineData are the same at the start of a later line.
	lineID, lineData = []byte("\nid:"), []byte("\ndata:")
)

// forwardStream forwards the events of a response as they arrive, complete ones
// only. It calls progress whenever events with an id or data arrived: a stalled
// server may still send a byte or a comment now and then.
func (q *request) forwardStream(response *clemconn.Response, responseInfo clementineturn.ResponseInfo, progress func()) attemptResult {
	result := attemptResult{outcome: clempool.OutcomeFailed, mayHaveRun: true}
	if !responseInfo.Signed() || response.Header.Get("Content-Encoding") != "" {
		result.err = clementineturn.Errorf(clementineturn.KindMismatch, "a stream without the server's signature or with an encoding")
		return result
	}
	var pending []byte
	chunk := make([]byte, streamReadSize)
	for {
		n, err := response.Read(chunk)
		pending = append(pending, chunk[:n]...)
		if at := bytes.LastIndex(pending, eventEnd); at >= 0 {
			complete := pending[:at+len(eventEnd)]
			if hasContent(complete) {
				progress()
			}
			if failed := q.forwardEvents(response, complete); failed != nil {
				result.outcome, result.isFinal, result.err = clempool.OutcomeAbandoned, true, failed
				if clementineturn.IsKind(failed, clementineturn.KindMismatch) {
					result.outcome = clempool.OutcomeFailed
				}
				return result
			}
			pending = append(pending[:0], pending[at+len(eventEnd):]...)
		}
		switch {
		case err == io.EOF && q.eventCount == 0 && isUndelimited(response):
			// The server may have ended before the first event.
			err = io.ErrUnexpectedEOF
		case err == io.EOF && len(pending) == 0:
			if !q.isStarted {
				result.isFinal, result.err = true, q.startStream(response, nil)
			}
			return attemptResult{outcome: clempool.OutcomeServed, isFinal: true, mayHaveRun: true, err: result.err}
		case err == io.EOF:
			err = io.ErrUnexpectedEOF
		case err == nil && len(pending) > maxEventSize:
			err = clementineturn.Errorf(clementineturn.KindTooLarge, "an event is larger than %d bytes", maxEventSize)
		}
		if err != nil {
			return q.streamFailed(result, err)
		}
	}
}

// isUndelimited reports whether the end of the response is that of its connection.
func isUndelimited(response *clemconn.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// streamFailed returns the result of a stream that broke off.
func (q *request) streamFailed(result attemptResult, err error) attemptResult {
	if !time.Now().Before(q.deadline) {
		err = context.DeadlineExceeded
	}
	result.err = clementineturn.Errorf(clementineturn.KindCut, "the stream broke off after %d events: %w", q.eventCount, err)
	if q.http.Context().Err() != nil {
		result.outcome = clempool.OutcomeAbandoned
	}
	return result
}

// forwardEvents writes complete events to the client. Errors: KindMismatch if
// they do not continue the events that were sent, KindCancelled if the client
// cannot be written to.
func (q *request) forwardEvents(response *clemconn.Response, events []byte) error {
	first, last, count := eventIDs(events)
	if q.lastEventID != "" && !isNextEvent(q.lastEventID, first) {
		return clementineturn.Errorf(clementineturn.KindMismatch, "event %q does not follow event %q", first, q.lastEventID)
	}
	if q.eventCount == 0 {
		q.firstEventTime = time.Since(q.arrived)
		q.router.config.Metrics.Timer(clemmetric.FirstEventTime, "route", q.route.Kind().String()).Update(q.firstEventTime)
	}
	if q.isStarted {
		n, err := q.writer.Write(events)
		if q.bytesWritten += n; err != nil {
			return clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
		}
	} else if err := q.startStream(response, events); err != nil {
		return err
	}
	if last != "" {
		q.lastEventID = last
	}
	q.eventCount += count
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
	}
	return nil
}

// startStream writes the head of the response and the first events.
func (q *request) startStream(response *clemconn.Response, events []byte) error {
	copyHeader(q.writer.Header(), response.Header)
	return q.writeHead(response.StatusCode, events)
}

// hasContent reports whether one of the events has an id or data.
func hasContent(events []byte) bool {
	return bytes.HasPrefix(events, eventID) || bytes.HasPrefix(events, eventData) ||
		bytes.Contains(events, lineID) || bytes.Contains(events, lineData)
}

// eventIDs returns the ids of the first and the last event that have one, and the
// number of events.
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
	// The split yields one more empty line after the last event.
	return first, last, max(count-1, 0)
}

// isNextEvent reports whether an event with the id after may directly follow one
// with the id before. Ids that are not numbers are accepted.
func isNextEvent(before, after string) bool {
	b, errBefore := strconv.ParseUint(before, 10, 64)
	a, errAfter := strconv.ParseUint(after, 10, 64)
	return errBefore != nil || errAfter != nil || a == b+1
}

// logResumed emits the event for a stream that is resumed at another server.
func (q *request) logResumed(server string) {
	q.router.config.Events.Emit(clemevent.RequestResumed, zap.String("request", q.requestInfo.RequestID()),
		zap.String("server", server), zap.String("after", q.lastEventID), zap.Int("events", q.eventCount))
}
