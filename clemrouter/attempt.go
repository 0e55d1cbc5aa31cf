package clemrouter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
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
	// minRetryTime is the time before the deadline that a retry needs.
	minRetryTime = 20 * time.Millisecond
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
	// isUndelimited is set if the response ends with its connection, so that the end of
	// the server looks like that of the response.
	isUndelimited bool
	// errorResponse is a server's failure, forwarded if no later attempt succeeds.
	errorResponse *bufferedResponse
	err           error
	// next is a place that was already taken at another server, or nil.
	next *clempool.Lease
}

// estimateTime estimates how long the request will run.
func (q *request) estimateTime() time.Duration {
	if q.requestInfo.MaxOutputTokens() == 0 {
		return typicalPlainTime
	}
	newTokens := 0
	if parts := q.requestInfo.Parts(); len(parts) > 0 {
		newTokens = parts[len(parts)-1].Tokens()
	}
	return generationStartTime + time.Duration(newTokens)*prefillTokenTime + time.Duration(typicalOutputShare*float64(q.requestInfo.MaxOutputTokens()))*decodeTokenTime
}

// sharedParts returns the parts of the prompt that other requests may contain: all
// but the last one.
func (q *request) sharedParts() []clementineturn.PromptPart {
	parts := q.requestInfo.Parts()
	return parts[:max(len(parts)-1, 0)]
}

// selection returns the criteria by which a server is chosen, before or after events were
// sent.
func (q *request) selection(isStarted bool) clempool.Request {
	criteria := clempool.Request{Service: q.service, Organisation: q.organisation, Tried: q.triedServers, Idempotent: q.route.IsIdempotent(), Target: q.shortestTarget, Rank: q.rank}
	criteria.AcceptsSoftware = q.softwareFilter(isStarted)
	if parts := q.requestInfo.Parts(); q.route.Affinity() && len(parts) > 0 {
		criteria.Prefix, criteria.PromptTokens = parts[:max(len(parts)-1, 1)], q.requestInfo.PromptTokens()
		return criteria
	}
	q.addWaitCriteria(&criteria)
	return criteria
}

// dispatch tries servers until one has answered the client or the request
// cannot be retried.
func (q *request) dispatch() error {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	run := q.router.runTimes.Start(q.route.Name(), q.estimateTime(), time.Now())
	defer func() { run.End(false, time.Now()) }()
	var best attemptResult
	if err := q.findOrigin(ctx); err != nil {
		return err
	}
	lease, err := q.acquireOrWait(ctx, q.selection(q.isStarted))
	if err != nil {
		return err
	}
	q.router.config.Metrics.Timer(clemmetric.AddedTime).Update(time.Since(q.arrived))
	for lease != nil {
		result := q.attempt(ctx, lease)
		if result.isFinal {
			isServed := result.outcome == clempool.OutcomeServed && result.err == nil
			run.End(isServed, time.Now())
			if isServed {
				q.router.config.Origins.End(q.stream)
			}
			return result.err
		}
		if result.errorResponse != nil || best.errorResponse == nil {
			best = result
		}
		lease = q.nextLease(ctx, result)
	}
	return q.fail(ctx, best)
}

// attempt sends the request to the server of the lease, which it ends.
func (q *request) attempt(ctx context.Context, lease *clempool.Lease) attemptResult {
	start := time.Now()
	result := q.trySend(ctx, lease)
	now := time.Now()
	lease.Release(result.outcome, result.load, now)
	q.recordAttempt(lease, result, now.Sub(start))
	if result.next != nil && (result.isFinal || ctx.Err() != nil) {
		result.next.Release(clempool.OutcomeWithdrawn, nil, now)
		result.next = nil
	}
	return result
}

// nextLease returns a place at another server after an attempt failed, or nil if
// there is none or the request must not be retried.
func (q *request) nextLease(ctx context.Context, result attemptResult) *clempool.Lease {
	if next := result.next; next != nil {
		if accepts := q.softwareFilter(q.isStarted); accepts == nil || accepts(next.SoftwareVersion()) {
			return next
		}
		// Events of the attempt came after the place was taken.
		next.Release(clempool.OutcomeWithdrawn, nil, time.Now())
	}
	if !q.mayRetry(ctx, result) {
		return nil
	}
	lease, err := q.acquire(q.selection(q.isStarted), time.Now())
	if err != nil {
		q.returnDelay = clementineturn.AsError(err).RetryAfter()
		return nil
	}
	return lease
}

// checkSending returns the refusal of a request of which a part of the prompt is
// quarantined, or that may end after this entry stops.
func (q *request) checkSending(now time.Time) error {
	if err := q.checkDraining(now); err != nil {
		return err
	}
	return q.router.config.Quarantine.Check(q.service, q.sharedParts(), now)
}

