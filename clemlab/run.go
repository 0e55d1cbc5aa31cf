package clemlab

import (
	"fmt"
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemrank"
	"github.com/clementineturn/clementineturn/clemwire"
)

// policy is a combination of ranking, admission and hedging to be compared.
type policy struct {
	name   string
	ranker func(r *run, seed uint64) clementineturn.Ranker
	// usesGate selects admission by the gate; otherwise engines serve first come,
	// first served.
	usesGate bool
	// hedgeRatio is the work allowed for hedges as a share of all work.
	hedgeRatio float64
	// hidesMedianSpeed hides the pool's median speed from the gate.
	hidesMedianSpeed bool
}

const (
	// maxCandidates is the maximum number of servers that an entry tries.
	maxCandidates = 6
	ringPoints    = 100
)

func randomRanker(_ *run, seed uint64) clementineturn.Ranker { return clemrank.NewRandom(seed) }

func roundRobinRanker(*run, uint64) clementineturn.Ranker { return &clemrank.RoundRobin{} }

func leastLoadedRanker(r *run, seed uint64) clementineturn.Ranker {
	return clemrank.NewLeastLoaded(clemrank.LeastLoadedConfig{
		Load: func(name string) uint64 { return r.reportedRequests[name] }, Seed: seed,
	})
}

func ringRanker(*run, uint64) clementineturn.Ranker {
	return clemrank.NewRing(clemrank.RingConfig{Points: ringPoints})
}

func rendezvousRanker(*run, uint64) clementineturn.Ranker {
	return clemrank.New(clemrank.Config{MaxHosts: maxCandidates})
}

// productPolicy is the policy of the product.
func productPolicy() policy {
	return policy{name: "clementineturn", ranker: rendezvousRanker, usesGate: true, hedgeRatio: 0.02}
}

// baselines are common ranking policies, all with engines that serve first come,
// first served.
func baselines() []policy {
	return []policy{
		{name: "random", ranker: randomRanker},
		{name: "round robin", ranker: roundRobinRanker},
		{name: "least reported", ranker: leastLoadedRanker},
		{name: "consistent hashing", ranker: ringRanker},
	}
}

// scenario is a pool with its load and faults, independent of a policy.
type scenario struct {
	servers      int
	engine       engineConfig
	limits       clemgate.LimitsConfig
	networkDelay time.Duration
	specs        []*RequestSpec
	duration     time.Duration
	// slowdown returns the factor of a server's step times.
	slowdown func(server int, at time.Duration) float64
	// removalTime is when the last server is removed; 0 means never.
	removalTime time.Duration
}

const (
	entryCount = 4
	// reportInterval is the time between load reports, reportDelay the time that
	// a report takes to reach the servers and entries.
	reportInterval = time.Second
	reportDelay    = time.Second
)

// run is one scenario under one policy.
type run struct {
	scenario
	policy           policy
	sim              *simulator
	servers          []*server
	byName           map[string]*server
	hostList         []*clemwire.Host
	reportedRequests map[string]uint64
	requests         []*request
	// loadRatios has, for each start on a server with other work, the server's
	// load divided by the pool's mean at that time.
	loadRatios []float64
	// chatHistories holds the length of each chat's answered turns in tokens.
	chatHistories map[string]int
}

// execute runs the scenario to its end.
func execute(s scenario, p policy) *run {
	r := &run{scenario: s, policy: p, sim: newSimulator(), byName: map[string]*server{}, reportedRequests: map[string]uint64{}, chatHistories: map[string]int{}}
	for i := range s.servers {
		r.addServer(i)
	}
	all := make([]*entry, entryCount)
	for i := range all {
		all[i] = newEntry(r, i)
	}
	for i, spec := range s.specs {
		r.sim.at(epoch.Add(spec.arrivalTime), func() {
			r.requests = append(r.requests, all[i%entryCount].onRequest(spec))
		})
	}
	r.sim.every(reportInterval, r.reportLoads)
	r.sim.every(tickInterval, func() {
		for _, server := range r.servers {
			server.tick()
		}
	})
	if s.removalTime > 0 {
		r.sim.at(epoch.Add(s.removalTime), r.removeServer)
	}
	r.sim.run(epoch.Add(s.duration))
	return r
}

func (r *run) addServer(i int) {
	host := &clemwire.Host{Name: serverName(i)}
	slowdown := func(now time.Time) float64 {
		if r.slowdown == nil {
			return 1
		}
		return r.slowdown(i, now.Sub(epoch))
	}
	s := &server{sim: r.sim, host: host, engine: newEngine(r.sim, r.engine, slowdown)}
	s.onStart = func() { r.recordLoadRatio(s) }
	s.admission = &fifoAdmission{slots: r.engine.maxBatchSize}
	if r.policy.usesGate {
		s.admission = newGateAdmission(r.sim, host.GetName(), r.limits)
	}
	r.servers = append(r.servers, s)
	r.byName[host.GetName()] = s
	r.hostList = append(r.hostList, host)
}

// recordLoadRatio records a server's load divided by the pool's current mean, which
// the servers themselves do not know. It skips the warm-up, since no mean has been
// reported in its first seconds.
func (r *run) recordLoadRatio(s *server) {
	own := s.admission.report()
	if own.Running() < 2 || r.sim.now.Sub(epoch) < warmUp {
		return
	}
	total := 0.0
	for _, other := range r.servers {
		total += float64(other.admission.report().Load())
	}
	r.loadRatios = append(r.loadRatios, float64(own.Load())*float64(len(r.hostList))/total)
}

func serverName(i int) string { return fmt.Sprintf("server-%02d", i) }

// removeServer removes the last server from the list. Its requests run to their
// end.
func (r *run) removeServer() {
	r.hostList = r.hostList[:len(r.hostList)-1]
}

// hosts returns the servers in the list.
func (r *run) hosts() []*clemwire.Host { return r.hostList }

// reportLoads sums up the servers' loads and delivers the sum after reportDelay.
func (r *run) reportLoads() {
	var total uint64
	var speeds []time.Duration
	counts := map[string]uint64{}
	for _, s := range r.servers {
		report := s.admission.report()
		total += report.Load()
		if report.Speed() > 0 {
			speeds = append(speeds, report.Speed())
		}
		counts[s.host.GetName()] = uint64(s.admission.activeRequests())
	}
	if r.policy.hidesMedianSpeed {
		speeds = nil
	}
	load := clemboard.NewLoad(clemboard.LoadConfig{
		Servers: len(r.hostList), TotalTokens: total, MedianTokenTime: median(speeds), OldestReport: r.sim.now,
	})
	r.sim.after(reportDelay, func() {
		r.reportedRequests = counts
		for _, s := range r.servers {
			s.admission.setLoad(load)
			s.applyDecisions()
		}
	})
}

func median(speeds []time.Duration) time.Duration {
	if len(speeds) == 0 {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}
