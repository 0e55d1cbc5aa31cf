package clemmember

import (
	"math"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// firstHold is how long the first refusal or failure keeps a server out.
	firstHold = 2 * time.Second
	// maxHold bounds the time that a flapping server is kept out.
	maxHold = time.Minute
	// halfLife is the time over which a server's penalty halves.
	halfLife = 3 * time.Minute
	// freeFlaps is the penalty up to which a host that returns to the list is
	// a member at once; a plain restart stays below it.
	freeFlaps = 1.5
	// failureLimit is the number of failures in a row that hold a server.
	failureLimit = 3
	// failureWindow is the time within which they must come.
	failureWindow = 5 * time.Second
	// forgetBelow is the penalty below which a server counts as never held.
	forgetBelow = 0.05
)

// record is what a process knows of a server besides the list.
type record struct {
	penalty  float64
	decayed  time.Time
	until    time.Time
	refused  bool
	failures int
	failure  time.Time
}

// decay halves the penalty once per half-life.
func (r *record) decay(now time.Time) {
	r.penalty *= math.Exp2(-float64(now.Sub(r.decayed)) / float64(halfLife))
	r.decayed = now
}

// flap raises the penalty by one.
func (r *record) flap(now time.Time) {
	r.decay(now)
	r.penalty++
}

// hold keeps the server out for the time that belongs to its penalty.
func (r *record) hold(now time.Time, refused bool) time.Duration {
	hold := min(time.Duration(float64(firstHold)*math.Exp2(r.penalty-1)), maxHold)
	r.until, r.refused = now.Add(hold), refused
	return hold
}

// held reports whether the server is kept out.
func (r *record) held(now time.Time) bool { return r != nil && now.Before(r.until) }

// refuse holds the server after a draining refusal. Refusals while it is held
// come from offers under way and do not count.
func (r *record) refuse(now time.Time) time.Duration {
	if r.held(now) && r.refused {
		return 0
	}
	r.flap(now)
	return r.hold(now, true)
}

// fail counts a failed connection and holds the server at the limit, or at
// once if it was held lately and has not answered since.
func (r *record) fail(now time.Time) time.Duration {
	if r.held(now) {
		return 0
	}
	if now.Sub(r.failure) > failureWindow {
		r.failures = 0
	}
	r.failures++
	r.failure = now
	if r.failures < failureLimit && r.until.IsZero() {
		return 0
	}
	r.failures = 0
	r.flap(now)
	return r.hold(now, false)
}

// rejoin holds a host that returned to the list if it left more than once lately.
func (r *record) rejoin(now time.Time) time.Duration {
	if r.decay(now); r.penalty <= freeFlaps {
		return 0
	}
	return r.hold(now, true)
}

// succeed ends the count of failures. The penalty stays and decays.
func (r *record) succeed() {
	r.failures = 0
	r.until = time.Time{}
	r.refused = false
}

// idle reports whether the record can be forgotten.
func (r *record) idle(now time.Time) bool {
	if r.held(now) || now.Sub(r.failure) <= failureWindow {
		return false
	}
	r.decay(now)
	return r.penalty < forgetBelow
}

// leaves reports whether a refusal of the kind says that the server takes no new work.
func leaves(kind clementineturn.Kind) bool {
	return kind == clementineturn.KindDraining || kind == clementineturn.KindUnready
}
