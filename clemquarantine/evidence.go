package clemquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectCrashes is the number of crashes from which on a request with a part is
	// not sent to a second server.
	suspectCrashes = 2
	// begunWeight and waitingWeight are the weights of a crash in which the server had
	// just begun the response to a prompt with the part, and of one in which the request
	// waited there or its response began earlier.
	begunWeight   = 5
	waitingWeight = 3
	// minWeight is the sum of weights from which on a part is quarantined that no server
	// has ever answered and that was present in every crash since the first one.
	// partialWeight is the same for one that was present in at least half of them, and
	// unlikelyWeight for other parts, which are bystanders as a rule.
	minWeight      = 3 * begunWeight
	partialWeight  = 5 * begunWeight
	unlikelyWeight = 8 * begunWeight
	// decisiveCrashes is the number of crashes from which on a part is quarantined although
	// another part was present in the same crashes.
	decisiveCrashes = 5
	// correlationTime is the time within which crashes of several servers count as one,
	// since a common cause is likely: some times what entries take to notice a crash.
	correlationTime = 50 * time.Millisecond
	// settleTime is how long evidence is awaited that shows a part to be sound, unless there
	// have been decisiveCrashes.
	settleTime = 300 * time.Millisecond
)

// serverKey identifies one start of a backend server.
type serverKey struct {
	id          string
	incarnation int64
}

// crash is the end of a backend server while it had requests.
type crash struct {
	server  serverKey
	service string
	at      time.Time
	// learnedAt is when the last suspects became known here.
	learnedAt time.Time
	// suspects holds the weights of the parts of the requests at the server, and causes
	// those that were quarantined.
	suspects map[uint64]int
	causes   map[uint64]bool
}

// recordCrash records what this entry had at a server that ended.
func (t *Tracker) recordCrash(a *Attempt, now time.Time) {
	f := Finding{Service: a.parts[0].Service, Server: a.server.id, Incarnation: a.server.incarnation, At: now, HasBegun: !a.begunAt.IsZero() && now.Sub(a.begunAt) <= attributionTime}
	for _, p := range a.parts {
		f.Parts = append(f.Parts, p.ID)
	}
	t.findings.add(f)
	t.addCrash(f, now)
	t.evaluate(now)
}

// addCrash adds the suspects of a finding to the crash that it describes.
func (t *Tracker) addCrash(f Finding, now time.Time) {
	key := serverKey{f.Server, f.Incarnation}
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.server == key })
	if i < 0 {
		if len(t.crashes) >= maxCrashes {
			t.forget(t.crashes[0])
		}
		t.crashes = append(t.crashes, &crash{server: key, service: f.Service, at: f.At, suspects: map[uint64]int{}, causes: map[uint64]bool{}})
		i = len(t.crashes) - 1
		if call := t.config.OnCrash; call != nil {
			t.pending = append(t.pending, func() { call(f.Server, f.Service, f.Parts) })
		}
	}
	c := t.crashes[i]
	c.learnedAt = now
	if f.At.Before(c.at) {
		c.at = f.At
	}
	weight := waitingWeight
	if f.HasBegun {
		weight = begunWeight
	}
	for _, id := range f.Parts {
		p := Part{c.service, id}
		if c.suspects[id] == 0 {
			if len(c.suspects) >= maxSuspects {
				continue
			}
			t.suspects[p] = append(t.suspects[p], c)
		}
		c.suspects[id] = max(c.suspects[id], weight)
		if t.quarantines[p] != nil {
			c.causes[id] = true
		}
		t.undecided[p] = struct{}{}
		t.addServedFinding(p)
	}
}

// forget removes a crash.
func (t *Tracker) forget(c *crash) {
	t.crashes = slices.DeleteFunc(t.crashes, func(o *crash) bool { return o == c })
	for id := range c.suspects {
		p := Part{c.service, id}
		t.suspects[p] = slices.DeleteFunc(t.suspects[p], func(o *crash) bool { return o == c })
		if len(t.suspects[p]) == 0 {
			delete(t.suspects, p)
			delete(t.peerServed, p)
			delete(t.reported, p)
			delete(t.undecided, p)
		}
	}
}

// evidence is the evidence against a part.
type evidence struct {
	crashes []*crash
	// moments is the number of crashes, of which simultaneous ones count once, and
	// weight the sum of their weights.
	moments int
	weight  int
	// learnedAt is when the last of it became known here.
	learnedAt time.Time
}

