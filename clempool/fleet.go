package clempool

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// serverNameBits is the length of the names of servers in sums. Of 3,000 servers one
	// pair shares a name in the mean, and names take two bytes each.
	serverNameBits = 22
	// fleetPeer is the name under which the sum over other groups is held.
	fleetPeer = "(other groups)"
	// maxUnknownFactor bounds the load that is assumed for entries without a report, as
	// a multiple of the known one.
	maxUnknownFactor = 2.0
	// minListedTokens is the number of pending tokens above the mean from which on a
	// server is listed: the time to read them is as long as the penalty of seven requests.
	minListedTokens = 4096
)

// fleet is what a directory knows of a fleet of several groups.
type fleet struct {
	// size is the number of live entries, or 0 in a fleet of one group.
	size int
	// byName holds the servers by their names in sums, or nil if it has to be made.
	byName map[uint32][]*server
	// lag is the smoothed age of the reports in sums, as of updated.
	lag     time.Duration
	updated time.Time
}

// ServerName returns the name of a server in sums: some bits of a hash of its id.
func ServerName(id string) uint32 { return nameOf(xxhash.Sum64String(id)) }

func nameOf(digest uint64) uint32 { return uint32(digest >> (64 - serverNameBits)) }

// Load is the load of a server, or of several together.
type Load struct{ Running, PendingTokens int }

// FleetStats is the sum of the reports of all entries outside of the own group.
type FleetStats struct {
	// Entries is the number of entries whose reports it contains, and Age the age of the
	// oldest one.
	Entries int
	Age     time.Duration
	// Loads are the loads of servers by name, and Others those of all other servers of a
	// service together.
	Loads  map[uint32]Load
	Others map[string]Load
	// Outcomes holds the outcomes and limits of servers by id.
	Outcomes map[string]ServerStats
	// Members are the names of the peers that report by themselves, also of those that have
	// stopped. The reports of others
	// are dropped, since the sum contains them.
	Members map[string]bool
}

// SetFleetSize sets the number of live entries of a fleet of several groups, this one
// included; 0 means that the fleet is one group.
func (d *Directory) SetFleetSize(size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.size = size
}

// entryCount returns the number of entries that share the servers, as far as known.
func (d *Directory) entryCount() int { return max(d.fleet.size, len(d.peers)+1) }

// unknownShare returns the load of the entries whose reports are missing as a multiple of
// the known load: as much for each as for the others. A server is assumed to have as much
// of it as of the known load, and no less than the mean. That only limits which servers
// are below the load bound; to refuse requests because of it would stop an entry that is
// cut off.
func (d *Directory) unknownShare() float64 {
	if d.fleet.size == 0 {
		return 0
	}
	known := 1
	for _, p := range d.peers {
		known += p.entries
	}
	return max(min(float64(d.fleet.size)/float64(known), maxUnknownFactor)-1, 0)
}

// lag returns the time until reports of requests arrive.
func (d *Directory) lag() time.Duration {
	if d.fleet.size == 0 {
		return d.reportLag
	}
	return max(d.reportLag, d.fleet.lag)
}

// names returns the servers by name.
func (d *Directory) names() map[uint32][]*server {
	if d.fleet.byName == nil {
		d.fleet.byName = make(map[uint32][]*server, len(d.servers))
		for _, s := range d.servers {
			name := nameOf(s.digest)
			d.fleet.byName[name] = append(d.fleet.byName[name], s)
		}
	}
	return d.fleet.byName
}

// SplitLoads returns the loads of the servers that are above the mean of their service by
// a request or more, which the choice of a server penalises, and for each service the loads
// of all other servers together.
func (d *Directory) SplitLoads(loads map[uint32]Load) (above map[uint32]Load, others map[string]Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := d.names()
	others = map[string]Load{}
	for name, load := range loads {
		if servers := names[name]; len(servers) > 0 {
			sum := others[servers[0].record.Service()]
			others[servers[0].record.Service()] = Load{sum.Running + load.Running, sum.PendingTokens + load.PendingTokens}
		}
	}
	means := make(map[string]Load, len(others))
	for service, sum := range others {
		n := len(d.services[service].servers)
		means[service] = Load{sum.Running / n, sum.PendingTokens / n}
	}
	above = make(map[uint32]Load, len(loads)/2)
	for name, load := range loads {
		servers := names[name]
		if len(servers) == 0 {
			continue
		}
		service := servers[0].record.Service()
		if mean := means[service]; load.Running > mean.Running+1 || load.PendingTokens > mean.PendingTokens+minListedTokens {
			above[name] = load
			others[service] = Load{others[service].Running - load.Running, others[service].PendingTokens - load.PendingTokens}
		}
	}
	return above, others
}

// SetFleetStats applies the sum over the other groups in place of the last one, for at
// most the given time. Loads of servers together are spread evenly over those that are
// not listed. Servers of the same name get the load of both.
func (d *Directory) SetFleetStats(f FleetStats, now time.Time, ttl time.Duration) {
	d.mu.Lock()
	lag := f.Age
	if d.fleet.updated.IsZero() {
		d.fleet.lag = lag
	} else {
		lag += now.Sub(d.fleet.updated)
	}
	d.fleet.lag += time.Duration(reportWeight * float64(min(lag, maxReportLag)-d.fleet.lag))
	d.fleet.updated = now
	for peer := range d.peers {
		if peer != fleetPeer && !f.Members[peer] {
			d.dropPeer(peer)
			delete(d.reportedAt, peer)
		}
	}
	for peer := range d.knownPeers {
		if peer != fleetPeer && !f.Members[peer] {
			delete(d.knownPeers, peer)
		}
	}
	stats := make(map[string]ServerStats, len(d.servers))
	for name, load := range f.Loads {
		for _, s := range d.names()[name] {
			stats[s.record.ID()] = ServerStats{Running: load.Running, PendingTokens: load.PendingTokens}
		}
	}
	for service, sum := range f.Others {
		if svc := d.services[service]; svc != nil {
			spread(sum, svc.servers, f.Loads, stats)
		}
	}
	for id, outcome := range f.Outcomes {
		outcome.Running, outcome.PendingTokens = stats[id].Running, stats[id].PendingTokens
		stats[id] = outcome
	}
	d.setPeerStats(fleetPeer, f.Entries, stats, now, ttl)
}

// spread adds the load to the servers that are not listed, in parts that differ by 1 at
// most.
func spread(sum Load, servers []*server, listed map[uint32]Load, stats map[string]ServerStats) {
	var unlisted []*server
	for _, s := range servers {
		if _, isListed := listed[nameOf(s.digest)]; !isListed {
			unlisted = append(unlisted, s)
		}
	}
	n := len(unlisted)
	for i, s := range unlisted {
		part := Load{sum.Running*(i+1)/n - sum.Running*i/n, sum.PendingTokens / n}
		if part != (Load{}) {
			stats[s.record.ID()] = ServerStats{Running: part.Running, PendingTokens: part.PendingTokens}
		}
	}
}

// DropFleetStats drops the sum over the other groups: the fleet is one group.
func (d *Directory) DropFleetStats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.size = 0
	d.dropPeer(fleetPeer)
	delete(d.knownPeers, fleetPeer)
}
