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
	// maxAcquireRounds is the maximum number of times that a call is claimed,
	// since the claim in force may be voided in between.
	maxAcquireRounds = 4
	// voidTimeout bounds a request to another sidecar to void a token.
	voidTimeout = 2 * time.Second
	// supersedeAge is the age from which the call of a claim of an earlier
	// incarnation has an unknown outcome. Until then the old process may still
	// finish its calls.
	supersedeAge = 10 * time.Minute
)

// claimCall claims the grant's call in the ledger. It returns the outcome of
// an earlier run if there is one.
func (k *Claimer) claimCall(ctx context.Context, grant *Grant) (*clemwire.Outcome, error) {
	for range maxAcquireRounds {
		record, err := k.config.Ledger.Claim(ctx, grant.claim)
		if err != nil {
			return nil, k.claimError(grant, err)
		}
		outcome, free, err := k.evaluate(ctx, grant.claim, record)
		if err != nil || !free {
			return outcome, err
		}
	}
	return nil, errInProgress(grant.claim)
}

// claimError returns the error of a claim that could not be recorded. If its
// write has an unknown outcome, the claim is voided in the background, so that
// the next attempt does not have to ask this sidecar. The grant ends in either
// case.
func (k *Claimer) claimError(grant *Grant, err error) error {
	if clementineturn.IsKind(err, clementineturn.KindUnknown) {
		k.backlog.add(&completion{record: &clemwire.Record{Claim: grant.claim, State: stateVoid}})
	}
	if clementineturn.IsKind(err, clementineturn.KindOverloaded) {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "claim: %w", err)
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "claim: %w", err)
}

// evaluate decides by the record in force whether the call is granted, replayed
// or refused. It returns the outcome of a call that ran, or true if the call can
// be claimed again; if it returns neither, nor an error, the claim is in force.
func (k *Claimer) evaluate(ctx context.Context, claim *clemwire.Claim, record *clemwire.Record) (*clemwire.Outcome, bool, error) {
	holder := record.GetClaim()
	if record.GetState() == stateVoid {
		return nil, false, errTokenReused(claim)
	}
	if holder.GetPayload() != claim.GetPayload() {
		return nil, false, clementineturn.Refuse(clementineturn.KindKeyReused, "key %q was used with another payload", claim.GetKey())
	}
	switch record.GetState() {
	case stateHeld:
		if sameClaim(holder, claim) {
			return nil, false, nil
		}
		err := k.voidHolder(ctx, record)
		return nil, err == nil, err
	case stateDone:
		outcome, err := recordedOutcome(record)
		return outcome, false, err
	default:
		return nil, false, errUnknown(claim)
	}
}

// recordedOutcome returns the outcome of a finished call, or a KindEvicted error
// if it was too large to be stored.
func recordedOutcome(record *clemwire.Record) (*clemwire.Outcome, error) {
	if record.GetOutcome() == nil {
		return nil, clementineturn.Errorf(clementineturn.KindEvicted, "the call of key %q ran; its answer is not kept", record.GetClaim().GetKey())
	}
	return record.GetOutcome(), nil
}

// voidHolder requests the holder of the call to void its token, and records the
// void if it does. It returns nil if the call can be claimed again.
func (k *Claimer) voidHolder(ctx context.Context, record *clemwire.Record) error {
	holder := record.GetClaim()
	voided, err := k.requestVoid(ctx, holder)
	if err != nil {
		return errInProgress(holder)
	}
	switch voided.GetState() {
	case clemwire.TokenState_TOKEN_STATE_VOIDED:
		return k.recordVoid(ctx, &clemwire.Record{Claim: holder, State: stateVoid})
	case clemwire.TokenState_TOKEN_STATE_FOREIGN:
		return k.supersede(ctx, holder, voided.GetStatus().GetIncarnation())
	default:
		return errInProgress(holder)
	}
}

// requestVoid requests the holder to void its token. Only an answer of the
// holder itself counts: its address may now belong to another sidecar, which
// does not know the token and would void it.
func (k *Claimer) requestVoid(ctx context.Context, holder *clemwire.Claim) (*clemwire.Voided, error) {
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

// recordVoid records that the holder voided its token. If another process
// changed the claim first, the next round reads the change.
func (k *Claimer) recordVoid(ctx context.Context, record *clemwire.Record) error {
	err := k.config.Ledger.Advance(ctx, record)
	if err == nil || clementineturn.IsKind(err, clementineturn.KindConflict) || clementineturn.IsKind(err, clementineturn.KindNotFound) {
		k.config.Events.Emit(clemevent.ClaimVoided, claimFields(record.GetClaim())...)
		return nil
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "void: %w", err)
}

// supersede handles a claim of an earlier incarnation of the holder. Whether
// its call ran cannot be determined, so once the claim has reached supersedeAge,
// its outcome is recorded as unknown.
func (k *Claimer) supersede(ctx context.Context, holder *clemwire.Claim, incarnation uint64) error {
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

// errTokenReused refuses an attempt whose token was claimed before and voided.
func errTokenReused(claim *clemwire.Claim) error {
	return clementineturn.Refuse(clementineturn.KindUnavailable, "attempt %q was made before", claim.GetToken())
}

func errInProgress(claim *clemwire.Claim) error {
	return clementineturn.Errorf(clementineturn.KindInProgress, "another attempt at key %q has not ended", claim.GetKey())
}

func errUnknown(claim *clemwire.Claim) error {
	return clementineturn.Errorf(clementineturn.KindUnknown, "the outcome of key %q is not known", claim.GetKey())
}

// claimFields returns the fields of events on the claim.
func claimFields(claim *clemwire.Claim) []zap.Field {
	return []zap.Field{
		zap.String("organisation", claim.GetOrganisation()), zap.String("key", claim.GetKey()),
		zap.String("token", claim.GetToken()), zap.String("server", claim.GetServer()),
		zap.Uint64("incarnation", claim.GetIncarnation()), zap.String("request", claim.GetRequest()),
	}
}
