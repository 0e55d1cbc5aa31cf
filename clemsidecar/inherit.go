package clemsidecar

import (
	"context"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// reportInterval is the time between reads of the engine's own load.
	reportInterval = 500 * time.Millisecond
	// reportLag is the longest time by which an engine's report lags.
	reportLag = 5 * time.Second
	// maxSilence is how long the sidecar waits for a first report.
	maxSilence = 3 * time.Second
	// unknownLoad stands for work of unknown size until the first report.
	unknownLoad = 1
)

// inheritance follows the work that an engine still runs for an earlier
// incarnation of its sidecar. The sidecar's own count starts at zero, so that
// without it a restart beside a busy engine would fill the engine twice.
type inheritance struct {
	*Sidecar
	reporter clementineturn.LoadReporter
	begun    time.Time
	heard    bool
	own      []ownCount
}

// ownCount is the sidecar's own number of running requests at one time.
type ownCount struct {
	time    time.Time
	running int
}

// inherit runs until the engine is known to run the sidecar's own work only.
func (s *Sidecar) inherit(ctx context.Context) {
	reporter, ok := s.backend.(clementineturn.LoadReporter)
	if !ok {
		return
	}
	i := &inheritance{Sidecar: s, reporter: reporter, begun: time.Now()}
	s.gate.SetBusy(i.begun, unknownLoad)
	defer func() { s.gate.SetBusy(time.Now(), 0) }()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for !i.step(ctx, time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// step reads one report and returns true when nothing is inherited any more.
func (i *inheritance) step(ctx context.Context, now time.Time) bool {
	if state := i.board.Config().Get(); state != nil && state.Pool(i.pool).GetKind() == clemwire.PoolKind_POOL_KIND_PLAIN {
		return true
	}
	peak := i.peak(now)
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	running, tokens, err := i.reporter.Load(ctx)
	if err != nil {
		return !i.heard && now.Sub(i.begun) > maxSilence
	}
	i.heard = true
	foreign := running - peak
	if foreign <= 0 {
		i.gate.SetBusy(now, 0)
		return now.Sub(i.begun) > reportLag
	}
	i.gate.SetBusy(now, max(unknownLoad, tokens*uint64(foreign)/uint64(running)))
	return false
}

// peak returns the most requests that the sidecar ran at once within the
// report's lag: those that a report may count.
func (i *inheritance) peak(now time.Time) int {
	i.own = append(i.own, ownCount{time: now, running: i.gate.Report().Running()})
	for now.Sub(i.own[0].time) > reportLag {
		i.own = i.own[1:]
	}
	peak := 0
	for _, count := range i.own {
		peak = max(peak, count.running)
	}
	return peak
}
