package clemrouter

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

const (
	// mostTried bounds the servers that are tried for one request, those
	// included that could not be reached or refused it.
	mostTried = 4
	// keptIdempotent is how long a connection may have been idle for a request
	// that may be repeated; keptOnce for one that may not, since a connection
	// that the server closed meanwhile would leave its outcome unknown.
	keptIdempotent = 10 * time.Second
	keptOnce       = 3 * time.Second
	// patientShare is the part of its objective that an idempotent request
	// waits for the beginning of an answer, beside the prompts that are read
	// before it, until another server is tried: so that this one may still be
	// on time. Without prompts plainFactor objectives are waited.
	patientShare = 0.6
	plainFactor  = 1.5
	// pauseFactor is how many of its route's longest pauses a stream may stand
	// still before it goes on at another server.
	pauseFactor = 1.5
	// leastRemaining is the time that must be left for another attempt.
	leastRemaining = 20 * time.Millisecond
	// leavingFactor is the safety with which the time of a request is
	// estimated at an entry that leaves.
	leavingFactor = 2
	// firstToken, readToken and makeToken estimate how long an engine takes to
	// begin an answer, to read a token and to make one.
	firstToken = 150 * time.Millisecond
	readToken  = 20 * time.Microsecond
	makeToken  = 6 * time.Millisecond
	// outputShare is the usual part of the most tokens that a request asks for.
	outputShare = 0.5
	// plainTime is the usual time of a plain service.
	plainTime = 100 * time.Millisecond
	// shedRetry is when a request that a full server refused may come back.
	shedRetry = 250 * time.Millisecond
)

// attempt is what came of one server.
type attempt struct {
	server  string
	load    int
	mean    float64
	rank    int
	kept    int
	wait    time.Duration
	source  string
	outcome clempool.Outcome
	elapsed time.Duration
	err     error
}

// trail writes attempts to a log line.
type trail []attempt

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (t trail) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, a := range t {
		if err := encoder.AppendObject(a); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a attempt) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("server", a.server)
	encoder.AddInt("load", a.load)
	encoder.AddFloat64("mean", a.mean)
	encoder.AddInt("rank", a.rank)
	encoder.AddInt("kept", a.kept)
	encoder.AddDuration("wait", a.wait)
	if a.source != "" {
		encoder.AddString("source", a.source)
	}
	encoder.AddString("outcome", a.outcome.String())
	encoder.AddDuration("elapsed", a.elapsed)
	if a.err != nil {
		encoder.AddString("error", a.err.Error())
	}
	return nil
}

// verdict is the result of one attempt.
type verdict struct {
	outcome clempool.Outcome
	load    *clementineturn.Load
	// isDone is set when the client has its answer or can get none any more.
	isDone bool
	// ran is set if the server may have run the request, sent if it got it.
	ran, sent bool
	// answer is a server's failure that is passed on if no attempt does better.
	answer *answer
	err    error
}

// hold estimates how long the request will run.
func (q *request) hold() time.Duration {
	if q.arrival.Output() == 0 {
		return plainTime
	}
	unread := 0
	if parts := q.arrival.Parts(); len(parts) > 0 {
		unread = parts[len(parts)-1].Tokens()
	}
	return firstToken + time.Duration(unread)*readToken + time.Duration(outputShare*float64(q.arrival.Output()))*makeToken
}

// want returns what a server is chosen by.
func (q *request) want() clempool.Want {
	want := clempool.Want{Service: q.service, Organisation: q.organisation, Tried: q.tried, Idempotent: q.route.IsIdempotent()}
	if parts := q.arrival.Parts(); q.route.Affinity() && len(parts) > 0 {
		want.Shared, want.Input = parts[:max(len(parts)-1, 1)], q.arrival.Input()
	}
	return want
}

// dispatch tries servers until the client has an answer or none can be had.
func (q *request) dispatch() error {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	var best verdict
	for {
		lease, err := q.router.config.Directory.Take(q.want(), time.Now())
		if err != nil {
			if len(q.trail) > 0 {
				break
			}
			return err
		}
		began := time.Now()
		if len(q.trail) == 0 {
			q.router.config.Metrics.Timer(clemmetric.AddedTime).Update(began.Sub(q.arrived))
		}
		v := q.attempt(ctx, lease)
		lease.Done(v.outcome, v.load, time.Now())
		q.note(lease, v, time.Since(began))
		if v.isDone {
			return v.err
		}
		if v.answer != nil || best.answer == nil {
			best = v
		}
		if !q.mayRepeat(ctx, v) {
			break
		}
	}
	return q.giveUp(ctx, best)
}

func (q *request) note(lease *clempool.Lease, v verdict, elapsed time.Duration) {
	q.tried = append(q.tried, lease.Server())
	a := attempt{
		server: lease.Server(), load: lease.Load(), mean: lease.Mean(), rank: lease.Rank(),
		kept: lease.Kept(), wait: lease.Wait(), source: lease.Source(), outcome: v.outcome, elapsed: elapsed, err: v.err,
	}
	q.trail = append(q.trail, a)
	q.router.config.Metrics.Counter(clemmetric.Attempts, "service", q.service,
		"server", q.router.servers.Of(lease.Server()), "outcome", v.outcome.String()).Inc(1)
	if v.sent {
		q.sent++
	}
	if v.ran {
		q.runs++
	}
	if v.outcome != clempool.OutcomeServed && v.outcome != clempool.OutcomeAbandoned {
		q.router.config.Events.Emit(clemevent.AttemptFailed, zap.String("request", q.arrival.ID()),
			zap.Bool("ran", v.ran), zap.Int("attempt", len(q.trail)), zap.Inline(a))
	}
}

