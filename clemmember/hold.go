package clemmember

import (
	"math"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// initialHold is how long a server is held after the first refusal or series
	// of failures.
	initialHold = 2 * time.Second
	// maxHold bounds the time for which a flapping server is held.
	maxHold = time.Minute
	// penaltyHalfLife is the time over which a server's penalty halves.
	penaltyHalfLife = 3 * time.Minute
	// maxRejoinPenalty is the penalty up to which a host that returns to the list
	// becomes a member at once. A single restart stays below it.
	maxRejoinPenalty = 1.5
	// failureLimit is the number of consecutive failures after which a server is
	// held.
	failureLimit = 3
	// failureWindow is the longest time between two consecutive failures.
	failureWindow = 5 * time.Second
	// negligiblePenalty is the penalty below which a server's health record is
	// dropped.
	negligiblePenalty = 0.05
)

// serverHealth is what a process knows of a server from its own connections and
// from the server's changes in the list. While a server is held it gets no new
// work.
type serverHealth struct {
	penalty     float64
	decayedAt   time.Time
	heldUntil   time.Time
	isFixed     bool // see hold
	failures    int
	lastFailure time.Time
}

// decay halves the penalty once per half-life.
func (h *serverHealth) decay(now time.Time) {
	h.penalty *= math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(penaltyHalfLife))
	h.decayedAt = now
}

// addPenalty raises the penalty by one.
func (h *serverHealth) addPenalty(now time.Time) {
	h.decay(now)
	h.penalty++
}

// hold holds the server for a time that doubles with each point of its penalty. A
// fixed hold runs for its full time: success does not end it, nor does a failure
// of the whole group suspend it.
func (h *serverHealth) hold(now time.Time, isFixed bool) time.Duration {
	hold := min(time.Duration(float64(initialHold)*math.Exp2(h.penalty-1)), maxHold)
	h.heldUntil, h.isFixed = now.Add(hold), isFixed
	return hold
}

// isHeld reports whether the server is held.
func (h *serverHealth) isHeld(now time.Time) bool { return h != nil && now.Before(h.heldUntil) }

// onRefusal holds the server after a draining refusal. Refusals during such a
// hold answer offers that were already in flight and do not count.
func (h *serverHealth) onRefusal(now time.Time) time.Duration {
	if h.isHeld(now) && h.isFixed {
		return 0
	}
	h.addPenalty(now)
	return h.hold(now, true)
}

// onFailure counts a failed connection and holds the server at the limit, or at
// once if it was held before and has not answered since.
func (h *serverHealth) onFailure(now time.Time) time.Duration {
	if h.isHeld(now) {
		return 0
	}
	if now.Sub(h.lastFailure) > failureWindow {
		h.failures = 0
	}
	h.failures++
	h.lastFailure = now
	if h.failures < failureLimit && h.heldUntil.IsZero() {
		return 0
	}
	h.failures = 0
	h.addPenalty(now)
	return h.hold(now, false)
}

// onRejoin holds a host that returned to the list if it recently left more than
// once.
func (h *serverHealth) onRejoin(now time.Time) time.Duration {
	if h.decay(now); h.penalty <= maxRejoinPenalty {
		return 0
	}
	return h.hold(now, true)
}

// onSuccess ends the hold and resets the count of failures. The penalty remains
// and decays.
func (h *serverHealth) onSuccess() {
	h.failures = 0
	h.heldUntil = time.Time{}
	h.isFixed = false
}

// isNegligible reports whether the record can be dropped.
func (h *serverHealth) isNegligible(now time.Time) bool {
	if h.isHeld(now) || now.Sub(h.lastFailure) <= failureWindow {
		return false
	}
	h.decay(now)
	return h.penalty < negligiblePenalty
}

// isDrainRefusal reports whether a refusal of the kind means that the server
// takes no new work.
func isDrainRefusal(kind clementineturn.Kind) bool {
	return kind == clementineturn.KindDraining || kind == clementineturn.KindUnready
}
