package clemquarantine

import (
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// survivalTime is how long a server must go on after it began a response for the
	// prompt to count as harmless: longer than a slow server takes to end on it.
	survivalTime = 2 * time.Second
	// attributionTime is the time from the beginning of a response within which a crash is
	// blamed on it first.
	attributionTime = 500 * time.Millisecond
)

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	// ResultOther says nothing about the prompt.
	ResultOther Result = iota
	// ResultServed is a complete response of a server that went on.
	ResultServed
	// ResultCrashed is a response that ended with its server.
	ResultCrashed
)

// AttemptConfig describes an Attempt to start.
type AttemptConfig struct {
	Service string
	// Parts are the parts of the prompt that other requests may contain.
	Parts []clementineturn.PromptPart
	// Server is the id of the backend server, and Incarnation distinguishes its starts.
	Server      string
	Incarnation int64
	// Cancel ends the attempt. It is called if a part is quarantined before the server
	// has begun the response.
	Cancel func()
}

// Attempt is a request in flight at a backend server. It must be ended with End. A nil
// Attempt is one of a prompt without shared parts.
type Attempt struct {
	tracker     *Tracker
	parts       []Part
	server      serverKey
	cancel      func()
	begunAt     time.Time
	hasSurvived bool
	isCancelled bool
}

// Start records that a request is sent to a server. It returns nil if the prompt has
// no shared parts.
func (t *Tracker) Start(c AttemptConfig) *Attempt {
	if len(c.Parts) == 0 {
		return nil
	}
	a := &Attempt{tracker: t, server: serverKey{c.Server, c.Incarnation}, cancel: c.Cancel, parts: make([]Part, len(c.Parts))}
	for i, p := range c.Parts {
		a.parts[i] = Part{c.Service, p.ID()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[a] = struct{}{}
	return a
}

// Begin records that the head of the response arrived.
func (a *Attempt) Begin(now time.Time) {
	if a == nil {
		return
	}
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.begunAt.IsZero() {
		a.begunAt = now
	}
}

// Progress records that more of the response arrived.
func (a *Attempt) Progress(now time.Time) {
	if a == nil {
		return
	}
	a.tracker.mu.Lock()
	defer a.tracker.unlock()
	if a.hasSurvived || a.begunAt.IsZero() || now.Sub(a.begunAt) < survivalTime {
		return
	}
	a.hasSurvived = true
	a.tracker.recordServed(a.parts, now)
}

// End records the end of the attempt.
func (a *Attempt) End(result Result, now time.Time) {
	if a == nil {
		return
	}
	t := a.tracker
	t.mu.Lock()
	defer t.unlock()
	delete(t.attempts, a)
	switch {
	case a.isCancelled:
	case result == ResultServed:
		t.recordServed(a.parts, now)
	case result == ResultCrashed && !a.hasSurvived:
		t.recordCrash(a, now)
	}
}

// IsCancelled reports whether the attempt was ended because a part was quarantined.
func (a *Attempt) IsCancelled() bool {
	if a == nil {
		return false
	}
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	return a.isCancelled
}

// cancelAttempts ends the requests in flight that have the part and that no server
// has begun to answer.
func (t *Tracker) cancelAttempts(p Part) {
	for a := range t.attempts {
		if a.begunAt.IsZero() && !a.isCancelled && slices.Contains(a.parts, p) {
			a.isCancelled = true
			t.pending = append(t.pending, a.cancel)
		}
	}
}
