package clempool

import (
	"time"
)

// peerStats is the latest report of a peer, or of the number of entries given.
type peerStats struct {
	expires time.Time
	entries int
	servers map[string]ServerStats
}

// ServerStats is what an entry reports to its peers about a server: the
// requests it has running there and its recent outcomes, which decay over time.
type ServerStats struct {
	Running int
	// PendingTokens is the number of prompt tokens in requests that have no
	// first event yet.
	PendingTokens       int
	Successes, Failures float64
	// LimitStatedAt is when the server last stated a limit to the entry, or that it has
	// none any more. It is zero if it never did.
	LimitStatedAt time.Time
	IsLimited     bool
	Limit         float64
	// IsCounted is set if the entry knows of the limit. Then Sent is the number of
	// requests that it has sent to the server, and Demand the rate of those for which
	// the server would have been chosen.
	IsCounted bool
	Sent      uint64
	Demand    float64
	// IsLeaving is set if the entry has seen a response in which the server announces that
	// it takes no new requests any more, of the incarnation.
	IsLeaving          bool
	LeavingIncarnation int64
	// Origin is 0 in the report of one entry. In a sum it identifies the entries whose
	// requests Sent counts.
	Origin uint64
}

// minReportedOutcomes is the decayed number of outcomes below which they are
// not reported.
const minReportedOutcomes = 0.02

// LocalStats returns what this entry reports to its peers, leaving out servers
// without requests or recent failures. Successes alone are reported only for
// servers at which peers have failures.
func (d *Directory) LocalStats(now time.Time) map[string]ServerStats {
	d.mu.Lock()
	changes := d.sweepIfDue(now)
	defer func() {
		d.mu.Unlock()
		d.notifyAvailability(changes)
	}()
	d.expirePeers(now)
	stats := map[string]ServerStats{}
	for id, s := range d.servers {
		s.health.own.decay(now)
		own := s.health.own
		reported := ServerStats{Running: s.running, PendingTokens: s.pendingTokens, Successes: own.successes, Failures: own.failures}
		hasLimit := s.limit.report(&reported, now)
		isLeaving := s.reportLeaving(&reported)
		if hasLimit || isLeaving || s.running > 0 || own.failures > minReportedOutcomes || own.successes > minReportedOutcomes && s.health.peers.failures > minReportedOutcomes {
			stats[id] = reported
		}
	}
	return stats
}

// SetPeerStats applies the report of a peer in place of its last one, for at
// most the given time. It ejects servers that the report shows to be outliers.
func (d *Directory) SetPeerStats(peer string, stats map[string]ServerStats, now time.Time, ttl time.Duration) {
	d.mu.Lock()
	d.recordReportInterval(peer, now)
	d.setPeerStats(peer, 1, stats, now, ttl)
}

// setPeerStats is SetPeerStats for the report of a number of entries. The caller holds
// mu, which is released.
func (d *Directory) setPeerStats(peer string, entries int, stats map[string]ServerStats, now time.Time, ttl time.Duration) {
	var changed []*server
	d.dropPeer(peer)
	d.peers[peer] = peerStats{expires: now.Add(ttl), entries: entries, servers: stats}
	if d.peers[peer].expires.Before(d.nextExpiry) {
		d.nextExpiry = d.peers[peer].expires
	}
	hasMark := false
	for id, serverStats := range stats {
		hasMark = d.recordPeerLeaving(id, serverStats, now) || hasMark
		if s := d.servers[id]; s != nil {
			s.addPeerStats(serverStats, 1)
			if s.limit.recordPeer(peer, serverStats, now) {
				changed = append(changed, s)
			}
		}
	}
	d.expirePeers(now)
	d.updateWaiting(peer, stats, now)
	var ejected []*server
	for id, serverStats := range stats {
		if s := d.servers[id]; s != nil && serverStats.Failures > 0 && d.isOutlier(s, now) && s.health.eject(now) {
			ejected = append(ejected, s)
		}
	}
	var changes []availabilityChange
	if hasMark {
		changes = d.sweep(now)
	}
	d.mu.Unlock()
	d.notifyAvailability(changes)
	for _, s := range ejected {
		d.notifyEjected(s, OutcomeFailed, now)
	}
	for _, s := range changed {
		d.notifyLimited(s)
	}
}

// notifyLimited calls Config.OnLimited with the present limit.
func (d *Directory) notifyLimited(s *server) {
	if d.config.OnLimited == nil {
		return
	}
	d.mu.Lock()
	current := s.limit.current()
	d.mu.Unlock()
	if !current.isLimited {
		d.config.OnLimited(s.record.ID(), nil)
		return
	}
	d.config.OnLimited(s.record.ID(), &current.limit)
}

// dropPeer removes the report of a peer and subtracts it from the servers'
// counts.
func (d *Directory) dropPeer(peer string) {
	for id, stats := range d.peers[peer].servers {
		if s := d.servers[id]; s != nil {
			s.addPeerStats(stats, -1)
		}
	}
	delete(d.peers, peer)
}

// expirePeers drops the reports that are too old. It must run before any use of
// the counts, or an entry that is cut off from its peers would keep counting
// their last requests.
func (d *Directory) expirePeers(now time.Time) {
	if !now.After(d.nextExpiry) {
		return
	}
	d.nextExpiry = now.Add(time.Hour)
	for peer, stats := range d.peers {
		switch {
		case now.After(stats.expires):
			d.dropPeer(peer)
			delete(d.reportedAt, peer)
		case stats.expires.Before(d.nextExpiry):
			d.nextExpiry = stats.expires
		}
	}
}

// addPeerStats adds the counts of a peer to the server, or subtracts them if
// sign is -1.
func (s *server) addPeerStats(stats ServerStats, sign int) {
	s.peerRunning += sign * stats.Running
	s.peerPendingTokens += sign * stats.PendingTokens
	s.limit.peerDemand = max(s.limit.peerDemand+float64(sign)*stats.Demand, 0)
	s.health.peers.successes += float64(sign) * stats.Successes
	s.health.peers.failures += float64(sign) * stats.Failures
}

// notifyEjected calls Config.OnEjected.
func (d *Directory) notifyEjected(s *server, outcome Outcome, now time.Time) {
	if d.config.OnEjected == nil {
		return
	}
	d.mu.Lock()
	failureRate, _ := s.health.failureRate(now)
	ejectedUntil := s.health.ejectedUntil
	d.mu.Unlock()
	d.config.OnEjected(s.record.ID(), outcome, failureRate, ejectedUntil)
}
