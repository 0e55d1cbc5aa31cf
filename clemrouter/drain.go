package clemrouter

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
)

// Drain starts draining: the router asks clients to close their connections and
// sends no request to a server that may take longer than until the given time. Requests
// that wait for a place are refused.
func (r *Router) Drain(end time.Time) {
	if !r.drainEnd.CompareAndSwap(nil, &end) || r.config.Directory == nil {
		return
	}
	refused := r.config.Directory.RefuseWaiting(clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindDraining, NotRun: true, RetryAfter: r.elsewhereAfter(drainingRetryAfter), Message: "this entry stops while the request waits for a place",
	}))
	if refused > 0 {
		r.config.Events.Emit(clemevent.WaitingRefused, zap.Int("waiting", refused))
	}
}

// IsDraining reports whether Drain was called.
func (r *Router) IsDraining() bool { return r.drainEnd.Load() != nil }

// checkDraining refuses a request that may not end before a draining entry stops: it
// would run, and its client would get no answer.
func (q *request) checkDraining(now time.Time) error {
	end := q.router.drainEnd.Load()
	if end == nil {
		return nil
	}
	left, longest := end.Sub(now), q.longestRunTime(now)
	if longest < left {
		return nil
	}
	return q.drainingError("this entry stops in %v, and the request may take %v", left.Round(time.Millisecond), longest.Round(time.Millisecond))
}

// drainingError returns the refusal of a request that another entry will serve.
func (q *request) drainingError(format string, values ...any) error {
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindDraining, NotRun: true, RetryAfter: q.router.elsewhereAfter(drainingRetryAfter), Message: fmt.Sprintf(format, values...),
	})
}

// longestRunTime returns the time that the request takes if it is as slow for its size
// as the slowest one on the same route lately, or if nothing is known of these, the
// time that it may take.
func (q *request) longestRunTime(now time.Time) time.Duration {
	allowed := q.deadline.Sub(now)
	if longest, ok := q.router.runTimes.Longest(q.route.Name(), q.estimateTime(), now); ok {
		return min(longest, allowed)
	}
	return allowed
}

// hasClientLeft reports whether the client closed its connection.
func (q *request) hasClientLeft() bool {
	return q.http.Context().Err() != nil && !q.isStopped()
}

// isStopped reports whether the entry ended the request because it stops: the cause in
// the request's context is of KindDraining.
func (q *request) isStopped() bool {
	return clementineturn.IsKind(context.Cause(q.http.Context()), clementineturn.KindDraining)
}

// stoppedError returns the error of a request that the entry ended.
func (q *request) stoppedError() error {
	switch {
	case q.isStarted:
		return clementineturn.Errorf(clementineturn.KindCut, "this entry stopped after %d events", q.eventCount)
	case q.runCount > 0:
		return clementineturn.Errorf(clementineturn.KindUnknown, "this entry stopped before a backend server answered")
	}
	return q.drainingError("this entry stopped before a backend server took the request")
}
