package clemsidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemanswer"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemwire"
)

// tokenBytes is the usual size of one token's text, to turn bytes of answer
// into tokens of output.
const tokenBytes = 4

// grant is the right to run one piece of work. For idempotent work, which
// needs no claim, held is nil.
type grant struct {
	held *clemclaim.Grant
}

// claim takes the claim of at-most-once work.
func (s *Sidecar) claim(ctx context.Context, offer *clemwire.Offer) (*grant, error) {
	if offer.GetMode() != clemwire.Mode_MODE_AT_MOST_ONCE {
		return &grant{}, nil
	}
	if offer.GetKey() == "" {
		return nil, clementineturn.Refuse(clementineturn.KindKeyMissing, "%s/%s runs at most once and needs a key", offer.GetService(), offer.GetCall())
	}
	h := s.held.Load()
	if h == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "%s has no incarnation yet", s.server)
	}
	// The grant keeps the context: begin fails once the caller's deadline has passed.
	held, err := h.keeper.Acquire(ctx, offer)
	if err != nil {
		return nil, err
	}
	return &grant{held: held}, nil
}

func (g *grant) replay() *clemwire.Outcome {
	if g.held == nil {
		return nil
	}
	return g.held.Replay()
}

func (g *grant) begin() error {
	if g.held == nil {
		return nil
	}
	return g.held.Begin()
}

// abandon gives the claim back. Its error is the keeper's to retry.
func (g *grant) abandon(ctx context.Context) {
	if g.held != nil {
		_ = g.held.Abandon(context.WithoutCancel(ctx))
	}
}

// job is one dispatched piece of work.
type job struct {
	attempt *attempt
	ticket  *clemgate.Ticket
	grant   *grant
	answer  *clemanswer.Answer
}

// run hands the work to the backend server and records how it ended.
func (s *Sidecar) run(ctx context.Context, j *job) {
	defer s.running.Done()
	defer j.attempt.cancel()
	offer := j.attempt.offer
	begun := time.Now()
	err := s.backend.Run(ctx, offer, &meter{Answer: j.answer, gate: s.gate, ticket: j.ticket})
	s.gate.Leave(time.Now(), j.ticket)
	err = s.settle(ctx, j, err)
	s.answers.Close(j.answer, err, time.Now())
	s.end(j.attempt)
	s.events.Emit(clemevent.WorkEnded, zap.String("request", offer.GetRequest()), zap.String("attempt", offer.GetAttempt()),
		zap.String("organisation", offer.GetOrganisation()), zap.Duration("took", time.Since(begun)), zap.Error(err))
}

// settle records the outcome of at-most-once work before the answer ends, so
// that a caller who saw the answer finds it again.
func (s *Sidecar) settle(ctx context.Context, j *job, err error) error {
	if j.grant.held == nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err == nil {
		// The answer stands even if the record is late: the keeper goes on trying.
		_ = j.grant.held.Finish(ctx, j.answer.Body())
		return nil
	}
	if clementineturn.IsNotRun(err) {
		_ = j.grant.held.Abandon(ctx)
		return err
	}
	_ = j.grant.held.Lose(ctx, err)
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnknown, Message: clementineturn.AsError(err).Message(), Cause: err,
	})
}

// replay answers with the stored outcome of an earlier attempt.
func (s *Sidecar) replay(a *attempt, answer *clemanswer.Answer, outcome *clemwire.Outcome) {
	err := answer.Start(&clemwire.Start{Status: outcome.GetStatus(), Media: outcome.GetMedia(), Replayed: true})
	if err == nil {
		err = answer.Data(outcome.GetBody())
	}
	s.answers.Close(answer, err, time.Now())
	a.cancel()
	s.end(a)
}

// meter counts an answer's output on its way into the buffer.
type meter struct {
	*clemanswer.Answer
	gate   *clemgate.Gate
	ticket *clemgate.Ticket
	bytes  uint64
}

// Priority returns the priority that the gate gives the work; engines that
// honour priorities run lower numbers first.
func (m *meter) Priority() int { return m.ticket.Priority() }

// Data implements clementineturn.Sink.
func (m *meter) Data(data []byte) error {
	m.bytes += uint64(len(data))
	m.gate.Progress(time.Now(), m.ticket, m.bytes/tokenBytes)
	return m.Answer.Data(data)
}
