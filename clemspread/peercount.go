package clemspread

import (
	"time"
)

// readPosition returns this entry's position in the order in which entries read
// the list of backend servers: the number of active peers with a lower address, in the
// own group if there are several.
func (t *peerTable) readPosition(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	l := t.layoutLocked()
	for address, p := range t.byAddress {
		if address < t.ownAddress && (l == nil || l.isMember(address)) && !p.lastSeenAt.IsZero() && now.Sub(p.lastSeenAt) < activeTimeout {
			n++
		}
	}
	return n
}

// isLive reports whether the peer was seen within liveTimeout. One that has just become a
// member of the own group counts as live until its messages come.
func (p *peer) isLive(now time.Time) bool {
	return !p.lastSeenAt.IsZero() && now.Sub(p.lastSeenAt) < liveTimeout || !p.movedAt.IsZero() && now.Sub(p.movedAt) < liveTimeout
}

// liveCount returns the number of live peers.
func (t *peerTable) liveCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.byAddress {
		if p.isLive(now) {
			n++
		}
	}
	return n
}

// hasServingPeer reports whether an active peer holds a configuration and is not
// leaving.
func (t *peerTable) hasServingPeer(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byAddress {
		if p.isServing(now) {
			return true
		}
	}
	return false
}

// interval returns the interval of calls between two entries.
func (t *peerTable) interval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.intervalLocked()
}

// intervalLocked is interval for callers that hold mu.
func (t *peerTable) intervalLocked() time.Duration {
	if l := t.layoutLocked(); l != nil {
		return l.pairInterval()
	}
	return pairInterval(len(t.byAddress))
}

// pairInterval returns the interval of calls between entries with the given number of
// peers.
func pairInterval(peers int) time.Duration {
	n := time.Duration(peers)
	return max(exchangeInterval+n*intervalPerPeer, n*minIntervalPerPeer)
}
