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
	// slabFrames and slabBytes are the sizes of the slabs from which an answer
	// allocates frames and their data.
	slabFrames = 32
	slabBytes  = 4 << 10
	// maxEventBytes is the size limit of one event: it is buffered until it is complete,
	// and entries handle it as a whole.
	maxEventBytes = 1 << 20
	// minFrameMemory is what a frame with less data counts as, since it takes more than its
	// data.
	minFrameMemory = 64
	// maxOverhead is how much larger an answer's memory may be than the limit of its data.
	maxOverhead = 2
)

// eventEnds are the byte sequences that end an event, for each line ending.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// firstEventLen returns the length of the first complete event, or 0 if there is
// none.
func firstEventLen(data []byte) int {
	length := 0
	for _, end := range eventEnds {
		if i := bytes.Index(data, end); i >= 0 && (length == 0 || i+len(end) < length) {
			length = i + len(end)
		}
	}
	return length
}

// Answer is the buffered answer of one attempt. It implements clementineturn.Sink
// and is safe for concurrent use.
type Answer struct {
	request      string
	attempt      string
	organisation string
	// maxBytes is the size limit of the answer.
	maxBytes int
	// total is the memory of all answers.
	total *memoryTotal

	mu     sync.Mutex
	frames []*clemwire.Frame
	// freeFrames and freeBytes are the unused parts of the slabs. Slabs save
	// allocations, since a frame holds about one token.
	freeFrames []clemwire.Frame
	freeBytes  []byte
	// partialEvent is the beginning of an event that is not complete yet.
	partialEvent  []byte
	isEventStream bool
	digest        *xxhash.Digest
	length        uint64
	// memory is the size of the data with minFrameMemory for each short frame.
	memory int
	ended  bool
	// wakeups holds a channel for each reader, which wakes it after a new frame.
	wakeups []chan struct{}
	// isRead is set once a reader got the end frame.
	isRead bool
	// lastUsed is when the answer was opened, ended, or left by a reader.
	lastUsed time.Time
	done     chan struct{}
}

func newAnswer(offer *clemwire.Offer, limit int, total *memoryTotal, now time.Time) *Answer {
	return &Answer{
		request: offer.GetRequest(), attempt: offer.GetAttempt(), organisation: offer.GetOrganisation(), maxBytes: limit, total: total,
		digest: xxhash.New(), lastUsed: now, done: make(chan struct{}),
	}
}

// Start implements clementineturn.Sink. Errors: KindInternal after the first call
// or the end.
func (a *Answer) Start(start *clemwire.Start) error {
	media, _, _ := mime.ParseMediaType(start.GetMedia())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || len(a.frames) > 0 {
		return clementineturn.Errorf(clementineturn.KindInternal, "answer %s starts twice", a.attempt)
	}
	a.isEventStream = media == eventStream
	a.appendFrame().Start = start
	return nil
}

// Data implements clementineturn.Sink. Each frame of an event stream holds one
// complete event, so that a reader can resume at any frame. Errors: KindTooLarge
// for data beyond the size limits, KindOverloaded if all answers together exceed theirs and
// this one is not below their mean, KindCancelled after the end.
func (a *Answer) Data(data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return clementineturn.Errorf(clementineturn.KindCancelled, "answer %s has ended", a.attempt)
	}
	size := a.memory + len(a.partialEvent) + len(data)
	if int(a.length)+len(a.partialEvent)+len(data) > a.maxBytes || size > maxOverhead*a.maxBytes {
		return clementineturn.Errorf(clementineturn.KindTooLarge, "the answer is larger than the buffer of %d bytes", a.maxBytes)
	}
	if a.total.isExceededBy(size) {
		return clementineturn.Errorf(clementineturn.KindOverloaded, "over memory: answers hold more than %d bytes", a.total.limit)
	}
	defer a.recordMemory(a.heldMemory())
	if !a.isEventStream {
		a.appendData(data)
		return nil
	}
	if len(a.partialEvent) > 0 {
		a.partialEvent = append(a.partialEvent, data...)
		rest := a.appendEvents(a.partialEvent)
		a.partialEvent = append(a.partialEvent[:0], rest...)
	} else {
		a.partialEvent = append(a.partialEvent, a.appendEvents(data)...)
	}
	if len(a.partialEvent) > maxEventBytes {
		return clementineturn.Errorf(clementineturn.KindTooLarge, "an event is larger than %d bytes", maxEventBytes)
	}
	return nil
}

// heldMemory returns the memory of the answer.
func (a *Answer) heldMemory() int { return a.memory + cap(a.partialEvent) }

