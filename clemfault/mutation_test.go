package clemfault

import (
	"context"
	"flag"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// removedMechanism names the mechanism that is switched off for the mutation check.
var removedMechanism = flag.String("remove", "", "mechanism to switch off: claim, void, incarnation, generation, bound or end")

// Mechanisms that can be switched off.
const (
	removeClaim       = "claim"
	removeVoid        = "void"
	removeIncarnation = "incarnation"
	removeGeneration  = "generation"
	removeBound       = "bound"
	removeEnd         = "end"
)

// permissiveLedger grants every claim.
type permissiveLedger struct{ clementineturn.Ledger }

// Claim implements clementineturn.Ledger.
func (permissiveLedger) Claim(_ context.Context, claim *clemwire.Claim) (*clemwire.Record, error) {
	return &clemwire.Record{Claim: claim, State: clemwire.ClaimState_CLAIM_STATE_HELD}, nil
}

// Advance implements clementineturn.Ledger.
func (permissiveLedger) Advance(context.Context, *clemwire.Record) error { return nil }

// claimLedger returns the ledger that claimers use: one that grants every claim if
// claims are switched off.
func claimLedger(claims clementineturn.Ledger) clementineturn.Ledger {
	if *removedMechanism == removeClaim {
		return permissiveLedger{claims}
	}
	return claims
}

// claimerIncarnation returns the incarnation that a sidecar claims for: always the
// same one if incarnations are switched off.
func claimerIncarnation(incarnation uint64) uint64 {
	if *removedMechanism == removeIncarnation {
		return 1
	}
	return incarnation
}

// configuredSlots returns the slots of a pool: far more than it has if the bound is
// switched off.
func configuredSlots() uint32 {
	if *removedMechanism == removeBound {
		return 100 * poolSlots
	}
	return poolSlots
}

// forgedVoided returns an answer that a token was voided, which its sidecar knows
// nothing of. It reports whether the answer is to be used: if voiding is switched
// off.
func forgedVoided(server string) (*clemwire.Voided, bool) {
	status := &clemwire.Status{Server: server}
	return &clemwire.Voided{State: clemwire.TokenState_TOKEN_STATE_VOIDED, Status: status}, *removedMechanism == removeVoid
}

// endForger forges an end marker that matches the frames passed so far, so that a
// truncated answer looks complete.
type endForger struct {
	digest xxhash.Digest
	length uint64
	last   *clemwire.Frame
}

func newEndForger() *endForger {
	e := &endForger{}
	e.digest.Reset()
	return e
}

func (e *endForger) add(frame *clemwire.Frame) {
	_, _ = e.digest.Write(frame.GetData())
	e.length += uint64(len(frame.GetData()))
	e.last = frame
}

// forgedEnd returns the forged end marker, or nil if the check of end markers is not
// switched off.
func (e *endForger) forgedEnd() *clemwire.Frame {
	if *removedMechanism != removeEnd || e.last == nil {
		return nil
	}
	return &clemwire.Frame{
		Request: e.last.GetRequest(), Attempt: e.last.GetAttempt(), Seq: e.last.GetSeq() + 1,
		End: &clemwire.End{Length: e.length, Digest: e.digest.Sum64()},
	}
}
