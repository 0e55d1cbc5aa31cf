package clempool

import (
	"math"
	"time"
)

const (
	// allowanceShare is the share of a cold server's limit that the known entries use. The
	// rest is for entries that others do not know yet, and for those that have yet to learn
	// of a new one.
	allowanceShare = 0.9
	// newlyColdShare is the part of the allowance that is used in the first heartbeat after
	// an entry has learned that a server is cold, as others may not know it yet. With 29
	// entries at eight times the load, servers that crashed and returned at once got up to
	// 33 requests in a second with the whole allowance, 28 with half of it and 24 with a
	// quarter.
	newlyColdShare = 0.25
	// coldWindow is the window in which requests to a cold server are counted.
	coldWindow = time.Second
	// maxAllowance bounds the requests that are remembered for each server.
	maxAllowance = 1 << 10
	// entriesInterval is the interval at which the list of entries is looked up.
	entriesInterval = 200 * time.Millisecond
	// listInterval is the shortest time between two reads of the list that are compared
	// with what is suspected of servers.
	listInterval = 50 * time.Millisecond
	// coldPenalty is the cost of sending a request to a cold server, for which it is slow:
	// the wait for the prompts queued at a server that is tolerated. It corresponds to some
	// 10,000 prompt tokens.
	coldPenalty = toleratedPrefillWait
	// unlistedTime is how long what is known of a server is kept after it was removed from
	// the list: its row may expire in an outage of the store and be written again.
	unlistedTime = 10 * time.Minute
	// defaultHeartbeat is used if the interval of the servers' heartbeats is not known.
	defaultHeartbeat = 1200 * time.Millisecond
)

// MaxColdTime is the longest time for which a server is plausibly cold.
const MaxColdTime = time.Hour

// ColdFigures are the figures for the cold servers of a service. The zero value means that
// its servers are never cold.
type ColdFigures struct {
	// Limit is the number of requests that a cold server may get from all entries together
	// in any second; 0 if servers are never cold.
	Limit float64
	// StartTime is how long a server is cold after its start.
	StartTime time.Duration
	// Heartbeat is the interval at which servers write their rows.
	Heartbeat time.Duration
}

// allowance returns the number of requests that the known entries together may send to a
// cold server in any second.
func (f ColdFigures) allowance() int {
	return int(min(math.Floor(allowanceShare*f.Limit), maxAllowance))
}

func (f ColdFigures) heartbeat() time.Duration {
	if f.Heartbeat <= 0 {
		return defaultHeartbeat
	}
	return f.Heartbeat
}

// coldFigures returns the figures of a service.
func (d *Directory) coldFigures(service string) ColdFigures {
	if d.config.ColdFigures == nil {
		return ColdFigures{}
	}
	return d.config.ColdFigures(service)
}

// coldness is what is known of whether a server is cold, and of this entry's requests in
// the last second. It is kept by the server's id, also while the server is not listed.
type coldness struct {
	// incarnation is that of the last row.
	incarnation int64
	isListed    bool
	unlistedAt  time.Time
	// start is when an incarnation was first seen whose row does not state how long the
	// server is cold; zero if it does, or if the server may have run for longer.
	start time.Time
	// end is the end that was last stated, source by what, and since when.
	end    time.Time
	since  time.Time
	source Source
	// learnedAt is when this entry last learned that the server is cold.
	learnedAt time.Time
	// announced is the last end that a row stated and that differed from the one before it.
	announced time.Time
	// statedAt is when a response last stated it, or zero.
	statedAt time.Time
	// suspectAt is the last time at which the server may have become cold without a row
	// that says so: a failure to reach it, or the end of an evacuation. It is zero if there
	// is none, or if a later row settled it. contactAt is when the first request was sent
	// after it.
	suspectAt, contactAt time.Time
	suspectSource        Source
	// sent holds the times of this entry's last requests, the oldest first, as many as the
	// allowance. reserved is the number of requests that have a lease but are not sent.
	sent     []time.Time
	reserved int
	// share is this entry's part of the allowance, for the number of the list of entries.
	share, shareAllowance int
	shareList             uint64
}

