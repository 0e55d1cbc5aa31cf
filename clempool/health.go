package clempool

import "time"

const (
	// failureGain is the weight of the newest outcome in a server's share of
	// failures: about the last six outcomes count.
	failureGain = 0.15
	// failureLimit is the share of failures at which a server is ejected; an
	// application that fails one request in seven by itself stays below it.
	failureLimit = 0.5
	// failureRatio is the multiple of its service's mean share of failures
	// that a server must exceed to be ejected: when all fail, none is worse.
	failureRatio = 2.0
	// firstEjection is the first time without requests, lastEjection the longest.
	firstEjection = 400 * time.Millisecond
	lastEjection  = 3 * time.Second
	// ejectedShare is the largest share of a service's servers that may be
	// ejected at once; more would drown the rest.
	ejectedShare = 0.5
	// misdirectedTime is how long a server is left out whose address another has.
	misdirectedTime = 10 * time.Second
)

// health is what the outcomes of requests say of a server.
type health struct {
	failures float64
	streak   int
	until    time.Time
	trial    bool
}

// isOut reports whether the server gets no requests now. After an ejection
// one request at a time tries the server.
func (h *health) isOut(now time.Time, running int) bool {
	return now.Before(h.until) || h.trial && running > 0
}

// note counts an outcome and reports whether the server was ejected by it.
func (h *health) note(outcome Outcome, mean float64, now time.Time) bool {
	switch outcome {
	case OutcomeAbandoned, OutcomeRefused:
		return false
	case OutcomeServed:
		h.failures *= 1 - failureGain
		h.streak, h.trial = 0, false
		return false
	case OutcomeMisdirected:
		h.until = now.Add(misdirectedTime)
		return true
	case OutcomeUnreached, OutcomeFailed:
	}
	h.failures += (1 - h.failures) * failureGain
	isBad := h.trial || outcome == OutcomeUnreached || h.failures >= failureLimit && h.failures >= failureRatio*mean
	if !isBad || now.Before(h.until) {
		return false
	}
	h.until = now.Add(min(firstEjection<<min(h.streak, 8), lastEjection))
	h.streak++
	h.trial = true
	return true
}