// acquire takes a place at a server, unless the request must not be sent.
func (q *request) acquire(criteria clempool.Request, now time.Time) (*clempool.Lease, error) {
	if err := q.checkSending(now); err != nil {
		return nil, err
	}
	return q.router.config.Directory.Acquire(criteria, now)
}

// recordAttempt updates the request's counters and the metrics after an attempt,
// and emits an event if it neither succeeded nor was abandoned.
func (q *request) recordAttempt(lease *clempool.Lease, result attemptResult, elapsed time.Duration) {
	q.triedServers = append(q.triedServers, lease.Server())
	record := attemptRecord{
		server: lease.Server(), software: lease.SoftwareVersion(), load: lease.Load(), meanLoad: lease.MeanLoad(), serverRank: lease.Rank(),
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
		q.router.config.Events.Emit(clemevent.AttemptFailed, zap.String("request", q.requestInfo.RequestID()),
			zap.Bool("ran", result.mayHaveRun), zap.Int("attempt", len(q.attempts)), zap.Array("parts", partLog(q.sharedParts())), zap.Inline(record))
	}
}

// mayRetry reports whether another server may be tried after the result.
func (q *request) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || time.Until(q.deadline) < minRetryTime || len(q.triedServers) >= maxServersTried {
		return false
	}
	if q.isStarted && !q.mayContinue {
		return false
	}
	if q.runCount > 0 && (!q.route.IsIdempotent() || q.runCount >= q.route.MaxAttempts() || q.isSuspect()) {
		return false
	}
	// A retry needs no budget as long as no server got the request, since it adds
	// no load.
	return !result.sent && q.sentCount == 0 || q.router.config.RetryBudget.TryWithdraw(q.service, time.Now())
}

// isSuspect reports whether a part of the prompt may crash servers.
func (q *request) isSuspect() bool {
	return q.router.config.Quarantine.IsSuspect(q.service, q.sharedParts())
}

// fail ends a request for which every attempt failed: it forwards a server's
// error response, or returns the error for the client.
func (q *request) fail(ctx context.Context, best attemptResult) error {
	if q.hasClientLeft() {
		return clementineturn.Errorf(clementineturn.KindCancelled, "the client left: %w", q.http.Context().Err())
	}
	if q.isStopped() {
		return q.stoppedError()
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
	if err := q.checkDraining(time.Now()); err != nil {
		return err
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnavailable, NotRun: true, RetryAfter: max(refusedRetryAfter, q.returnDelay),
		Message: "no backend server took the request", Cause: best.err,
	})
}

// trySend sends the request to one server and forwards a successful response.
func (q *request) trySend(ctx context.Context, lease *clempool.Lease) attemptResult {
	stall := q.newStallTimer(ctx, lease)
	watch := q.router.config.Quarantine.Start(clemquarantine.AttemptConfig{
		Service: q.service, Parts: q.sharedParts(), Server: lease.Server(), Incarnation: lease.Incarnation(), Cancel: stall.cancel,
	})
	result := q.exchange(stall, watch, lease)
	result.next = stall.end()
	q.endWatch(ctx, watch, lease, &result)
	if result.next != nil && result.outcome == clempool.OutcomeFailed {
		// The delay does not count against the server: while it reads many uncached
		// prompts, it is no sign of a fault.
		result.outcome = clempool.OutcomeAbandoned
	}
	return result
}

// endWatch records what the attempt says about the prompt, and corrects the outcome if
// the server has ended or a part was quarantined meanwhile.
func (q *request) endWatch(ctx context.Context, watch *clemquarantine.Attempt, lease *clempool.Lease, result *attemptResult) {
	ended := clemquarantine.ResultOther
	switch {
	case watch.IsCancelled():
		result.outcome = clempool.OutcomeAbandoned
		result.err = clementineturn.Errorf(clementineturn.KindUnknown, "a part of the prompt was found to crash servers while the request was at one")
	case result.outcome == clempool.OutcomeServed && !result.isUndelimited:
		ended = clemquarantine.ResultServed
	case watch != nil && result.outcome == clempool.OutcomeFailed && clemconn.IsBroken(result.err) && lease.ServerHasEnded(ctx):
		result.outcome, ended = clempool.OutcomeCrashed, clemquarantine.ResultCrashed
	}
	if result.outcome == clempool.OutcomeFailed && clemconn.IsBroken(result.err) {
		lease.ConnectionBroken(time.Now())
	}
	watch.End(ended, time.Now())
}

