package clemnode

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemsetting"
)

// process is an assembled entry or sidecar process.
type process struct {
	settings    *clemsetting.Settings
	board       *clemboard.Board
	events      *clemevent.Logger
	controllers []controller
	servers     []*server
	// settleTime is how long the process serves on after readiness fails, until
	// load balancers have noticed.
	settleTime time.Duration
	idle       func() bool
	close      func()
}

// run starts all controllers and servers, waits for a signal or a failure, and
// shuts down.
func (p *process) run(ctx context.Context, stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error)
	forwardFailures(ctx, failed, p.start(ctx))
	p.events.Emit(clemevent.ProcessStarted, zap.String("role", p.settings.Role()), zap.String("listen", p.settings.ListenAddress()))
	select {
	case err := <-failed:
		p.events.Emit(clemevent.ProcessFailed, zap.Error(err))
		return err
	case <-stop:
	case <-ctx.Done():
	}
	err := p.shutdown(ctx)
	cancel()
	p.close()
	p.events.Emit(clemevent.ProcessStopped, zap.Error(err))
	return err
}

// start starts all controllers and servers and returns the channels of their
// results.
func (p *process) start(ctx context.Context) []<-chan error {
	var results []<-chan error
	for _, c := range p.controllers {
		results = append(results, c.Start(ctx))
	}
	for _, s := range p.servers {
		results = append(results, s.start())
	}
	return results
}

// forwardFailures sends failures from the result channels to failed until the
// context ends. A regular end is not a failure.
func forwardFailures(ctx context.Context, failed chan<- error, results []<-chan error) {
	for _, result := range results {
		go func() {
			select {
			case err := <-result:
				if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
					return
				}
				select {
				case failed <- err:
				case <-ctx.Done():
				}
			case <-ctx.Done():
			}
		}()
	}
}

// shutdown fails readiness, waits settleTime for load balancers to notice, waits
// until the process is idle, and closes the listeners. Only the grace setting
// bounds it.
func (p *process) shutdown(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	if grace := p.settings.GracePeriod(); grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grace)
		defer cancel()
	}
	p.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.WithReason(reasonShutdown, true) })
	p.events.Emit(clemevent.ProcessDraining)
	if !sleep(ctx, p.settleTime) {
		return graceExceededError(ctx)
	}
	// Otherwise callers could keep sending requests on open connections, and the
	// process might never be idle.
	for _, s := range p.servers {
		s.SetKeepAlivesEnabled(false)
	}
	for !p.idle() {
		if !sleep(ctx, idlePollInterval) {
			return graceExceededError(ctx)
		}
	}
	for _, s := range p.servers {
		if err := s.Shutdown(ctx); err != nil {
			return graceExceededError(ctx)
		}
	}
	return nil
}

// graceExceededError returns the error of a shutdown that the grace setting
// ended.
func graceExceededError(ctx context.Context) error {
	return clementineturn.Errorf(clementineturn.KindTimeout, "work was cut off at the end of the grace time: %w", ctx.Err())
}

// sleep waits for the duration and returns true, or returns false as soon as the
// context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
