package clempool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemrank"
)

// Request describes a request for which a server is chosen.
type Request struct {
	Service string
	// Prefix are the parts of the prompt that other requests may have in
	// common, in order; the last one identifies the chat. A request without any
	// goes to the least loaded server.
	Prefix []clementineturn.PromptPart
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Target is the shortest latency target of the requests that are at least as
	// urgent, or 0. A busy service takes no request that is expected to wait longer
	// than a part of it for its response, or for the first event of a stream.
	Target time.Duration
	// Rank is the request's position in the order in which a busy service takes
	// requests, 0 the first.
	Rank int
	// Organisation is the organisation that the request is served for, or "".
	Organisation string
	// Tried are the ids of the servers that the request was already sent to.
	Tried []string
	// OwnTarget, OnTimeBy, Deadline and Bytes are those of clemwait.Request.
	OwnTarget          time.Duration
	OnTimeBy, Deadline time.Time
	Bytes              int
}

// Acquire chooses a server for the request and counts the request there. It
// fails with KindOverloaded or KindUnavailable, both of which say that the
// request was not run.
func (d *Directory) Acquire(r Request, now time.Time) (*Lease, error) {
	d.lookUpEntries(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expirePeers(now)
	svc := d.services[r.Service]
	if svc == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "service %s has no backend server", r.Service)
	}
	candidates := d.candidates(svc, r, now)
	if candidates.isEmpty() {
		return nil, d.emptyRefusal(svc, r, candidates, now)
	}
	if r.isQueued() {
		return d.acquireNow(svc, candidates, r, now)
	}
	if svc.exceedsFairShare(candidates, r, now) {
		return nil, clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindOverloaded, NotRun: true,
			RetryAfter: svc.returns.delay(r.Rank, fairShareRetryDelay, now),
			Message:    "service " + r.Service + " is busy and organisation " + r.Organisation + " has more than its share of it",
		})
	}
	var found choice
	if len(r.Prefix) > 0 {
		found = d.cheapest(svc, candidates, r, now)
	} else {
		found = d.leastLoaded(candidates, r, now)
	}
	if found.server == nil {
		return nil, svc.fullRefusal(r, found, now)
	}
	return d.place(svc, candidates, found, r, now), nil
}

// fullRefusal returns the refusal of a request for which no server was found.
func (s *service) fullRefusal(r Request, found choice, now time.Time) error {
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindOverloaded, NotRun: true,
		RetryAfter: s.returns.delay(r.Rank, max(fullRetryDelay, found.shortestWait-r.maxWait(), found.limitWait), now),
		Message:    "every backend server of service " + r.Service + " is full or at its limit",
	})
}

// place counts the request at the server that was found.
func (d *Directory) place(svc *service, candidates candidateSet, found choice, r Request, now time.Time) *Lease {
	chosen, rank := found.server, found.rank
	lease := &Lease{
		directory: d, server: chosen, service: svc, organisation: r.Organisation, pool: chosen.pool, id: chosen.record.ID(), incarnation: chosen.record.Incarnation(), acquiredAt: now, cold: chosen.cold,
		load: chosen.running + chosen.peerRunning, meanLoad: candidates.meanLoad, rank: rank,
	}
	if source := d.cacheSource(svc, chosen, r, now); source != nil {
		lease.cacheSource = source.record.Address()
	}
	lease.cachedTokens, lease.prefillWait = chosen.cachedTokens(r.Service, r.Prefix, farFuture(now)), chosen.prefillWait()
	lease.pendingTokens = max(r.PromptTokens-lease.cachedTokens, 0)
	if len(r.Prefix) > 0 {
		lease.tokensAhead = chosen.pendingTokens + chosen.peerPendingTokens + lease.pendingTokens
	}
	chosen.pendingTokens += lease.pendingTokens
	d.recordPrefix(chosen, rank, r, now)
	chosen.running++
	if chosen.isCold {
		chosen.cold.reserved++
		lease.isReserved, lease.wasCold = true, true
	}
	chosen.limit.countSent(now)
	chosen.rest.beginReturn(lease, now)
	svc.addRunning(r.Organisation)
	if r.isQueued() {
		lease.isQueued = true
		svc.wait.Started(r.Organisation, r.Rank, now)
	}
	return lease
}

