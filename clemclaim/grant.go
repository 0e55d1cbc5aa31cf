package clemclaim

import (
	"context"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// phase is the state of a grant.
type phase uint8

const (
	// phaseClaiming lasts until the claim is in the ledger.
	phaseClaiming phase = iota
	// phaseHeld lasts until Begin.
	phaseHeld
	// phaseRunning lasts until the call completes.
	phaseRunning
	// phaseEnded lasts until the completion is in the ledger.
	phaseEnded
	// phaseVoided is the phase of a grant whose call must never run.
	phaseVoided
)

// MaxOutcomeBytes is the maximum size of an outcome's body that is stored for
// replay.
const MaxOutcomeBytes = 64 << 10

// Grant is the right to run one call, or the outcome of an earlier run.
type Grant struct {
	claimer  *Claimer
	ctx      context.Context
	claim    *clemwire.Claim
	deadline time.Time
	phase    phase
	// recordsVoid is set if this claimer records the void. Otherwise the attempt
	// that requested it does.
	recordsVoid bool
	replay      *clemwire.Outcome
}

// Replay returns the outcome of an earlier run, or nil if the call is to be run.
func (g *Grant) Replay() *clemwire.Outcome { return g.replay }

// Begin must succeed before the call is dispatched. After an error the call
// must not be dispatched and the grant has ended. Errors: KindInProgress if
// another attempt took over, KindExpired and KindCancelled, which state that the
// work was not run; KindInternal if the grant has begun before or has ended,
// which does not change it.
func (g *Grant) Begin() error {
	g.claimer.mu.Lock()
	err := g.beginLocked()
	g.claimer.mu.Unlock()
	if err != nil {
		g.releaseNotBegun()
	}
	return err
}

// beginLocked is Begin for a caller that holds the claimer's mutex.
func (g *Grant) beginLocked() error {
	switch {
	case g.phase == phaseVoided:
		return errTakenOver(g.claim)
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

// releaseNotBegun ends a grant whose Begin failed. The void is recorded in the
// background.
func (g *Grant) releaseNotBegun() {
	if g.transition(phaseHeld, phaseVoided) {
		g.claimer.backlog.add(&completion{grant: g, record: &clemwire.Record{Claim: g.claim, State: stateVoid}})
		return
	}
	g.claimer.endTakenOver(g)
}

// transition changes the phase from one to another, and reports whether the
// grant was in the first.
func (g *Grant) transition(from, to phase) bool {
	g.claimer.mu.Lock()
	defer g.claimer.mu.Unlock()
	if g.phase != from {
		return false
	}
	g.phase = to
	g.recordsVoid = to == phaseVoided
	return true
}

// Complete records the outcome of a call that has begun. An outcome whose body is
// larger than MaxOutcomeBytes is not stored, so the call cannot be replayed.
// Errors: KindUnavailable and KindUnknown if the record is pending, in which
// case the claimer retries it in the background, and KindConflict if the claim
// was resolved otherwise.
func (g *Grant) Complete(ctx context.Context, outcome *clemwire.Outcome) error {
	if len(outcome.GetBody()) > MaxOutcomeBytes {
		outcome = nil
	}
	return g.complete(ctx, &clemwire.Record{Claim: g.claim, State: stateDone, Outcome: outcome})
}

// RecordUnknown records that the call was dispatched and has an unknown outcome.
// Errors as for Complete.
func (g *Grant) RecordUnknown(ctx context.Context, cause error) error {
	fields := append(claimFields(g.claim), zap.NamedError("cause", cause))
	g.claimer.config.Events.Emit(clemevent.ClaimOutcomeUnknown, fields...)
	return g.complete(ctx, &clemwire.Record{Claim: g.claim, State: stateUnknown})
}

func (g *Grant) complete(ctx context.Context, record *clemwire.Record) error {
	if !g.transition(phaseRunning, phaseEnded) {
		return clementineturn.Errorf(clementineturn.KindInternal, "the call of key %q is not running", g.claim.GetKey())
	}
	return g.claimer.recordOrQueue(ctx, &completion{grant: g, record: record})
}

// Release voids the claim of a call that was not dispatched and never will be:
// it was not admitted in time, or the backend server could not be reached and
// no byte of the call was sent. It does nothing after Begin failed or the call
// completed. Errors as for Complete.
func (g *Grant) Release(ctx context.Context) error {
	if g.transition(phaseHeld, phaseVoided) || g.transition(phaseRunning, phaseVoided) {
		return g.claimer.recordOrQueue(ctx, &completion{grant: g, record: &clemwire.Record{Claim: g.claim, State: stateVoid}})
	}
	g.claimer.endTakenOver(g)
	return nil
}
