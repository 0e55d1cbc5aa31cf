package clemlab

import (
	"math/rand/v2"
	"time"
)

const (
	slowExperiment  = "slow"
	stallExperiment = "stall"
	slowDuration    = 240 * time.Second
	faultyServers   = 2
	slowdownFactor  = 4
	slowChatRate    = 65
	slowQuoteRate   = 2
	// minPhaseDuration and maxPhaseDuration bound the slow intervals and the times
	// between them.
	minPhaseDuration = 5 * time.Second
	maxPhaseDuration = 30 * time.Second
)

// interval is a time during which a server is slow.
type interval struct {
	from, to time.Duration
}

// drawIntervals returns random slow intervals, separated by random times without
// slowdown.
func drawIntervals(rng *rand.Rand, duration time.Duration) []interval {
	var all []interval
	for at := warmUp; at < duration; {
		at += drawDuration(rng)
		end := at + drawDuration(rng)
		all = append(all, interval{at, end})
		at = end
	}
	return all
}

func drawDuration(rng *rand.Rand) time.Duration {
	return minPhaseDuration + time.Duration(rng.Int64N(int64(maxPhaseDuration-minPhaseDuration)))
}

// slowdown returns the factor of a server's step times at a time in a slow
// interval.
type slowdown func(i interval, at time.Duration) float64

// slowStep makes steps slowdownFactor times as long.
func slowStep(interval, time.Duration) float64 { return slowdownFactor }

// stallStep makes a step that starts in the interval end after it.
func stallStep(i interval, at time.Duration) float64 {
	return 1 + float64(i.to-at)/float64(defaultEngine().stepTime)
}

// slowdowns returns a function for the factor of each server's step times. The
// first faultyServers servers have slow intervals.
func slowdowns(seed uint64, duration time.Duration, f slowdown) func(int, time.Duration) float64 {
	var servers [faultyServers][]interval
	for i := range servers {
		servers[i] = drawIntervals(rand.New(rand.NewPCG(seed, uint64(i))), duration)
	}
	return func(server int, at time.Duration) float64 {
		if server >= faultyServers {
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

// measureSlow compares the tail latency with and without slow servers.
func (l *Lab) measureSlow() {
	l.measureFault(slowExperiment, "2 of 18 servers slowed 4 times", slowStep)
}

// measureStall compares the tail latency with and without servers that stall for a
// while.
func (l *Lab) measureStall() {
	l.measureFault(stallExperiment, "2 of 18 servers stopping", stallStep)
}

func (l *Lab) measureFault(experiment, title string, f slowdown) {
	duration := l.scaled(slowDuration)
	load := func(seed uint64) scenario {
		return largePool().withLoad(duration,
			chatWorkload(seed, slowChatRate, duration).record(), quoteWorkload(seed, slowQuoteRate, duration).record())
	}
	faulty := func(seed uint64) scenario {
		s := load(seed)
		s.slowdown = slowdowns(seed, duration, f)
		return s
	}
	m := and(isShort, arrivedIn(warmUp, duration))
	plot := l.newFigure(experiment, "Time to first token with "+title, "time to first token (ms)", "share of requests")
	for _, p := range append(baselines(), rendezvousFIFO(), withoutHedges(), withoutMedianSpeed(), productPolicy()) {
		healthy, degraded := l.execute(p, load), l.execute(p, faulty)
		before, after := healthy.firstTokenQuantile(m, p99), degraded.firstTokenQuantile(m, p99)
		l.table.add(experiment, p.name, "p99 to first token, no faults", before, unitTime)
		l.table.add(experiment, p.name, "p99 to first token, faults", after, unitTime)
		l.table.add(experiment, p.name, "p99.9 to first token, faults", degraded.firstTokenQuantile(m, p999), unitTime)
		l.table.addWithTarget(experiment, p.name, "ratio of the p99", after/before, unitRatio, atMost(1.3))
		l.table.addWithTarget(experiment, p.name, "extra work", degraded.mean((*run).wastedShare), unitShare, atMost(0.03))
		if p.usesGate {
			l.table.add(experiment, p.name, "load over the mean, p99 of starts", degraded.loadRatioQuantile(p99), unitRatio)
			l.table.add(experiment, p.name, "load over the mean, highest", degraded.loadRatioQuantile(1), unitRatio)
		}
		plot.addDistribution(p.name, degraded, m)
	}
}

// withoutHedges is the product's policy without hedges.
func withoutHedges() policy {
	p := productPolicy()
	p.name, p.hedgeRatio = "clementineturn without hedges", 0
	return p
}

// withoutMedianSpeed is the product's policy when the pool's median speed is not
// known.
func withoutMedianSpeed() policy {
	p := productPolicy()
	p.name, p.hidesMedianSpeed = "clementineturn without slowness", true
	return p
}
