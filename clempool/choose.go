package clempool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
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
	// AcceptsSoftware, if set, reports whether a server with the version of its software may
	// take the request. It is called with the directory locked.
	AcceptsSoftware func(version string) bool
	// OwnTarget, OnTimeBy, Deadline and Bytes are those of clemwait.Request.
	OwnTarget          time.Duration
	OnTimeBy, Deadline time.Time
	Bytes              int
}

// excludes reports whether the request must not be sent to the server: it was already, or the
// server has another version of the software than is needed.
func (r Request) excludes(s *server) bool {
	return slices.Contains(r.Tried, s.record.ID()) || r.AcceptsSoftware != nil && !r.AcceptsSoftware(s.record.SoftwareVersion())
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
		directory: d, server: chosen, service: svc, organisation: r.Organisation, pool: chosen.pool, id: chosen.record.ID(), incarnation: chosen.record.Incarnation(), software: chosen.record.SoftwareVersion(), acquiredAt: now, cold: chosen.cold,
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
