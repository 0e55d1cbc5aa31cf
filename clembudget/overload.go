package clembudget

import (
	"sync"
	"time"
)

// OverloadTrackerConfig describes an OverloadTracker to construct.
type OverloadTrackerConfig struct {
	// TTL is how long an organisation counts as overloaded after Record.
	TTL time.Duration
}

// OverloadTracker records for which organisations a pool recently had no
// capacity. It tracks each organisation on its own, so that a surge of one does
// not change how the work of others is offered. It is safe for concurrent use.
type OverloadTracker struct {
	ttl time.Duration

	mu sync.Mutex
	// recorded is when Record last took effect for a key.
	recorded map[overloadKey]time.Time
	// lastSweep is when expired records were last removed.
	lastSweep time.Time
}

type overloadKey struct {
	pool, organisation string
}

// NewOverloadTracker returns an OverloadTracker without records.
func NewOverloadTracker(c OverloadTrackerConfig) *OverloadTracker {
	return &OverloadTracker{ttl: c.TTL, recorded: map[overloadKey]time.Time{}}
}

// Record records that every offer of a request was refused for overload. It does
// not extend a record that is still valid: while it is, a request gets only a
// single offer, and its refusal does not show that the whole pool is full.
func (o *OverloadTracker) Record(now time.Time, pool, organisation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	key := overloadKey{pool, organisation}
	if at, ok := o.recorded[key]; !ok || now.Sub(at) >= o.ttl {
		o.recorded[key] = now
	}
}

// IsOverloaded reports whether the pool has a valid record for the organisation.
func (o *OverloadTracker) IsOverloaded(now time.Time, pool, organisation string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.recorded[overloadKey{pool, organisation}]
	return ok && now.Sub(at) < o.ttl
}

// sweep removes expired records, at most once per TTL.
func (o *OverloadTracker) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < o.ttl {
		return
	}
	o.lastSweep = now
	for key, at := range o.recorded {
		if now.Sub(at) >= o.ttl {
			delete(o.recorded, key)
		}
	}
}
