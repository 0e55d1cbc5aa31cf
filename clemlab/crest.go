package clemlab

import "time"

const (
	peakExperiment = "crest"
	peakStart      = 60 * time.Second
	peakEnd        = 90 * time.Second
	peakRampTime   = 2 * time.Second
	peakDuration   = 130 * time.Second
	// peakRecoveryTime is the time after the peak within which service must be
	// normal again.
	peakRecoveryTime = 5 * time.Second
	// firstTokenObjective is the time to first token that 95 of 100 requests meet
	// in normal service.
	firstTokenObjective = 690 * time.Millisecond
	// baseLoadRatio and peakLoadRatio are the load before and at the peak as
	// multiples of the capacity.
	baseLoadRatio = 0.6
	peakLoadRatio = 2.0
	// saturatingRate is a rate in requests per second that saturates each pool.
	saturatingRate     = 400
	saturationDuration = 60 * time.Second
)

// measurePeak measures a peak with twice the load that the pool can serve.
func (l *Lab) measurePeak() {
	rate, capacity := l.capacity()
	load := func(seed uint64) scenario {
		w := chatWorkload(seed, 0, peakDuration)
		w.rate = func(at time.Duration) float64 { return rate * demandRatio(at) }
		return largePool().withLoad(peakDuration, w.record())
	}
	before := arrivedIn(warmUp, peakStart)
	after := arrivedIn(peakEnd+peakRampTime+peakRecoveryTime, peakDuration)
	during := arrivedIn(peakStart, peakEnd)
	l.table.add(peakExperiment, "-", "capacity", capacity, unitTokens)
	plot := l.newFigure("crest", "Output of answers within their deadline", "time (s)", "tokens a second")
	for _, p := range append(baselines(), rendezvousFIFO(), productPolicy()) {
		results := l.execute(p, load)
		goodput := results.mean(func(r *run) float64 { return r.goodput(isAny, peakStart+peakRampTime, peakEnd) })
		objective := float64(firstTokenObjective) / float64(time.Millisecond)
		l.table.addWithTarget(peakExperiment, p.name, "goodput over capacity", goodput/capacity, unitRatio, atLeast(0.95))
		l.table.add(peakExperiment, p.name, "p99 to first token at the crest, answered", results.firstTokenQuantile(and(during, endedAs(outcomeCompleted)), p99), unitTime)
		l.table.add(peakExperiment, p.name, "p95 to first token before", results.firstTokenQuantile(before, p95), unitTime)
		l.table.addWithTarget(peakExperiment, p.name, "p95 to first token from 5 s after", results.firstTokenQuantile(after, p95), unitTime, atMost(objective))
		l.table.addWithTarget(peakExperiment, p.name, "extra work", results.mean((*run).wastedShare), unitShare, atMost(0.03))
		l.table.add(peakExperiment, p.name, "offers a request at the crest", results.mean(func(r *run) float64 { return r.offersPerRequest(during) }), unitRatio)
		if p.usesGate {
			l.table.add(peakExperiment, p.name, "load over the mean, p99 of starts", results.loadRatioQuantile(p99), unitRatio)
			l.table.add(peakExperiment, p.name, "load over the mean, highest", results.loadRatioQuantile(1), unitRatio)
		}
		plot.addGoodput(p.name, results, peakDuration)
	}
}

// demandRatio returns the load at a time as a multiple of the capacity.
func demandRatio(at time.Duration) float64 {
	rise := func(since time.Duration) float64 {
		return min(1, max(0, float64(since)/float64(peakRampTime)))
	}
	return baseLoadRatio + (peakLoadRatio-baseLoadRatio)*(rise(at-peakStart)-rise(at-peakEnd))
}

// capacity returns the requests and output tokens per second that the pool serves
// with the best ranker when it is saturated by callers that do not time out.
func (l *Lab) capacity() (rate, tokens float64) {
	for _, p := range append(baselines(), rendezvousFIFO()) {
		w := chatWorkload(l.Seed, saturatingRate, saturationDuration)
		w.class.baseTimeout = time.Hour
		r := execute(largePool().withLoad(saturationDuration, w.record()), p)
		served := r.goodput(isAny, warmUp, saturationDuration)
		if served > tokens {
			tokens = served
			rate = served / r.meanOutputTokens()
		}
	}
	return rate, tokens
}
