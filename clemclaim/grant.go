package clemclaim

import (
	"context"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Grant is the right to run one call, or the outcome of an earlier run.
type Grant struct {
	keeper *Keeper
	ctx    context.Context
	claim  *clemwire.Claim
	replay *clemwire.Outcome
}

// Replay returns the outcome of an earlier run, or nil if the call is to be run.
func (g *Grant) Replay() *clemwire.Outcome { return g.replay }

// Begin must succeed before the call is dispatched. After an error, which
// says that the work was not run, the call must not be dispatched.
func (g *Grant) Begin() error {
	if err := g.ctx.Err(); err != nil {
		return clementineturn.Refuse(clementineturn.KindExpired, "before dispatch: %w", err)
	}
	return nil
}

// Finish records the outcome of the call.
func (g *Grant) Finish(ctx context.Context, outcome *clemwire.Outcome) error {
	return g.advance(ctx, clemwire.ClaimState_CLAIM_STATE_DONE, outcome)
}

// Lose records that the call was dispatched and its outcome is not known.
func (g *Grant) Lose(ctx context.Context, _ error) error {
	return g.advance(ctx, clemwire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
}

// Abandon records that the call was never dispatched and never will be.
func (g *Grant) Abandon(ctx context.Context) error {
	return g.advance(ctx, clemwire.ClaimState_CLAIM_STATE_VOID, nil)
}

func (g *Grant) advance(ctx context.Context, state clemwire.ClaimState, outcome *clemwire.Outcome) error {
	return g.keeper.config.Ledger.Advance(ctx, &clemwire.Record{Claim: g.claim, State: state, Outcome: outcome})
}
