package clemclaim

import (
	"context"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// phase is how far a grant has come.
type phase uint8

const (
	// phaseClaiming lasts until the claim is in the ledger.
	phaseClaiming phase = iota
	// phaseHeld lasts until Begin.
	phaseHeld
	// phaseRunning lasts until the call's end.
	phaseRunning
	// phaseEnded lasts until the end is in the ledger.
	phaseEnded
	// phaseVoided is that of a token which was promised never to run.
	phaseVoided
)

// OutcomeLimit is the size in bytes up to which an outcome's body is kept for replay.
const OutcomeLimit = 64 << 10

// Grant is the right to run one call, or the outcome of an earlier run.
type Grant struct {
	keeper   *Keeper
	ctx      context.Context
	claim    *clemwire.Claim
	deadline time.Time
	phase    phase
	// abandoned is set if the void is recorded by this keeper.
	abandoned bool
	replay    *clemwire.Outcome
}

// Replay returns the outcome of an earlier run, or nil if the call is to be run.
func (g *Grant) Replay() *clemwire.Outcome { return g.replay }

// Begin must succeed before the call is dispatched. After an error, which
// says that the work was not run, the call must not be dispatched and the
// grant has ended. Errors: KindInProgress if another attempt took over,
// KindExpired, KindCancelled.
func (g *Grant) Begin() error {
	g.keeper.mu.Lock()
	err := g.begin()
	g.keeper.mu.Unlock()
	if err != nil {
		g.giveUp()
	}
	return err
}

func (g *Grant) begin() error {
	switch {
	case g.phase == phaseVoided:
		return errVoided(g.claim)
	case g.phase != phaseHeld:
		return clementineturn.Errorf(clementineturn.KindInternal, "the grant of key %q has begun before", g.claim.GetKey())
	case g.ctx.Err() != nil:
		return clementineturn.Refuse(clementineturn.AsError(g.ctx.Err()).Kind(), "before dispatch: %w", g.ctx.Err())
	case !g.deadline.IsZero() && !time.Now().Before(g.deadline):
		return clementineturn.Refuse(clementineturn.KindExpired, "the deadline passed before dispatch")
	}
	g.phase = phaseRunning
	return nil
}

// giveUp ends a grant that failed to begin. The void is recorded in the background.
func (g *Grant) giveUp() {
	if g.move(phaseHeld, phaseVoided) {
		g.keeper.backlog.add(&ending{grant: g, record: &clemwire.Record{Claim: g.claim, State: stateVoid}})
		return
	}
	g.keeper.forget(g)
}

// move takes the grant from one phase to another and reports whether it was in the first.
func (g *Grant) move(from, to phase) bool {
	g.keeper.mu.Lock()
	defer g.keeper.mu.Unlock()
	if g.phase != from {
		return false
	}
	g.phase = to
	g.abandoned = to == phaseVoided
	return true
}

// Finish records the outcome of a call that has begun. If the table cannot be
// reached, the keeper goes on trying and the error says that the record is
// pending. An outcome of more than OutcomeLimit bytes is recorded without its
// body. Errors: KindUnavailable, KindUnknown, and KindConflict if the claim
// was resolved otherwise.
func (g *Grant) Finish(ctx context.Context, outcome *clemwire.Outcome) error {
	if len(outcome.GetBody()) > OutcomeLimit {
		outcome = nil
	}
	return g.finish(ctx, &clemwire.Record{Claim: g.claim, State: stateDone, Outcome: outcome})
}

// Lose records that the call was dispatched and its outcome is not known.
// Errors as for Finish.
func (g *Grant) Lose(ctx context.Context, cause error) error {
	fields := append(claimFields(g.claim), zap.NamedError("cause", cause))
	g.keeper.config.Events.Emit(clemevent.ClaimOutcomeUnknown, fields...)
	return g.finish(ctx, &clemwire.Record{Claim: g.claim, State: stateUnknown})
}

func (g *Grant) finish(ctx context.Context, record *clemwire.Record) error {
	if !g.move(phaseRunning, phaseEnded) {
		return clementineturn.Errorf(clementineturn.KindInternal, "the call of key %q is not running", g.claim.GetKey())
	}
	return g.keeper.record(ctx, &ending{grant: g, record: record})
}

// Abandon records that the call was not dispatched and never will be: it waited
// in vain, or the backend server could not be reached and no byte of it was
// sent. After Begin failed, and after the end of the call, it does nothing.
// Errors as for Finish.
func (g *Grant) Abandon(ctx context.Context) error {
	if g.move(phaseHeld, phaseVoided) || g.move(phaseRunning, phaseVoided) {
		return g.keeper.record(ctx, &ending{grant: g, record: &clemwire.Record{Claim: g.claim, State: stateVoid}})
	}
	g.keeper.forget(g)
	return nil
}
