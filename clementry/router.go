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
	// maxLessons bounds how often one offer is repeated to a sidecar of another generation.
	maxLessons = 3
	// repeatShare and repeatBurst bound the repeats of dispatched work, in requests.
	repeatShare = 0.1
	repeatBurst = 10
	// hedgeBurst is the extra work, in tokens, that a pool's hedges may save up.
	hedgeBurst    = 10_000
	hedgeQuantile = 0.95
	hedgeQuiet    = 5 * time.Second
	hedgeLeast    = 10 * time.Millisecond
	// verdictGrace is how long after the deadline an entry waits for the
	// sidecar's own word on whether the work was run.
	verdictGrace = 250 * time.Millisecond
	// eagerTimeout bounds an eager offer of idempotent work, which a sidecar
	// decides at once: one that does not answer may be frozen.
	eagerTimeout = time.Second
)

// router places requests on backend servers.
type router struct {
	config   Config
	offers   *clembudget.Budget
	repeats  *clembudget.Budget
	hedges   *clembudget.Hedge
	overload *clembudget.Overload
}

func newRouter(c Config) *router {
	return &router{
		config:   c,
		offers:   clembudget.New(clembudget.Config{Share: clemoffer.RetryShare, Burst: clemoffer.RetryBurst}),
		repeats:  clembudget.New(clembudget.Config{Share: repeatShare, Burst: repeatBurst}),
		overload: clembudget.NewOverload(clembudget.OverloadConfig{Hold: clemoffer.OverloadHold}),
		hedges: clembudget.NewHedge(clembudget.HedgeConfig{
			Quantile: hedgeQuantile, Burst: hedgeBurst, Quiet: hedgeQuiet, Least: hedgeLeast,
		}),
	}
}

// session is an accepted attempt at one backend server.
type session struct {
	host  *clemwire.Host
	peer  clementineturn.Peer
	offer *clemwire.Offer
}

func (s *session) isIdempotent() bool { return s.offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT }

// place offers the task to ranked backend servers until one accepts. It
// returns the last error; the task knows whether an offer was lost before it.
func (r *router) place(ctx context.Context, t *task, hedge bool) (*session, error) {
	p, err := t.plan(ctx, r.config.Board.Config().Get())
	if err != nil {
		return nil, err
	}
	var last error = clementineturn.Refuse(clementineturn.KindUnavailable, "no backend server is left for the request")
	sequence := clemoffer.New(clemoffer.Config{
		Ranked: t.fresh(r.ranked(p)), Retries: r.offers,
		Overloaded: !hedge && r.overload.Recent(time.Now(), p.offer.GetPool(), t.organisation),
	})
	var seen []*clemwire.Status
	for {
		host, eager, ok := sequence.Next()
		if !ok || (hedge && !eager) {
			r.noteOverload(p, hedge, last)
			return nil, last
		}
		p, err := t.plan(ctx, r.config.Board.Config().Get())
		if err != nil {
			return nil, err
		}
		p.offer.Attempt, p.offer.Hedge, p.offer.Eager, p.offer.Seen = t.nextAttempt(), hedge, eager, seen
		s, status, err := r.offer(ctx, t, p, host)
		if err == nil {
			t.try(host.GetName())
			return s, nil
		}
		if last = err; !r.mayGoOn(ctx, t, err) {
			return nil, err
		}
		if !isBusy(err) {
			sequence.Exclude(host.GetName())
			continue
		}
		seen = append(seen, status)
	}
}

// noteOverload remembers that no server had room for a request.
func (r *router) noteOverload(p *plan, hedge bool, err error) {
	if !hedge && clementineturn.IsKind(err, clementineturn.KindOverloaded) {
		r.overload.Note(time.Now(), p.offer.GetPool(), p.offer.GetOrganisation())
	}
}

// isBusy reports whether the refusing server may still take the work if it waits.
func isBusy(err error) bool {
	return clementineturn.IsKind(err, clementineturn.KindOverloaded) || clementineturn.IsKind(err, clementineturn.KindSlow)
}

// ranked returns the pool's backend servers, the best first.
func (r *router) ranked(p *plan) []*clemwire.Host {
	members := r.config.Board.Members().Get()
	if members == nil {
		return nil
	}
	return r.config.Ranker.Rank(p.work, members.Pool(p.offer.GetPool()))
}

