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
	// maxServersTried is the maximum number of servers that are tried for one
	// request, including those that were unreachable or refused it.
	maxServersTried = 4
	// idempotentMaxIdle is how long a reused connection may have been idle for an
	// idempotent request. nonIdempotentMaxIdle is shorter, since the outcome of a
	// request is unknown if the server closes its idle connection meanwhile.
	idempotentMaxIdle    = 10 * time.Second
	nonIdempotentMaxIdle = 3 * time.Second
	// streamFirstByteFactor is the timeout for the first byte of a stream, as a
	// multiple of the route's latency target and in addition to the prefill time
	// of the prompts ahead of it. It is below 1 so that another server can still
	// meet the target. plainFirstByteFactor is the multiple for other responses.
	streamFirstByteFactor = 0.6
	plainFirstByteFactor  = 1.5
	// eventGapFactor is the timeout for the next bytes of a stream, as a multiple
	// of the longest pause for which the route counts it as on time.
	eventGapFactor = 1.5
	// minRetryTime is the time before the deadline that a retry needs.
	minRetryTime = 20 * time.Millisecond
	// drainSafetyFactor multiplies the estimated time of a request that arrives
	// at a draining entry.
	drainSafetyFactor = 2
	// generationStartTime, prefillTokenTime and decodeTokenTime estimate how long
	// an engine takes to start a response, to read a prompt token and to generate
	// an output token.
	generationStartTime = 150 * time.Millisecond
	prefillTokenTime    = 20 * time.Microsecond
	decodeTokenTime     = 6 * time.Millisecond
	// typicalOutputShare is the usual share of the requested maximum of output
	// tokens that an engine generates.
	typicalOutputShare = 0.5
	// typicalPlainTime is the usual time of a request without output tokens.
	typicalPlainTime = 100 * time.Millisecond
	// refusedRetryAfter is when a client may retry a request that no server took.
	refusedRetryAfter = 250 * time.Millisecond
)

// attemptRecord describes one attempt in log lines: the state in which the
// server was chosen and the outcome.
type attemptRecord struct {
	server       string
	load         int
	meanLoad     float64
	serverRank   int
	cachedTokens int
	prefillWait  time.Duration
	cacheSource  string
	outcome      clempool.Outcome
	elapsed      time.Duration
	err          error
}

// attemptLog encodes attempts for a log line.
type attemptLog []attemptRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l attemptLog) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, record := range l {
		if err := encoder.AppendObject(record); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r attemptRecord) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("server", r.server)
	encoder.AddInt("load", r.load)
	encoder.AddFloat64("mean", r.meanLoad)
	encoder.AddInt("rank", r.serverRank)
	encoder.AddInt("kept", r.cachedTokens)
	encoder.AddDuration("wait", r.prefillWait)
	if r.cacheSource != "" {
		encoder.AddString("source", r.cacheSource)
	}
	encoder.AddString("outcome", r.outcome.String())
	encoder.AddDuration("elapsed", r.elapsed)
	if r.err != nil {
		encoder.AddString("error", r.err.Error())
	}
	return nil
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome clempool.Outcome
	load    *clementineturn.Load
	// isFinal is set if no other attempt may follow: the client has the whole
	// response or cannot get the rest.
	isFinal bool
	// mayHaveRun is set if the server may have run the request, sent if the request
	// was written to a connection, wholly or in part.
	mayHaveRun, sent bool
	// errorResponse is a server's failure, forwarded if no later attempt succeeds.
	errorResponse *bufferedResponse
	err           error
}

// estimateTime estimates how long the request will run.
func (q *request) estimateTime() time.Duration {
	if q.arrival.MaxOutputTokens() == 0 {
		return typicalPlainTime
	}
	newTokens := 0
	if parts := q.arrival.Parts(); len(parts) > 0 {
		newTokens = parts[len(parts)-1].Tokens()
	}
	return generationStartTime + time.Duration(newTokens)*prefillTokenTime + time.Duration(typicalOutputShare*float64(q.arrival.MaxOutputTokens()))*decodeTokenTime
}

