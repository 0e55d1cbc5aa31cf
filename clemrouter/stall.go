package clemrouter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

const (
	// streamFirstByteFactor is the shortest timeout for the first byte of a stream,
	// as a multiple of the route's latency target and in addition to the prefill
	// time of the prompts ahead of it. It is below 1 so that another server can
	// still meet the target. plainFirstByteFactor is the multiple for other
	// responses.
	streamFirstByteFactor = 0.6
	plainFirstByteFactor  = 1.5
	// eventGapFactor is the shortest timeout for the next bytes of a stream, as a
	// multiple of the route's event gap target.
	eventGapFactor = 1.5
)

// stallTimer watches an attempt for progress. It ends an attempt that has waited
// for the server for an unusually long time, provided that another server has
// taken a place for the request: otherwise a slow server is better than none.
type stallTimer struct {
	ctx     context.Context
	cancel  context.CancelFunc
	request *request
	lease   *clempool.Lease

	// mu guards the fields below.
	mu sync.Mutex
	// timer is nil if no other attempt may follow.
	timer *time.Timer
	// since is the start of the present wait. allowance is a part of it that is
	// expected, minimum the shortest timeout for the rest.
	since              time.Time
	allowance, minimum time.Duration
	waits              *clembudget.WaitEstimate
	// wasStarted is set if events of the stream were sent before the attempt, hasStarted once
	// events arrived, hasEnded once the attempt is over.
	wasStarted, hasStarted, hasEnded bool
	// isMovable is set if another server can send what is still missing.
	isMovable bool
	// next is the place at another server for which the attempt was ended.
	next *clempool.Lease
}

// newStallTimer starts the timer of the next attempt.
func (q *request) newStallTimer(ctx context.Context, lease *clempool.Lease) *stallTimer {
	t := &stallTimer{request: q, lease: lease, since: time.Now(), wasStarted: q.isStarted, isMovable: !q.isStarted || q.mayContinue}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.minimum = time.Duration(plainFirstByteFactor * float64(q.route.LatencyTarget()))
	if q.route.Kind() == clemroute.KindStream {
		t.minimum = time.Duration(streamFirstByteFactor * float64(q.route.LatencyTarget()))
		t.allowance = lease.PrefillWait()
	}
	t.waits = q.waits("first", q.route.LatencyTarget())
	if q.route.IsIdempotent() && q.runCount+1 < q.route.MaxAttempts() && t.minimum > 0 {
		t.mu.Lock()
		t.timer = time.AfterFunc(t.allowance+t.minimum, t.expire)
		t.mu.Unlock()
	}
	return t
}

// waits returns the estimate of the usual waits of requests like this one.
func (q *request) waits(phase string, target time.Duration) *clembudget.WaitEstimate {
	return q.router.stalls.Group(q.service + " " + phase + " " + strconv.FormatInt(int64(target), 10))
}

// progress records that events of a stream arrived, and whether another server can go
// on after them, and restarts the timer. Without an event gap target no gap is too long.
func (t *stallTimer) progress(isMovable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasEnded {
		return
	}
	t.isMovable = isMovable
	now := time.Now()
	t.waits.Observe(now.Sub(t.since) - t.allowance)
	t.since = now
	if !t.hasStarted {
		target := t.request.route.EventGapTarget()
		t.hasStarted, t.allowance, t.waits = true, 0, t.request.waits("gap", target)
		t.minimum = time.Duration(eventGapFactor * float64(target))
	}
	if t.timer == nil {
		return
	}
	if t.minimum == 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(t.minimum)
}

// observeHead records the arrival of the head of a response that is not a stream.
// The timer also limits the rest of the response.
func (t *stallTimer) observeHead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits.Observe(time.Since(t.since) - t.allowance)
}

// expire ends the attempt if the wait is unusual and another server takes the
// request, and waits on otherwise.
func (t *stallTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasEnded || t.ctx.Err() != nil {
		return
	}
	now := time.Now()
	wait := now.Sub(t.since) - t.allowance
	t.waits.Observe(wait)
	if rest := t.waits.Timeout(t.minimum) - wait; rest > 0 {
		t.timer.Reset(rest)
		return
	}
	if t.isMovable {
		t.next = t.request.reserveNext(t.lease, t.wasStarted || t.hasStarted, now)
	}
	if t.next == nil {
		t.timer.Reset(t.minimum)
		return
	}
	t.hasEnded = true
	t.cancel()
}

// end stops the timer and returns the place at another server for which it ended
// the attempt, or nil.
func (t *stallTimer) end() *clempool.Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasEnded = true
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel()
	return t.next
}

// reserveNext takes a place for the request at another server than that of the
// lease, and returns nil if there is none or no retry is allowed.
func (q *request) reserveNext(lease *clempool.Lease, isStarted bool, now time.Time) *clempool.Lease {
	if q.deadline.Sub(now) < minRetryTime || len(q.triedServers)+1 >= maxServersTried {
		return nil
	}
	criteria := q.selection(isStarted)
	criteria.Tried = append(criteria.Tried[:len(criteria.Tried):len(criteria.Tried)], lease.Server())
	if q.isSuspect() {
		return nil
	}
	next, err := q.acquire(criteria, now)
	if err != nil {
		return nil
	}
	if !q.router.config.RetryBudget.TryWithdraw(q.service, now) {
		next.Release(clempool.OutcomeWithdrawn, nil, now)
		return nil
	}
	return next
}