// candidateSet is the set of servers that a request can be sent to.
type candidateSet struct {
	servers []*server
	// cold are the cold servers to which this entry may send a request now. They have no
	// part in the figures below. coldWait is the shortest time until this entry may send
	// to another one, or 0.
	cold     []*server
	coldWait time.Duration
	// meanLoad is the mean load of all servers of the service, including draining
	// ones, without those that state a limit unless all do.
	meanLoad float64
	// minBound is the lowest load bound: with servers that take no requests, the others
	// have more than the mean. It is 0 if there are none.
	minBound float64
	// isBoundStrict is set if servers are evacuated. The load bound then holds for the mean
	// of all servers, and what exceeds it is refused.
	isBoundStrict bool
	// utilisation is the load of the servers of the service as a share of the slots
	// of those that are neither closed nor ejected. Closed servers count only if they
	// drain.
	utilisation float64
	// slots is the number of the latter, load the requests at them and own those of this
	// entry among them.
	slots, load, own int
}

// isEmpty reports whether no server may take the request.
func (c candidateSet) isEmpty() bool { return len(c.servers)+len(c.cold) == 0 }

// areCold reports whether only cold servers are left.
func (c candidateSet) areCold() bool { return len(c.servers) == 0 && len(c.cold) > 0 }

// emptyRefusal returns the refusal of a request for which no server is left.
func (d *Directory) emptyRefusal(svc *service, r Request, c candidateSet, now time.Time) error {
	if err := d.coldRefusal(svc, r, c.coldWait, now); err != nil {
		return err
	}
	if err := d.closedRefusal(svc, r, now); err != nil {
		return err
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "service %s has no backend server left to try", r.Service)
}

// scratch holds lists that are used again by the next choice of a server.
type scratch struct {
	untried, reachable, healthy, cold []*server
	considered, order                 []consideredServer
	priced                            []pricedServer
	weights, digests                  []uint64
}

// candidates returns the servers that may take the request, in lists that are valid until
// the next call. Ejected servers are included while the healthy ones lack capacity without
// them.
func (d *Directory) candidates(svc *service, r Request, now time.Time) candidateSet {
	untried, reachable, healthy, cold := d.scratch.untried[:0], d.scratch.reachable[:0], d.scratch.healthy[:0], d.scratch.cold[:0]
	var coldWait time.Duration
	figures := d.coldFigures(svc.name)
	totalLoad, slots, openLoad, ownLoad, unlimited, unlimitedLoad, unavailable, unavailableLoad := 0, 0, 0, 0, 0, 0, 0, 0
	isBoundStrict := false
	for _, server := range svc.servers {
		load := server.running + server.peerRunning
		totalLoad += load
		if !server.isLimited() {
			unlimited++
			unlimitedLoad += load
		}
		if closed := server.closedState(now); closed != StateOpen {
			if closed != StateDraining {
				unavailable++
				unavailableLoad += load
			}
			isBoundStrict = isBoundStrict || closed == StateEvacuated
			continue
		}
		isEjected := server.health.isEjected(now, server.running, r.Idempotent)
		if server.isCold = figures.Limit > 0 && server.cold.isCold(figures, now); server.isCold {
			unavailable++
			unavailableLoad += load
			if slices.Contains(r.Tried, server.record.ID()) {
				continue
			}
			if wait := server.cold.wait(d.coldShare(server, figures, now), now); wait != 0 {
				if wait > 0 && (coldWait == 0 || wait < coldWait) {
					coldWait = wait
				}
				continue
			}
			if !isEjected {
				cold = append(cold, server)
				continue
			}
		}
		if !isEjected {
			slots += server.record.Slots()
			openLoad += load
			ownLoad += server.running
		}
		if slices.Contains(r.Tried, server.record.ID()) {
			continue
		}
		untried = append(untried, server)
		if !isEjected || !server.health.isUnreachable {
			reachable = append(reachable, server)
		}
		if !isEjected {
			healthy = append(healthy, server)
		}
	}
	d.scratch.untried, d.scratch.reachable, d.scratch.healthy, d.scratch.cold = untried, reachable, healthy, cold
	c := candidateSet{
		cold: cold, coldWait: coldWait,
		servers: healthy, meanLoad: float64(totalLoad) / float64(max(len(svc.servers), 1)),
		utilisation: float64(totalLoad-unavailableLoad) / float64(max(slots, 1)), slots: slots, load: openLoad, own: ownLoad, isBoundStrict: isBoundStrict,
	}
	if unavailable > 0 && !isBoundStrict {
		c.minBound = float64(totalLoad-unavailableLoad)/float64(max(len(svc.servers)-unavailable, 1)) + loadBoundSlack
	}
	if unlimited > 0 {
		c.meanLoad = float64(unlimitedLoad) / float64(unlimited)
	}
	if len(healthy)+len(cold) == 0 || c.utilisation > maxHealthyUtilisation {
		c.servers = reachable
	}
	if len(c.servers)+len(cold) == 0 {
		c.servers = untried
	}
	return c
}

