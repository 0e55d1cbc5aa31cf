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
	// fetchTries and fetchDelay bound how a broken answer stream is taken up
	// again. A try that brings a frame starts the count anew.
	fetchTries = 3
	fetchDelay = 100 * time.Millisecond
	// maxRepeats bounds the attempts that one request makes after the first was dispatched.
	maxRepeats = 3
)

// errSuperseded ends an attempt after another one began to answer the caller.
var errSuperseded = errors.New("another attempt answers")

// result is how one attempt ended.
type result struct {
	session *session
	output  *output
	err     error
}

// race runs the attempts of one task. The first to send a byte to the caller
// takes the floor and the others are withdrawn.
type race struct {
	*router
	ctx     context.Context
	task    *task
	floor   *floor
	results chan result
	running map[*output]context.CancelCauseFunc
}

// serve places the task and relays its answer. Until something was sent to
// the caller, a failed attempt of idempotent work is repeated elsewhere within
// the retry budget, and a slow one is hedged within the pool's.
func (r *router) serve(ctx context.Context, t *task, f *floor) error {
	p, err := t.plan(ctx, r.config.Board.Config().Get())
	if err != nil {
		return err
	}
	r.earn(p)
	race := &race{
		router: r, ctx: ctx, task: t, floor: f,
		results: make(chan result), running: map[*output]context.CancelCauseFunc{},
	}
	err = race.run(p)
	race.stop(nil)
	for range len(race.running) {
		<-race.results
	}
	return t.judge(after(ctx, err))
}

// earn credits the budgets with the work that the caller asked for.
func (r *router) earn(p *plan) {
	pool := r.config.Board.Config().Get().Pool(p.offer.GetPool())
	r.offers.Earn(1)
	r.repeats.Earn(1)
	r.hedges.Earn(p.offer.GetPool(), pool.GetHedge(), p.cost())
}

func (r *race) run(p *plan) error {
	begun, pool := time.Now(), p.offer.GetPool()
	hedge := r.hedgeTimer(p)
	defer hedge.Stop()
	taken := r.floor.taken
	r.launch(false)
	var failed error
	for repeats := 0; ; {
		select {
		case <-hedge.C:
			if len(r.running) == 1 && r.hedges.Spend(time.Now(), pool, p.cost()) {
				r.launch(true)
			}
		case <-taken:
			taken = nil
			hedge.Stop()
			r.hedges.Observe(time.Now(), pool, time.Since(begun))
			r.stop(r.floor.owner())
		case res := <-r.results:
			delete(r.running, res.output)
			if res.err == nil || r.floor.owner() == res.output {
				return res.err
			}
			// What broke an attempt tells more than that no server took its repeat.
			if res.session != nil || failed == nil {
				failed = res.err
			}
			if len(r.running) > 0 {
				continue
			}
			if repeats == maxRepeats || !r.mayRepeat(res) {
				return failed
			}
			repeats++
			r.launch(false)
		}
	}
}

// hedgeTimer returns a timer for the second attempt; it never fires for work
// that must not be hedged.
func (r *race) hedgeTimer(p *plan) *time.Timer {
	delay, ok := r.hedges.Delay(time.Now(), p.offer.GetPool())
	timer := time.NewTimer(delay)
	if !ok || !p.isIdempotent() {
		timer.Stop()
	}
	return timer
}

// launch starts an attempt. Its end arrives on results.
func (r *race) launch(hedge bool) {
	out := r.floor.output()
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.running[out] = cancel
	go func() {
		defer cancel(nil)
		s, err := r.attempt(ctx, r.task, out, hedge)
		r.results <- result{session: s, output: out, err: err}
	}()
}

// stop withdraws every attempt but the given one.
func (r *race) stop(but *output) {
	for out, cancel := range r.running {
		if out != but {
			cancel(errSuperseded)
		}
	}
}

// mayRepeat reports whether a failed attempt may be followed by another one.
// Work that is known not to have run may be offered again at no cost.
func (r *race) mayRepeat(res result) bool {
	if r.ctx.Err() != nil || res.session == nil {
		return false
	}
	if clementineturn.IsNotRun(res.err) {
		return true
	}
	return res.session.isIdempotent() && r.repeats.Spend(1)
}

// attempt places the task once and relays the answer.
func (r *router) attempt(ctx context.Context, t *task, out *output, hedge bool) (*session, error) {
	s, err := r.place(ctx, t, hedge)
	if err != nil {
		return nil, err
	}
	out.reset(s.host.GetName(), s.isIdempotent())
	err = r.relay(ctx, s, out)
	if !clementineturn.IsNotRun(err) {
		t.touch()
	}
	// A caller that saw events of a stream may come back for the rest. Any
	// other answer that was given up would run on for nobody.
	if err != nil && !out.complete && !out.isResumable() {
		s.cancel(ctx)
	}
	return s, err
}

// after turns the error of a dispatched attempt into what the caller is told.
func after(ctx context.Context, err error) error {
	if clementineturn.IsKind(err, clementineturn.KindCancelled) && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return clementineturn.AsError(ctx.Err())
	}
	return err
}

// relay passes the answer of one attempt to the output and takes a broken
// stream up again where it broke.
func (r *router) relay(ctx context.Context, s *session, out *output) error {
	for failed := 0; ; {
		from := out.next
		err := s.fetch(ctx, out)
		if out.complete || !clementineturn.IsKind(err, clementineturn.KindCut) {
			return err
		}
		if failed++; out.next > from {
			failed = 1
		}
		if failed == fetchTries || !pause(ctx, fetchDelay) {
			return err
		}
	}
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
