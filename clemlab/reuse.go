package clemlab

import (
	"cmp"
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	reuseExperiment = "reuse"
	reuseDuration   = 240 * time.Second
	reuseLeave      = 150 * time.Second
	reuseChats      = 75
	reuseChatsEach  = 400
	movedChats      = 20_000
)

// seeing ranks by what the engines' caches hold at this moment, then by
// requests in flight. No real router can know that; it is the reference.
type seeing struct {
	run *run
}

// Rank returns the hosts with the most of the chat's prefix first.
func (s seeing) Rank(work clementineturn.Work, hosts []*clemwire.Host) []*clemwire.Host {
	key := chatKey(work.Organisation(), work.Conversation())
	ranked := slices.Clone(hosts)
	slices.SortStableFunc(ranked, func(a, b *clemwire.Host) int {
		x, y := s.run.byName[a.GetName()], s.run.byName[b.GetName()]
		if order := cmp.Compare(y.engine.cache.held(key), x.engine.cache.held(key)); order != 0 {
			return order
		}
		return cmp.Compare(x.admission.requests(), y.admission.requests())
	})
	return ranked
}

// allSeeing is the reference for reuse, with our admission.
func allSeeing() policy {
	return policy{
		name: "all-seeing", gated: true,
		ranker: func(r *run, _ uint64) clementineturn.Ranker { return seeing{run: r} },
	}
}

// measureReuse compares the prefixes found cached, before and after one server leaves.
func (l *Lab) measureReuse() {
	duration, leave := l.length(reuseDuration), l.length(reuseLeave)
	load := func(seed uint64) scenario {
		w := chats(seed, reuseChats, duration)
		w.chats = reuseChatsEach
		s := neblina().with(duration, w.record())
		s.leave = leave
		return s
	}
	steady, churn := arrivedIn(leave/2, leave), arrivedIn(leave, duration)
	reference := 0.0
	for _, p := range append([]policy{allSeeing()}, append(baselines(), firstCome(), ours())...) {
		tried := l.execute(p, load)
		reuse := tried.mean(func(r *run) float64 { return r.reuse(steady) })
		if p.name == allSeeing().name {
			reference = reuse
		}
		l.table.add(reuseExperiment, p.name, "reuse of earlier turns", reuse, unitShare)
		l.table.judge(reuseExperiment, p.name, "reuse over all-seeing", reuse/reference, unitRatio, atLeast(0.9))
		l.table.add(reuseExperiment, p.name, "reuse after one server left", tried.mean(func(r *run) float64 { return r.reuse(churn) }), unitShare)
		l.table.add(reuseExperiment, p.name, "p99 to first token", tried.first(steady, tail), unitTime)
	}
	for _, p := range []policy{baselines()[3], ours()} {
		moved, servers := moved(p)
		l.table.judge(reuseExperiment, p.name, "chats moved by one leaving, times n", moved*float64(servers), unitRatio, atMost(1.1))
	}
}

// moved returns the share of chats whose first choice changes when one server leaves.
func moved(p policy) (share float64, servers int) {
	r := &run{}
	ranker := p.ranker(r, 1)
	servers = neblina().servers
	hosts := make([]*clemwire.Host, servers)
	for i := range hosts {
		hosts[i] = &clemwire.Host{Name: serverName(i)}
	}
	count := 0
	for i := range movedChats {
		work := clementineturn.NewWork(poolName, "o00", uint64(i))
		if ranker.Rank(work, hosts)[0] != ranker.Rank(work, hosts[:servers-1])[0] {
			count++
		}
	}
	return float64(count) / movedChats, servers
}
