package clembudget

import (
	"sync"
	"time"
)

// windowSlices is the number of parts in which a window slides.
const windowSlices = 20

// WindowConfig describes a Window to construct.
type WindowConfig struct {
	// Span returns the time over which repeats are counted.
	Span func() time.Duration
	// Share returns the repeats allowed as a share of the requests in the span.
	Share func() float64
	// Slack returns the repeats allowed beside the share.
	Slack func() float64
}

// Window bounds repeats to a share of the requests of a sliding span of time,
// plus a slack, for each name. It is safe for concurrent use.
type Window struct {
	config WindowConfig

	mu    sync.Mutex
	start time.Time
	names map[string]*[windowSlices]slice
}

// slice counts one part of the span.
type slice struct {
	number            int64
	requests, repeats int
}

// NewWindow returns the window that the configuration describes.
func NewWindow(c WindowConfig) *Window {
	return &Window{config: c, names: map[string]*[windowSlices]slice{}}
}

// Earn counts a request.
func (w *Window) Earn(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at(name, now).requests++
}

// Spend counts a repeat if the window has room for it, and reports whether it had.
func (w *Window) Spend(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.at(name, now)
	requests, repeats := 0, 0
	// The slices cover a little more than the span: all of them count for
	// repeats, and those that lie within the span for requests.
	for _, s := range w.names[name] {
		age := current.number - s.number
		if age < windowSlices {
			repeats += s.repeats
		}
		if age < windowSlices-1 {
			requests += s.requests
		}
	}
	if float64(repeats+1) > w.config.Share()*float64(requests)+w.config.Slack() {
		return false
	}
	current.repeats++
	return true
}

func (w *Window) at(name string, now time.Time) *slice {
	if w.start.IsZero() {
		w.start = now
	}
	slices := w.names[name]
	if slices == nil {
		slices = &[windowSlices]slice{}
		w.names[name] = slices
	}
	part := max(w.config.Span()/(windowSlices-1), time.Millisecond)
	// The steady clock's time since the first call, which no jump of the time of day changes.
	number := int64(now.Sub(w.start)/part) + windowSlices
	s := &slices[number%windowSlices]
	if s.number != number {
		*s = slice{number: number}
	}
	return s
}
