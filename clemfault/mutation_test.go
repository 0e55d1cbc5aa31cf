package clemfault

import (
	"context"
	"flag"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// removed names the mechanism that the mutation check switches off.
var removed = flag.String("remove", "", "mechanism to switch off: claim, void, incarnation, generation, bound or end")

// Mechanisms that can be switched off.
const (
	removeClaim       = "claim"
	removeVoid        = "void"
	removeIncarnation = "incarnation"
	removeGeneration  = "generation"
	removeBound       = "bound"
	removeEnd         = "end"
)

// freeLedger grants every claim.
type freeLedger struct{ clementineturn.Ledger }

// Claim implements clementineturn.Ledger.
func (freeLedger) Claim(_ context.Context, claim *clemwire.Claim) (*clemwire.Record, error) {
	return &clemwire.Record{Claim: claim, State: clemwire.ClaimState_CLAIM_STATE_HELD}, nil
}

// Advance implements clementineturn.Ledger.
func (freeLedger) Advance(context.Context, *clemwire.Record) error { return nil }

// ledger returns the ledger that keepers use.
func ledger(claims clementineturn.Ledger) clementineturn.Ledger {
	if *removed == removeClaim {
		return freeLedger{claims}
	}
	return claims
}

// number returns the incarnation that a sidecar believes to be.
func number(incarnation uint64) uint64 {
	if *removed == removeIncarnation {
		return 1
	}
	return incarnation
}

// slots returns the slots of a pool.
func slots() uint32 {
	if *removed == removeBound {
		return 100 * poolSlots
	}
	return poolSlots
}

// voided answers a request for a token in the server's name, without the
// promise of its sidecar.
func voided(server string) (*clemwire.Voided, bool) {
	status := &clemwire.Status{Server: server}
	return &clemwire.Voided{State: clemwire.TokenState_TOKEN_STATE_VOIDED, Status: status}, *removed == removeVoid
}

// endOf makes an end marker that fits whatever was passed so far.
type endOf struct {
	digest xxhash.Digest
	length uint64
	last   *clemwire.Frame
}

func newEndOf() *endOf {
	e := &endOf{}
	e.digest.Reset()
	return e
}

func (e *endOf) add(frame *clemwire.Frame) {
	_, _ = e.digest.Write(frame.GetData())
	e.length += uint64(len(frame.GetData()))
	e.last = frame
}

// frame returns the made-up end, or nil if the mechanism is in place.
func (e *endOf) frame() *clemwire.Frame {
	if *removed != removeEnd || e.last == nil {
		return nil
	}
	return &clemwire.Frame{
		Request: e.last.GetRequest(), Attempt: e.last.GetAttempt(), Seq: e.last.GetSeq() + 1,
		End: &clemwire.End{Length: e.length, Digest: e.digest.Sum64()},
	}
}
