package clemlab

import (
	"math/rand/v2"
	"time"
)

const (
	slowExperiment  = "slow"
	stallExperiment = "stall"
	slowDuration    = 240 * time.Second
	slowServers     = 2
	slowFactor      = 4
	slowChats       = 65
	slowQuotes      = 2
	shortestSpell   = 5 * time.Second
	longestSpell    = 30 * time.Second
)

// spell is a time during which a server is slow.
type spell struct {
	from, to time.Duration
}

// spells draws alternating quiet and slow times.
func spells(rng *rand.Rand, duration time.Duration) []spell {
	var all []spell
	for at := warmUp; at < duration; {
		at += drawSpell(rng)
		end := at + drawSpell(rng)
		all = append(all, spell{at, end})
		at = end
	}
	return all
}

func drawSpell(rng *rand.Rand) time.Duration {
	return shortestSpell + time.Duration(rng.Int64N(int64(longestSpell-shortestSpell)))
}

// fault returns the factor of a server's steps in the spell.
type fault func(s spell, at time.Duration) float64

// slowed makes steps a few times as long.
func slowed(spell, time.Duration) float64 { return slowFactor }

// stalled makes the step that begins in the spell end after it.
func stalled(s spell, at time.Duration) float64 {
	return 1 + float64(s.to-at)/float64(defaultEngine().base)
}

// faults returns the factor of each server's steps: the first few servers have spells.
func faults(seed uint64, duration time.Duration, f fault) func(int, time.Duration) float64 {
	var servers [slowServers][]spell
	for i := range servers {
		servers[i] = spells(rand.New(rand.NewPCG(seed, uint64(i))), duration)
	}
	return func(server int, at time.Duration) float64 {
		if server >= slowServers {
			return 1
		}
		for _, s := range servers[server] {
			if at >= s.from && at < s.to {
				return f(s, at)
			}
		}
		return 1
	}
}

// measureSlow compares the tail with and without slowed servers.
func (l *Lab) measureSlow() {
	l.measureFault(slowExperiment, "2 of 18 servers slowed 4 times", slowed)
}

// measureStall compares the tail with and without servers that stop for a while.
func (l *Lab) measureStall() {
	l.measureFault(stallExperiment, "2 of 18 servers stopping", stalled)
}

func (l *Lab) measureFault(experiment, title string, f fault) {
	duration := l.length(slowDuration)
	load := func(seed uint64) scenario {
		return neblina().with(duration,
			chats(seed, slowChats, duration).record(), quotes(seed, slowQuotes, duration).record())
	}
	faulty := func(seed uint64) scenario {
		s := load(seed)
		s.slowdown = faults(seed, duration, f)
		return s
	}
	m := and(isShort, arrivedIn(warmUp, duration))
	plot := l.figure(experiment, "Time to first token with "+title, "time to first token (ms)", "share of requests")
	for _, p := range append(baselines(), firstCome(), withoutHedges(), withoutSlowness(), ours()) {
		plain, tried := l.execute(p, load), l.execute(p, faulty)
		before, after := plain.first(m, tail), tried.first(m, tail)
		l.table.add(experiment, p.name, "p99 to first token, no faults", before, unitTime)
		l.table.add(experiment, p.name, "p99 to first token, faults", after, unitTime)
		l.table.add(experiment, p.name, "p99.9 to first token, faults", tried.first(m, extreme), unitTime)
		l.table.judge(experiment, p.name, "ratio of the p99", after/before, unitRatio, atMost(1.3))
		l.table.judge(experiment, p.name, "extra work", tried.mean((*run).extra), unitShare, atMost(0.03))
		if p.gated {
			l.table.add(experiment, p.name, "load over the mean, p99 of starts", tried.multiple(tail), unitRatio)
			l.table.add(experiment, p.name, "load over the mean, highest", tried.multiple(1), unitRatio)
		}
		plot.cumulative(p.name, tried, m)
	}
}

// withoutHedges is our policy without second attempts.
func withoutHedges() policy {
	p := ours()
	p.name, p.hedge = "clementineturn without hedges", 0
	return p
}

// withoutSlowness is our policy when the pool's median speed is not known.
func withoutSlowness() policy {
	p := ours()
	p.name, p.blind = "clementineturn without slowness", true
	return p
}
