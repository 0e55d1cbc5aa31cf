package clembudget

import (
	"sync"
	"time"
)

// OverloadConfig describes an Overload to construct.
type OverloadConfig struct {
	// Hold is how long a note counts.
	Hold time.Duration
}

// Overload remembers for which organisations a pool lately had no room. It is
// kept per organisation, so that one that surges does not change how the work
// of others is offered. It is safe for concurrent use.
type Overload struct {
	hold time.Duration

	mu    sync.Mutex
	notes map[overloadKey]time.Time
	// swept is when old notes were last dropped.
	swept time.Time
}

type overloadKey struct {
	pool, organisation string
}

// NewOverload returns an empty memory.
func NewOverload(c OverloadConfig) *Overload {
	return &Overload{hold: c.Hold, notes: map[overloadKey]time.Time{}}
}

// Note records that every offer of a request was refused for overload. A
// note that still counts is not renewed: refusals of the single offers that
// follow it do not show that the whole pool is full.
func (o *Overload) Note(now time.Time, pool, organisation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	key := overloadKey{pool, organisation}
	if noted, ok := o.notes[key]; !ok || now.Sub(noted) >= o.hold {
		o.notes[key] = now
	}
}

// Recent reports whether a note of the pool and organisation still counts.
func (o *Overload) Recent(now time.Time, pool, organisation string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	noted, ok := o.notes[overloadKey{pool, organisation}]
	return ok && now.Sub(noted) < o.hold
}

// sweep drops the notes that no longer count, at most once per hold time.
func (o *Overload) sweep(now time.Time) {
	if now.Sub(o.swept) < o.hold {
		return
	}
	o.swept = now
	for key, noted := range o.notes {
		if now.Sub(noted) >= o.hold {
			delete(o.notes, key)
		}
	}
}
