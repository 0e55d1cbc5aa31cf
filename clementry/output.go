package clementry

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	headerRequest  = "X-Request-Id"
	headerServer   = "X-Backend-Server"
	headerReplayed = "Idempotent-Replayed"
	eventStream    = "text/event-stream"
	// maxBufferedBytes is the size up to which an answer other than an event
	// stream is buffered until its end marker has been checked.
	maxBufferedBytes = 1 << 20
	maxStatus        = 599
)

var doneEvent = []byte("data: [DONE]")

// callerResponse is the HTTP response to the caller, shared by the attempts of a
// request. The first attempt that has a byte to send acquires it; from then on
// only that attempt may write.
type callerResponse struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// hold counts the memory of the request; nil means that it is not counted.
	hold     *clemquota.Hold
	acquired chan struct{}

	mu     sync.Mutex
	writer *answerWriter
}

func newCallerResponse(w http.ResponseWriter, hold *clemquota.Hold) *callerResponse {
	return &callerResponse{w: w, controller: http.NewResponseController(w), hold: hold, acquired: make(chan struct{})}
}

// acquire gives the response to the attempt unless another one has acquired it,
// and reports whether the attempt may write.
func (r *callerResponse) acquire(a *answerWriter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil {
		r.writer = a
		close(r.acquired)
	}
	return r.writer == a
}

// currentWriter returns the attempt that acquired the response, or nil.
func (r *callerResponse) currentWriter() *answerWriter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writer
}

// newAnswerWriter returns the writer of a new attempt.
func (r *callerResponse) newAnswerWriter() *answerWriter {
	return &answerWriter{callerResponse: r, digest: xxhash.New()}
}

// answerWriter writes the answer of one attempt to the caller and checks that it
// is complete. The status is sent with the first data, so that until then
// another attempt can answer instead. The [DONE] of an event stream is sent only
// after the end marker, so that a truncated answer never looks complete.
type answerWriter struct {
	*callerResponse
	server string
	// eventIDPrefix is the common start of the ids of the attempt's events.
	eventIDPrefix []byte
	start         *clemwire.Start
	isEventStream bool
	buffered      []byte
	// memory is that of buffered.
	memory     *clemquota.Response
	statusSent bool
	nextSeq    uint64
	length     uint64
	digest     *xxhash.Digest
	resumed    bool
	// retryable says that a 5xx answer may be discarded and retried.
	retryable bool
	// complete is set once the end frame was received.
	complete bool
	// firstByteTime is when the first byte was sent.
	firstByteTime time.Time
}

// reset prepares the writer for the answer of a backend server.
func (a *answerWriter) reset(server string, retryable bool) {
	*a = answerWriter{callerResponse: a.callerResponse, digest: xxhash.New(), server: server, retryable: retryable}
}

// isResumable reports whether the caller has received an event to resume from.
func (a *answerWriter) isResumable() bool { return a.isEventStream && a.statusSent }

// resumeAt starts the writer at a frame in the middle of an event stream.
func (a *answerWriter) resumeAt(server string, next uint64) {
	a.reset(server, false)
	a.nextSeq, a.resumed, a.isEventStream = next, true, true
	a.start = &clemwire.Start{Status: http.StatusOK, Media: eventStream}
}

// handleFrame handles the next frame of the attempt.
func (a *answerWriter) handleFrame(frame *clemwire.Frame) error {
	// A fetch from beyond the end of the answer returns the end frame.
	if a.resumed && frame.GetEnd() != nil && frame.GetSeq() < a.nextSeq {
		a.complete = true
		return clementineturn.Invalid(headerLastEventID, "the answer has no event %d", a.nextSeq-1)
	}
	if frame.GetSeq() != a.nextSeq {
		return clementineturn.Errorf(clementineturn.KindMismatch, "frame %d came in place of %d", frame.GetSeq(), a.nextSeq)
	}
	a.nextSeq++
	if start := frame.GetStart(); start != nil {
		return a.handleStart(start)
	}
	if end := frame.GetEnd(); end != nil {
		return a.handleEnd(end)
	}
	return a.handleData(frame)
}

