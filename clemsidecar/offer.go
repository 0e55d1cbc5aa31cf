package clemsidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemanswer"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Offer implements clementineturn.Peer. A refusal with NotRun means that the
// attempt was not run. It is final unless it is KindUnready or KindStale, after
// which the entry may offer the same attempt again.
func (s *Sidecar) Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	// The work of a known attempt may be running, so a duplicate offer gets
	// the first verdict even if the configuration has changed since.
	if a := s.lookup(offer.GetAttempt()); a != nil {
		return s.awaitVerdict(ctx, a)
	}
	if err := s.checkGeneration(offer); err != nil {
		return s.refuse(ctx, offer, err), nil
	}
	timeout := offer.GetTimeout().AsDuration()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	// The work may outlive this call: only the offer's timeout bounds it, not
	// the connection's context.
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	a, fresh := s.register(offer, cancel)
	if !fresh {
		cancel()
		return s.awaitVerdict(ctx, a)
	}
	s.applyNewConfig(time.Now())
	for _, seen := range offer.GetSeen() {
		s.gate.SetPeerLoad(time.Now(), seen.GetServer(), seen.GetLoad())
	}
	err := s.checkOffer(offer)
	if err == nil {
		err = s.admit(runCtx, a)
	}
	a.verdict = s.newVerdict(ctx, offer, err)
	close(a.decided)
	if err != nil {
		cancel()
		s.finish(a)
	}
	return a.verdict, nil
}

// checkGeneration refuses an offer that is based on a newer configuration than
// the sidecar's, or on one from before the last change of an entity in the
// offer's scope. The refusal is not kept, because the entry offers the same
// attempt again once both sides have the same configuration.
func (s *Sidecar) checkGeneration(offer *clemwire.Offer) error {
	if len(offer.GetChanges()) > 0 {
		s.relay.ApplyChanges(offer.GetChanges())
	}
	state := s.board.Config().Get()
	if state == nil {
		return clementineturn.Refuse(clementineturn.KindUnready, "%s holds no configuration", s.server)
	}
	if offer.GetGeneration() > state.Generation() {
		return clementineturn.Refuse(clementineturn.KindStale, "%s holds generation %d, the offer rests on %d", s.server, state.Generation(), offer.GetGeneration())
	}
	if scope := state.ScopeGeneration(offer); offer.GetGeneration() < scope {
		return clementineturn.Refuse(clementineturn.KindStale, "the offer rests on generation %d, its scope changed at %d", offer.GetGeneration(), scope)
	}
	return nil
}

// checkOffer refuses offers that must not be queued.
func (s *Sidecar) checkOffer(offer *clemwire.Offer) error {
	if s.board.Drain().Get().Active() {
		return clementineturn.Refuse(clementineturn.KindDraining, "%s is draining", s.server)
	}
	if offer.GetAttempt() == "" || offer.GetRequest() == "" {
		return clementineturn.Invalid("attempt", "request and attempt ids are needed")
	}
	state := s.board.Config().Get()
	if offer.GetPool() != s.pool || state.Pool(s.pool) == nil {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "%s serves pool %q, not %q", s.server, s.pool, offer.GetPool())
	}
	if state.Organisation(offer.GetOrganisation()) == nil {
		return clementineturn.Refuse(clementineturn.KindNotFound, "no organisation %q", offer.GetOrganisation())
	}
	return nil
}

// lookup returns the attempt with the given id, or nil if it is unknown.
func (s *Sidecar) lookup(id string) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id]
}

// register adds the attempt and returns true. For a duplicate of a known attempt
// it returns the first one and false.
func (s *Sidecar) register(offer *clemwire.Offer, cancel context.CancelFunc) (*attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.attempts[offer.GetAttempt()]; ok {
		return a, false
	}
	a := &attempt{offer: offer, cancel: cancel, decided: make(chan struct{})}
	s.attempts[offer.GetAttempt()] = a
	return a, true
}

// awaitVerdict waits until the attempt is decided.
func (s *Sidecar) awaitVerdict(ctx context.Context, a *attempt) (*clemwire.Verdict, error) {
	select {
	case <-a.decided:
		return a.verdict, nil
	case <-ctx.Done():
		return nil, clementineturn.AsError(ctx.Err())
	}
}

// finish marks the attempt as ended and releases its body. The verdict is kept
// for verdictTTL, so that a duplicate offer neither runs the work again nor
// contradicts a refusal.
func (s *Sidecar) finish(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.ended = time.Now()
	a.offer = &clemwire.Offer{
		Request: a.offer.GetRequest(), Attempt: a.offer.GetAttempt(),
		Organisation: a.offer.GetOrganisation(), Mode: a.offer.GetMode(),
	}
}