// mayRepeat reports whether another server may be tried.
func (q *request) mayRepeat(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil || time.Until(q.deadline) < leastRemaining || len(q.tried) >= mostTried {
		return false
	}
	if q.runs > 0 && (!q.route.IsIdempotent() || q.runs >= q.route.Attempts()) {
		return false
	}
	// A server that was never reached costs nobody anything.
	return !v.sent && q.sent == 0 || q.router.config.Repeats.Spend(q.service, time.Now())
}

// giveUp returns the error of a request that no server answered well, or
// passes the answer of a server on that failed.
func (q *request) giveUp(ctx context.Context, best verdict) error {
	if err := q.http.Context().Err(); err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "the client left: %w", err)
	}
	if q.started {
		return best.err
	}
	if best.answer != nil && best.answer.isPassable(q.route) {
		return q.pass(best.answer)
	}
	if q.runs > 0 {
		kind := clementineturn.KindUnknown
		if ctx.Err() != nil {
			kind = clementineturn.KindTimeout
		}
		return clementineturn.Errorf(kind, "a backend server did not answer: %w", best.err)
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnavailable, NotRun: true, Retry: shedRetry,
		Message: "no backend server took the request", Cause: best.err,
	})
}

// attempt sends the request to one server and passes a good answer on.
func (q *request) attempt(ctx context.Context, lease *clempool.Lease) verdict {
	watch := q.watch(ctx, lease)
	defer watch.end()
	kept := keptIdempotent
	if !q.route.IsIdempotent() {
		kept = keptOnce
	}
	response, err := lease.Pool().Exchange(watch.ctx, &clemconn.Request{
		Method: q.http.Method, Target: q.target, Host: q.http.Host, Body: q.body, Kept: kept,
		Header: q.router.config.Dialect.Outgoing(q.http.Header, clementineturn.NewDispatch(clementineturn.DispatchConfig{
			Server: lease.Server(), Organisation: q.organisation, Remaining: time.Until(q.deadline),
			Resume: q.last, Source: lease.Source(), Rank: q.rank,
		})),
		IsOwn: func(status int, header http.Header) bool {
			id := q.router.config.Dialect.Reply(status, header).ID()
			return id == "" || id == q.arrival.ID()
		},
	})
	if err != nil {
		return watch.judge(ctx, q.unanswered(err))
	}
	defer response.Close()
	reply := q.router.config.Dialect.Reply(response.StatusCode, response.Header)
	var v verdict
	switch {
	case q.route.Kind() == clemroute.KindStream && response.StatusCode == http.StatusOK:
		if q.started {
			q.noteResumed(lease.Server())
		}
		v = q.stream(response, reply, func() { lease.Started(); watch.begun() })
	case q.started && !reply.NotRun():
		// The client has the head of another answer already.
		v = verdict{outcome: clempool.OutcomeFailed, ran: true, err: clementineturn.Errorf(clementineturn.KindCut, "status %d in place of a stream's rest", response.StatusCode)}
	default:
		v = q.whole(response, reply)
	}
	v.sent, v.load = true, reply.Load()
	return watch.judge(ctx, v)
}

// judge leaves an attempt that was given up for its silence out of account: at
// a moment of many cold prompts it says nothing of the server.
func (w *watch) judge(parent context.Context, v verdict) verdict {
	if w.ctx.Err() != nil && parent.Err() == nil && v.outcome == clempool.OutcomeFailed {
		v.outcome = clempool.OutcomeAbandoned
	}
	return v
}

// watch bounds the silence of an attempt that another one may follow.
type watch struct {
	ctx   context.Context
	end   context.CancelFunc
	timer *time.Timer
	pause time.Duration
}

// watch returns the bound of the next attempt's silence, if there is one.
func (q *request) watch(ctx context.Context, lease *clempool.Lease) *watch {
	w := &watch{pause: time.Duration(pauseFactor * float64(q.route.Pause()))}
	w.ctx, w.end = context.WithCancel(ctx)
	first := time.Duration(plainFactor * float64(q.route.Objective()))
	if q.route.Kind() == clemroute.KindStream {
		first = time.Duration(patientShare*float64(q.route.Objective())) + lease.Wait()
	}
	if q.route.IsIdempotent() && q.runs+1 < q.route.Attempts() && first > 0 {
		w.timer = time.AfterFunc(first, w.end)
	}
	return w
}

// begun notes that bytes of the answer came.
func (w *watch) begun() {
	if w.timer != nil && w.pause > 0 {
		w.timer.Reset(w.pause)
	}
}

// unanswered returns the verdict on a server that sent no head of an answer.
func (q *request) unanswered(err error) verdict {
	v := verdict{err: err, outcome: clempool.OutcomeFailed, ran: true, sent: true}
	switch {
	case clementineturn.IsNotRun(err):
		v.outcome, v.ran, v.sent = clempool.OutcomeUnreached, false, false
	case q.http.Context().Err() != nil:
		v.outcome = clempool.OutcomeAbandoned
	}
	return v
}
