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

// Ring ranks by plain consistent hashing (Karger and others, 1997).
type Ring struct {
	points int

	mu    sync.Mutex
	hosts []*clemwire.Host
	ring  []point
}

type point struct {
	at   uint64
	host *clemwire.Host
}

// NewRing returns the ranker that the configuration describes.
func NewRing(c RingConfig) *Ring { return &Ring{points: c.Points} }

// Rank returns the hosts in the order in which the ring meets them after the work's key.
func (r *Ring) Rank(work clementineturn.Work, hosts []*clemwire.Host) []*clemwire.Host {
	ring := r.build(hosts)
	first, _ := slices.BinarySearchFunc(ring, digest(work), func(p point, key uint64) int {
		return cmp.Compare(p.at, key)
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

// build returns the ring of the hosts, kept until they change.
func (r *Ring) build(hosts []*clemwire.Host) []point {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(hosts, r.hosts) {
		return r.ring
	}
	ring := make([]point, 0, len(hosts)*r.points)
	for _, host := range hosts {
		for i := range r.points {
			ring = append(ring, point{at: xxhash.Sum64String(host.GetName() + "#" + strconv.Itoa(i)), host: host})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	r.hosts, r.ring = slices.Clone(hosts), ring
	return ring
}
