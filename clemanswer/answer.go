package clemanswer

import (
	"bytes"
	"context"
	"mime"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const eventStream = "text/event-stream"

// eventEnds are the blank lines that end an event, by line ending.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// eventCut returns the length of the first whole event, or 0 if there is none.
func eventCut(data []byte) int {
	cut := 0
	for _, end := range eventEnds {
		if i := bytes.Index(data, end); i >= 0 && (cut == 0 || i+len(end) < cut) {
			cut = i + len(end)
		}
	}
	return cut
}

// Answer is the answer of one attempt. It implements clementineturn.Sink.
type Answer struct {
	request      string
	attempt      string
	organisation string
	// limit is the size in bytes that the answer's data may have.
	limit int

	mu      sync.Mutex
	frames  []*clemwire.Frame
	partial []byte
	events  bool
	digest  *xxhash.Digest
	length  uint64
	ended   bool
	readers int
	// seen is set once a reader got the end frame.
	seen bool
	last time.Time
	next chan struct{}
	done chan struct{}
}

func newAnswer(offer *clemwire.Offer, limit int, now time.Time) *Answer {
	return &Answer{
		request: offer.GetRequest(), attempt: offer.GetAttempt(), organisation: offer.GetOrganisation(), limit: limit,
		digest: xxhash.New(), last: now, next: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start implements clementineturn.Sink.
func (a *Answer) Start(start *clemwire.Start) error {
	media, _, _ := mime.ParseMediaType(start.GetMedia())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || len(a.frames) > 0 {
		return clementineturn.Errorf(clementineturn.KindInternal, "answer %s starts twice", a.attempt)
	}
	a.events = media == eventStream
	a.push(&clemwire.Frame{Start: start})
	return nil
}

// Data implements clementineturn.Sink. The frames of an event stream hold
// whole events, so that each frame is a point to resume from. Errors:
// KindTooLarge for data beyond the limit, KindCancelled after the end.
func (a *Answer) Data(data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return clementineturn.Errorf(clementineturn.KindCancelled, "answer %s has ended", a.attempt)
	}
	if int(a.length)+len(a.partial)+len(data) > a.limit {
		return clementineturn.Errorf(clementineturn.KindTooLarge, "the answer is larger than the buffer of %d bytes", a.limit)
	}
	if !a.events {
		a.pushData(bytes.Clone(data))
		return nil
	}
	a.partial = append(a.partial, data...)
	for {
		cut := eventCut(a.partial)
		if cut == 0 {
			return nil
		}
		a.pushData(bytes.Clone(a.partial[:cut]))
		a.partial = append(a.partial[:0], a.partial[cut:]...)
	}
}

func (a *Answer) pushData(data []byte) {
	_, _ = a.digest.Write(data)
	a.length += uint64(len(data))
	a.push(&clemwire.Frame{Data: data})
}

func (a *Answer) push(frame *clemwire.Frame) {
	frame.Request, frame.Attempt, frame.Seq = a.request, a.attempt, uint64(len(a.frames))
	a.frames = append(a.frames, frame)
	close(a.next)
	a.next = make(chan struct{})
}

// end appends the end frame and returns the answer's size, or false if it had ended.
func (a *Answer) end(err error, now time.Time) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return 0, false
	}
	if len(a.partial) > 0 && err == nil {
		a.pushData(a.partial)
	}
	a.partial = nil
	end := &clemwire.End{Length: a.length, Digest: a.digest.Sum64()}
	if err != nil {
		end.Refusal = clementineturn.AsError(err).Refusal()
	}
	a.push(&clemwire.Frame{End: end})
	a.ended, a.last = true, now
	close(a.done)
	return int(a.length), true
}

// Done is closed when the answer has ended.
func (a *Answer) Done() <-chan struct{} { return a.done }

// Started reports whether status and media type were passed.
func (a *Answer) Started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.frames) > 0
}

// Body returns the data of a whole answer with its status and media type.
func (a *Answer) Body() *clemwire.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcome := &clemwire.Outcome{}
	for _, frame := range a.frames {
		if start := frame.GetStart(); start != nil {
			outcome.Status, outcome.Media = start.GetStatus(), start.GetMedia()
		}
		outcome.Body = append(outcome.Body, frame.GetData()...)
	}
	return outcome
}

// read passes the frames from the given number on. Frames are shared and must not be changed.
func (a *Answer) read(ctx context.Context, from uint64, handler func(*clemwire.Frame) error) error {
	a.enter()
	defer a.leave()
	for {
		frames, next := a.tail(from)
		for _, frame := range frames {
			if err := handler(frame); err != nil {
				return err
			}
			if frame.GetEnd() != nil {
				a.markSeen()
				return nil
			}
		}
		from += uint64(len(frames))
		select {
		case <-next:
		case <-ctx.Done():
			return clementineturn.AsError(ctx.Err())
		}
	}
}

// tail returns the frames from the given number on and a channel that is
// closed when there are more. A number past the end yields the end frame.
func (a *Answer) tail(from uint64) ([]*clemwire.Frame, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		from = min(from, uint64(len(a.frames)-1))
	}
	if from >= uint64(len(a.frames)) {
		return nil, a.next
	}
	return a.frames[from:], a.next
}

func (a *Answer) enter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

func (a *Answer) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.last = time.Now()
}

func (a *Answer) markSeen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen = true
}

func (a *Answer) usage() (size, readers int, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.length), a.readers, a.last
}

func (a *Answer) isEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}

func (a *Answer) isSettled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.seen && a.readers == 0
}
