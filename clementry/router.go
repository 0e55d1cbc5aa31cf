package clementry

import (
	"context"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemoffer"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxReconciliations bounds how often one offer is sent to a sidecar whose
	// configuration generation differs.
	maxReconciliations = 3
	// retryRatio and retryBurst are the budget for retries of dispatched work: a
	// share of the requests and a number of requests.
	retryRatio = 0.1
	retryBurst = 10
	// hedgeBurst is the most unused hedge budget of a pool, in tokens.
	hedgeBurst    = 10_000
	hedgeQuantile = 0.95
	hedgeCooldown = 5 * time.Second
	hedgeMinDelay = 10 * time.Millisecond
	// verdictGrace is how long after the deadline an entry waits for the
	// sidecar's verdict, which tells whether the work ran.
	verdictGrace = 250 * time.Millisecond
	// eagerTimeout bounds an eager offer of idempotent work. A sidecar answers it
	// without queueing the work, so one that does not answer may be frozen.
	eagerTimeout = time.Second
)

// router offers requests to backend servers and relays their answers.
type router struct {
	config          Config
	offerBudget     *clembudget.Budget
	retryBudget     *clembudget.Budget
	hedgePolicy     *clembudget.HedgePolicy
	overloadTracker *clembudget.OverloadTracker
}

func newRouter(c Config) *router {
	return &router{
		config:          c,
		offerBudget:     clembudget.New(clembudget.Config{Ratio: clemoffer.RetryRatio, Burst: clemoffer.RetryBurst}),
		retryBudget:     clembudget.New(clembudget.Config{Ratio: retryRatio, Burst: retryBurst}),
		overloadTracker: clembudget.NewOverloadTracker(clembudget.OverloadTrackerConfig{TTL: clemoffer.OverloadTTL}),
		hedgePolicy: clembudget.NewHedgePolicy(clembudget.HedgePolicyConfig{
			Quantile: hedgeQuantile, Burst: hedgeBurst, Cooldown: hedgeCooldown, MinDelay: hedgeMinDelay,
		}),
	}
}

// acceptedAttempt is an attempt that the sidecar of a backend server accepted.
type acceptedAttempt struct {
	host  *clemwire.Host
	peer  clementineturn.Peer
	offer *clemwire.Offer
}

func (a *acceptedAttempt) isIdempotent() bool {
	return a.offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT
}

// place offers the task to the ranked backend servers until one accepts. If
// none does it returns the last error; an earlier offer without a verdict is
// recorded in the task.
func (r *router) place(ctx context.Context, t *task, hedge bool) (*acceptedAttempt, error) {
	p, err := t.plan(ctx, r.config.Board.Config().Get())
	if err != nil {
		return nil, err
	}
	var last error = clementineturn.Refuse(clementineturn.KindUnavailable, "no backend server is left for the request")
	sequence := clemoffer.New(clemoffer.Config{
		Ranked: t.withoutAccepted(r.rankedServers(p)), RetryBudget: r.offerBudget,
		Overloaded: !hedge && r.overloadTracker.IsOverloaded(time.Now(), p.offer.GetPool(), t.organisation),
	})
	var seen []*clemwire.Status
	for {
		host, eager, ok := sequence.Next()
		if !ok || (hedge && !eager) {
			r.recordOverload(p, hedge, last)
			return nil, last
		}
		p, err := t.plan(ctx, r.config.Board.Config().Get())
		if err != nil {
			return nil, err
		}
		p.offer.Attempt, p.offer.Hedge, p.offer.Eager, p.offer.Seen = t.nextAttemptID(), hedge, eager, seen
		a, status, err := r.offerTo(ctx, t, p, host)
		if err == nil {
			t.markAccepted(host.GetName())
			return a, nil
		}
		if last = err; !r.mayOfferNext(ctx, t, err) {
			return nil, err
		}
		if !isBusy(err) {
			sequence.Exclude(host.GetName())
			continue
		}
		seen = append(seen, status)
	}
}

// recordOverload records that no backend server had capacity for a request.
func (r *router) recordOverload(p *plan, hedge bool, err error) {
	if !hedge && clementineturn.IsKind(err, clementineturn.KindOverloaded) {
		r.overloadTracker.Record(time.Now(), p.offer.GetPool(), p.offer.GetOrganisation())
	}
}

// isBusy reports whether the refusing server may accept the work in a later
// round, in which the work may wait in its queue.
func isBusy(err error) bool {
	return clementineturn.IsKind(err, clementineturn.KindOverloaded) || clementineturn.IsKind(err, clementineturn.KindSlow)
}

// rankedServers returns the pool's backend servers, the best first.
func (r *router) rankedServers(p *plan) []*clemwire.Host {
	members := r.config.Board.Members().Get()
	if members == nil {
		return nil
	}
	return r.config.Ranker.Rank(p.work, members.Pool(p.offer.GetPool()))
}

