package clempool

import (
	"math"
	"slices"
	"time"
)

const (
	// outcomeSpan is the time over which outcomes are counted, decaying: long
	// enough for some outcomes of every server of a busy service.
	outcomeSpan = 3 * time.Second
	// leastFailed is the number of failures without which no server is ejected.
	leastFailed = 1.7
	// failedShare is the share of failures without which no server is ejected,
	// and failedRatio how many times the share of its service's sound servers
	// it must have besides: an application that fails some requests by itself
	// is not sick.
	failedShare = 0.25
	failedRatio = 2.5
	// soundQuantile says which of a service's servers, ordered by their share
	// of failures, stands for the sound ones.
	soundQuantile = 0.25
	// firstEjection is the first time without requests, lastEjection the longest.
	firstEjection = 500 * time.Millisecond
	lastEjection  = 4 * time.Second
	// trialsNeeded is the number of good outcomes in a row that end a trial.
	trialsNeeded = 3
	// trialPatience is how long after an ejection only requests that may be
	// repeated try the server.
	trialPatience = 3 * time.Second
	// roomyShare is the share of the sound servers' slots that may be taken
	// for the sick ones to be left out; more would drown the sound ones.
	roomyShare = 0.5
	// misdirectedTime is how long a server is left out whose address another has.
	misdirectedTime = 10 * time.Second
)

// tally counts good and failed outcomes, decaying over time.
type tally struct {
	good, failed float64
	at           time.Time
}

func (t *tally) decay(now time.Time) {
	passed := now.Sub(t.at)
	if passed <= 0 {
		return
	}
	factor := math.Exp(-passed.Seconds() / outcomeSpan.Seconds())
	t.good, t.failed, t.at = t.good*factor, t.failed*factor, now
}

// add counts outcomes.
func (t *tally) add(good, failed float64, now time.Time) {
	t.decay(now)
	t.good += good
	t.failed += failed
}

// health is what the outcomes of requests say of a server.
type health struct {
	own tally
	// others are the outcomes that other entries told last, all together.
	others struct{ good, failed float64 }
	// until is the end of an ejection. A trial follows it, which ends after
	// some good outcomes in a row.
	until time.Time
	trial bool
	good  int
	// streak is the number of ejections without a good trial between them.
	streak int
	// isUnreached is set while connections to the server fail.
	isUnreached bool
}

// isOut reports whether the server gets no request now. In a trial one
// request at a time tries the server, at first only such as may be repeated.
func (h *health) isOut(now time.Time, running int, isIdempotent bool) bool {
	if now.Before(h.until) {
		return true
	}
	return h.trial && (running > 0 || !isIdempotent && now.Sub(h.until) < trialPatience)
}

// share returns the share of failures among all entries' outcomes, and the failures.
func (h *health) share(now time.Time) (share, failed float64) {
	h.own.decay(now)
	failed = h.own.failed + h.others.failed
	return failed / (h.own.good + h.others.good + failed + 1), failed
}

// note counts an outcome and reports whether the server is ejected for it.
func (h *health) note(outcome Outcome, now time.Time) bool {
	switch outcome {
	case OutcomeAbandoned, OutcomeRefused:
		h.isUnreached = false
	case OutcomeServed:
		h.isUnreached = false
		h.own.add(1, 0, now)
		if h.good++; h.trial && h.good >= trialsNeeded {
			h.trial, h.streak = false, 0
		}
	case OutcomeMisdirected:
		h.until = now.Add(misdirectedTime)
		return true
	case OutcomeUnreached:
		h.isUnreached = true
		h.own.add(0, 1, now)
		return h.eject(now)
	case OutcomeFailed:
		h.isUnreached = false
		h.own.add(0, 1, now)
		return h.trial && h.eject(now)
	}
	return false
}

// eject takes the server out, longer each time, and reports whether it was in.
func (h *health) eject(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	h.until = now.Add(min(firstEjection<<min(h.streak, 8), lastEjection))
	h.streak++
	h.trial, h.good = true, 0
	return true
}

// isSick reports whether a server fails much more often than the sound ones of its service.
func (d *Directory) isSick(s *server, now time.Time) bool {
	share, failed := s.health.share(now)
	if failed < leastFailed || share < failedShare {
		return false
	}
	servers := d.services[s.record.Service()].servers
	if len(servers) == 0 {
		return false
	}
	shares := make([]float64, len(servers))
	for i, other := range servers {
		shares[i], _ = other.health.share(now)
	}
	slices.Sort(shares)
	return share >= failedRatio*shares[int(soundQuantile*float64(len(shares)))]
}
