package clemsidecar

import (
	"context"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// reportInterval is the time between reads of the engine's load report.
	reportInterval = 500 * time.Millisecond
	// maxReportLag is the longest time by which an engine's load report lags.
	maxReportLag = 5 * time.Second
	// firstReportTimeout is how long the sidecar waits for the first load
	// report.
	firstReportTimeout = 3 * time.Second
	// unknownLoad stands in for inherited load of unknown size, in tokens.
	unknownLoad = 1
)

// inheritedLoad tracks the work that the engine still runs for an earlier
// incarnation of its sidecar. The sidecar's own count starts at zero, so without
// this a sidecar that restarts while the engine is busy would admit up to twice
// the engine's capacity.
type inheritedLoad struct {
	*Sidecar
	reporter clementineturn.LoadReporter
	started  time.Time
	reported bool
	samples  []runningSample
}

// runningSample is the number of requests that the sidecar itself ran at a
// point in time.
type runningSample struct {
	time    time.Time
	running int
}

// trackInheritedLoad reports inherited load to the gate until the engine runs
// only this sidecar's work.
func (s *Sidecar) trackInheritedLoad(ctx context.Context) {
	reporter, ok := s.backend.(clementineturn.LoadReporter)
	if !ok {
		return
	}
	i := &inheritedLoad{Sidecar: s, reporter: reporter, started: time.Now()}
	s.gate.SetInheritedLoad(i.started, unknownLoad)
	defer func() { s.gate.SetInheritedLoad(time.Now(), 0) }()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for !i.update(ctx, time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// update reads one load report and sets the inherited load at the gate. It
// returns true when tracking can stop: no inherited work is left, or the engine
// reports no load.
func (i *inheritedLoad) update(ctx context.Context, now time.Time) bool {
	if state := i.board.Config().Get(); state != nil && state.Pool(i.pool).GetKind() == clemwire.PoolKind_POOL_KIND_PLAIN {
		return true
	}
	peak := i.peakRunning(now)
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	running, tokens, err := i.reporter.Load(ctx)
	if err != nil {
		return !i.reported && now.Sub(i.started) > firstReportTimeout
	}
	i.reported = true
	inherited := running - peak
	if inherited <= 0 {
		i.gate.SetInheritedLoad(now, 0)
		return now.Sub(i.started) > maxReportLag
	}
	i.gate.SetInheritedLoad(now, max(unknownLoad, tokens*uint64(inherited)/uint64(running)))
	return false
}

// peakRunning returns the peak number of requests that the sidecar ran
// concurrently within maxReportLag: a report may count up to that many.
func (i *inheritedLoad) peakRunning(now time.Time) int {
	i.samples = append(i.samples, runningSample{time: now, running: i.gate.Report().Running()})
	for now.Sub(i.samples[0].time) > maxReportLag {
		i.samples = i.samples[1:]
	}
	peak := 0
	for _, sample := range i.samples {
		peak = max(peak, sample.running)
	}
	return peak
}
