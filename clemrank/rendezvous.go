// Package clemrank orders backend servers for a piece of work. The entry
// offers the work to them in this order; the sidecars admit it or refuse.
// Besides the ranker in use, the package holds the plain ones that the
// measurement compares it with.
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
	// Most is the number of hosts that Rank returns; 0 returns all.
	Most int
	// Region, if set, is the region whose hosts go before all others, so that
	// an entry needs connections to its own region's backend servers only.
	Region string
}

// Rendezvous ranks by highest random weight (Thaler and Ravishankar, 1998).
// It keeps no state: entries that know the same hosts rank the same way, and
// a host that leaves moves only the chats it had.
type Rendezvous struct {
	most   int
	region string
}

// New returns a ranker by rendezvous hashing of pool, organisation and
// conversation over the hosts' names.
func New(c Config) clementineturn.Ranker { return &Rendezvous{most: c.Most, region: c.Region} }

// scored is a host with its weight for one piece of work.
type scored struct {
	host  *clemwire.Host
	score uint64
}

// compare orders the higher score first, and equal scores by name.
func (s scored) compare(other scored) int {
	switch {
	case s.score > other.score:
		return -1
	case s.score < other.score:
		return 1
	}
	return strings.Compare(s.host.GetName(), other.host.GetName())
}

// Rank returns the hosts with the highest weights, the best first. Hosts of
// other regions come after all of the ranker's own.
func (r *Rendezvous) Rank(work clementineturn.Work, hosts []*clemwire.Host) []*clemwire.Host {
	most := len(hosts)
	if r.most > 0 {
		most = min(most, r.most)
	}
	key := digest(work)
	near := r.best(key, hosts, most, true)
	if len(near) == most {
		return near
	}
	return append(near, r.best(key, hosts, most-len(near), false)...)
}

// best returns the hosts with the highest weights among the near or the far ones.
func (r *Rendezvous) best(key uint64, hosts []*clemwire.Host, most int, near bool) []*clemwire.Host {
	best := make([]scored, 0, most+1)
	for _, host := range hosts {
		if r.isNear(host) != near {
			continue
		}
		s := scored{host: host, score: mix(key ^ xxhash.Sum64String(host.GetName()))}
		if len(best) == most && s.compare(best[most-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, scored.compare)
		best = slices.Insert(best, at, s)[:min(len(best)+1, most)]
	}
	ranked := make([]*clemwire.Host, len(best), most)
	for i, s := range best {
		ranked[i] = s.host
	}
	return ranked
}

func (r *Rendezvous) isNear(host *clemwire.Host) bool {
	return r.region == "" || host.GetRegion() == r.region
}

// digest returns the hash of what the turns of one chat share.
func digest(work clementineturn.Work) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(work.Pool())
	_, _ = d.WriteString("\x00" + work.Organisation() + "\x00")
	return mix(d.Sum64() ^ work.Conversation())
}

// mix is the finaliser of splitmix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
