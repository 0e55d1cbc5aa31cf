package clementry

import (
	"context"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	cancelTimeout = time.Second
	// fetchTries and fetchDelay bound how a broken answer stream is taken up again.
	fetchTries = 3
	fetchDelay = 100 * time.Millisecond
)

// serve places the task and relays its answer. Until something was sent to
// the caller a failed idempotent attempt is repeated elsewhere.
func (r *router) serve(ctx context.Context, t *task, out *output) error {
	tried := map[string]bool{}
	for {
		s, err := r.place(ctx, t, tried, false)
		if err != nil {
			return err
		}
		out.reset(s.host.GetName(), s.offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT)
		err = r.relay(ctx, s, out)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil && !out.events {
			s.cancel(ctx)
		}
		if out.sent || !r.mayRepeat(ctx, s, err) {
			return after(ctx, err)
		}
	}
}

// mayRepeat reports whether a failed attempt may be followed by another one.
func (r *router) mayRepeat(ctx context.Context, s *session, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	return clementineturn.IsNotRun(err) || s.offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT
}

// after turns the error of a dispatched attempt into what the caller is told.
func after(ctx context.Context, err error) error {
	e := clementineturn.AsError(err)
	if e.Kind() == clementineturn.KindCancelled && context.Cause(ctx) == context.DeadlineExceeded {
		return clementineturn.AsError(context.DeadlineExceeded)
	}
	return e
}

// relay passes the answer of one attempt to the output and takes a broken
// stream up again where it broke.
func (r *router) relay(ctx context.Context, s *session, out *output) error {
	var err error
	for try := range fetchTries {
		if try > 0 && !pause(ctx, fetchDelay) {
			break
		}
		err = s.fetch(ctx, out)
		if out.complete || !clementineturn.IsKind(err, clementineturn.KindCut) {
			break
		}
	}
	return err
}

// fetch reads frames from the output's position on and checks whose they are.
func (s *session) fetch(ctx context.Context, out *output) error {
	fetch := &clemwire.Fetch{
		Request: s.offer.GetRequest(), Attempt: s.offer.GetAttempt(),
		Organisation: s.offer.GetOrganisation(), From: out.next,
	}
	return s.peer.Fetch(ctx, fetch, func(frame *clemwire.Frame) error {
		if frame.GetRequest() != fetch.GetRequest() || frame.GetAttempt() != fetch.GetAttempt() {
			return clementineturn.Errorf(clementineturn.KindMismatch, "an answer of attempt %q came for %q", frame.GetAttempt(), fetch.GetAttempt())
		}
		return out.frame(frame)
	})
}

// pause waits and reports whether the context still stands.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
