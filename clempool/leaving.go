package clempool

import "time"

// maxLeavingMarks bounds the servers of which it is remembered that they leave, several
// times the largest number of servers.
const maxLeavingMarks = 1 << 14

// leavingMark is the announcement of a server that it takes no new requests any more. It
// holds for the server's id up to the incarnation, wherever it listens, and outlasts its
// row: a row may be written or read late, and may be gone for a while.
type leavingMark struct {
	incarnation int64
	at          time.Time
	source      Source
}

// RecordLeaving records that a response to this request announced that the server takes
// no new requests any more.
func (l *Lease) RecordLeaving(now time.Time) {
	d := l.directory
	d.mu.Lock()
	var changes []availabilityChange
	if d.markLeaving(l.id, &leavingMark{incarnation: l.incarnation, at: now, source: SourceResponse}) {
		changes = d.sweep(now)
	}
	d.mu.Unlock()
	d.notifyAvailability(changes)
}

// markLeaving records that a server leaves, and reports whether that was not known. What
// this entry has seen itself replaces what a peer reported, so that it is reported to
// peers. The caller holds mu.
func (d *Directory) markLeaving(id string, mark *leavingMark) bool {
	old, isKnown := d.leaving[id]
	isNew := !isKnown || old.incarnation < mark.incarnation
	if !isNew && (old.incarnation > mark.incarnation || old.source == SourceResponse || mark.source != SourceResponse) {
		return false
	}
	if !isKnown && len(d.leaving) >= maxLeavingMarks {
		d.dropOldestLeavingMark()
	}
	if !isNew {
		mark.at = old.at
	}
	d.leaving[id] = mark
	if s := d.servers[id]; s != nil {
		s.leaving = mark
	}
	return isNew
}

// dropOldestLeavingMark forgets the oldest mark of a server that is not listed.
func (d *Directory) dropOldestLeavingMark() {
	oldest := ""
	for id, mark := range d.leaving {
		if d.servers[id] == nil && (oldest == "" || mark.at.Before(d.leaving[oldest].at)) {
			oldest = id
		}
	}
	delete(d.leaving, oldest)
}

// isLeaving reports whether the present incarnation of the server leaves.
func (s *server) isLeaving() bool {
	return s.leaving != nil && s.record.Incarnation() <= s.leaving.incarnation
}

// reportLeaving adds to what this entry reports to its peers that it has seen the server
// announce that it leaves, and reports whether it has.
func (s *server) reportLeaving(stats *ServerStats) bool {
	if !s.isLeaving() || s.leaving.source != SourceResponse {
		return false
	}
	stats.IsLeaving, stats.LeavingIncarnation = true, s.leaving.incarnation
	return true
}

// recordPeerLeaving applies the report of a peer, and reports whether it was new. The
// caller holds mu.
func (d *Directory) recordPeerLeaving(id string, stats ServerStats, now time.Time) bool {
	return stats.IsLeaving && d.markLeaving(id, &leavingMark{incarnation: stats.LeavingIncarnation, at: now, source: SourcePeer})
}
