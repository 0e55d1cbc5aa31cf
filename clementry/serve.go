package clementry

import (
	"context"
	"errors"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	cancelTimeout = time.Second
	// maxFetchFailures and fetchRetryDelay bound how a broken answer stream is
	// resumed. A fetch that receives a frame resets the count of failures.
	maxFetchFailures = 3
	fetchRetryDelay  = 100 * time.Millisecond
	// maxRetries bounds the attempts of one request after the first that was
	// dispatched. A hedged attempt does not count.
	maxRetries = 3
)

// errSuperseded cancels an attempt because another one has begun to answer
// the caller.
var errSuperseded = errors.New("another attempt answers")

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	accepted *acceptedAttempt
	writer   *answerWriter
	err      error
}

// race runs the attempts of one task concurrently. The first attempt that sends
// a byte to the caller acquires the response, and the others are cancelled.
type race struct {
	*router
	ctx      context.Context
	task     *task
	response *callerResponse
	results  chan attemptResult
	running  map[*answerWriter]context.CancelCauseFunc
}

// serve runs the task and relays its answer. Until a byte has been sent to the
// caller, a failed attempt of idempotent work is retried on another backend
// server within the retry budget, and a slow one is hedged within the pool's
// hedge budget.
func (r *router) serve(ctx context.Context, t *task, response *callerResponse) error {
	p, err := t.plan(ctx, r.config.Board.Config().Get())
	if err != nil {
		return err
	}
	r.depositToBudgets(p)
	race := &race{
		router: r, ctx: ctx, task: t, response: response,
		results: make(chan attemptResult), running: map[*answerWriter]context.CancelCauseFunc{},
	}
	err = race.run(p)
	race.cancelOthers(nil)
	for range len(race.running) {
		<-race.results
	}
	return t.withoutFalseNotRun(deadlineError(ctx, err))
}

// depositToBudgets deposits the request, and its estimated tokens, into the
// budgets of offers, retries and hedges.
func (r *router) depositToBudgets(p *plan) {
	pool := r.config.Board.Config().Get().Pool(p.offer.GetPool())
	r.offerBudget.Deposit(1)
	r.retryBudget.Deposit(1)
	r.hedgePolicy.Deposit(p.offer.GetPool(), pool.GetHedge(), p.tokens())
}

func (r *race) run(p *plan) error {
	started, pool := time.Now(), p.offer.GetPool()
	hedge := r.hedgeTimer(p)
	defer hedge.Stop()
	acquired := r.response.acquired
	r.startAttempt(false)
	var lastErr error
	for retries := 0; ; {
		select {
		case <-hedge.C:
			if len(r.running) == 1 && r.hedgePolicy.TryWithdraw(time.Now(), pool, p.tokens()) {
				r.startAttempt(true)
			}
		case <-acquired:
			acquired = nil
			hedge.Stop()
			r.hedgePolicy.Observe(time.Now(), pool, time.Since(started))
			r.cancelOthers(r.response.currentWriter())
		case res := <-r.results:
			delete(r.running, res.writer)
			if res.err == nil || r.response.currentWriter() == res.writer {
				return res.err
			}
			// The error of an accepted attempt is more informative than the refusals
			// of its retry.
			if res.accepted != nil || lastErr == nil {
				lastErr = res.err
			}
			if len(r.running) > 0 {
				continue
			}
			if retries == maxRetries || !r.mayRetry(res) {
				return lastErr
			}
			retries++
			r.startAttempt(false)
		}
	}
}

// hedgeTimer returns a timer that fires when a hedged attempt may start, and
// never for work that must not be hedged.
func (r *race) hedgeTimer(p *plan) *time.Timer {
	delay, ok := r.hedgePolicy.Delay(time.Now(), p.offer.GetPool())
	timer := time.NewTimer(delay)
	if !ok || !p.isIdempotent() {
		timer.Stop()
	}
	return timer
}

// startAttempt starts an attempt, which sends its outcome to results.
func (r *race) startAttempt(hedge bool) {
	out := r.response.newAnswerWriter()
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.running[out] = cancel
	go func() {
		defer cancel(nil)
		a, err := r.attempt(ctx, r.task, out, hedge)
		r.results <- attemptResult{accepted: a, writer: out, err: err}
	}()
}

// cancelOthers cancels every attempt except the one of the given writer.
func (r *race) cancelOthers(except *answerWriter) {
	for out, cancel := range r.running {
		if out != except {
			cancel(errSuperseded)
		}
	}
}

// mayRetry reports whether a failed attempt may be retried. A retry of work
// that is known not to have run is not charged to the retry budget.
func (r *race) mayRetry(res attemptResult) bool {
	if r.ctx.Err() != nil || res.accepted == nil {
		return false
	}
	if clementineturn.IsNotRun(res.err) {
		return true
	}
	return res.accepted.isIdempotent() && r.retryBudget.TryWithdraw(1)
}

// attempt has one backend server accept the task and relays its answer.
func (r *router) attempt(ctx context.Context, t *task, out *answerWriter, hedge bool) (*acceptedAttempt, error) {
	a, err := r.place(ctx, t, hedge)
	if err != nil {
		return nil, err
	}
	out.reset(a.host.GetName(), a.isIdempotent())
	err = r.relay(ctx, a, out)
	if !clementineturn.IsNotRun(err) {
		t.markMayHaveRun()
	}
	// A caller that received events of a stream may resume it. Any other
	// abandoned answer is cancelled, since nobody can receive it.
	if err != nil && !out.complete && !out.isResumable() {
		a.cancel(ctx)
	}
	return a, err
}

// deadlineError replaces the cancellation of an attempt by a timeout if the
// request's deadline has passed.
func deadlineError(ctx context.Context, err error) error {
	if clementineturn.IsKind(err, clementineturn.KindCancelled) && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return clementineturn.AsError(ctx.Err())
	}
	return err
}

// relay copies the answer of one attempt to its writer and resumes a broken
// stream at the next frame. Errors: KindCut if the answer breaks off or the entry has no
// memory for it, and those of the answer and the writer.
func (r *router) relay(ctx context.Context, a *acceptedAttempt, out *answerWriter) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out.memory = out.hold.NewResponse(cancel)
	defer out.memory.Release()
	for failures := 0; ; {
		from := out.nextSeq
		err := a.fetch(ctx, out)
		if overMemory := out.memory.Err(); overMemory != nil && err != nil {
			return clementineturn.Errorf(clementineturn.KindCut, "the answer was ended: %w", overMemory)
		}
		if out.complete || !clementineturn.IsKind(err, clementineturn.KindCut) {
			return err
		}
		if failures++; out.nextSeq > from {
			failures = 1
		}
		if failures == maxFetchFailures || !sleep(ctx, fetchRetryDelay) {
			return err
		}
	}
}

// fetch reads frames from the writer's position on and checks that they belong
// to the attempt.
func (a *acceptedAttempt) fetch(ctx context.Context, out *answerWriter) error {
	fetch := &clemwire.Fetch{
		Request: a.offer.GetRequest(), Attempt: a.offer.GetAttempt(),
		Organisation: a.offer.GetOrganisation(), From: out.nextSeq,
	}
	return a.peer.Fetch(ctx, fetch, func(frame *clemwire.Frame) error {
		if frame.GetRequest() != fetch.GetRequest() || frame.GetAttempt() != fetch.GetAttempt() {
			return clementineturn.Errorf(clementineturn.KindMismatch, "an answer of attempt %q came for %q", frame.GetAttempt(), fetch.GetAttempt())
		}
		return out.handleFrame(frame)
	})
}

// sleep waits for the duration and reports whether it passed before the
// context ended.
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
