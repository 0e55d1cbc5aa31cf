package clembudget

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a window.
const windowBuckets = 20

// RetryWindowConfig describes a RetryWindow to construct.
type RetryWindowConfig struct {
	// Length returns the length of the window.
	Length func() time.Duration
	// Ratio returns the allowed ratio of retries to the requests in the window.
	Ratio func() float64
	// Slack returns the number of retries allowed in addition to the ratio.
	Slack func() float64
}

// RetryWindow limits the retries in a sliding window to a ratio of the requests
// in it plus a slack, for each name. It is safe for concurrent use.
type RetryWindow struct {
	config RetryWindowConfig

	mu sync.Mutex
	// start is the time of the first call, from which buckets are numbered.
	start time.Time
	// buckets holds a ring of buckets for each name.
	buckets map[string]*[windowBuckets]bucket
}

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	number            int64
	requests, retries int
}

// NewRetryWindow returns the window that the configuration describes.
func NewRetryWindow(c RetryWindowConfig) *RetryWindow {
	return &RetryWindow{config: c, buckets: map[string]*[windowBuckets]bucket{}}
}

// Deposit counts a request.
func (w *RetryWindow) Deposit(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucketAt(name, now).requests++
}

// TryWithdraw counts a retry if the budget allows it, and reports whether it
// does.
func (w *RetryWindow) TryWithdraw(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.bucketAt(name, now)
	requests, retries := 0, 0
	// The buckets cover slightly more than the span. To keep the limit, all of them
	// count for retries, but only those that lie within the span for requests.
	for _, b := range w.buckets[name] {
		age := current.number - b.number
		if age < windowBuckets {
			retries += b.retries
		}
		if age < windowBuckets-1 {
			requests += b.requests
		}
	}
	if float64(retries+1) > w.config.Ratio()*float64(requests)+w.config.Slack() {
		return false
	}
	current.retries++
	return true
}

// bucketAt returns the bucket of the name for the time, emptied if it was last
// used for an earlier part of the window.
func (w *RetryWindow) bucketAt(name string, now time.Time) *bucket {
	if w.start.IsZero() {
		w.start = now
	}
	ring := w.buckets[name]
	if ring == nil {
		ring = &[windowBuckets]bucket{}
		w.buckets[name] = ring
	}
	length := max(w.config.Length()/(windowBuckets-1), time.Millisecond)
	// Sub uses the monotonic clock, which changes of the wall clock do not affect.
	number := int64(now.Sub(w.start)/length) + windowBuckets
	b := &ring[number%windowBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}
