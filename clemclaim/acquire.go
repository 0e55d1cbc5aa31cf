package clemclaim

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// acquireRounds bounds how often a claim is tried anew after a void.
	acquireRounds = 4
	// voidTimeout bounds the request to another sidecar to void its token.
	voidTimeout = 2 * time.Second
	// supersedeAge is the age from which a claim of an earlier incarnation
	// counts as lost. Until then the old process may be finishing its calls.
	supersedeAge = 10 * time.Minute
)

// acquire claims the call for the grant. It returns the outcome of an earlier
// run if there is one.
func (k *Keeper) acquire(ctx context.Context, grant *Grant) (*clemwire.Outcome, error) {
	for range acquireRounds {
		record, err := k.config.Ledger.Claim(ctx, grant.claim)
		if err != nil {
			return nil, k.unclaimed(grant, err)
		}
		outcome, free, err := k.judge(ctx, grant.claim, record)
		if err != nil || !free {
			return outcome, err
		}
	}
	return nil, errInProgress(grant.claim)
}

// unclaimed returns the error of a claim that could not be recorded. If its
// write may still take effect, the claim is voided in the background, so that
// the next attempt need not ask this sidecar; the grant is gone either way.
func (k *Keeper) unclaimed(grant *Grant, err error) error {
	if clementineturn.IsKind(err, clementineturn.KindUnknown) {
		k.backlog.add(&ending{record: &clemwire.Record{Claim: grant.claim, State: stateVoid}})
	}
	if clementineturn.IsKind(err, clementineturn.KindOverloaded) {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "claim: %w", err)
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "claim: %w", err)
}

// judge tells what the record in force means for the claim: the call is
// granted or replayed, refused, or free to be claimed anew.
func (k *Keeper) judge(ctx context.Context, claim *clemwire.Claim, record *clemwire.Record) (*clemwire.Outcome, bool, error) {
	holder := record.GetClaim()
	if record.GetState() == stateVoid {
		return nil, false, errRepeated(claim)
	}
	if holder.GetPayload() != claim.GetPayload() {
		return nil, false, clementineturn.Refuse(clementineturn.KindKeyReused, "key %q was used with another payload", claim.GetKey())
	}
	switch record.GetState() {
	case stateHeld:
		if sameClaim(holder, claim) {
			return nil, false, nil
		}
		err := k.contest(ctx, record)
		return nil, err == nil, err
	case stateDone:
		outcome, err := replay(record)
		return outcome, false, err
	default:
		return nil, false, errUnknown(claim)
	}
}

func replay(record *clemwire.Record) (*clemwire.Outcome, error) {
	if record.GetOutcome() == nil {
		return nil, clementineturn.Errorf(clementineturn.KindEvicted, "the call of key %q ran; its answer is not kept", record.GetClaim().GetKey())
	}
	return record.GetOutcome(), nil
}

// contest asks the holder of the call to give it up, and voids the claim if it
// does. It returns nil if the call may be claimed anew.
func (k *Keeper) contest(ctx context.Context, record *clemwire.Record) error {
	holder := record.GetClaim()
	voided, err := k.ask(ctx, holder)
	if err != nil {
		return errInProgress(holder)
	}
	switch voided.GetState() {
	case clemwire.TokenState_TOKEN_STATE_VOIDED:
		return k.replace(ctx, &clemwire.Record{Claim: holder, State: stateVoid})
	case clemwire.TokenState_TOKEN_STATE_FOREIGN:
		return k.supersede(ctx, holder, voided.GetStatus().GetIncarnation())
	default:
		return errInProgress(holder)
	}
}

// ask requests the holder to give up its token. Only the holder's own answer
// counts: its address may have passed to another sidecar, which does not know
// the token and would void it.
func (k *Keeper) ask(ctx context.Context, holder *clemwire.Claim) (*clemwire.Voided, error) {
	void := &clemwire.Void{Token: holder.GetToken(), Incarnation: holder.GetIncarnation()}
	if holder.GetServer() == k.config.Server {
		return k.Void(void), nil
	}
	peer := k.config.Locate(holder.GetServer())
	if peer == nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "no sidecar of %s is known", holder.GetServer())
	}
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	voided, err := peer.Void(ctx, void)
	if err != nil {
		return nil, err
	}
	if server := voided.GetStatus().GetServer(); server != holder.GetServer() {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "the sidecar of %q answered for %q", server, holder.GetServer())
	}
	return voided, nil
}

// replace records that the holder gave up. If somebody else moved the claim
// first, the next round sees it.
func (k *Keeper) replace(ctx context.Context, record *clemwire.Record) error {
	err := k.config.Ledger.Advance(ctx, record)
	if err == nil || clementineturn.IsKind(err, clementineturn.KindConflict) || clementineturn.IsKind(err, clementineturn.KindNotFound) {
		k.config.Events.Emit(clemevent.ClaimVoided, claimFields(record.GetClaim())...)
		return nil
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "void: %w", err)
}

// supersede handles a claim of an earlier incarnation. Nobody can say whether
// its call ran, so that once it is old its outcome is recorded as unknown.
func (k *Keeper) supersede(ctx context.Context, holder *clemwire.Claim, incarnation uint64) error {
	if incarnation <= holder.GetIncarnation() || time.Since(holder.GetTime().AsTime()) < supersedeAge {
		return errInProgress(holder)
	}
	record := &clemwire.Record{Claim: holder, State: stateUnknown, Author: fmt.Sprintf("%s/%d", holder.GetServer(), incarnation)}
	if err := k.config.Ledger.Advance(ctx, record); err != nil {
		return errInProgress(holder)
	}
	k.config.Events.Emit(clemevent.ClaimSuperseded, claimFields(holder)...)
	return errUnknown(holder)
}

// errRepeated refuses an attempt whose token was claimed before and never ran.
func errRepeated(claim *clemwire.Claim) error {
	return clementineturn.Refuse(clementineturn.KindUnavailable, "attempt %q was made before", claim.GetToken())
}

func errInProgress(claim *clemwire.Claim) error {
	return clementineturn.Errorf(clementineturn.KindInProgress, "another attempt at key %q has not ended", claim.GetKey())
}

func errUnknown(claim *clemwire.Claim) error {
	return clementineturn.Errorf(clementineturn.KindUnknown, "the outcome of key %q is not known", claim.GetKey())
}

func claimFields(claim *clemwire.Claim) []zap.Field {
	return []zap.Field{
		zap.String("organisation", claim.GetOrganisation()), zap.String("key", claim.GetKey()),
		zap.String("token", claim.GetToken()), zap.String("server", claim.GetServer()),
		zap.Uint64("incarnation", claim.GetIncarnation()), zap.String("request", claim.GetRequest()),
	}
}
