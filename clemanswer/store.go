// Package clemanswer buffers answers at the sidecar, so that an entry or its
// successor can read an answer from any frame on until some time after its end.
package clemanswer

import (
	"context"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Config describes a Store to construct.
type Config struct {
	// Bytes bounds the data of ended answers that are kept for a resume, and
	// that of each single answer.
	Bytes int
	// Linger is how long an ended answer is kept, and how long a running one
	// may go without a reader before Orphans returns it.
	Linger time.Duration
}

// Store holds the answers of one sidecar. Lock order: Store.mu before Answer.mu.
type Store struct {
	bytes  int
	linger time.Duration

	mu      sync.Mutex
	answers map[string]*Answer
	// ended holds the ended answers, the oldest first.
	ended []*Answer
	held  int
}

// New returns an empty store.
func New(c Config) *Store {
	return &Store{bytes: c.Bytes, linger: c.Linger, answers: map[string]*Answer{}}
}

// Open starts the answer of one attempt. Errors: KindConflict if the attempt has an answer.
func (s *Store) Open(offer *clemwire.Offer, now time.Time) (*Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.answers[offer.GetAttempt()]; ok {
		return nil, clementineturn.Errorf(clementineturn.KindConflict, "attempt %s has an answer", offer.GetAttempt())
	}
	a := newAnswer(offer, s.bytes, now)
	s.answers[offer.GetAttempt()] = a
	return a, nil
}

// Close ends the answer. A nil error marks it whole.
func (s *Store) Close(a *Answer, err error, now time.Time) {
	size, ok := a.end(err, now)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, a)
	s.held += size
	s.trim(now)
}

// Drop forgets the answer of work that was not dispatched.
func (s *Store) Drop(a *Answer) {
	a.end(clementineturn.Errorf(clementineturn.KindEvicted, "the work was not dispatched"), time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers[a.attempt] == a {
		delete(s.answers, a.attempt)
	}
}

// Sweep drops the ended answers whose time is over.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(now)
}

// trim drops the oldest ended answers that nobody reads, while they are over
// the byte bound or their time is over.
func (s *Store) trim(now time.Time) {
	kept := s.ended[:0]
	for _, a := range s.ended {
		size, readers, last := a.usage()
		if readers == 0 && (s.held > s.bytes || now.Sub(last) > s.linger) {
			delete(s.answers, a.attempt)
			s.held -= size
			continue
		}
		kept = append(kept, a)
	}
	clear(s.ended[len(kept):])
	s.ended = kept
}

// Orphans returns the attempts of running answers that nobody has read for
// the linger time.
func (s *Store) Orphans(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var attempts []string
	for attempt, a := range s.answers {
		_, readers, last := a.usage()
		if !a.isEnded() && readers == 0 && now.Sub(last) > s.linger {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// Unread returns the number of answers that are running, being read, or ended
// but never read.
func (s *Store) Unread() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.answers {
		if !a.isSettled() {
			n++
		}
	}
	return n
}

// Fetch passes frames to the handler until the end frame. Errors:
// KindEvicted if the answer is not held, KindNotFound if it belongs to
// another organisation, and those of context and handler.
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
