package clempool

import "time"

const (
	// MaxRest is the longest time for which a server rests after one of its statements.
	// A longer one counts as this: a mistake in the unit would take the server out of use
	// for hours.
	MaxRest = time.Minute
	// restReturns is the number of requests that a server gets one after the other at the
	// end of its rest.
	restReturns = 2
	// restAnswerTime is how long one of them may be without a response before another one
	// is sent: a request may take long, or its answer be lost.
	restAnswerTime = 2 * time.Second
	// maxRests bounds the servers whose rests are remembered.
	maxRests = 1 << 14
)

// rest is the time for which a server asked for no new requests, and its gradual return.
// It belongs to the server's id and outlasts rows and incarnations.
type rest struct {
	// since is when the rest began, until the latest end that any response named.
	since, until time.Time
	// answered counts the requests that were answered since the end. returning is the one
	// that is not answered yet, or nil, and returnedAt when it was sent.
	answered   int
	returning  *Lease
	returnedAt time.Time
}

// isOver reports whether the server takes requests again, if only one at a time.
func (r *rest) isOver(now time.Time) bool { return !now.Before(r.until) }

// isAwaiting reports whether the request sent at the end of the rest is not answered yet.
func (r *rest) isAwaiting(now time.Time) bool {
	return r.returning != nil && now.Sub(r.returnedAt) < restAnswerTime
}

// state returns StateResting while the server rests, or a request that it got at the end
// of its rest is not answered, which has no known end, and StateOpen otherwise.
func (r *rest) state(now time.Time) Availability {
	switch {
	case r == nil:
		return Availability{}
	case !r.isOver(now):
		return Availability{state: StateResting, source: SourceResponse, since: r.since, until: r.until}
	case r.isAwaiting(now):
		return Availability{state: StateResting, source: SourceResponse, since: r.since}
	}
	return Availability{}
}

// beginReturn counts the request of the lease as the one that the server gets next at the
// end of its rest.
func (r *rest) beginReturn(l *Lease, now time.Time) {
	if r != nil && r.isOver(now) {
		r.returning, r.returnedAt, l.returnTo = l, now, r
	}
}

// mayReturn reports whether the request of the lease may be sent to a server that rests
// or returns: it is the one that the server gets next, or there is none yet and it
// becomes that.
func (r *rest) mayReturn(l *Lease, now time.Time) bool {
	if r == nil {
		return true
	}
	if !r.isOver(now) {
		return false
	}
	if r.returning != l && r.isAwaiting(now) {
		return false
	}
	r.beginReturn(l, now)
	return true
}

// RecordHead records the head of a response to this request, and the time for which it
// asks for no new requests, or 0.
func (l *Lease) RecordHead(asked time.Duration, now time.Time) {
	d := l.directory
	d.mu.Lock()
	r := d.rests[l.id]
	// One that was answered late counts too, or a server that takes longer than
	// restAnswerTime for each answer would never get all requests again.
	if r != nil && l.returnTo == r {
		l.returnTo = nil
		d.endReturn(l)
		if r.answered++; r.answered >= restReturns {
			d.setRest(l.id, nil)
		}
	}
	var changes []availabilityChange
	if asked > 0 {
		changes = d.beginRest(l.id, min(asked, MaxRest), now)
	}
	d.mu.Unlock()
	d.notifyAvailability(changes)
}

// beginRest makes the server rest for the time, at least until the end that an earlier
// response named. The caller holds mu.
func (d *Directory) beginRest(id string, asked time.Duration, now time.Time) []availabilityChange {
	until := now.Add(asked)
	if r := d.rests[id]; r != nil && !r.isOver(now) {
		if until.After(r.until) {
			r.until = until
		}
		return nil
	}
	if len(d.rests) >= maxRests {
		d.dropEarliestRest()
	}
	d.setRest(id, &rest{since: now, until: until})
	return d.sweep(now)
}

// dropEarliestRest forgets the rest that ends first.
func (d *Directory) dropEarliestRest() {
	earliest := ""
	for id, r := range d.rests {
		if earliest == "" || r.until.Before(d.rests[earliest].until) {
			earliest = id
		}
	}
	d.setRest(earliest, nil)
}

// setRest replaces the rest of a server; nil ends it. The caller holds mu.
func (d *Directory) setRest(id string, r *rest) {
	if r == nil {
		delete(d.rests, id)
	} else {
		d.rests[id] = r
	}
	if s := d.servers[id]; s != nil {
		s.rest = r
	}
}

// endReturn forgets a request that ended without a response: the next one takes its
// place. The caller holds mu.
func (d *Directory) endReturn(l *Lease) {
	if r := d.rests[l.id]; r != nil && r.returning == l {
		r.returning = nil
	}
}
