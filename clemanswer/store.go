// Package clemanswer buffers answers at the sidecar, so that an entry, or another
// one in its place, can read an answer from any frame until some time after its
// end.
package clemanswer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Config describes a Store to construct.
type Config struct {
	// MaxBytes limits the total data of the ended answers that are kept, and the
	// data of each answer.
	MaxBytes int
	// MaxMemory limits the memory of all answers in bytes, running ones too; 0 bounds
	// nothing.
	MaxMemory int64
	// Linger is how long an ended answer is kept after its end or its last reader,
	// and how long a running one may have no reader until Orphans returns it.
	Linger time.Duration
}

// Store holds the answers of one sidecar. Lock order: Store.mu before Answer.mu.
type Store struct {
	maxBytes int
	linger   time.Duration
	total    memoryTotal

	mu      sync.Mutex
	answers map[string]*Answer
	// ended holds the ended answers, the oldest first, and endedBytes the total size
	// of their data.
	ended      []*Answer
	endedBytes int
}

// New returns an empty store.
func New(c Config) *Store {
	return &Store{maxBytes: c.MaxBytes, linger: c.Linger, total: memoryTotal{limit: c.MaxMemory}, answers: map[string]*Answer{}}
}

// memoryTotal is the memory of all answers of a store.
type memoryTotal struct {
	limit         int64
	used, answers atomic.Int64
}

// isOver reports whether the answers hold more than their limit.
func (t *memoryTotal) isOver() bool { return t.limit > 0 && t.used.Load() > t.limit }

// isExceededBy reports whether an answer of the size must end because of the limit. Answers
// below the mean go on: those that do not end are above it.
func (t *memoryTotal) isExceededBy(size int) bool {
	return t.isOver() && int64(size)*max(t.answers.Load(), 1) >= t.used.Load()
}

// remove takes an answer that is no longer held out of the total.
func (t *memoryTotal) remove(size int) {
	t.used.Add(-int64(size))
	t.answers.Add(-1)
}

// Open creates the answer of an attempt. Errors: KindConflict if the attempt has
// one.
func (s *Store) Open(offer *clemwire.Offer, now time.Time) (*Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.answers[offer.GetAttempt()]; ok {
		return nil, clementineturn.Errorf(clementineturn.KindConflict, "attempt %s has an answer", offer.GetAttempt())
	}
	a := newAnswer(offer, s.maxBytes, &s.total, now)
	s.answers[offer.GetAttempt()] = a
	s.total.answers.Add(1)
	return a, nil
}

// Close ends the answer. A nil error marks it as complete.
func (s *Store) Close(a *Answer, err error, now time.Time) {
	size, ok := a.end(err, now)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, a)
	s.endedBytes += size
	s.evict(now)
}

// Drop removes the answer of work that was not dispatched.
func (s *Store) Drop(a *Answer) {
	a.end(clementineturn.Errorf(clementineturn.KindEvicted, "the work was not dispatched"), time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers[a.attempt] == a {
		delete(s.answers, a.attempt)
		_, memory, _, _ := a.usage()
		s.total.remove(memory)
	}
}

// Sweep evicts ended answers that are past Linger or over the size limit.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now)
}

// evict removes ended answers without readers, the oldest first, that are past
// the linger time, or as long as the total size is over the limit.
func (s *Store) evict(now time.Time) {
	kept := s.ended[:0]
	for _, a := range s.ended {
		size, memory, readers, lastUsed := a.usage()
		if readers == 0 && (s.endedBytes > s.maxBytes || s.total.isOver() || now.Sub(lastUsed) > s.linger) {
			delete(s.answers, a.attempt)
			s.endedBytes -= size
			s.total.remove(memory)
			continue
		}
		kept = append(kept, a)
	}
	clear(s.ended[len(kept):])
	s.ended = kept
}

// Orphans returns the attempts of running answers that had no reader for longer
// than the linger time.
func (s *Store) Orphans(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var attempts []string
	for attempt, a := range s.answers {
		_, _, readers, lastUsed := a.usage()
		if !a.isEnded() && readers == 0 && now.Sub(lastUsed) > s.linger {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// Unread returns the number of answers that are running, being read, or were
// never read to their end.
func (s *Store) Unread() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.answers {
		if !a.isConsumed() {
			n++
		}
	}
	return n
}

// Fetch passes the frames of an answer to the handler until the end frame, and
// waits for new ones. Errors: KindEvicted if the answer is not held, KindNotFound
// if it belongs to another organisation or request, and those of the context and
// the handler.
func (s *Store) Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	s.mu.Lock()
	a := s.answers[fetch.GetAttempt()]
	s.mu.Unlock()
	if a == nil {
		return clementineturn.Errorf(clementineturn.KindEvicted, "no answer of attempt %q is held", fetch.GetAttempt())
	}
	if a.organisation != fetch.GetOrganisation() || a.request != fetch.GetRequest() {
		return clementineturn.Errorf(clementineturn.KindNotFound, "no attempt %q", fetch.GetAttempt())
	}
	return a.read(ctx, fetch.GetFrom(), handler)
}
