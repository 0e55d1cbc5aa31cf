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

// bytesPerToken is the typical size of a token's text. It converts answer bytes
// to output tokens.
const bytesPerToken = 4

// grant is the permission to run one attempt. Idempotent work needs no claim, so
// claimed is nil for it.
type grant struct {
	claimed *clemclaim.Grant
}

// claim acquires the claim for at-most-once work.
func (s *Sidecar) claim(ctx context.Context, offer *clemwire.Offer) (*grant, error) {
	if offer.GetMode() != clemwire.Mode_MODE_AT_MOST_ONCE {
		return &grant{}, nil
	}
	if offer.GetKey() == "" {
		return nil, clementineturn.Refuse(clementineturn.KindKeyMissing, "%s/%s runs at most once and needs a key", offer.GetService(), offer.GetCall())
	}
	h := s.current.Load()
	if h == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "%s has no incarnation yet", s.server)
	}
	// The grant is bound to the context: begin fails once the caller's deadline
	// has passed.
	claimed, err := h.claimer.Acquire(ctx, offer)
	if err != nil {
		return nil, err
	}
	return &grant{claimed: claimed}, nil
}

func (g *grant) replay() *clemwire.Outcome {
	if g.claimed == nil {
		return nil
	}
	return g.claimed.Replay()
}

func (g *grant) begin() error {
	if g.claimed == nil {
		return nil
	}
	return g.claimed.Begin()
}

// abandon releases the claim. The claimer retries on failure, so the error is
// ignored.
func (g *grant) abandon(ctx context.Context) {
	if g.claimed != nil {
		_ = g.claimed.Release(context.WithoutCancel(ctx))
	}
}

// job is a dispatched attempt.
type job struct {
	attempt *attempt
	ticket  *clemgate.Ticket
	grant   *grant
	answer  *clemanswer.Answer
}

// run sends the work to the backend server and records its outcome.
func (s *Sidecar) run(ctx context.Context, j *job) {
	defer s.jobs.Done()
	defer j.attempt.cancel()
	offer := j.attempt.offer
	started := time.Now()
	err := s.backend.Run(ctx, offer, &meteredAnswer{Answer: j.answer, gate: s.gate, ticket: j.ticket})
	s.gate.Release(time.Now(), j.ticket)
	err = s.recordOutcome(ctx, j, err)
	s.answers.Close(j.answer, err, time.Now())
	s.finish(j.attempt)
	s.events.Emit(clemevent.WorkEnded, zap.String("request", offer.GetRequest()), zap.String("attempt", offer.GetAttempt()),
		zap.String("organisation", offer.GetOrganisation()), zap.Duration("took", time.Since(started)), zap.Error(err))
}

// recordOutcome records the outcome of at-most-once work before the answer ends,
// so that a caller that received the answer gets the same one on a retry.
func (s *Sidecar) recordOutcome(ctx context.Context, j *job, err error) error {
	if j.grant.claimed == nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err == nil {
		// The answer is valid even if recording fails: the claimer retries.
		_ = j.grant.claimed.Complete(ctx, j.answer.Body())
		return nil
	}
	if clementineturn.IsNotRun(err) {
		_ = j.grant.claimed.Release(ctx)
		return err
	}
	_ = j.grant.claimed.RecordUnknown(ctx, err)
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindUnknown, Message: clementineturn.AsError(err).Message(), Cause: err,
	})
}

// replayOutcome answers with the recorded outcome of an earlier attempt.
func (s *Sidecar) replayOutcome(a *attempt, answer *clemanswer.Answer, outcome *clemwire.Outcome) {
	err := answer.Start(&clemwire.Start{Status: outcome.GetStatus(), Media: outcome.GetMedia(), Replayed: true})
	if err == nil {
		err = answer.Data(outcome.GetBody())
	}
	s.answers.Close(answer, err, time.Now())
	a.cancel()
	s.finish(a)
}

// meteredAnswer reports the output written to an answer to the gate.
type meteredAnswer struct {
	*clemanswer.Answer
	gate   *clemgate.Gate
	ticket *clemgate.Ticket
	bytes  uint64
}

// Priority returns the priority that the gate assigned to the work. Engines that
// support priorities run lower numbers first.
func (m *meteredAnswer) Priority() int { return m.ticket.Priority() }

// Data implements clementineturn.Sink.
func (m *meteredAnswer) Data(data []byte) error {
	m.bytes += uint64(len(data))
	m.gate.ReportProgress(time.Now(), m.ticket, m.bytes/bytesPerToken)
	return m.Answer.Data(data)
}
