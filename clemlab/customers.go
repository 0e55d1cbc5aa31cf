package clemlab

import (
	"time"

	"github.com/clementineturn/clementineturn/clemgate"
)

const (
	organisations        = 10
	chatsPerOrganisation = 300
	chatZipfExponent     = 0.8
	estimateSigma        = 0.4
	warmUp               = 20 * time.Second
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 60 * time.Second
)

// chatClass describes live chats: short questions, answered while the caller looks
// at the page.
func chatClass() requestClass {
	return requestClass{medianUserTokens: 150, medianOutputTokens: 70, sigma: 0.6, baseTimeout: 8 * time.Second, timeoutPerToken: 80 * time.Millisecond}
}

// quoteClass describes long work: a catalogue sheet turned into a quote.
func quoteClass() requestClass {
	return requestClass{medianUserTokens: 5000, medianOutputTokens: 1500, sigma: 0.4, baseTimeout: 60 * time.Second, timeoutPerToken: 80 * time.Millisecond}
}

// chatWorkload returns a workload of live chats with the rate in requests per
// second.
func chatWorkload(seed uint64, rate float64, duration time.Duration) workload {
	return workload{
		seed: seed, duration: duration, rate: constantRate(rate), shares: fixedShares(zipf(organisations, 1)),
		chatsPerOrganisation: chatsPerOrganisation, chatZipfExponent: chatZipfExponent, class: chatClass(), estimateSigma: estimateSigma,
	}
}

// quoteWorkload returns a workload of long work with the rate in requests per
// second.
func quoteWorkload(seed uint64, rate float64, duration time.Duration) workload {
	w := chatWorkload(seed+1000, rate, duration)
	w.class, w.isLong = quoteClass(), true
	return w
}

func limits(engine engineConfig) clemgate.LimitsConfig {
	return clemgate.LimitsConfig{Slots: engine.maxBatchSize, MaxLoadFactor: 2, LongCost: 700, LongShare: 0.375}
}

// newPool returns a scenario with a pool of servers and no load.
func newPool(servers int, networkDelay time.Duration) scenario {
	engine := defaultEngine()
	return scenario{servers: servers, engine: engine, limits: limits(engine), networkDelay: networkDelay}
}

// smallPool is a pool of 12 engines in three data centres.
func smallPool() scenario { return newPool(12, 1500*time.Microsecond) }

// largePool is a pool of 18 engines in three data centres.
func largePool() scenario { return newPool(18, 500*time.Microsecond) }

// withLoad returns the scenario with the load, whose requests arrive within the
// given time.
func (s scenario) withLoad(duration time.Duration, specs ...[]*RequestSpec) scenario {
	s.specs = merge(specs...)
	s.duration = duration + drainTime
	return s
}
