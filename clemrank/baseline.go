package clemrank

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Random ranks hosts in random order.
type Random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandom returns a ranker that shuffles the hosts with the given seed.
func NewRandom(seed uint64) *Random {
	return &Random{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Rank returns the hosts in random order.
func (r *Random) Rank(_ clementineturn.RoutingKey, hosts []*clemwire.Host) []*clemwire.Host {
	ranked := slices.Clone(hosts)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(ranked), func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	return ranked
}

// RoundRobin ranks each host first in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Rank returns the hosts starting from the next one in turn.
func (r *RoundRobin) Rank(_ clementineturn.RoutingKey, hosts []*clemwire.Host) []*clemwire.Host {
	if len(hosts) == 0 {
		return nil
	}
	first := int((r.next.Add(1) - 1) % uint64(len(hosts)))
	return rotate(hosts, first)
}

// LeastLoadedConfig describes a LeastLoaded ranker.
type LeastLoadedConfig struct {
	// Load returns the load that a host last reported.
	Load func(name string) uint64
	Seed uint64
}

// LeastLoaded ranks hosts by reported load, with equal loads in random order.
type LeastLoaded struct {
	random *Random
	load   func(name string) uint64
}

// NewLeastLoaded returns the ranker that the configuration describes.
func NewLeastLoaded(c LeastLoadedConfig) *LeastLoaded {
	return &LeastLoaded{random: NewRandom(c.Seed), load: c.Load}
}

// Rank returns the hosts by reported load, the lowest first.
func (l *LeastLoaded) Rank(work clementineturn.RoutingKey, hosts []*clemwire.Host) []*clemwire.Host {
	ranked := l.random.Rank(work, hosts)
	slices.SortStableFunc(ranked, func(a, b *clemwire.Host) int {
		return cmp.Compare(l.load(a.GetName()), l.load(b.GetName()))
	})
	return ranked
}

// rotate returns the hosts from the given index on, followed by those before
// it.
func rotate(hosts []*clemwire.Host, first int) []*clemwire.Host {
	return append(slices.Clone(hosts[first:]), hosts[:first]...)
}