// mayOfferNext reports whether the work may be offered to another backend
// server. An offer without a verdict may have run: idempotent work may run
// again, and for at-most-once work the claim of its key lets only one attempt
// run.
func (r *router) mayOfferNext(ctx context.Context, t *task, err error) bool {
	e := clementineturn.AsError(err)
	if !e.NotRun() {
		t.markMayHaveRun()
	}
	if ctx.Err() != nil {
		return false
	}
	return !e.NotRun() || e.Kind().Info().AllowsOtherServer()
}

// offerTo offers the plan to one backend server. If the sidecar refuses it as
// stale, entry and sidecar exchange the missing configuration changes and the
// request is classified and offered again.
func (r *router) offerTo(ctx context.Context, t *task, p *plan, host *clemwire.Host) (*acceptedAttempt, *clemwire.Status, error) {
	peer := r.config.Peers.Peer(host.GetAddress())
	for range maxReconciliations {
		verdict, err := r.sendOffer(ctx, peer, p.offer)
		if err != nil {
			// An offer that is too large to send is no sign of an unhealthy server.
			if !clementineturn.IsKind(err, clementineturn.KindTooLarge) {
				r.config.Health.Failed(host.GetName(), time.Now())
			}
			return nil, nil, unknownOutcome(err)
		}
		refusal := clementineturn.FromRefusal(verdict.GetRefusal())
		if refusal == nil {
			r.config.Health.Succeeded(host.GetName(), time.Now())
			return &acceptedAttempt{host: host, peer: peer, offer: p.offer}, verdict.GetStatus(), nil
		}
		if refusal.Kind() != clementineturn.KindStale {
			r.config.Health.Refused(host.GetName(), refusal.Kind(), time.Now())
			if refusal.Kind() == clementineturn.KindOverloaded && !p.offer.GetEager() {
				r.hedgePolicy.RecordOverload(time.Now(), p.offer.GetPool())
			}
			return nil, verdict.GetStatus(), refusal
		}
		r.config.Events.Emit(clemevent.OfferStale, zap.String("request", t.requestID), zap.String("server", host.GetName()))
		next, err := r.reconcile(ctx, t, p, verdict)
		if err != nil {
			return nil, nil, err
		}
		p = next
	}
	return nil, nil, clementineturn.Refuse(clementineturn.KindUnavailable, "%s and this entry do not agree on a configuration", host.GetName())
}

// sendOffer sends one offer. After the deadline or the caller's disconnect it
// cancels the attempt and waits up to verdictGrace for the sidecar's verdict,
// which alone tells whether the work ran.
func (r *router) sendOffer(ctx context.Context, peer clementineturn.Peer, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	if offer.GetEager() && offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, eagerTimeout)
		defer stop()
	}
	verdictCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(verdictGrace, cancel)
		defer timer.Stop()
		a := &acceptedAttempt{peer: peer, offer: offer}
		a.cancel(verdictCtx)
		<-verdictCtx.Done()
	})
	defer stop()
	return peer.Offer(verdictCtx, offer)
}

// unknownOutcome returns the error of an offer without a verdict. An error that
// says that nothing was sent is kept; any other becomes KindUnknown, since the
// offer may have arrived.
func unknownOutcome(err error) error {
	if clementineturn.IsNotRun(err) {
		return err
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnknown, Message: clementineturn.AsError(err).Message(), Cause: err,
	})
}

// reconcile resolves a difference of configuration generations: it applies the
// sidecar's changes, or attaches those that the sidecar lacks to the next
// offer. It returns the plan to offer next.
func (r *router) reconcile(ctx context.Context, t *task, p *plan, verdict *clemwire.Verdict) (*plan, error) {
	sidecarGeneration := verdict.GetStatus().GetGeneration()
	if sidecarGeneration > p.offer.GetGeneration() {
		r.config.Relay.ApplyChanges(verdict.GetChanges())
	}
	next, err := t.plan(ctx, r.config.Board.Config().Get())
	if err != nil {
		return nil, err
	}
	if next.offer.GetPool() != p.offer.GetPool() {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "the request's pool changed on the way")
	}
	next.offer.Attempt, next.offer.Hedge = p.offer.GetAttempt(), p.offer.GetHedge()
	next.offer.Eager, next.offer.Seen = p.offer.GetEager(), p.offer.GetSeen()
	if sidecarGeneration < next.offer.GetGeneration() {
		pulled, err := r.config.Relay.Pull(ctx, &clemwire.Pull{Generation: sidecarGeneration})
		if err != nil {
			return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "changes since generation %d: %w", sidecarGeneration, err)
		}
		next.offer.Changes = pulled.GetChanges()
	}
	return next, nil
}

// cancel tells the sidecar to cancel the attempt.
func (a *acceptedAttempt) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_, _ = a.peer.Cancel(ctx, &clemwire.Cancel{
		Request: a.offer.GetRequest(), Attempt: a.offer.GetAttempt(), Organisation: a.offer.GetOrganisation(),
	})
}
