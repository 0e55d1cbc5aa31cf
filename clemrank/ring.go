package clemrank

import (
	"cmp"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// RingConfig describes a Ring.
type RingConfig struct {
	// Points is the number of points that each host has on the ring.
	Points int
}

// Ring ranks hosts by consistent hashing (Karger and others, 1997).
type Ring struct {
	points int

	mu     sync.Mutex
	hosts  []*clemwire.Host
	sorted []ringPoint
}

type ringPoint struct {
	position uint64
	host     *clemwire.Host
}

// NewRing returns the ranker that the configuration describes.
func NewRing(c RingConfig) *Ring { return &Ring{points: c.Points} }

// Rank returns the hosts in the order of their first points on the ring after
// the digest of the work.
func (r *Ring) Rank(work clementineturn.RoutingKey, hosts []*clemwire.Host) []*clemwire.Host {
	ring := r.build(hosts)
	first, _ := slices.BinarySearchFunc(ring, workDigest(work), func(p ringPoint, key uint64) int {
		return cmp.Compare(p.position, key)
	})
	ranked := make([]*clemwire.Host, 0, len(hosts))
	seen := make(map[*clemwire.Host]bool, len(hosts))
	for i := 0; i < len(ring) && len(ranked) < len(hosts); i++ {
		host := ring[(first+i)%len(ring)].host
		if !seen[host] {
			seen[host] = true
			ranked = append(ranked, host)
		}
	}
	return ranked
}

// build returns the sorted points of the hosts, which are kept until the hosts
// change.
func (r *Ring) build(hosts []*clemwire.Host) []ringPoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(hosts, r.hosts) {
		return r.sorted
	}
	ring := make([]ringPoint, 0, len(hosts)*r.points)
	for _, host := range hosts {
		for i := range r.points {
			ring = append(ring, ringPoint{position: xxhash.Sum64String(host.GetName() + "#" + strconv.Itoa(i)), host: host})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.position, b.position) })
	r.hosts, r.sorted = slices.Clone(hosts), ring
	return ring
}