// mayGoOn reports whether another backend server may get the work. A lost
// offer may have run. Idempotent work may run again, and at-most-once work is
// safe since the claim of its key lets one attempt run.
func (r *router) mayGoOn(ctx context.Context, t *task, err error) bool {
	e := clementineturn.AsError(err)
	if !e.NotRun() {
		t.touch()
	}
	if ctx.Err() != nil {
		return false
	}
	return !e.NotRun() || e.Kind().Info().Another()
}

// offer makes one offer. A refusal as stale exchanges the missing changes and
// offers again; the classification may then differ.
func (r *router) offer(ctx context.Context, t *task, p *plan, host *clemwire.Host) (*session, *clemwire.Status, error) {
	peer := r.config.Peers.Peer(host.GetAddress())
	for range maxLessons {
		verdict, err := r.ask(ctx, peer, p.offer)
		if err != nil {
			// A message too large to send says nothing about the server.
			if !clementineturn.IsKind(err, clementineturn.KindTooLarge) {
				r.config.Health.Failed(host.GetName(), time.Now())
			}
			return nil, nil, lost(err)
		}
		refusal := clementineturn.FromRefusal(verdict.GetRefusal())
		if refusal == nil {
			r.config.Health.Succeeded(host.GetName(), time.Now())
			return &session{host: host, peer: peer, offer: p.offer}, verdict.GetStatus(), nil
		}
		if refusal.Kind() != clementineturn.KindStale {
			r.config.Health.Refused(host.GetName(), refusal.Kind(), time.Now())
			if refusal.Kind() == clementineturn.KindOverloaded && !p.offer.GetEager() {
				r.hedges.Overloaded(time.Now(), p.offer.GetPool())
			}
			return nil, verdict.GetStatus(), refusal
		}
		r.config.Events.Emit(clemevent.OfferStale, zap.String("request", t.request), zap.String("server", host.GetName()))
		next, err := r.reconcile(ctx, t, p, verdict)
		if err != nil {
			return nil, nil, err
		}
		p = next
	}
	return nil, nil, clementineturn.Refuse(clementineturn.KindUnavailable, "%s and this entry do not agree on a configuration", host.GetName())
}

// ask makes one offer. It waits a little past the deadline, and past the end
// of the caller, for the sidecar's verdict: only that tells whether the work
// was run. An attempt that gets no verdict is withdrawn.
func (r *router) ask(ctx context.Context, peer clementineturn.Peer, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	if offer.GetEager() && offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, eagerTimeout)
		defer stop()
	}
	patient, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(verdictGrace, cancel)
		defer timer.Stop()
		s := &session{peer: peer, offer: offer}
		s.cancel(patient)
		<-patient.Done()
	})
	defer stop()
	return peer.Offer(patient, offer)
}

// lost keeps a refusal that the peer's connection made and marks everything
// else as unknown, since the offer may have arrived.
func lost(err error) error {
	if clementineturn.IsNotRun(err) {
		return err
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnknown, Message: clementineturn.AsError(err).Message(), Cause: err,
	})
}

// reconcile brings the lower side of a stale offer up to the higher and
// returns the plan to offer next.
func (r *router) reconcile(ctx context.Context, t *task, p *plan, verdict *clemwire.Verdict) (*plan, error) {
	theirs := verdict.GetStatus().GetGeneration()
	if theirs > p.offer.GetGeneration() {
		r.config.Relay.Learn(verdict.GetChanges())
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
	if theirs < next.offer.GetGeneration() {
		pulled, err := r.config.Relay.Pull(ctx, &clemwire.Pull{Generation: theirs})
		if err != nil {
			return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "changes since generation %d: %w", theirs, err)
		}
		next.offer.Changes = pulled.GetChanges()
	}
	return next, nil
}

// cancel withdraws an attempt whose answer nobody wants.
func (s *session) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_, _ = s.peer.Cancel(ctx, &clemwire.Cancel{
		Request: s.offer.GetRequest(), Attempt: s.offer.GetAttempt(), Organisation: s.offer.GetOrganisation(),
	})
}