// selection returns the criteria by which a server is chosen.
func (q *request) selection() clempool.Request {
	want := clempool.Request{Service: q.service, Organisation: q.organisation, Tried: q.triedServers, Idempotent: q.route.IsIdempotent()}
	if parts := q.arrival.Parts(); q.route.Affinity() && len(parts) > 0 {
		want.Prefix, want.PromptTokens = parts[:max(len(parts)-1, 1)], q.arrival.PromptTokens()
	}
	return want
}

// dispatch tries servers until one has answered the client or the request
// cannot be retried.
func (q *request) dispatch() error {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	var best attemptResult
	for {
		lease, err := q.router.config.Directory.Acquire(q.selection(), time.Now())
		if err != nil {
			if len(q.attempts) > 0 {
				break
			}
			return err
		}
		start := time.Now()
		if len(q.attempts) == 0 {
			q.router.config.Metrics.Timer(clemmetric.AddedTime).Update(start.Sub(q.arrived))
		}
		result := q.trySend(ctx, lease)
		lease.Release(result.outcome, result.load, time.Now())
		q.recordAttempt(lease, result, time.Since(start))
		if result.isFinal {
			return result.err
		}
		if result.errorResponse != nil || best.errorResponse == nil {
			best = result
		}
		if !q.mayRetry(ctx, result) {
			break
		}
	}
	return q.fail(ctx, best)
}

// recordAttempt updates the request's counters and the metrics after an attempt,
// and emits an event if it neither succeeded nor was abandoned.
func (q *request) recordAttempt(lease *clempool.Lease, result attemptResult, elapsed time.Duration) {
	q.triedServers = append(q.triedServers, lease.Server())
	record := attemptRecord{
		server: lease.Server(), load: lease.Load(), meanLoad: lease.MeanLoad(), serverRank: lease.Rank(),
		cachedTokens: lease.CachedTokens(), prefillWait: lease.PrefillWait(), cacheSource: lease.CacheSource(), outcome: result.outcome, elapsed: elapsed, err: result.err,
	}
	q.attempts = append(q.attempts, record)
	q.router.config.Metrics.Counter(clemmetric.Attempts, "service", q.service,
		"server", q.router.serverLabels.Of(lease.Server()), "outcome", result.outcome.String()).Inc(1)
	if result.sent {
		q.sentCount++
	}
	if result.mayHaveRun {
		q.runCount++
	}
	if result.outcome != clempool.OutcomeServed && result.outcome != clempool.OutcomeAbandoned {
		q.router.config.Events.Emit(clemevent.AttemptFailed, zap.String("request", q.arrival.RequestID()),
			zap.Bool("ran", result.mayHaveRun), zap.Int("attempt", len(q.attempts)), zap.Inline(record))
	}
}

// mayRetry reports whether another server may be tried after the result.
func (q *request) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || time.Until(q.deadline) < minRetryTime || len(q.triedServers) >= maxServersTried {
		return false
	}
	if q.runCount > 0 && (!q.route.IsIdempotent() || q.runCount >= q.route.MaxAttempts()) {
		return false
	}
	// A retry needs no budget as long as no server got the request, since it adds
	// no load.
	return !result.sent && q.sentCount == 0 || q.router.config.RetryBudget.TryWithdraw(q.service, time.Now())
}

// fail ends a request for which every attempt failed: it forwards a server's
// error response, or returns the error for the client.
func (q *request) fail(ctx context.Context, best attemptResult) error {
	if err := q.http.Context().Err(); err != nil {
		return clementineturn.Errorf(clementineturn.KindCancelled, "the client left: %w", err)
	}
	if q.isStarted {
		return best.err
	}
	if best.errorResponse != nil && best.errorResponse.mayForward(q.route) {
		return q.writeBuffered(best.errorResponse)
	}
	if q.runCount > 0 {
		kind := clementineturn.KindUnknown
		if ctx.Err() != nil {
			kind = clementineturn.KindTimeout
		}
		return clementineturn.Errorf(kind, "a backend server did not answer: %w", best.err)
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnavailable, NotRun: true, RetryAfter: refusedRetryAfter,
		Message: "no backend server took the request", Cause: best.err,
	})
}