// expireAttempts removes attempts that finished more than verdictTTL ago.
func (s *Sidecar) expireAttempts(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range s.attempts {
		if !a.ended.IsZero() && now.Sub(a.ended) > verdictTTL {
			delete(s.attempts, id)
		}
	}
}

// admit queues the offer, acquires its claim and dispatches it. An error with
// NotRun means that the work was not run and never will be.
func (s *Sidecar) admit(ctx context.Context, a *attempt) error {
	ticket, err := s.enqueue(ctx, a)
	if err != nil {
		return err
	}
	answer, err := s.answers.Open(a.offer, time.Now())
	if err != nil {
		s.gate.Release(time.Now(), ticket)
		// The attempt ran before and its verdict has expired, so the error must
		// not say NotRun.
		return clementineturn.Errorf(clementineturn.KindConflict, "attempt %s ran before", a.offer.GetAttempt())
	}
	if err := s.dispatch(ctx, a, ticket, answer); err != nil {
		s.gate.Release(time.Now(), ticket)
		s.answers.Drop(answer)
		return err
	}
	return nil
}

// dispatch acquires the claim and starts the work, or replays its recorded
// outcome.
func (s *Sidecar) dispatch(ctx context.Context, a *attempt, ticket *clemgate.Ticket, answer *clemanswer.Answer) error {
	grant, err := s.claim(ctx, a.offer)
	if err != nil {
		return err
	}
	if outcome := grant.replay(); outcome != nil {
		s.gate.Release(time.Now(), ticket)
		s.replayOutcome(a, answer, outcome)
		return nil
	}
	if err := s.beginRun(ctx, a, grant); err != nil {
		return err
	}
	s.jobs.Add(1)
	go s.run(ctx, &job{attempt: a, ticket: ticket, grant: grant, answer: answer})
	return nil
}

// enqueue submits the attempt to the gate and waits for the decision.
func (s *Sidecar) enqueue(ctx context.Context, a *attempt) (*clemgate.Ticket, error) {
	offer := a.offer
	organisation := s.board.Config().Get().Organisation(offer.GetOrganisation())
	deadline, _ := ctx.Deadline()
	ticket, err := s.gate.Acquire(time.Now(), clemgate.NewItem(clemgate.ItemConfig{
		Organisation: organisation.GetName(), Weight: organisation.GetWeight(), QueueLimit: organisation.GetQueue(),
		PromptTokens: offer.GetPrompt(), OutputTokens: offer.GetOutput(), Deadline: deadline, Hedge: offer.GetHedge(), Eager: offer.GetEager(),
	}))
	if err != nil {
		return nil, err
	}
	select {
	case <-ticket.Decided():
	case <-ctx.Done():
		if s.gate.Cancel(time.Now(), ticket) {
			return nil, s.withdrawnError(ctx, a)
		}
		<-ticket.Decided()
	}
	return ticket, ticket.Err()
}

// withdrawnError returns the refusal of work that was cancelled or expired
// before it started.
func (s *Sidecar) withdrawnError(ctx context.Context, a *attempt) error {
	if s.isStopped(a) {
		return clementineturn.Refuse(clementineturn.KindCancelled, "cancelled while waiting")
	}
	return clementineturn.Refuse(clementineturn.KindExpired, "deadline passed while waiting: %w", ctx.Err())
}

// beginRun marks the attempt as started. Once it has succeeded, the work may
// have run and must not be reported as not run.
func (s *Sidecar) beginRun(ctx context.Context, a *attempt, grant *grant) error {
	if !s.markStarted(a) || ctx.Err() != nil {
		grant.abandon(ctx)
		return s.withdrawnError(ctx, a)
	}
	return grant.begin()
}

// markStarted marks the attempt as started unless it was stopped, and reports
// whether it did.
func (s *Sidecar) markStarted(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.started = !a.stopped
	return a.started
}

func (s *Sidecar) newVerdict(ctx context.Context, offer *clemwire.Offer, err error) *clemwire.Verdict {
	if err != nil {
		return s.refuse(ctx, offer, err)
	}
	return &clemwire.Verdict{Status: s.status()}
}

// refuse returns a verdict with the refusal. A stale offer also gets the
// configuration changes that its sender lacks.
func (s *Sidecar) refuse(ctx context.Context, offer *clemwire.Offer, err error) *clemwire.Verdict {
	e := clementineturn.AsError(err)
	verdict := &clemwire.Verdict{Refusal: e.Refusal(), Status: s.status()}
	if e.Kind() == clementineturn.KindStale && offer.GetGeneration() < s.generation() {
		if pulled, err := s.relay.Pull(ctx, &clemwire.Pull{Generation: offer.GetGeneration()}); err == nil {
			verdict.Changes = pulled.GetChanges()
		}
	}
	s.events.Emit(clemevent.OfferRefused, zap.String("request", offer.GetRequest()), zap.String("attempt", offer.GetAttempt()), zap.Error(e))
	return verdict
}