// evidenceAgainst returns the evidence against a part: the crashes in which it was present
// since a response with it last succeeded, without those that have another cause.
func (t *Tracker) evidenceAgainst(p Part) evidence {
	var a evidence
	since := later(t.lastServed(p), t.expired[p])
	var last time.Time
	var lastWeight int
	for _, c := range t.suspects[p] {
		if !c.at.After(since) || c.hasOtherCause(p.ID) {
			continue
		}
		weight := c.suspects[p.ID]
		a.crashes = append(a.crashes, c)
		a.learnedAt = later(a.learnedAt, c.learnedAt)
		if a.moments > 0 && c.at.Sub(last).Abs() < correlationTime {
			a.weight += max(weight-lastWeight, 0)
			lastWeight = max(weight, lastWeight)
			continue
		}
		a.moments++
		a.weight += weight
		last, lastWeight = c.at, weight
	}
	return a
}

// hasOtherCause reports whether a quarantined part other than the given one was present
// in the crash.
func (c *crash) hasOtherCause(id uint64) bool {
	for cause := range c.causes {
		if cause != id {
			return true
		}
	}
	return false
}

// evaluate ends quarantines that are over or refuted, and begins those for which there is
// enough evidence.
func (t *Tracker) evaluate(now time.Time) {
	t.expire(now)
	t.releaseRefuted(now)
	if len(t.undecided) == 0 {
		return
	}
	for _, p := range slices.SortedFunc(maps.Keys(t.undecided), compareParts) {
		a := t.evidenceAgainst(p)
		_, wasQuarantined := t.expired[p]
		switch {
		case t.quarantines[p] != nil || a.weight < minWeight && (!wasQuarantined || a.weight < begunWeight):
			delete(t.undecided, p)
		case wasQuarantined || t.isConclusive(p, a, now):
			delete(t.undecided, p)
			t.quarantine(Quarantine{Part: p, Crashes: len(a.crashes), At: now, LastSeen: now}, now)
		}
	}
}

// isConclusive reports whether the evidence suffices to quarantine the part.
func (t *Tracker) isConclusive(p Part, a evidence, now time.Time) bool {
	if a.weight < t.requiredWeight(p, a) || a.moments < decisiveCrashes && now.Sub(a.learnedAt) < settleTime {
		return false
	}
	for id := range a.crashes[0].suspects {
		other := Part{p.Service, id}
		if other == p || t.lastServed(p).IsZero() && !t.lastServed(other).IsZero() {
			continue
		}
		b := t.evidenceAgainst(other)
		if !containsAll(b.crashes, a.crashes) {
			continue
		}
		// The other part was present whenever this one was.
		isStronger := len(b.crashes) > len(a.crashes) || b.weight > a.weight
		if isStronger || a.moments < decisiveCrashes || !t.isMoreLikely(p, other) {
			return false
		}
	}
	return true
}

// requiredWeight returns the weight of evidence that suffices to quarantine the part.
func (t *Tracker) requiredWeight(p Part, a evidence) int {
	if !t.lastServed(p).IsZero() {
		return unlikelyWeight
	}
	total := 0
	for _, c := range t.crashes {
		if c.service == p.Service && !c.at.Before(a.crashes[0].at) && !c.hasOtherCause(p.ID) {
			total++
		}
	}
	switch {
	case len(a.crashes) >= total:
		return minWeight
	case 2*len(a.crashes) >= total:
		return partialWeight
	}
	return unlikelyWeight
}

// isMoreLikely reports whether, of two parts present in the same crashes, the first is
// the more likely cause: the one that was served longer ago.
func (t *Tracker) isMoreLikely(p, other Part) bool {
	a, b := t.lastServed(p), t.lastServed(other)
	if a.Equal(b) {
		return compareParts(p, other) < 0
	}
	return a.Before(b)
}

// addServedFinding adds a finding for the peers if this entry has seen a successful
// response with a part that they may suspect.
func (t *Tracker) addServedFinding(p Part) {
	own, known := t.ownServed(p), later(t.reported[p], t.peerServed[p])
	if !own.After(known) {
		return
	}
	suspicions := 0
	for _, c := range t.suspects[p] {
		if c.at.After(known) {
			suspicions++
		}
	}
	if suspicions >= suspectCrashes || t.quarantines[p] != nil {
		t.reported[p] = own
		t.findings.add(Finding{Service: p.Service, Parts: []uint64{p.ID}, At: own, IsServed: true})
	}
}

// containsAll reports whether every crash of the second list is in the first.
func containsAll(crashes, others []*crash) bool {
	return !slices.ContainsFunc(others, func(c *crash) bool { return !slices.Contains(crashes, c) })
}

func compareParts(a, b Part) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}