// trySend sends the request to one server and forwards a successful response.
func (q *request) trySend(ctx context.Context, lease *clempool.Lease) attemptResult {
	stall := q.newStallTimer(ctx, lease)
	defer stall.cancel()
	maxIdle := idempotentMaxIdle
	if !q.route.IsIdempotent() {
		maxIdle = nonIdempotentMaxIdle
	}
	response, err := lease.Pool().Exchange(stall.ctx, &clemconn.Request{
		Method: q.http.Method, Target: q.target, Host: q.http.Host, Body: q.body, MaxIdle: maxIdle,
		Header: q.router.config.Dialect.EncodeRequest(q.http.Header, clementineturn.NewDispatch(clementineturn.DispatchConfig{
			Server: lease.Server(), Organisation: q.organisation, Timeout: time.Until(q.deadline),
			LastEventID: q.lastEventID, CacheSource: lease.CacheSource(), Priority: q.priority,
		})),
		Matches: func(status int, header http.Header) bool {
			id := q.router.config.Dialect.DecodeResponse(status, header).RequestID()
			return id == "" || id == q.arrival.RequestID()
		},
	})
	if err != nil {
		return stall.discountStall(ctx, q.exchangeFailed(err))
	}
	defer response.Close()
	reply := q.router.config.Dialect.DecodeResponse(response.StatusCode, response.Header)
	var result attemptResult
	switch {
	case q.route.Kind() == clemroute.KindStream && response.StatusCode == http.StatusOK:
		if q.isStarted {
			q.logResumed(lease.Server())
		}
		result = q.forwardStream(response, reply, func() { lease.ResponseStarted(); stall.reset() })
	case q.isStarted && !reply.NotRun():
		// The client already has the head of another response.
		result = attemptResult{outcome: clempool.OutcomeFailed, mayHaveRun: true, err: clementineturn.Errorf(clementineturn.KindCut, "status %d in place of a stream's rest", response.StatusCode)}
	default:
		result = q.forwardResponse(response, reply)
	}
	result.sent, result.load = true, reply.Load()
	return stall.discountStall(ctx, result)
}

// discountStall changes the outcome of an attempt that the stall timer ended
// from failed to abandoned, which does not count against the server: while it
// reads many uncached prompts, a delay is no sign of a fault.
func (t *stallTimer) discountStall(parent context.Context, result attemptResult) attemptResult {
	if t.ctx.Err() != nil && parent.Err() == nil && result.outcome == clempool.OutcomeFailed {
		result.outcome = clempool.OutcomeAbandoned
	}
	return result
}

// stallTimer cancels an attempt that makes no progress, provided that another one
// may follow. Otherwise, or without a timeout for the first byte, timer is nil.
type stallTimer struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	maxGap time.Duration
}

// newStallTimer starts the timer of the next attempt.
func (q *request) newStallTimer(ctx context.Context, lease *clempool.Lease) *stallTimer {
	t := &stallTimer{maxGap: time.Duration(eventGapFactor * float64(q.route.EventGapTarget()))}
	t.ctx, t.cancel = context.WithCancel(ctx)
	firstByteTimeout := time.Duration(plainFirstByteFactor * float64(q.route.LatencyTarget()))
	if q.route.Kind() == clemroute.KindStream {
		firstByteTimeout = time.Duration(streamFirstByteFactor*float64(q.route.LatencyTarget())) + lease.PrefillWait()
	}
	if q.route.IsIdempotent() && q.runCount+1 < q.route.MaxAttempts() && firstByteTimeout > 0 {
		t.timer = time.AfterFunc(firstByteTimeout, t.cancel)
	}
	return t
}

// reset restarts the timer after bytes of the response arrived.
func (t *stallTimer) reset() {
	if t.timer != nil && t.maxGap > 0 {
		t.timer.Reset(t.maxGap)
	}
}

// exchangeFailed returns the result of an attempt that got no response head.
func (q *request) exchangeFailed(err error) attemptResult {
	result := attemptResult{err: err, outcome: clempool.OutcomeFailed, mayHaveRun: true, sent: true}
	switch {
	case clementineturn.IsNotRun(err):
		result.outcome, result.mayHaveRun, result.sent = clempool.OutcomeUnreached, false, false
	case q.http.Context().Err() != nil:
		result.outcome = clempool.OutcomeAbandoned
	}
	return result
}
