package clemlab

import "time"

const (
	longExperiment = "long"
	longDuration   = 180 * time.Second
	longChats      = 45
	longQuotes     = 1.8
)

// firstCome is our ranking with engines that serve first come, first served.
func firstCome() policy {
	return policy{name: "rendezvous, first come first served", ranker: rendezvous}
}

// measureLong compares the wait of short work with and without long work,
// and the throughput of the long work.
func (l *Lab) measureLong() {
	duration := l.length(longDuration)
	short := and(isShort, arrivedIn(warmUp, duration))
	reference := 0.0
	plot := l.figure("long", "Time to first token of short work with long work present", "time to first token (ms)", "share of requests")
	for _, p := range append(baselines(), firstCome(), allSeeing(), ours()) {
		without := l.execute(p, func(seed uint64) scenario {
			return shishuKhat().with(duration, chats(seed, longChats, duration).record())
		})
		with := l.execute(p, func(seed uint64) scenario {
			return shishuKhat().with(duration,
				chats(seed, longChats, duration).record(), quotes(seed, longQuotes, duration).record())
		})
		before, after := without.first(short, tail), with.first(short, tail)
		waitBefore, waitAfter := without.wait(short, tail), with.wait(short, tail)
		long := with.mean(func(r *run) float64 { return r.goodput(isLong, warmUp, duration) })
		if p.name == firstCome().name {
			reference = long
		}
		l.table.add(longExperiment, p.name, "short p99 wait without long", waitBefore, unitTime)
		l.table.add(longExperiment, p.name, "short p99 wait with long", waitAfter, unitTime)
		l.table.judge(longExperiment, p.name, "ratio of the waits", waitAfter/waitBefore, unitRatio, atMost(1.25))
		l.table.add(longExperiment, p.name, "short p99 to first token without long", before, unitTime)
		l.table.add(longExperiment, p.name, "short p99 to first token with long", after, unitTime)
		l.table.add(longExperiment, p.name, "long throughput", long, unitTokens)
		if p.name == ours().name {
			l.table.judge(longExperiment, p.name, "long throughput over first come first served", long/reference, unitRatio, atLeast(0.9))
		}
		plot.cumulative(p.name, with, short)
	}
}
