package clembudget

import (
	"sync"
	"time"
)

const (
	// runTimeWindow is how long run times are remembered at least, and how long a group
	// must have been observed: in less time only short runs have ended.
	runTimeWindow = 30 * time.Second
	// minRunTimes is the number of complete requests of a group below which nothing is
	// said about its run times.
	minRunTimes = 8
	// runTimeMargin multiplies the longest run time.
	runTimeMargin = 1.5
	// maxRunTime bounds predictions, which would overflow beyond it.
	maxRunTime = 24 * time.Hour
	// minEstimate is used in place of estimates that are not positive.
	minEstimate = time.Nanosecond
	// maxRunTimeGroups is the number of groups above which all run times are dropped.
	maxRunTimeGroups = 1024
)

// RunTimeTracker predicts the longest time that a request runs, from those of its group
// that ended recently and those that are still running. Each request has an estimate in
// proportion to its size; run times are measured as multiples of it. It is safe for
// concurrent use.
type RunTimeTracker struct {
	mu     sync.Mutex
	groups map[string]*runTimes
}

// runTimes holds the run times of a group.
type runTimes struct {
	// observedSince is when the first request of the group started.
	observedSince     time.Time
	windowStart       time.Time
	present, previous runTimeWindowStats
	running           map[*Run]struct{}
}

// runTimeWindowStats holds the largest multiple of the estimate in a window, and the
// number of complete requests.
type runTimeWindowStats struct {
	largest  float64
	complete int
}

// Run is a request in progress.
type Run struct {
	tracker  *RunTimeTracker
	group    *runTimes
	start    time.Time
	estimate time.Duration
}

// NewRunTimeTracker returns a RunTimeTracker without measurements.
func NewRunTimeTracker() *RunTimeTracker {
	return &RunTimeTracker{groups: map[string]*runTimes{}}
}

// Start records that a request of the group starts to run.
func (t *RunTimeTracker) Start(group string, estimate time.Duration, now time.Time) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[group]
	if g == nil {
		if len(t.groups) >= maxRunTimeGroups {
			clear(t.groups)
		}
		g = &runTimes{observedSince: now, windowStart: now, running: map[*Run]struct{}{}}
		t.groups[group] = g
	}
	run := &Run{tracker: t, group: g, start: now, estimate: max(estimate, minEstimate)}
	g.running[run] = struct{}{}
	return run
}

// End records the end of the request. A request that is not complete gives a lower
// bound of its run time. Further calls have no effect.
func (r *Run) End(isComplete bool, now time.Time) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if _, isRunning := r.group.running[r]; !isRunning {
		return
	}
	delete(r.group.running, r)
	r.group.rotate(now)
	r.group.present.largest = max(r.group.present.largest, r.multiple(now))
	if isComplete {
		r.group.present.complete++
	}
}

// multiple returns the time for which the request has run, as a multiple of its
// estimate.
func (r *Run) multiple(now time.Time) float64 { return float64(now.Sub(r.start)) / float64(r.estimate) }

// rotate starts a new window if the present one is over.
func (g *runTimes) rotate(now time.Time) {
	switch passed := now.Sub(g.windowStart); {
	case passed > 2*runTimeWindow:
		g.previous, g.present, g.windowStart = runTimeWindowStats{}, runTimeWindowStats{}, now
	case passed > runTimeWindow:
		g.previous, g.present, g.windowStart = g.present, runTimeWindowStats{}, now
	}
}

// Longest returns the longest time for which a request of the group is expected to
// run, at most maxRunTime. It returns false if the group has been observed for less than
// runTimeWindow, or
// if too few requests of it have ended recently.
func (t *RunTimeTracker) Longest(group string, estimate time.Duration, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[group]
	if g == nil {
		return 0, false
	}
	g.rotate(now)
	if now.Sub(g.observedSince) < runTimeWindow || g.present.complete+g.previous.complete < minRunTimes {
		return 0, false
	}
	largest := max(g.present.largest, g.previous.largest)
	for run := range g.running {
		largest = max(largest, run.multiple(now))
	}
	longest := runTimeMargin * largest * float64(max(estimate, minEstimate))
	return time.Duration(min(longest, float64(maxRunTime))), true
}