// ends returns when the server stops being cold: a time before now if it is not cold, and
// zero if it is cold and the end is not known. since and source say what makes it cold.
func (c *coldness) ends(f ColdFigures) (end, since time.Time, source Source) {
	end, since, source = c.end, c.since, c.source
	if !c.start.IsZero() && c.start.Add(f.StartTime).After(end) {
		end, since, source = c.start.Add(f.StartTime), c.start, SourceList
	}
	switch {
	case c.suspectAt.IsZero():
	case c.contactAt.IsZero():
		return time.Time{}, c.suspectAt, c.suspectSource
	case c.contactAt.Add(f.StartTime).After(end):
		end, since, source = c.contactAt.Add(f.StartTime), c.suspectAt, c.suspectSource
	}
	return end, since, source
}

// allowance returns the number of requests that the known entries together may send to the
// cold server in any second.
func (c *coldness) allowance(f ColdFigures, now time.Time) int {
	if now.Before(c.learnedAt.Add(f.heartbeat())) {
		return min(max(int(newlyColdShare*float64(f.allowance())), 1), f.allowance())
	}
	return f.allowance()
}

// isCold reports whether the server is cold.
func (c *coldness) isCold(f ColdFigures, now time.Time) bool {
	if c.end.IsZero() && c.start.IsZero() && c.suspectAt.IsZero() {
		return false
	}
	if !c.suspectAt.IsZero() && c.contactAt.IsZero() {
		return true
	}
	end, _, _ := c.ends(f)
	return now.Before(end)
}

