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

// process is an assembled process: its controllers, its listeners and how to
// tell that its work has ended.
type process struct {
	settings    *clemsetting.Settings
	board       *clemboard.Board
	events      *clemevent.Logger
	controllers []controller
	servers     []*server
	// settle delays the refusal of new work after readiness fails.
	settle time.Duration
	idle   func() bool
	close  func()
}

// run starts everything, waits for a signal or a failure, and shuts down.
func (p *process) run(ctx context.Context, stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error)
	watch(ctx, ended, p.start(ctx))
	p.events.Emit(clemevent.ProcessStarted, zap.String("role", p.settings.Role()), zap.String("listen", p.settings.Listen()))
	select {
	case err := <-ended:
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

func (p *process) start(ctx context.Context) []<-chan error {
	var ends []<-chan error
	for _, c := range p.controllers {
		ends = append(ends, c.Start(ctx))
	}
	for _, s := range p.servers {
		ends = append(ends, s.start())
	}
	return ends
}

// watch passes the first failure among the channels on.
func watch(ctx context.Context, ended chan<- error, ends []<-chan error) {
	for _, end := range ends {
		go func() {
			select {
			case err := <-end:
				if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
					return
				}
				select {
				case ended <- err:
				case <-ctx.Done():
				}
			case <-ctx.Done():
			}
		}()
	}
}

// shutdown fails readiness, lets the balancer settle, waits for the work to
// end and closes the listeners. Only the grace setting bounds it.
func (p *process) shutdown(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	if grace := p.settings.Grace(); grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grace)
		defer cancel()
	}
	p.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.With(reasonShutdown, true) })
	p.events.Emit(clemevent.ProcessDraining)
	if !wait(ctx, p.settle) {
		return errGrace(ctx)
	}
	// Callers on connections of their own would otherwise go on coming and
	// keep the process from ever being idle.
	for _, s := range p.servers {
		s.SetKeepAlivesEnabled(false)
	}
	for !p.idle() {
		if !wait(ctx, drainPoll) {
			return errGrace(ctx)
		}
	}
	for _, s := range p.servers {
		if err := s.Shutdown(ctx); err != nil {
			return errGrace(ctx)
		}
	}
	return nil
}

func errGrace(ctx context.Context) error {
	return clementineturn.Errorf(clementineturn.KindTimeout, "work was cut off at the end of the grace time: %w", ctx.Err())
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