func (a *answerWriter) handleStart(start *clemwire.Start) error {
	if a.start != nil {
		return clementineturn.Errorf(clementineturn.KindMismatch, "a second start came")
	}
	// net/http panics on an invalid status and sends a 1xx status as an interim
	// response.
	if status := start.GetStatus(); status < http.StatusOK || status > maxStatus {
		return clementineturn.Errorf(clementineturn.KindMismatch, "an answer came with status %d", status)
	}
	if a.retryable && start.GetStatus() >= http.StatusInternalServerError {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "%s answered with status %d", a.server, start.GetStatus())
	}
	media, _, _ := mime.ParseMediaType(start.GetMedia())
	a.start = &clemwire.Start{Status: start.GetStatus(), Media: start.GetMedia(), Replayed: start.GetReplayed()}
	a.isEventStream = media == eventStream
	return nil
}

func (a *answerWriter) handleData(frame *clemwire.Frame) error {
	if a.start == nil {
		return clementineturn.Errorf(clementineturn.KindMismatch, "data came before the start")
	}
	data := frame.GetData()
	a.length += uint64(len(data))
	_, _ = a.digest.Write(data)
	if !a.isEventStream {
		return a.bufferData(data)
	}
	if err := a.flush(); err != nil {
		return err
	}
	if a.eventIDPrefix == nil {
		a.eventIDPrefix = []byte("id: " + frame.GetAttempt() + "/" + a.server + "/")
	}
	a.buffered = strconv.AppendUint(append(a.buffered[:0], a.eventIDPrefix...), frame.GetSeq(), 10)
	a.buffered = append(append(a.buffered, '\n'), data...)
	if err := a.memory.Resize(int64(cap(a.buffered))); err != nil {
		return err
	}
	if bytes.HasPrefix(data, doneEvent) {
		return nil
	}
	return a.flush()
}

// bufferData buffers data up to maxBufferedBytes.
func (a *answerWriter) bufferData(data []byte) error {
	a.buffered = append(a.buffered, data...)
	if err := a.memory.Resize(int64(cap(a.buffered))); err != nil {
		return err
	}
	if len(a.buffered) <= maxBufferedBytes {
		return nil
	}
	return a.flush()
}

// handleEnd checks the answer against its end marker and sends the buffered data.
func (a *answerWriter) handleEnd(end *clemwire.End) error {
	a.complete = true
	if refusal := clementineturn.FromRefusal(end.GetRefusal()); refusal != nil {
		return refusal
	}
	if !a.resumed && (end.GetLength() != a.length || end.GetDigest() != a.digest.Sum64()) {
		return clementineturn.Errorf(clementineturn.KindMismatch, "the answer has %d bytes that do not match its end marker of %d", a.length, end.GetLength())
	}
	if a.start == nil && !a.resumed {
		return clementineturn.Errorf(clementineturn.KindMismatch, "the end came before the start")
	}
	if !a.statusSent && !a.isEventStream && a.acquire(a) {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(a.buffered)))
	}
	return a.flush()
}

// flush sends the status, unless it has been sent, and the buffered data.
func (a *answerWriter) flush() error {
	if len(a.buffered) == 0 && !a.complete {
		return nil
	}
	if !a.acquire(a) {
		return clementineturn.Errorf(clementineturn.KindCancelled, "another attempt answers")
	}
	a.sendStatus()
	if len(a.buffered) == 0 {
		return nil
	}
	_, err := a.w.Write(a.buffered)
	a.buffered = a.buffered[:0]
	if err == nil && a.isEventStream {
		err = a.controller.Flush()
	}
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "caller: %w", err)
	}
	return nil
}

func (a *answerWriter) sendStatus() {
	if a.statusSent {
		return
	}
	a.statusSent, a.firstByteTime = true, time.Now()
	header := a.w.Header()
	header.Set("Content-Type", a.start.GetMedia())
	header.Set(headerServer, a.server)
	if a.start.GetReplayed() {
		header.Set(headerReplayed, "true")
	}
	if a.isEventStream {
		header.Set("Cache-Control", "no-store")
	}
	a.w.WriteHeader(int(a.start.GetStatus()))
}
