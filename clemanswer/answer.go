package clemanswer

import (
	"bytes"
	"context"
	"mime"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	eventStream = "text/event-stream"
	// slabFrames and slabBytes are the sizes of the slabs of an answer.
	slabFrames = 32
	slabBytes  = 4 << 10
)

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

	mu     sync.Mutex
	frames []*clemwire.Frame
	// spare and room are parts of slabs that frames and their data are cut
	// from, since a frame holds about one token.
	spare   []clemwire.Frame
	room    []byte
	partial []byte
	events  bool
	digest  *xxhash.Digest
	length  uint64
	ended   bool
	readers []chan struct{}
	// seen is set once a reader got the end frame.
	seen bool
	last time.Time
	done chan struct{}
}

func newAnswer(offer *clemwire.Offer, limit int, now time.Time) *Answer {
	return &Answer{
		request: offer.GetRequest(), attempt: offer.GetAttempt(), organisation: offer.GetOrganisation(), limit: limit,
		digest: xxhash.New(), last: now, done: make(chan struct{}),
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
	a.push().Start = start
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
		a.pushData(data)
		return nil
	}
	if len(a.partial) > 0 {
		a.partial = append(a.partial, data...)
		rest := a.pushEvents(a.partial)
		a.partial = append(a.partial[:0], rest...)
		return nil
	}
	a.partial = append(a.partial, a.pushEvents(data)...)
	return nil
}

// pushEvents adds a frame for each whole event and returns the rest.
func (a *Answer) pushEvents(data []byte) []byte {
	for {
		cut := eventCut(data)
		if cut == 0 {
			return data
		}
		a.pushData(data[:cut])
		data = data[cut:]
	}
}

// pushData adds a frame with a copy of the data.
func (a *Answer) pushData(data []byte) {
	_, _ = a.digest.Write(data)
	a.length += uint64(len(data))
	if len(a.room) < len(data) {
		a.room = make([]byte, max(slabBytes, len(data)))
	}
	n := copy(a.room, data)
	a.push().Data = a.room[:n:n]
	a.room = a.room[n:]
}

// push adds an empty frame, which the caller fills before it unlocks.
func (a *Answer) push() *clemwire.Frame {
	if len(a.spare) == 0 {
		a.spare = make([]clemwire.Frame, slabFrames)
	}
	frame := &a.spare[0]
	a.spare = a.spare[1:]
	frame.Request, frame.Attempt, frame.Seq = a.request, a.attempt, uint64(len(a.frames))
	a.frames = append(a.frames, frame)
	for _, reader := range a.readers {
		select {
		case reader <- struct{}{}:
		default: // It has a wake-up before it already.
		}
	}
	return frame
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
	a.push().End = end
	a.spare, a.room = nil, nil
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

// Body returns the data of a whole answer with its status and media type. It
// may be called before the end, so that a last event without a blank line
// counts too.
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
	outcome.Body = append(outcome.Body, a.partial...)
	return outcome
}

// read passes the frames from the given number on. Frames are shared and must not be changed.
func (a *Answer) read(ctx context.Context, from uint64, handler func(*clemwire.Frame) error) error {
	more := a.enter()
	defer a.leave(more)
	for {
		frames := a.tail(from)
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
		case <-more:
		case <-ctx.Done():
			return clementineturn.AsError(ctx.Err())
		}
	}
}

// tail returns the frames from the given number on. A number past the end
// yields the end frame.
func (a *Answer) tail(from uint64) []*clemwire.Frame {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		from = min(from, uint64(len(a.frames)-1))
	}
	if from >= uint64(len(a.frames)) {
		return nil
	}
	return a.frames[from:]
}

// enter adds a reader and returns the channel that wakes it.
func (a *Answer) enter() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	more := make(chan struct{}, 1)
	a.readers = append(a.readers, more)
	return more
}

func (a *Answer) leave(more chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers = slices.DeleteFunc(a.readers, func(reader chan struct{}) bool { return reader == more })
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
	return int(a.length), len(a.readers), a.last
}

func (a *Answer) isEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}

func (a *Answer) isSettled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.seen && len(a.readers) == 0
}
