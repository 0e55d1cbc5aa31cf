package clempool

import (
	"math"
	"slices"
	"time"
)

const (
	// outcomeDecayTime is the time constant with which outcomes decay, long
	// enough to hold some outcomes of every server of a busy service.
	outcomeDecayTime = 3 * time.Second
	// minEjectionFailures is the decayed number of failures below which a
	// server is not ejected as an outlier.
	minEjectionFailures = 1.7
	// A server is ejected as an outlier only if its failure rate is at least
	// minFailureRate and at least outlierFactor times that of the healthy
	// servers of its service. An application that fails some requests by itself
	// fails them on every server.
	minFailureRate = 0.25
	outlierFactor  = 2.5
	// healthyQuantile selects the server that represents the healthy ones when
	// the servers of a service are sorted by failure rate.
	healthyQuantile = 0.25
	// baseEjectionTime is the duration of a first ejection. It doubles with
	// each further one, up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// requiredProbeSuccesses is the number of successful probe requests,
	// without a failure in between, that return an ejected server to service.
	requiredProbeSuccesses = 3
	// idempotentProbeTime is how long after an ejection only idempotent
	// requests are used as probe requests.
	idempotentProbeTime = 3 * time.Second
	// maxHealthyUtilisation is the share of the healthy servers' slots that the
	// load may take for ejected servers to be left out. Above it the healthy
	// servers would be overloaded.
	maxHealthyUtilisation = 0.5
	// misdirectedEjectionTime is how long a server is left out after another
	// server responded at its address.
	misdirectedEjectionTime = 10 * time.Second
)

// outcomeCounter counts successes and failures with exponential decay.
type outcomeCounter struct {
	successes, failures float64
	updated             time.Time
}

func (c *outcomeCounter) decay(now time.Time) {
	elapsed := now.Sub(c.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / outcomeDecayTime.Seconds())
	c.successes, c.failures, c.updated = c.successes*factor, c.failures*factor, now
}

// add counts outcomes.
func (c *outcomeCounter) add(successes, failures float64, now time.Time) {
	c.decay(now)
	c.successes += successes
	c.failures += failures
}

// health tracks the outcomes of requests to a server and its ejections.
type health struct {
	own outcomeCounter
	// peers sums the outcomes in the latest reports of peers.
	peers struct{ successes, failures float64 }
	// ejectedUntil is the end of the last ejection. Afterwards isProbing is set
	// until requiredProbeSuccesses probe requests have succeeded.
	ejectedUntil time.Time
	// ejectedAt is when the server was last ejected.
	ejectedAt      time.Time
	isProbing      bool
	probeSuccesses int
	// ejections counts the ejections since probe requests last returned the
	// server to service.
	ejections int
	// isUnreachable is set while connections to the server fail.
	isUnreachable bool
}

// isEjected reports whether the server gets no request now. While it is probed
// it gets one request at a time, at first only idempotent ones.
func (h *health) isEjected(now time.Time, running int, isIdempotent bool) bool {
	if now.Before(h.ejectedUntil) {
		return true
	}
	return h.isProbing && (running > 0 || !isIdempotent && now.Sub(h.ejectedUntil) < idempotentProbeTime)
}

// failureRate returns the failure rate over the outcomes of all entries, and
// the number of failures. One success is added, so that few failures alone make
// no high rate.
func (h *health) failureRate(now time.Time) (rate, failures float64) {
	h.own.decay(now)
	failures = h.own.failures + h.peers.failures
	return failures / (h.own.successes + h.peers.successes + failures + 1), failures
}

// record counts an outcome and reports whether the server is ejected because of
// it.
func (h *health) record(outcome Outcome, now time.Time) bool {
	switch outcome {
	case OutcomeAbandoned, OutcomeRefused:
		h.isUnreachable = false
	case OutcomeServed:
		h.isUnreachable = false
		h.own.add(1, 0, now)
		if h.probeSuccesses++; h.isProbing && h.probeSuccesses >= requiredProbeSuccesses {
			h.isProbing, h.ejections = false, 0
		}
	case OutcomeMisdirected:
		h.ejectedAt, h.ejectedUntil = now, now.Add(misdirectedEjectionTime)
		return true
	case OutcomeUnreached, OutcomeCrashed:
		h.isUnreachable = true
		h.own.add(0, 1, now)
		return h.eject(now)
	case OutcomeFailed:
		h.isUnreachable = false
		h.own.add(0, 1, now)
		return h.isProbing && h.eject(now)
	}
	return false
}

// eject takes the server out of service, each time for longer, and reports
// whether it was in service.
func (h *health) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectedAt, h.ejectedUntil = now, now.Add(min(baseEjectionTime<<min(h.ejections, 8), maxEjectionTime))
	h.ejections++
	h.isProbing, h.probeSuccesses = true, 0
	return true
}

// isOutlier reports whether the server fails much more often than the healthy
// servers of its service.
func (d *Directory) isOutlier(s *server, now time.Time) bool {
	rate, failures := s.health.failureRate(now)
	if failures < minEjectionFailures || rate < minFailureRate {
		return false
	}
	servers := d.services[s.record.Service()].servers
	if len(servers) == 0 {
		return false
	}
	rates := make([]float64, len(servers))
	for i, other := range servers {
		rates[i], _ = other.health.failureRate(now)
	}
	slices.Sort(rates)
	return rate >= outlierFactor*rates[int(healthyQuantile*float64(len(rates)))]
}
