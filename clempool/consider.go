package clempool

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementineturn/clementineturn/clemrank"
)

// pricedServer is a server with its position in the chat's rendezvous order and its cost
// for a request.
type pricedServer struct {
	server *server
	rank   int
	cost   time.Duration
}

// consideredServer is a server that is considered for a request, with its rendezvous weight
// for the chat, its position in the chat's rendezvous order and the tokens of the prompt
// that it has cached.
type consideredServer struct {
	server *server
	weight uint64
	rank   int
	cached int
}

// preferred holds the first preferredServers servers of a chat's rendezvous order.
type preferred struct {
	servers [preferredServers]consideredServer
	count   int
}

// add adds a server unless it comes after those that are held.
func (p *preferred) add(o consideredServer) {
	at := p.count
	for at > 0 && p.servers[at-1].weight < o.weight {
		at--
	}
	if at >= preferredServers {
		return
	}
	p.count = min(p.count+1, preferredServers)
	copy(p.servers[at+1:p.count], p.servers[at:])
	p.servers[at] = o
}

// last returns the weight of the last server that is held, or 0 if there is room for more.
func (p *preferred) last() uint64 {
	if p.count < preferredServers {
		return 0
	}
	return p.servers[preferredServers-1].weight
}

// consider returns the servers that are considered for the request, in rendezvous order:
// below the load bound, those that have some of the prompt cached, the first
// preferredServers of those without a limit, those with a limit before them, and the first
// preferredServers of the cold ones. It also returns the least loaded server without a
// limit. The whole order is not needed, and sorting thousands of servers for each request
// took most of the time of the choice.
func (d *Directory) consider(c candidateSet, r Request, key uint64, bound float64, by time.Time) (considered []consideredServer, leastLoaded *server) {
	digests := d.scratch.digests[:0]
	for _, part := range r.Prefix {
		digests = append(digests, PartDigest(r.Service, part.ID()))
	}
	weights, others := d.scratch.weights[:0], d.scratch.considered[:0]
	var open, cold preferred
	unknown := d.unknownShare()
	var leastWeight uint64
	for _, list := range [2][]*server{c.servers, c.cold} {
		for _, s := range list {
			weight := clemrank.Weight(key, s.digest)
			weights = append(weights, weight)
			load := s.running + s.peerRunning
			if float64(load) >= engineRequestsPerSlot*float64(s.record.Slots()) {
				continue
			}
			isLimited := s.isLimited()
			if !isLimited && !s.isCold && (leastLoaded == nil || load < leastLoaded.running+leastLoaded.peerRunning || load == leastLoaded.running+leastLoaded.peerRunning && weight > leastWeight) {
				leastLoaded, leastWeight = s, weight
			}
			if float64(load)+unknown*max(float64(load), c.meanLoad) >= bound {
				continue
			}
			o := consideredServer{server: s, weight: weight, cached: s.cachedDigests(digests, r.Prefix, by)}
			switch {
			case s.isCold:
				cold.add(o)
			case !isLimited:
				open.add(o)
			}
			if o.cached > 0 || isLimited && !s.isCold {
				others = append(others, o)
			}
		}
	}
	d.scratch.digests, d.scratch.weights, d.scratch.considered = digests, weights, others
	considered = append(d.scratch.order[:0], open.servers[:open.count]...)
	considered = append(considered, cold.servers[:cold.count]...)
	for _, o := range others {
		if o.cached > 0 || o.weight > open.last() {
			considered = append(considered, o)
		}
	}
	d.scratch.order = considered
	slices.SortFunc(considered, func(a, b consideredServer) int { return cmp.Compare(b.weight, a.weight) })
	considered = slices.CompactFunc(considered, func(a, b consideredServer) bool { return a.server == b.server })
	setRanks(considered, weights)
	return considered, leastLoaded
}

// setRanks sets the positions of the servers among all candidates with the given weights.
// The servers are sorted by weight, the highest first.
func setRanks(considered []consideredServer, weights []uint64) {
	if len(considered) == 0 {
		return
	}
	lowest := considered[len(considered)-1].weight
	for _, weight := range weights {
		if weight <= lowest {
			continue
		}
		// The candidate comes before the considered servers with a lower weight, the first
		// of which is searched for.
		first, end := 0, len(considered)-1
		for first < end {
			if middle := (first + end) / 2; considered[middle].weight < weight {
				end = middle
			} else {
				first = middle + 1
			}
		}
		considered[first].rank++
	}
	for i := 1; i < len(considered); i++ {
		considered[i].rank += considered[i-1].rank
	}
}
