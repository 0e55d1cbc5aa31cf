package clemquarantine

import "time"

// Quarantine is the refusal of requests with a part that crashes servers.
type Quarantine struct {
	Part
	// Crashes is the number of crashes on which it rests.
	Crashes int
	// At is when the part was quarantined, and LastSeen when a request with it was last
	// refused, anywhere and to within a tenth of the term.
	At, LastSeen time.Time
	// StoredSeen is the LastSeen that the store holds, or zero.
	StoredSeen time.Time
}

// sightingResolution is the part of the term by which LastSeen must grow for the new
// value to be passed on. It keeps entries from prolonging quarantines by the time that
// messages take.
const sightingResolution = 10

// quarantine begins a quarantine.
func (t *Tracker) quarantine(q Quarantine, now time.Time) {
	if len(t.quarantines) >= maxQuarantines {
		t.dropOldest(now)
	}
	t.quarantines[q.Part] = &q
	delete(t.expired, q.Part)
	for _, c := range t.suspects[q.Part] {
		c.causes[q.ID] = true
	}
	t.cancelAttempts(q.Part)
	select {
	case t.quarantined <- struct{}{}:
	default: // One is waiting to be received.
	}
	if call := t.config.OnQuarantined; call != nil {
		t.pending = append(t.pending, func() { call(q) })
	}
}

// end ends a quarantine. If it is refuted, the crashes have another cause.
func (t *Tracker) end(q *Quarantine, isRefuted bool, now time.Time) {
	delete(t.quarantines, q.Part)
	if isRefuted {
		if len(t.refuted) < maxQuarantines {
			t.refuted = append(t.refuted, *q)
		}
		for _, c := range t.suspects[q.Part] {
			delete(c.causes, q.ID)
			for id := range c.suspects {
				t.undecided[Part{c.service, id}] = struct{}{}
			}
		}
	} else {
		t.expired[q.Part] = now
	}
	if call := t.config.OnReleased; call != nil {
		ended := *q
		t.pending = append(t.pending, func() { call(ended) })
	}
}

// dropOldest ends the quarantine whose part was not seen for the longest time.
func (t *Tracker) dropOldest(now time.Time) {
	var oldest *Quarantine
	for _, q := range t.quarantines {
		if oldest == nil || q.LastSeen.Before(oldest.LastSeen) {
			oldest = q
		}
	}
	t.end(oldest, false, now)
}

// expire ends the quarantines of parts that no request had for the term, and forgets
// ended ones after as long again. The next crash then suffices for a quarantine.
func (t *Tracker) expire(now time.Time) {
	for _, q := range t.quarantines {
		if now.Sub(q.LastSeen) > t.config.Term {
			t.end(q, false, now)
		}
	}
	for p, at := range t.expired {
		if now.Sub(at) > t.config.Term || t.lastServed(p).After(at) {
			delete(t.expired, p)
		}
	}
}

// releaseRefuted ends the quarantines of parts with which a response succeeded since, and
// of those whose crashes another quarantined part explains: one that was present in all
// of them and in others.
func (t *Tracker) releaseRefuted(now time.Time) {
	for p, q := range t.quarantines {
		if t.lastServed(p).After(q.At) {
			t.end(q, true, now)
			continue
		}
		own := t.suspects[p]
		for other := range t.quarantines {
			others := t.suspects[other]
			if other != p && len(own) > 0 && len(others) > len(own) && containsAll(others, own) {
				t.clearPart(p, now)
				t.end(q, true, now)
				break
			}
		}
	}
}

// clearPart treats the part as if a response with it had succeeded, here and at peers.
func (t *Tracker) clearPart(p Part, now time.Time) {
	t.served[p] = now
	t.addServedFinding(p)
}

// recordSighting records a request with a quarantined part.
func (t *Tracker) recordSighting(q *Quarantine, now time.Time) {
	if now.Sub(q.LastSeen) >= t.config.Term/sightingResolution {
		q.LastSeen = now
	}
}

// Quarantines returns the quarantines in force.
func (t *Tracker) Quarantines(now time.Time) []Quarantine {
	t.mu.Lock()
	defer t.unlock()
	t.evaluate(now)
	quarantines := make([]Quarantine, 0, len(t.quarantines))
	for _, q := range t.quarantines {
		quarantines = append(quarantines, *q)
	}
	return quarantines
}

// Quarantined returns a channel that receives a value when a part was quarantined since
// the last one.
func (t *Tracker) Quarantined() <-chan struct{} { return t.quarantined }

// Unstored returns the quarantines that the store lacks, or whose part has been seen for
// half a term since it was written there.
func (t *Tracker) Unstored(now time.Time) []Quarantine {
	var unstored []Quarantine
	for _, q := range t.Quarantines(now) {
		if q.StoredSeen.IsZero() || q.LastSeen.Sub(q.StoredSeen) > t.config.Term/2 {
			unstored = append(unstored, q)
		}
	}
	return unstored
}

// TakeRefuted returns the quarantines that new evidence or an operator ended since the
// last call.
func (t *Tracker) TakeRefuted() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	refuted := t.refuted
	t.refuted = nil
	return refuted
}

// Adopt applies a quarantine of a peer or of the store, unless a response with the part
// succeeded since.
func (t *Tracker) Adopt(q Quarantine, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	if t.isRefuted(q) || now.Sub(q.LastSeen) > t.config.Term {
		return
	}
	known := t.quarantines[q.Part]
	if known == nil {
		t.quarantine(q, now)
		return
	}
	if q.LastSeen.Sub(known.LastSeen) >= t.config.Term/sightingResolution {
		known.LastSeen = q.LastSeen
	}
	known.StoredSeen = later(known.StoredSeen, q.StoredSeen)
}

// IsRefuted reports whether a response with the part succeeded after the part was
// quarantined.
func (t *Tracker) IsRefuted(q Quarantine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isRefuted(q)
}

// isRefuted is IsRefuted for callers that hold mu.
func (t *Tracker) isRefuted(q Quarantine) bool { return t.lastServed(q.Part).After(q.At) }

// Lift ends the quarantine of a part as refuted, for an operator, unless it is younger
// than the order.
func (t *Tracker) Lift(p Part, ordered, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	if q := t.quarantines[p]; q != nil && q.At.Before(ordered) {
		t.clearPart(p, now)
		t.releaseRefuted(now)
	}
}

// SetStored records that the store holds the quarantine as last seen at the given time.
func (t *Tracker) SetStored(p Part, seen time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.quarantines[p]; q != nil {
		q.StoredSeen = later(q.StoredSeen, seen)
	}
}

// ForgetStored records that the store may hold none of the quarantines.
func (t *Tracker) ForgetStored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range t.quarantines {
		q.StoredSeen = time.Time{}
	}
}
