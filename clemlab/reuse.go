package clemlab

import (
	"cmp"
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	reuseExperiment           = "reuse"
	reuseDuration             = 240 * time.Second
	reuseRemovalTime          = 150 * time.Second
	reuseChatRate             = 75
	reuseChatsPerOrganisation = 400
	sampledChats              = 20_000
)

// oracleRanker ranks by the current content of the engines' caches, then by active
// requests. It is the reference for the other rankers, since no real router has
// this information.
type oracleRanker struct {
	run *run
}

// Rank returns the hosts in descending order of cached tokens of the chat's prefix.
func (o oracleRanker) Rank(routingKey clementineturn.RoutingKey, hosts []*clemwire.Host) []*clemwire.Host {
	key := chatKey(routingKey.Organisation(), routingKey.Conversation())
	ranked := slices.Clone(hosts)
	slices.SortStableFunc(ranked, func(a, b *clemwire.Host) int {
		x, y := o.run.byName[a.GetName()], o.run.byName[b.GetName()]
		if order := cmp.Compare(y.engine.cache.tokens(key), x.engine.cache.tokens(key)); order != 0 {
			return order
		}
		return cmp.Compare(x.admission.activeRequests(), y.admission.activeRequests())
	})
	return ranked
}

// oracle is the reference policy for reuse, with the product's admission.
func oracle() policy {
	return policy{
		name: "all-seeing", usesGate: true,
		ranker: func(r *run, _ uint64) clementineturn.Ranker { return oracleRanker{run: r} },
	}
}

// measureReuse compares the share of prefix tokens found cached, before and after
// one server is removed.
func (l *Lab) measureReuse() {
	duration, removal := l.scaled(reuseDuration), l.scaled(reuseRemovalTime)
	load := func(seed uint64) scenario {
		w := chatWorkload(seed, reuseChatRate, duration)
		w.chatsPerOrganisation = reuseChatsPerOrganisation
		s := largePool().withLoad(duration, w.record())
		s.removalTime = removal
		return s
	}
	steady, afterRemoval := arrivedIn(removal/2, removal), arrivedIn(removal, duration)
	reference := 0.0
	for _, p := range append([]policy{oracle()}, append(baselines(), rendezvousFIFO(), productPolicy())...) {
		results := l.execute(p, load)
		reuse := results.mean(func(r *run) float64 { return r.reuseShare(steady) })
		if p.name == oracle().name {
			reference = reuse
		}
		l.table.add(reuseExperiment, p.name, "reuse of earlier turns", reuse, unitShare)
		l.table.addWithTarget(reuseExperiment, p.name, "reuse over all-seeing", reuse/reference, unitRatio, atLeast(0.9))
		l.table.add(reuseExperiment, p.name, "reuse after one server left", results.mean(func(r *run) float64 { return r.reuseShare(afterRemoval) }), unitShare)
		l.table.add(reuseExperiment, p.name, "p99 to first token", results.firstTokenQuantile(steady, p99), unitTime)
	}
	for _, p := range []policy{baselines()[3], productPolicy()} {
		moved, servers := movedShare(p)
		l.table.addWithTarget(reuseExperiment, p.name, "chats moved by one leaving, times n", moved*float64(servers), unitRatio, atMost(1.1))
	}
}

// movedShare returns the share of chats whose first choice changes when one server
// is removed, and the number of servers before.
func movedShare(p policy) (share float64, servers int) {
	r := &run{}
	ranker := p.ranker(r, 1)
	servers = largePool().servers
	hosts := make([]*clemwire.Host, servers)
	for i := range hosts {
		hosts[i] = &clemwire.Host{Name: serverName(i)}
	}
	count := 0
	for i := range sampledChats {
		routingKey := clementineturn.NewRoutingKey(poolName, "o00", uint64(i))
		if ranker.Rank(routingKey, hosts)[0] != ranker.Rank(routingKey, hosts[:servers-1])[0] {
			count++
		}
	}
	return float64(count) / sampledChats, servers
}
