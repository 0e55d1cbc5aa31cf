package clemrouter

import (
	"bytes"
	"context"
	"io"
	"net/http"
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

// forwardStream forwards the events of a response as they arrive, complete ones
// only. It calls progress whenever events with an id or data arrived: a stalled
// server may still send a byte or a comment now and then.
func (q *request) forwardStream(response *clemconn.Response, responseInfo clementineturn.ResponseInfo, arrival *arrivingResponse, progress func(eventSummary)) attemptResult {
	result := attemptResult{outcome: clempool.OutcomeFailed, mayHaveRun: true}
	if !responseInfo.Signed() || response.Header.Get("Content-Encoding") != "" {
		result.err = clementineturn.Errorf(clementineturn.KindMismatch, "a stream without the server's signature or with an encoding")
		return result
	}
	part := streamPart{request: q, response: response, isRest: q.isStarted}
	if part.isRest && !mayBeEventStream(response.Header) {
		result.err = clementineturn.Errorf(clementineturn.KindMismatch, "content of type %q in place of a stream's rest", response.Header.Get("Content-Type"))
		return result
	}
	var pending []byte
	chunk := make([]byte, streamReadSize)
	for {
		n, err := response.Read(chunk)
		// What is pending has no end of an event; its last byte may be the first of one.
		searched := max(len(pending)-1, 0)
		pending = append(pending, chunk[:n]...)
		if charged := arrival.chargeBody(cap(pending)); charged != nil {
			return q.streamFailed(result, charged)
		}
		if at := bytes.LastIndex(pending[searched:], eventEnd); at >= 0 {
			at += searched
			events := summarizeEvents(pending[:at+len(eventEnd)])
			if events.hasContent {
				progress(events)
			}
			if failed := part.forward(events); failed != nil {
				return part.forwardFailed(result, failed)
			}
			pending = append(pending[:0], pending[at+len(eventEnd):]...)
		}
		switch {
		case err == io.EOF && !part.hasEvents && response.IsUndelimited():
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
			return q.streamFailed(result, arrival.explain(err))
		}
	}
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

// streamPart is the part of a stream that one server sends.
type streamPart struct {
	request  *request
	response *clemconn.Response
	// isRest is set if another server sent the part before, hasEvents once an event with
	// an id or data was accepted.
	isRest, hasEvents bool
}

// forward writes complete events to the client. Errors: KindMismatch if they do not
// continue the events that were sent, KindCancelled if the client cannot be written to.
func (p *streamPart) forward(events eventSummary) error {
	q := p.request
	if p.isRest && !p.hasEvents {
		before := events.text[:events.contentStart]
		if !areComments(before) {
			return clementineturn.Errorf(clementineturn.KindMismatch, "%.100q in place of a stream's rest", before)
		}
		if !events.hasContent {
			return nil
		}
		events.text = events.text[events.contentStart:]
	}
	isFirst := events.hasContent && !p.hasEvents
	if q.lastEventID != "" && (!isNextEvent(q.lastEventID, events.firstID) || p.isRest && isFirst && !events.startsWithID) {
		return clementineturn.Errorf(clementineturn.KindMismatch, "event %q does not follow event %q", events.firstID, q.lastEventID)
	}
	p.hasEvents = p.hasEvents || events.hasContent
	return q.forwardEvents(p.response, events)
}

// forwardFailed returns the result after forward failed. Another server may still send
// the rest if nothing of this part was sent.
func (p *streamPart) forwardFailed(result attemptResult, failed error) attemptResult {
	isMismatch := clementineturn.IsKind(failed, clementineturn.KindMismatch)
	result.err, result.isFinal = failed, p.hasEvents || !isMismatch
	if !isMismatch {
		result.outcome = clempool.OutcomeAbandoned
	}
	return result
}

// forwardEvents writes complete events to the client. Errors: KindCancelled if the
// client cannot be written to.
func (q *request) forwardEvents(response *clemconn.Response, events eventSummary) error {
	if q.eventCount == 0 {
		q.firstEventTime = time.Since(q.arrived)
		q.router.config.Metrics.Timer(clemmetric.FirstEventTime, "route", q.route.Kind().String()).Update(q.firstEventTime)
	}
	if q.isStarted {
		n, err := q.writer.Write(events.text)
		if q.bytesWritten += n; err != nil {
			return clementineturn.Errorf(clementineturn.KindCancelled, "writing to the client: %w", err)
		}
	} else if err := q.startStream(response, events.text); err != nil {
		return err
	}
	if events.lastID != "" {
		q.lastEventID = events.lastID
	}
	if events.hasContent {
		q.mayContinue = events.endsWithID
	}
	q.eventCount += events.count
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

// logResumed emits the event for a stream that is resumed at another server.
func (q *request) logResumed(lease *clempool.Lease) {
	q.router.config.Events.Emit(clemevent.RequestResumed, zap.String("request", q.requestInfo.RequestID()),
		zap.String("server", lease.Server()), zap.String("software", lease.SoftwareVersion()), zap.String("after", q.lastEventID), zap.Int("events", q.eventCount))
}