// recordMemory adds what the answer takes more than before to the memory of all.
func (a *Answer) recordMemory(before int) { a.total.used.Add(int64(a.heldMemory() - before)) }

// appendEvents appends a frame for each complete event and returns the rest.
func (a *Answer) appendEvents(data []byte) []byte {
	for {
		length := firstEventLen(data)
		if length == 0 {
			return data
		}
		a.appendData(data[:length])
		data = data[length:]
	}
}

// appendData appends a frame with a copy of the data.
func (a *Answer) appendData(data []byte) {
	_, _ = a.digest.Write(data)
	a.length += uint64(len(data))
	a.memory += max(len(data), minFrameMemory)
	if len(a.freeBytes) < len(data) {
		a.freeBytes = make([]byte, max(slabBytes, len(data)))
	}
	n := copy(a.freeBytes, data)
	a.appendFrame().Data = a.freeBytes[:n:n]
	a.freeBytes = a.freeBytes[n:]
}

// appendFrame appends an empty frame and wakes the readers. The caller fills the
// frame before it unlocks a.mu.
func (a *Answer) appendFrame() *clemwire.Frame {
	if len(a.freeFrames) == 0 {
		a.freeFrames = make([]clemwire.Frame, slabFrames)
	}
	frame := &a.freeFrames[0]
	a.freeFrames = a.freeFrames[1:]
	frame.Request, frame.Attempt, frame.Seq = a.request, a.attempt, uint64(len(a.frames))
	a.frames = append(a.frames, frame)
	for _, wakeup := range a.wakeups {
		select {
		case wakeup <- struct{}{}:
		default: // A wake-up is pending.
		}
	}
	return frame
}

// end appends the end frame and returns the size of the answer's data, or false
// if the answer had ended before.
func (a *Answer) end(err error, now time.Time) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return 0, false
	}
	before := a.heldMemory()
	if len(a.partialEvent) > 0 && err == nil {
		a.appendData(a.partialEvent)
	}
	a.partialEvent = nil
	a.recordMemory(before)
	end := &clemwire.End{Length: a.length, Digest: a.digest.Sum64()}
	if err != nil {
		end.Refusal = clementineturn.AsError(err).Refusal()
	}
	a.appendFrame().End = end
	a.freeFrames, a.freeBytes = nil, nil
	a.ended, a.lastUsed = true, now
	close(a.done)
	return int(a.length), true
}

// Done is closed when the answer has ended.
func (a *Answer) Done() <-chan struct{} { return a.done }

// Started reports whether the answer has a status and a media type.
func (a *Answer) Started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.frames) > 0
}

// Body returns the answer's data with its status and media type. Before the end,
// the data includes a last event without a blank line, which becomes a frame only
// at the end.
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
	outcome.Body = append(outcome.Body, a.partialEvent...)
	return outcome
}

// read passes the frames from the given number on to the handler, which must not
// modify them, until the end frame.
func (a *Answer) read(ctx context.Context, from uint64, handler func(*clemwire.Frame) error) error {
	wakeup := a.addReader()
	defer a.removeReader(wakeup)
	for {
		frames := a.framesFrom(from)
		for _, frame := range frames {
			if err := handler(frame); err != nil {
				return err
			}
			if frame.GetEnd() != nil {
				a.markRead()
				return nil
			}
		}
		from += uint64(len(frames))
		select {
		case <-wakeup:
		case <-ctx.Done():
			return clementineturn.AsError(ctx.Err())
		}
	}
}

// framesFrom returns the frames from the given number on. Once the answer has
// ended, a number past the end yields the end frame.
func (a *Answer) framesFrom(from uint64) []*clemwire.Frame {
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

// addReader adds a reader and returns the channel that wakes it.
func (a *Answer) addReader() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	wakeup := make(chan struct{}, 1)
	a.wakeups = append(a.wakeups, wakeup)
	return wakeup
}

func (a *Answer) removeReader(wakeup chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeups = slices.DeleteFunc(a.wakeups, func(other chan struct{}) bool { return other == wakeup })
	a.lastUsed = time.Now()
}

func (a *Answer) markRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isRead = true
}

// usage returns the size of the data, the memory, the number of readers, and when the
// answer was last used.
func (a *Answer) usage() (size, memory, readers int, lastUsed time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.length), a.heldMemory(), len(a.wakeups), a.lastUsed
}

func (a *Answer) isEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}

// isConsumed reports whether the answer has ended, was read to its end, and has
// no readers.
func (a *Answer) isConsumed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.isRead && len(a.wakeups) == 0
}