// exchange sends the request to the server of the lease and forwards a successful
// response, until the stall timer ends the attempt.
func (q *request) exchange(stall *stallTimer, watch *clemquarantine.Attempt, lease *clempool.Lease) attemptResult {
	maxIdle := idempotentMaxIdle
	if !q.route.IsIdempotent() {
		maxIdle = nonIdempotentMaxIdle
	}
	var withdrawn error
	arrival := q.newArrival(stall.cancel)
	defer arrival.memory.Release()
	response, err := lease.Pool().Exchange(stall.ctx, &clemconn.Request{
		Method: q.http.Method, Target: q.target, Host: q.http.Host, Body: q.body, MaxIdle: maxIdle,
		Header: q.router.config.Dialect.EncodeRequest(q.http.Header, clementineturn.NewDispatch(clementineturn.DispatchConfig{
			Server: lease.Server(), Organisation: q.organisation, Timeout: time.Until(q.deadline),
			LastEventID: q.lastEventID, CacheSource: lease.CacheSource(), Priority: q.priority,
		})),
		Match: q.matchResponse, ChargeHead: arrival.chargeHead,
		BeforeSend: func(wasLost bool) error {
			if wasLost {
				lease.ConnectionBroken(time.Now())
			}
			withdrawn = lease.CheckSend(time.Now())
			return withdrawn
		},
	})
	if withdrawn != nil {
		return attemptResult{outcome: clempool.OutcomeWithdrawn, err: withdrawn}
	}
	if err != nil {
		return q.exchangeFailed(arrival.explain(err))
	}
	defer response.Close()
	watch.Begin(time.Now())
	responseInfo := q.router.config.Dialect.DecodeResponse(response.StatusCode, response.Header)
	if limit, err := responseInfo.RateLimit(); err == nil {
		lease.RecordRateLimit(limit, time.Now())
	} else {
		q.router.config.Events.Emit(clemevent.ServerLimitInvalid, zap.String("server", lease.Server()), zap.Error(err))
	}
	isResting := q.recordStates(lease, responseInfo, time.Now())
	q.recordCold(lease, responseInfo)
	var result attemptResult
	switch {
	case q.route.Kind() == clemroute.KindStream && response.StatusCode == http.StatusOK:
		if q.isStarted {
			q.logResumed(lease)
		}
		result = q.forwardStream(response, responseInfo, arrival, func(events eventSummary) {
			q.recordOrigin(lease)
			lease.RecordFirstEvent(time.Now())
			stall.progress(events.endsWithID)
			watch.Progress(time.Now())
		})
	case q.isStarted && !responseInfo.NotRun():
		// The client already has the head of another response.
		result = attemptResult{outcome: clempool.OutcomeFailed, mayHaveRun: true, err: clementineturn.Errorf(clementineturn.KindCut, "status %d in place of a stream's rest", response.StatusCode)}
	default:
		stall.observeHead()
		result = q.forwardResponse(response, responseInfo, arrival)
	}
	if isResting && result.outcome == clempool.OutcomeFailed {
		// A server that asks for no requests for a while is not at fault.
		result.outcome = clempool.OutcomeRefused
	}
	result.sent, result.load = true, responseInfo.Load()
	result.isUndelimited = response.IsUndelimited()
	return result
}

// recordCold records what the response states of how long its server is cold.
func (q *request) recordCold(lease *clempool.Lease, responseInfo clementineturn.ResponseInfo) {
	remaining, err := responseInfo.Cold()
	switch {
	case err != nil:
		q.router.config.Events.Emit(clemevent.ServerColdInvalid, zap.String("server", lease.Server()), zap.String("problem", err.Error()))
	case remaining != nil && !responseInfo.Misdirected():
		lease.RecordCold(*remaining, time.Now())
	}
}

// matchResponse returns whether a server's response belongs to this request.
func (q *request) matchResponse(status int, header http.Header) clemconn.Match {
	switch q.router.config.Dialect.DecodeResponse(status, header).RequestID() {
	case "":
		return clemconn.MatchUnnamed
	case q.requestInfo.RequestID():
		return clemconn.MatchOwn
	}
	return clemconn.MatchOther
}

// exchangeFailed returns the result of an attempt that got no response head.
func (q *request) exchangeFailed(err error) attemptResult {
	result := attemptResult{err: err, outcome: clempool.OutcomeFailed, mayHaveRun: true, sent: true}
	switch {
	case clementineturn.IsNotRun(err) && errors.Is(err, context.Canceled) && q.http.Context().Err() != nil:
		// The client left or this entry stopped while a connection was opened.
		result.outcome, result.mayHaveRun, result.sent = clempool.OutcomeWithdrawn, false, false
	case clementineturn.IsNotRun(err):
		result.outcome, result.mayHaveRun, result.sent = clempool.OutcomeUnreached, false, false
	case q.http.Context().Err() != nil:
		result.outcome = clempool.OutcomeAbandoned
	}
	return result
}
