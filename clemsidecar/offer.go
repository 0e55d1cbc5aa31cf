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

// Offer implements clementineturn.Peer. Every refusal it returns says that
// the work was not run and never will be.
func (s *Sidecar) Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	// The work of a known attempt may be running, whatever has changed since.
	if a := s.find(offer.GetAttempt()); a != nil {
		return s.await(ctx, a)
	}
	if err := s.checkGeneration(offer); err != nil {
		return s.refuse(ctx, offer, err), nil
	}
	timeout := offer.GetTimeout().AsDuration()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	// The work outlives the call: the deadline is the caller's, not the connection's.
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	a, fresh := s.enter(offer, cancel)
	if !fresh {
		cancel()
		return s.await(ctx, a)
	}
	s.catchUp(time.Now())
	for _, seen := range offer.GetSeen() {
		s.gate.Hear(time.Now(), seen.GetServer(), seen.GetLoad())
	}
	err := s.check(offer)
	if err == nil {
		err = s.admit(runCtx, a)
	}
	a.verdict = s.verdict(ctx, offer, err)
	close(a.decided)
	if err != nil {
		cancel()
		s.end(a)
	}
	return a.verdict, nil
}

// checkGeneration refuses offers that rest on another generation. Such a
// refusal is not kept: the entry repeats the attempt once both sides agree.
func (s *Sidecar) checkGeneration(offer *clemwire.Offer) error {
	if len(offer.GetChanges()) > 0 {
		s.relay.Learn(offer.GetChanges())
	}
	state := s.board.Config().Get()
	if state == nil {
		return clementineturn.Refuse(clementineturn.KindUnready, "%s holds no configuration", s.server)
	}
	if offer.GetGeneration() > state.Generation() {
		return clementineturn.Refuse(clementineturn.KindStale, "%s holds generation %d, the offer rests on %d", s.server, state.Generation(), offer.GetGeneration())
	}
	if scope := state.Scope(offer); offer.GetGeneration() < scope {
		return clementineturn.Refuse(clementineturn.KindStale, "the offer rests on generation %d, its scope changed at %d", offer.GetGeneration(), scope)
	}
	return nil
}

// check refuses offers that must not even queue.
func (s *Sidecar) check(offer *clemwire.Offer) error {
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

// find returns the attempt, or nil if it is not known.
func (s *Sidecar) find(id string) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id]
}

// enter registers the attempt. A repeat of an attempt that is known finds the first one.
func (s *Sidecar) enter(offer *clemwire.Offer, cancel context.CancelFunc) (*attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.attempts[offer.GetAttempt()]; ok {
		return a, false
	}
	a := &attempt{offer: offer, cancel: cancel, decided: make(chan struct{})}
	s.attempts[offer.GetAttempt()] = a
	return a, true
}

func (s *Sidecar) await(ctx context.Context, a *attempt) (*clemwire.Verdict, error) {
	select {
	case <-a.decided:
		return a.verdict, nil
	case <-ctx.Done():
		return nil, clementineturn.AsError(ctx.Err())
	}
}

// end keeps the verdict of an attempt for a while without its body, so that a
// repeated message neither runs the work again nor contradicts a refusal.
func (s *Sidecar) end(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.ended = time.Now()
	a.offer = &clemwire.Offer{
		Request: a.offer.GetRequest(), Attempt: a.offer.GetAttempt(),
		Organisation: a.offer.GetOrganisation(), Mode: a.offer.GetMode(),
	}
}

// forget drops the verdicts of attempts that ended long ago.
func (s *Sidecar) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range s.attempts {
		if !a.ended.IsZero() && now.Sub(a.ended) > verdictMemory {
			delete(s.attempts, id)
		}
	}
}

// admit takes the offer through queue and claim and dispatches it. An error
// with NotRun says that it was not run and never will be.
func (s *Sidecar) admit(ctx context.Context, a *attempt) error {
	ticket, err := s.queue(ctx, a)
	if err != nil {
		return err
	}
	answer, err := s.answers.Open(a.offer, time.Now())
	if err != nil {
		s.gate.Leave(time.Now(), ticket)
		// An earlier offer of the attempt ran: this refuses the repeat alone.
		return clementineturn.Errorf(clementineturn.KindConflict, "attempt %s ran before", a.offer.GetAttempt())
	}
	if err := s.dispatch(ctx, a, ticket, answer); err != nil {
		s.gate.Leave(time.Now(), ticket)
		s.answers.Drop(answer)
		return err
	}
	return nil
}

// dispatch takes the claim and starts the work, or replays its outcome.
func (s *Sidecar) dispatch(ctx context.Context, a *attempt, ticket *clemgate.Ticket, answer *clemanswer.Answer) error {
	grant, err := s.claim(ctx, a.offer)
	if err != nil {
		return err
	}
	if outcome := grant.replay(); outcome != nil {
		s.gate.Leave(time.Now(), ticket)
		s.replay(a, answer, outcome)
		return nil
	}
	if err := s.begin(ctx, a, grant); err != nil {
		return err
	}
	s.running.Add(1)
	go s.run(ctx, &job{attempt: a, ticket: ticket, grant: grant, answer: answer})
	return nil
}

// queue waits for the gate's decision.
func (s *Sidecar) queue(ctx context.Context, a *attempt) (*clemgate.Ticket, error) {
	offer := a.offer
	organisation := s.board.Config().Get().Organisation(offer.GetOrganisation())
	deadline, _ := ctx.Deadline()
	ticket, err := s.gate.Enter(time.Now(), clemgate.NewItem(clemgate.ItemConfig{
		Organisation: organisation.GetName(), Weight: organisation.GetWeight(), Queue: organisation.GetQueue(),
		Prompt: offer.GetPrompt(), Output: offer.GetOutput(), Deadline: deadline, Hedge: offer.GetHedge(), Eager: offer.GetEager(),
	}))
	if err != nil {
		return nil, err
	}
	select {
	case <-ticket.Decided():
	case <-ctx.Done():
		if s.gate.Withdraw(time.Now(), ticket) {
			return nil, s.withdrawn(ctx, a)
		}
		<-ticket.Decided()
	}
	return ticket, ticket.Err()
}

func (s *Sidecar) withdrawn(ctx context.Context, a *attempt) error {
	if s.isStopped(a) {
		return clementineturn.Refuse(clementineturn.KindCancelled, "cancelled while waiting")
	}
	return clementineturn.Refuse(clementineturn.KindExpired, "deadline passed while waiting: %w", ctx.Err())
}

// begin is the point of no return: from here on the work may have run.
func (s *Sidecar) begin(ctx context.Context, a *attempt, grant *grant) error {
	if !s.markBegun(a) || ctx.Err() != nil {
		grant.abandon(ctx)
		return s.withdrawn(ctx, a)
	}
	return grant.begin()
}

func (s *Sidecar) markBegun(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.begun = !a.stopped
	return a.begun
}

func (s *Sidecar) verdict(ctx context.Context, offer *clemwire.Offer, err error) *clemwire.Verdict {
	if err != nil {
		return s.refuse(ctx, offer, err)
	}
	return &clemwire.Verdict{Status: s.status()}
}

// refuse returns the refusal as a verdict, with the changes that a stale offer lacked.
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