const (
	// toleratedPrefillWait is how long a prompt may wait for others to be read
	// without its response being late: a quarter of a usual latency target.
	toleratedPrefillWait = 150 * time.Millisecond
	// duplicatePrefillFactor multiplies the cost of reading a prompt that
	// another server is reading now: it cannot be fetched yet and would be read
	// twice.
	duplicatePrefillFactor = 5
	// rankPenalty is the cost of each position in the chat's rendezvous order,
	// unless the server has the whole prefix cached. It makes entries that have
	// no cache state yet choose the same server.
	rankPenalty = 120 * time.Millisecond
	// excessLoadPenalty is the cost of each request above the mean load of the
	// service. An engine generates tokens more slowly the more requests it
	// runs, and requests that peers have just sent can take a server near the
	// load bound over it. The penalty is the time in which an engine reads some
	// 570 prompt tokens.
	excessLoadPenalty = 8 * time.Millisecond
	// maxWaitShare is the part of the latency target that requests of rank 0 may be
	// expected to wait at a busy service; the rest allows for errors of the
	// estimate. It is rankWaitShare less with each rank, so that those that go first
	// are refused last, down to minWaitShare.
	maxWaitShare  = 0.75
	rankWaitShare = 0.15
	minWaitShare  = 0.3
	// minRefusalUtilisation is the utilisation of a service from which on requests
	// are refused because of the expected wait. Below it, a wait is that of one
	// server or a passing one.
	minRefusalUtilisation = 0.5
	// preferredServers is the number of servers, from the start of the chat's
	// rendezvous order, that are considered in addition to those that have some
	// of the prompt cached.
	preferredServers = 3
)

// maxWait returns the longest expected wait for which a busy service takes the
// request, or 0 for no limit.
func (r Request) maxWait() time.Duration {
	return time.Duration(max(maxWaitShare-rankWaitShare*float64(r.Rank), minWaitShare) * float64(r.Target))
}

// choice is the result of looking for a server.
type choice struct {
	// server is nil if no server may take the request.
	server *server
	// rank is the server's position in the chat's rendezvous order.
	rank int
	// shortestWait is the shortest expected wait at the servers that were left out
	// because of it, or 0 if there were none.
	shortestWait time.Duration
	// limitWait is the time until the first server that was left out because of its
	// limit may get a request, or 0 if there was none.
	limitWait time.Duration
}

// loadBound returns the load below which a server of the set may get a request.
func (d *Directory) loadBound(c candidateSet) float64 {
	return max(loadFactorMargin*d.config.MaxLoadFactor()*c.meanLoad+loadBoundSlack, c.minBound)
}