// readRow applies a new version of the server's row. listed is set if the list was read
// before, so that a server that was not in it has started since. It reports whether the end
// that rows state has moved by more than a heartbeat since it last did.
func (c *coldness) readRow(r Record, f ColdFigures, listed bool, readAt, now time.Time) (isMoved bool) {
	isNew, isOther := !c.isListed, c.incarnation != r.Incarnation()
	c.incarnation, c.isListed = r.Incarnation(), true
	statement := r.Cold()
	if statement.IsStated {
		// Ends in the past are all the same.
		difference := latest(now.Add(statement.Remaining), now).Sub(latest(c.announced, now))
		if isMoved = difference.Abs() > f.heartbeat(); isMoved {
			c.announced = now.Add(statement.Remaining)
		}
	}
	if isNew || isOther {
		c.start, c.suspectAt, c.contactAt, c.statedAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		c.end, c.since, c.source = now.Add(statement.Remaining), now, SourceList
		if !statement.IsStated && (listed || !isNew) {
			c.start = now
		}
		if statement.Remaining > 0 || !c.start.IsZero() {
			c.learnedAt = now
		}
		return isMoved
	}
	if statement.IsStated {
		end := now.Add(statement.Remaining)
		// A row that was written before the response may end the state too soon.
		if end.After(c.end) || !readAt.Before(c.statedAt.Add(f.heartbeat())) {
			if !now.Before(c.end) && end.After(now) {
				c.since, c.learnedAt = now, now
			}
			c.end, c.source, c.start = end, SourceList, time.Time{}
		}
	}
	// The server wrote a row of the same incarnation after it was suspected.
	if !c.suspectAt.IsZero() && !readAt.Before(c.suspectAt.Add(f.heartbeat())) && !readAt.Before(c.contactAt.Add(f.heartbeat())) {
		c.suspectAt, c.contactAt = time.Time{}, time.Time{}
	}
	return isMoved
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// listRead settles what is suspected of the server if the list was known to be up to date
// at the given time and had no newer row. A server that has a request writes its row
// within a heartbeat. One that has not had any since it failed has either returned within
// the time of a start, or is still away and will fail again.
func (c *coldness) listRead(f ColdFigures, readAt time.Time) {
	last := c.suspectAt.Add(f.StartTime)
	if !c.contactAt.IsZero() {
		last = c.contactAt
	}
	if !readAt.Before(last.Add(f.heartbeat())) {
		c.suspectAt, c.contactAt = time.Time{}, time.Time{}
	}
}

// suspect records that the server may have become cold.
func (c *coldness) suspect(source Source, now time.Time) {
	c.suspectAt, c.contactAt, c.suspectSource, c.learnedAt = now, time.Time{}, source, now
}

// used returns the number of requests that were sent within the last second.
func (c *coldness) used(now time.Time) int {
	n := 0
	for i := len(c.sent) - 1; i >= 0 && now.Sub(c.sent[i]) <= coldWindow; i-- {
		n++
	}
	return n
}

// recordSent records a request that is sent now.
func (c *coldness) recordSent(f ColdFigures, now time.Time) {
	if !c.suspectAt.IsZero() && c.contactAt.IsZero() {
		c.contactAt = now
	}
	if over := len(c.sent) + 1 - max(f.allowance(), 1); over > 0 {
		c.sent = append(c.sent[:0], c.sent[over:]...)
	}
	c.sent = append(c.sent, now)
}

// wait returns how long this entry sends no request to the cold server: 0 if it may send
// one now, and a negative time if it has no share.
func (c *coldness) wait(share int, now time.Time) time.Duration {
	switch used := c.used(now); {
	case share <= 0:
		return -1
	case used >= share:
		return c.sent[len(c.sent)-share].Add(coldWindow).Sub(now) + 1
	case used+c.reserved >= share:
		// The request that has the place is about to be sent.
		return coldWindow
	}
	return 0
}

// coldAvailability returns the state of a server that is not closed.
func (d *Directory) coldAvailability(s *server, now time.Time) Availability {
	if s.cold.end.IsZero() && s.cold.start.IsZero() && s.cold.suspectAt.IsZero() {
		return Availability{}
	}
	f := d.coldFigures(s.record.Service())
	if f.Limit <= 0 || !s.cold.isCold(f, now) {
		return Availability{}
	}
	end, since, source := s.cold.ends(f)
	return Availability{state: StateCold, source: source, since: since, until: end}
}

// coldnessOf returns what is known of the server with the id. The caller holds mu.
func (d *Directory) coldnessOf(id string, now time.Time) *coldness {
	if s := d.servers[id]; s != nil {
		return s.cold
	}
	if c := d.unlisted[id]; c != nil {
		delete(d.unlisted, id)
		return c
	}
	for other, c := range d.unlisted {
		if now.Sub(c.unlistedAt) > unlistedTime {
			delete(d.unlisted, other)
		}
	}
	return &coldness{}
}

// PutRow is Put for a new version of a server's row, which may state how long the server is
// cold. readAt is the latest time at which the list was known to have this version. It
// also reports whether the end of the cold time has moved by more than a heartbeat, which
// it does not as long as the row only counts down.
func (d *Directory) PutRow(record Record, readAt, now time.Time) (isChanged, isColdMoved bool) {
	d.mu.Lock()
	isChanged = d.put(record, now)
	s := d.servers[record.ID()]
	isColdMoved = s.cold.readRow(record, d.coldFigures(record.Service()), !d.listReadAt.IsZero(), readAt, now)
	changes := d.note(s, nil, now)
	d.mu.Unlock()
	d.notifyAvailability(changes)
	return isChanged, isColdMoved
}

// ListRead records that every change of the servers' rows until the given time was applied.
func (d *Directory) ListRead(readAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if readAt.Sub(d.listReadAt) < listInterval {
		return
	}
	d.listReadAt = readAt
	for _, s := range d.servers {
		if !s.cold.suspectAt.IsZero() {
			s.cold.listRead(d.coldFigures(s.record.Service()), readAt)
		}
	}
}

// RecordCold records that a response to this request states for how much longer its server
// is cold.
func (l *Lease) RecordCold(remaining time.Duration, now time.Time) {
	d := l.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	c := l.cold
	if d.servers[l.id] == nil || c.incarnation != l.incarnation {
		return
	}
	if !now.Before(c.end) && remaining > 0 {
		c.since, c.learnedAt = now, now
	}
	c.end, c.statedAt, c.source, c.start = now.Add(remaining), now, SourceResponse, time.Time{}
	if !l.sentAt.Before(c.suspectAt) {
		c.suspectAt, c.contactAt = time.Time{}, time.Time{}
	}
}

// ConnectionBroken records that the connection of the request was broken: the server may
// have ended, and be back before its row says so.
func (l *Lease) ConnectionBroken(now time.Time) {
	l.directory.mu.Lock()
	defer l.directory.mu.Unlock()
	l.suspectCold(now)
}

// suspectCold records that the server may have ended, unless a later start of it is known.
// The caller holds mu.
func (l *Lease) suspectCold(now time.Time) {
	if l.cold.incarnation == l.incarnation {
		l.cold.suspect(SourceOutcome, now)
	}
}
