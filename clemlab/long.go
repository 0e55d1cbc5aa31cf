package clemlab

import "time"

const (
	longExperiment = "long"
	longDuration   = 180 * time.Second
	longChatRate   = 45
	longQuoteRate  = 1.8
)

// rendezvousFIFO is the product's ranking with engines that serve first come, first
// served.
func rendezvousFIFO() policy {
	return policy{name: "rendezvous, first come first served", ranker: rendezvousRanker}
}

// measureLong compares the wait of short work with and without long work, and the
// throughput of the long work.
func (l *Lab) measureLong() {
	duration := l.scaled(longDuration)
	short := and(isShort, arrivedIn(warmUp, duration))
	reference := 0.0
	plot := l.newFigure("long", "Time to first token of short work with long work present", "time to first token (ms)", "share of requests")
	for _, p := range append(baselines(), rendezvousFIFO(), oracle(), productPolicy()) {
		without := l.execute(p, func(seed uint64) scenario {
			return smallPool().withLoad(duration, chatWorkload(seed, longChatRate, duration).record())
		})
		with := l.execute(p, func(seed uint64) scenario {
			return smallPool().withLoad(duration,
				chatWorkload(seed, longChatRate, duration).record(), quoteWorkload(seed, longQuoteRate, duration).record())
		})
		ttftBefore, ttftAfter := without.firstTokenQuantile(short, p99), with.firstTokenQuantile(short, p99)
		waitBefore, waitAfter := without.waitQuantile(short, p99), with.waitQuantile(short, p99)
		long := with.mean(func(r *run) float64 { return r.goodput(isLong, warmUp, duration) })
		if p.name == rendezvousFIFO().name {
			reference = long
		}
		l.table.add(longExperiment, p.name, "short p99 wait without long", waitBefore, unitTime)
		l.table.add(longExperiment, p.name, "short p99 wait with long", waitAfter, unitTime)
		l.table.addWithTarget(longExperiment, p.name, "ratio of the waits", waitAfter/waitBefore, unitRatio, atMost(1.25))
		l.table.add(longExperiment, p.name, "short p99 to first token without long", ttftBefore, unitTime)
		l.table.add(longExperiment, p.name, "short p99 to first token with long", ttftAfter, unitTime)
		l.table.add(longExperiment, p.name, "long throughput", long, unitTokens)
		if p.name == productPolicy().name {
			l.table.addWithTarget(longExperiment, p.name, "long throughput over first come first served", long/reference, unitRatio, atLeast(0.9))
		}
		plot.addDistribution(p.name, with, short)
	}
}
