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

// policy is a way to choose and admit that the measurement compares.
type policy struct {
	name   string
	ranker func(r *run, seed uint64) clementineturn.Ranker
	// gated selects the gate; else engines serve first come, first served.
	gated bool
	// hedge is the extra work allowed for hedges, as a share of all work.
	hedge float64
	// blind hides the pool's median speed from the gate.
	blind bool
}

const (
	// candidates is how many servers an entry tries.
	candidates = 6
	ringPoints = 100
)

func randomRanker(_ *run, seed uint64) clementineturn.Ranker { return clemrank.NewRandom(seed) }

func roundRobin(*run, uint64) clementineturn.Ranker { return &clemrank.RoundRobin{} }

func leastReported(r *run, seed uint64) clementineturn.Ranker {
	return clemrank.NewLeastLoaded(clemrank.LeastLoadedConfig{
		Load: func(name string) uint64 { return r.reported[name] }, Seed: seed,
	})
}

func ring(*run, uint64) clementineturn.Ranker {
	return clemrank.NewRing(clemrank.RingConfig{Points: ringPoints})
}

func rendezvous(*run, uint64) clementineturn.Ranker {
	return clemrank.New(clemrank.Config{MaxHosts: candidates})
}

// ours is the policy of the system.
func ours() policy {
	return policy{name: "clementineturn", ranker: rendezvous, gated: true, hedge: 0.02}
}

// baselines are the plain ways, all first come, first served.
func baselines() []policy {
	return []policy{
		{name: "random", ranker: randomRanker},
		{name: "round robin", ranker: roundRobin},
		{name: "least reported", ranker: leastReported},
		{name: "consistent hashing", ranker: ring},
	}
}

// scenario is a pool with its load and faults, without a policy.
type scenario struct {
	servers  int
	engine   engineConfig
	limits   clemgate.LimitsConfig
	network  time.Duration
	specs    []*Spec
	duration time.Duration
	// slowdown returns the factor of a server's step times.
	slowdown func(server int, at time.Duration) float64
	// leave is when the last server leaves; 0 is never.
	leave time.Duration
}

const (
	entries = 4
	// reportInterval is the time between reports, reportLag the time that
	// a sum takes to reach the servers and entries.
	reportInterval = time.Second
	reportLag      = time.Second
)

// run is one scenario under one policy.
type run struct {
	scenario
	policy   policy
	sim      *simulator
	servers  []*server
	byName   map[string]*server
	members  []*clemwire.Host
	reported map[string]uint64
	requests []*request
	// multiples are the servers' loads over the pool's mean of the same
	// moment, for each start on a server with other work.
	multiples []float64
	// histories holds the answered turns of each chat, in tokens.
	histories map[string]int
}

// execute runs the scenario to its end.
func execute(s scenario, p policy) *run {
	r := &run{scenario: s, policy: p, sim: newSimulator(), byName: map[string]*server{}, reported: map[string]uint64{}, histories: map[string]int{}}
	for i := range s.servers {
		r.addServer(i)
	}
	all := make([]*entry, entries)
	for i := range all {
		all[i] = newEntry(r, i)
	}
	for i, spec := range s.specs {
		r.sim.at(epoch.Add(spec.at), func() {
			r.requests = append(r.requests, all[i%entries].arrive(spec))
		})
	}
	r.sim.every(reportInterval, r.report)
	r.sim.every(tickInterval, func() {
		for _, server := range r.servers {
			server.tick()
		}
	})
	if s.leave > 0 {
		r.sim.at(epoch.Add(s.leave), r.removeServer)
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
	s.onStart = func() { r.noteLoad(s) }
	s.admission = &fifo{slots: r.engine.slots}
	if r.policy.gated {
		s.admission = newGated(r.sim, host.GetName(), r.limits)
	}
	r.servers = append(r.servers, s)
	r.byName[host.GetName()] = s
	r.members = append(r.members, host)
}

// noteLoad compares a server's load with the pool's mean as it is now, which
// no server knows. The first seconds, without any mean, do not count.
func (r *run) noteLoad(s *server) {
	own := s.admission.report()
	if own.Running() < 2 || r.sim.now.Sub(epoch) < warmUp {
		return
	}
	total := 0.0
	for _, other := range r.servers {
		total += float64(other.admission.report().Load())
	}
	r.multiples = append(r.multiples, float64(own.Load())*float64(len(r.members))/total)
}

func serverName(i int) string { return fmt.Sprintf("server-%02d", i) }

// removeServer takes the last server out of the list; its work runs to its end.
func (r *run) removeServer() {
	r.members = r.members[:len(r.members)-1]
}

// hosts returns the servers that take part.
func (r *run) hosts() []*clemwire.Host { return r.members }

// report sums up the servers' loads; the sum arrives after its lag.
func (r *run) report() {
	var total uint64
	var speeds []time.Duration
	counts := map[string]uint64{}
	for _, s := range r.servers {
		report := s.admission.report()
		total += report.Load()
		if report.Speed() > 0 {
			speeds = append(speeds, report.Speed())
		}
		counts[s.host.GetName()] = uint64(s.admission.requests())
	}
	if r.policy.blind {
		speeds = nil
	}
	load := clemboard.NewLoad(clemboard.LoadConfig{
		Servers: len(r.members), TotalTokens: total, MedianTokenTime: median(speeds), OldestReport: r.sim.now,
	})
	r.sim.after(reportLag, func() {
		r.reported = counts
		for _, s := range r.servers {
			s.admission.limit(load)
			s.settle()
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
