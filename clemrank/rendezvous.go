// Package clemrank ranks backend servers for a piece of work. An entry offers
// the work to them in this order, and their sidecars admit or refuse it.
// Besides rendezvous hashing, which production uses, the package has simpler
// rankers that serve as baselines in measurements.
package clemrank

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Config describes a ranker by rendezvous hashing.
type Config struct {
	// MaxHosts is the largest number of hosts that Rank returns; 0 means all.
	MaxHosts int
	// Region, if set, is the region whose hosts rank before all others, so that
	// an entry needs connections to the backend servers of its own region only.
	Region string
}

// Rendezvous ranks hosts by highest random weight (Thaler and Ravishankar,
// 1998). It is stateless: entries that know the same hosts rank them alike, and
// the removal of a host moves only its own chats.
type Rendezvous struct {
	limit  int
	region string
}

// New returns a ranker that hashes the pool, organisation and conversation of
// the work with the names of the hosts.
func New(c Config) clementineturn.Ranker { return &Rendezvous{limit: c.MaxHosts, region: c.Region} }

// scoredHost is a host with its weight for a piece of work.
type scoredHost struct {
	host  *clemwire.Host
	score uint64
}

// compare orders hosts by descending score, and equal scores by name.
func (s scoredHost) compare(other scoredHost) int {
	switch {
	case s.score > other.score:
		return -1
	case s.score < other.score:
		return 1
	}
	return strings.Compare(s.host.GetName(), other.host.GetName())
}

// Rank returns the hosts with the highest weights, the highest first. Hosts of
// other regions come after all hosts of the ranker's own.
func (r *Rendezvous) Rank(work clementineturn.RoutingKey, hosts []*clemwire.Host) []*clemwire.Host {
	limit := len(hosts)
	if r.limit > 0 {
		limit = min(limit, r.limit)
	}
	key := workDigest(work)
	ranked := r.topHosts(key, hosts, limit, true)
	if len(ranked) == limit {
		return ranked
	}
	return append(ranked, r.topHosts(key, hosts, limit-len(ranked), false)...)
}

// topHosts returns the hosts with the highest weights, either in the ranker's
// region or outside it.
func (r *Rendezvous) topHosts(key uint64, hosts []*clemwire.Host, limit int, inRegion bool) []*clemwire.Host {
	top := make([]scoredHost, 0, limit+1)
	for _, host := range hosts {
		if r.isInRegion(host) != inRegion {
			continue
		}
		candidate := scoredHost{host: host, score: splitmix64(key ^ xxhash.Sum64String(host.GetName()))}
		if len(top) == limit && candidate.compare(top[limit-1]) > 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(top, candidate, scoredHost.compare)
		top = slices.Insert(top, position, candidate)[:min(len(top)+1, limit)]
	}
	ranked := make([]*clemwire.Host, len(top), limit)
	for i, candidate := range top {
		ranked[i] = candidate.host
	}
	return ranked
}

func (r *Rendezvous) isInRegion(host *clemwire.Host) bool {
	return r.region == "" || host.GetRegion() == r.region
}

// workDigest returns the hash of what all turns of a chat have in common.
func workDigest(work clementineturn.RoutingKey) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(work.Pool())
	_, _ = d.WriteString("\x00" + work.Organisation() + "\x00")
	return splitmix64(d.Sum64() ^ work.Conversation())
}

// splitmix64 is the finaliser of splitmix64 (Steele, Lea and Flood, 2014).
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
