package clemquarantine

import "time"

// Verdict says that a part crashes servers. Requests with it are refused.
type Verdict struct {
	Part
	// Crashes is the number of crashes on which it rests.
	Crashes int
	// At is when the part was convicted, and LastSeen when a request with it was last
	// refused, anywhere and to within a tenth of the term.
	At, LastSeen time.Time
	// StoredSeen is the LastSeen that the store holds, or zero.
	StoredSeen time.Time
}

// sightingResolution is the part of the term by which LastSeen must grow for the new
// value to be passed on. It keeps entries from prolonging verdicts by the time that
// messages take.
const sightingResolution = 10

// convict puts a verdict into effect.
func (t *Tracker) convict(v Verdict, now time.Time) {
	if len(t.verdicts) >= maxVerdicts {
		t.dropOldest(now)
	}
	t.verdicts[v.Part] = &v
	delete(t.expired, v.Part)
	for _, c := range t.suspects[v.Part] {
		c.causes[v.ID] = true
	}
	t.cancelAttempts(v.Part)
	select {
	case t.convicted <- struct{}{}:
	default: // One is waiting to be received.
	}
	if call := t.config.OnConvicted; call != nil {
		t.pending = append(t.pending, func() { call(v) })
	}
}

// end ends a verdict. If it is refuted, the crashes have another cause.
func (t *Tracker) end(v *Verdict, isRefuted bool, now time.Time) {
	delete(t.verdicts, v.Part)
	if isRefuted {
		if len(t.refuted) < maxVerdicts {
			t.refuted = append(t.refuted, *v)
		}
		for _, c := range t.suspects[v.Part] {
			delete(c.causes, v.ID)
			for id := range c.suspects {
				t.undecided[Part{c.service, id}] = struct{}{}
			}
		}
	} else {
		t.expired[v.Part] = now
	}
	if call := t.config.OnReleased; call != nil {
		ended := *v
		t.pending = append(t.pending, func() { call(ended) })
	}
}

// dropOldest ends the verdict whose part was not seen for the longest time.
func (t *Tracker) dropOldest(now time.Time) {
	var oldest *Verdict
	for _, v := range t.verdicts {
		if oldest == nil || v.LastSeen.Before(oldest.LastSeen) {
			oldest = v
		}
	}
	t.end(oldest, false, now)
}

// expire ends the verdicts on parts that no request had for the term, and forgets
// ended ones after as long again. The next crash then suffices for a verdict.
func (t *Tracker) expire(now time.Time) {
	for _, v := range t.verdicts {
		if now.Sub(v.LastSeen) > t.config.Term {
			t.end(v, false, now)
		}
	}
	for p, at := range t.expired {
		if now.Sub(at) > t.config.Term || t.lastServed(p).After(at) {
			delete(t.expired, p)
		}
	}
}

// releaseRefuted ends the verdicts on parts with which a response succeeded since, and
// on those for which another convicted part was present in every crash, and in others
// too.
func (t *Tracker) releaseRefuted(now time.Time) {
	for p, v := range t.verdicts {
		if t.lastServed(p).After(v.At) {
			t.end(v, true, now)
			continue
		}
		own := t.suspects[p]
		for other := range t.verdicts {
			others := t.suspects[other]
			if other != p && len(own) > 0 && len(others) > len(own) && containsAll(others, own) {
				t.served[p] = now
				t.announce(p)
				t.end(v, true, now)
				break
			}
		}
	}
}

// sighted records a request with a convicted part.
func (t *Tracker) sighted(v *Verdict, now time.Time) {
	if now.Sub(v.LastSeen) >= t.config.Term/sightingResolution {
		v.LastSeen = now
	}
}

// Verdicts returns the verdicts in force.
func (t *Tracker) Verdicts(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.unlock()
	t.evaluate(now)
	verdicts := make([]Verdict, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		verdicts = append(verdicts, *v)
	}
	return verdicts
}

// Convicted returns a channel that receives a value when a part was convicted since the
// last one.
func (t *Tracker) Convicted() <-chan struct{} { return t.convicted }

// Unstored returns the verdicts that the store lacks, or whose part has been seen for
// half a term since it was written there.
func (t *Tracker) Unstored(now time.Time) []Verdict {
	var unstored []Verdict
	for _, v := range t.Verdicts(now) {
		if v.StoredSeen.IsZero() || v.LastSeen.Sub(v.StoredSeen) > t.config.Term/2 {
			unstored = append(unstored, v)
		}
	}
	return unstored
}

// TakeRefuted returns the verdicts that new evidence or an operator ended since the last
// call.
func (t *Tracker) TakeRefuted() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	refuted := t.refuted
	t.refuted = nil
	return refuted
}

// Adopt applies a verdict of a peer or of the store, unless a response with the part
// succeeded since.
func (t *Tracker) Adopt(v Verdict, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	if t.lastServed(v.Part).After(v.At) || now.Sub(v.LastSeen) > t.config.Term {
		return
	}
	known := t.verdicts[v.Part]
	if known == nil {
		t.convict(v, now)
		return
	}
	if v.LastSeen.Sub(known.LastSeen) >= t.config.Term/sightingResolution {
		known.LastSeen = v.LastSeen
	}
	known.StoredSeen = later(known.StoredSeen, v.StoredSeen)
}

// Lift ends the verdict on a part as refuted, for an operator, unless the verdict is
// younger than the order.
func (t *Tracker) Lift(p Part, ordered, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	if v := t.verdicts[p]; v != nil && v.At.Before(ordered) {
		t.served[p] = now
		t.announce(p)
		t.releaseRefuted(now)
	}
}

// SetStored records that the store holds the verdict as last seen at the given time.
func (t *Tracker) SetStored(p Part, seen time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.verdicts[p]; v != nil {
		v.StoredSeen = later(v.StoredSeen, seen)
	}
}