// cheapest returns the server with the lowest estimated cost for the request, in
// time. The cost is the expected wait at the server, beyond the tolerated wait for
// the prompts queued there, and the penalties above. Ties go to the earlier server
// in the chat's rendezvous order, so that all entries choose the same one. Only
// servers below the load bound are considered, and in a busy service only those at
// which the request is not expected to wait too long. If no server is below the
// bound, which can happen while ejected servers with little load are left out, the
// least loaded server is returned, unless the bound is strict.
func (d *Directory) cheapest(svc *service, c candidateSet, r Request, now time.Time) choice {
	key := PartDigest(r.Service, r.Prefix[len(r.Prefix)-1].ID())
	bound := d.loadBound(c)
	prefixTokens := 0
	for _, part := range r.Prefix {
		prefixTokens += part.Tokens()
	}
	perToken := svc.prefill.tokenTime()
	if svc.isPrefilling(r, now) {
		perToken *= duplicatePrefillFactor
	}
	maxWait := r.maxWait()
	if c.utilisation < minRefusalUtilisation {
		maxWait = 0
	}
	considered, leastLoaded := d.consider(c, r, key, bound, farFuture(now))
	var best choice
	priced := d.scratch.priced[:0]
	for _, o := range considered {
		s := o.server
		queueWait := svc.queueWait(s)
		missing := time.Duration(r.PromptTokens - o.cached)
		if wait := s.prefillWait() + queueWait + missing*svc.prefill.tokenTime(); maxWait > 0 && wait > maxWait {
			if best.shortestWait == 0 || wait < best.shortestWait {
				best.shortestWait = wait
			}
			continue
		}
		cost := max(s.prefillWait()-toleratedPrefillWait, 0) + queueWait + missing*perToken
		if o.cached < prefixTokens {
			cost += time.Duration(o.rank) * rankPenalty
		}
		cost += time.Duration(max(float64(s.running+s.peerRunning)-c.meanLoad-1, 0) * float64(excessLoadPenalty))
		if s.isCold {
			cost += coldPenalty
		}
		priced = append(priced, pricedServer{s, o.rank, cost})
	}
	d.scratch.priced = priced
	for len(priced) > 0 && best.server == nil {
		cheapest := 0
		for i, p := range priced {
			if p.cost < priced[cheapest].cost {
				cheapest = i
			}
		}
		if p := priced[cheapest]; d.passes(p.server, r, now, &best) {
			best.server, best.rank = p.server, p.rank
		}
		priced = slices.Delete(priced, cheapest, cheapest+1)
	}
	if best.server == nil && best.shortestWait == 0 && !c.isBoundStrict {
		best.server, best.rank = leastLoaded, len(c.servers)+len(c.cold)
	}
	return best
}

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

// leastLoaded returns the server with the least load for its speed that its limit admits,
// or none if all are full or at their limit. Cold servers are taken if there is no other.
func (d *Directory) leastLoaded(c candidateSet, r Request, now time.Time) choice {
	servers, cold := c.servers, c.cold
	if bound := d.loadBound(c); c.isBoundStrict {
		isAtBound := func(s *server) bool { return float64(s.running+s.peerRunning) >= bound }
		servers, cold = slices.DeleteFunc(slices.Clone(servers), isAtBound), slices.DeleteFunc(slices.Clone(cold), isAtBound)
	}
	result := d.leastLoadedIn(servers, r, now)
	if result.server == nil && len(cold) > 0 {
		result = d.leastLoadedIn(cold, r, now)
	}
	return result
}

// leastLoadedIn is leastLoaded for the servers.
func (d *Directory) leastLoadedIn(servers []*server, r Request, now time.Time) choice {
	var result choice
	servers = slices.Clone(servers)
	for len(servers) > 0 {
		best := d.leastLoadedOf(servers)
		if best == nil {
			break
		}
		if d.passes(best, r, now, &result) {
			result.server = best
			break
		}
		servers = slices.DeleteFunc(servers, func(s *server) bool { return s == best })
	}
	return result
}

// leastLoadedOf returns the server with the least load for its speed, preferring the
// entry's own data centre among equals, or nil if all are full. Requests of peers only
// decide whether a server is full: they have often ended by the time their counts
// arrive, and entries that followed those counts would all choose the same server.
func (d *Directory) leastLoadedOf(servers []*server) *server {
	var best *server
	var bestLoad, bestTie float64
	for _, s := range servers {
		if float64(s.running+s.peerRunning) >= plainRequestsPerSlot*float64(s.record.Slots()) {
			continue
		}
		load := float64(s.running)
		if slowness := s.load.SlowdownFactor(); slowness > 1 {
			load *= slowness
		}
		tie := float64(d.config.Rand()%1024) / 1024
		if s.record.Centre() == d.config.Centre {
			tie--
		}
		if best == nil || load < bestLoad || load == bestLoad && tie < bestTie {
			best, bestLoad, bestTie = s, load, tie
		}
	}
	return best
}

// PartDigest returns the digest that identifies a part of a service's prompts.
func PartDigest(service string, part uint64) uint64 { return xxhash.Sum64String(service) ^ part }
