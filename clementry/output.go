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
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	headerRequest  = "X-Request-Id"
	headerServer   = "X-Backend-Server"
	headerReplayed = "Idempotent-Replayed"
	eventStream    = "text/event-stream"
	// wholeLimit is the size in bytes up to which an answer that is no event
	// stream is held back until its end marker is checked.
	wholeLimit = 1 << 20
	maxStatus  = 599
)

var doneEvent = []byte("data: [DONE]")

// floor is the caller's side of a request. The first attempt that has a byte
// to send takes it and alone may write.
type floor struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	taken      chan struct{}

	mu     sync.Mutex
	holder *output
}

func newFloor(w http.ResponseWriter) *floor {
	return &floor{w: w, controller: http.NewResponseController(w), taken: make(chan struct{})}
}

// take gives the floor to the attempt unless another one has it.
func (f *floor) take(o *output) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder == nil {
		f.holder = o
		close(f.taken)
	}
	return f.holder == o
}

// owner returns the attempt that has the floor, or nil.
func (f *floor) owner() *output {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder
}

// output returns the output of a new attempt.
func (f *floor) output() *output { return &output{floor: f, digest: xxhash.New()} }

// output writes the answer of one attempt to the caller and checks that it is
// whole. The status goes out with the first data, so that until then another
// attempt can take over. An event stream's [DONE] waits for the end marker: a
// cut answer never looks whole.
type output struct {
	*floor
	server string
	// prefix is what the ids of the attempt's events start with.
	prefix  []byte
	start   *clemwire.Start
	events  bool
	held    []byte
	sent    bool
	next    uint64
	length  uint64
	digest  *xxhash.Digest
	resumed bool
	// repeatable says that a failing status may be hidden by another attempt.
	repeatable bool
	// complete is set by the end frame.
	complete bool
	// first is when the first byte went out.
	first time.Time
}

// reset prepares the output for the answer of a backend server.
func (o *output) reset(server string, repeatable bool) {
	*o = output{floor: o.floor, digest: xxhash.New(), server: server, repeatable: repeatable}
}

// isResumable reports whether the caller holds an event to resume from.
func (o *output) isResumable() bool { return o.events && o.sent }

// resume starts the output at a frame in the middle of an event stream.
func (o *output) resume(server string, next uint64) {
	o.reset(server, false)
	o.next, o.resumed, o.events = next, true, true
	o.start = &clemwire.Start{Status: http.StatusOK, Media: eventStream}
}

// frame takes the next frame of the attempt.
func (o *output) frame(frame *clemwire.Frame) error {
	// A fetch from past the end gets the end frame.
	if o.resumed && frame.GetEnd() != nil && frame.GetSeq() < o.next {
		o.complete = true
		return clementineturn.Invalid(headerEvent, "the answer has no event %d", o.next-1)
	}
	if frame.GetSeq() != o.next {
		return clementineturn.Errorf(clementineturn.KindMismatch, "frame %d came in place of %d", frame.GetSeq(), o.next)
	}
	o.next++
	if start := frame.GetStart(); start != nil {
		return o.begin(start)
	}
	if end := frame.GetEnd(); end != nil {
		return o.end(end)
	}
	return o.data(frame)
}

func (o *output) begin(start *clemwire.Start) error {
	if o.start != nil {
		return clementineturn.Errorf(clementineturn.KindMismatch, "a second start came")
	}
	// net/http panics on a status that is none, and sends one below 200 before the answer's.
	if status := start.GetStatus(); status < http.StatusOK || status > maxStatus {
		return clementineturn.Errorf(clementineturn.KindMismatch, "an answer came with status %d", status)
	}
	if o.repeatable && start.GetStatus() >= http.StatusInternalServerError {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "%s answered with status %d", o.server, start.GetStatus())
	}
	media, _, _ := mime.ParseMediaType(start.GetMedia())
	o.start = &clemwire.Start{Status: start.GetStatus(), Media: start.GetMedia(), Replayed: start.GetReplayed()}
	o.events = media == eventStream
	return nil
}

func (o *output) data(frame *clemwire.Frame) error {
	if o.start == nil {
		return clementineturn.Errorf(clementineturn.KindMismatch, "data came before the start")
	}
	data := frame.GetData()
	o.length += uint64(len(data))
	_, _ = o.digest.Write(data)
	if !o.events {
		return o.hold(data)
	}
	if err := o.flush(); err != nil {
		return err
	}
	if o.prefix == nil {
		o.prefix = []byte("id: " + frame.GetAttempt() + "/" + o.server + "/")
	}
	o.held = strconv.AppendUint(append(o.held[:0], o.prefix...), frame.GetSeq(), 10)
	o.held = append(append(o.held, '\n'), data...)
	if bytes.HasPrefix(data, doneEvent) {
		return nil
	}
	return o.flush()
}

// hold keeps data back up to wholeLimit.
func (o *output) hold(data []byte) error {
	o.held = append(o.held, data...)
	if len(o.held) <= wholeLimit {
		return nil
	}
	return o.flush()
}

// end checks the answer against its end marker and sends what was held back.
func (o *output) end(end *clemwire.End) error {
	o.complete = true
	if refusal := clementineturn.FromRefusal(end.GetRefusal()); refusal != nil {
		return refusal
	}
	if !o.resumed && (end.GetLength() != o.length || end.GetDigest() != o.digest.Sum64()) {
		return clementineturn.Errorf(clementineturn.KindMismatch, "the answer has %d bytes that do not match its end marker of %d", o.length, end.GetLength())
	}
	if o.start == nil && !o.resumed {
		return clementineturn.Errorf(clementineturn.KindMismatch, "the end came before the start")
	}
	if !o.sent && !o.events && o.take(o) {
		o.w.Header().Set("Content-Length", strconv.Itoa(len(o.held)))
	}
	return o.flush()
}

// flush sends the status, if it was not sent, and what is held.
func (o *output) flush() error {
	if len(o.held) == 0 && !o.complete {
		return nil
	}
	if !o.take(o) {
		return clementineturn.Errorf(clementineturn.KindCancelled, "another attempt answers")
	}
	o.sendStatus()
	if len(o.held) == 0 {
		return nil
	}
	_, err := o.w.Write(o.held)
	o.held = o.held[:0]
	if err == nil && o.events {
		err = o.controller.Flush()
	}
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "caller: %w", err)
	}
	return nil
}

func (o *output) sendStatus() {
	if o.sent {
		return
	}
	o.sent, o.first = true, time.Now()
	header := o.w.Header()
	header.Set("Content-Type", o.start.GetMedia())
	header.Set(headerServer, o.server)
	if o.start.GetReplayed() {
		header.Set(headerReplayed, "true")
	}
	if o.events {
		header.Set("Cache-Control", "no-store")
	}
	o.w.WriteHeader(int(o.start.GetStatus()))
}
