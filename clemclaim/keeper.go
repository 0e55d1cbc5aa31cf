package clemclaim

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/timestamppb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// ClaimerConfig describes a Claimer to construct.
type ClaimerConfig struct {
	Ledger clementineturn.Ledger
	// Server and Incarnation identify the sidecar in its claims.
	Server      string
	Incarnation uint64
	// Locate returns the sidecar of a backend server, or nil if unknown.
	Locate func(server string) clementineturn.Peer
	Events *clemevent.Logger
}

// maxGrants is the maximum number of grants whose completion is not in the ledger
// yet.
const maxGrants = 8192

// Claimer claims at-most-once calls for one sidecar and grants the right to run
// them. It holds the grant of a token from before the claim is written until the
// claim's completion is in the ledger. The call of a token of this incarnation
// without a grant therefore never runs, or ran and has its completion in the
// ledger, which no void can replace; in both cases the token may be voided.
type Claimer struct {
	config  ClaimerConfig
	backlog backlog

	// mu guards the fields below it, and the phase and recordsVoid of every
	// grant. No other lock is taken while it is held.
	mu sync.Mutex
	// grants holds the grants by token.
	grants map[string]*Grant
	// lastClaimTime is the time of the latest claim.
	lastClaimTime time.Time
}

// NewClaimer returns the claimer that the configuration describes.
func NewClaimer(c ClaimerConfig) *Claimer {
	return &Claimer{config: c, grants: map[string]*Grant{}, backlog: newBacklog()}
}

// PayloadDigest returns a digest of the offer's service, call and body. Attempts
// at the same key with different digests are different calls.
func PayloadDigest(offer *clemwire.Offer) uint64 {
	digest := xxhash.New()
	for _, part := range []string{offer.GetService(), offer.GetCall()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(offer.GetBody())
	return digest.Sum64()
}

// Acquire claims the offer's call. It returns a grant to run the call, or one
// with the outcome of an earlier run. Begin fails once the context or the
// offer's timeout has ended. Errors: KindKeyMissing, KindKeyReused,
// KindUnavailable and KindOverloaded, which state that the work was not run;
// KindInProgress, which states it only if another attempt took over; KindUnknown
// and KindEvicted, which do not, since another attempt at the call may have run.
func (k *Claimer) Acquire(ctx context.Context, offer *clemwire.Offer) (*Grant, error) {
	if offer.GetKey() == "" {
		return nil, clementineturn.Refuse(clementineturn.KindKeyMissing, "an at-most-once call needs a key")
	}
	grant, err := k.addGrant(ctx, offer)
	if err != nil {
		return nil, err
	}
	outcome, err := k.claimCall(ctx, grant)
	if err != nil {
		k.endGrant(grant)
		return nil, err
	}
	if outcome != nil {
		k.endGrant(grant)
		return &Grant{claimer: k, claim: grant.claim, phase: phaseEnded, replay: outcome}, nil
	}
	if err := k.confirmGrant(grant); err != nil {
		return nil, err
	}
	return grant, nil
}

// addGrant adds a grant for the offer's token, so that the token can be voided
// while its claim is being written.
func (k *Claimer) addGrant(ctx context.Context, offer *clemwire.Offer) (*Grant, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.grants[offer.GetAttempt()]; ok {
		return nil, clementineturn.Errorf(clementineturn.KindInProgress, "attempt %q is here already", offer.GetAttempt())
	}
	if len(k.grants) >= maxGrants {
		return nil, clementineturn.Refuse(clementineturn.KindOverloaded, "%d calls wait for the ledger", len(k.grants))
	}
	now := time.Now()
	grant := &Grant{claimer: k, ctx: ctx, claim: k.newClaim(offer, now)}
	if timeout := offer.GetTimeout(); timeout != nil {
		grant.deadline = now.Add(timeout.AsDuration())
	}
	k.grants[offer.GetAttempt()] = grant
	return grant, nil
}

// newClaim returns the offer's claim. Its time is later than that of every
// earlier claim of this claimer, even if the clock steps back.
func (k *Claimer) newClaim(offer *clemwire.Offer, now time.Time) *clemwire.Claim {
	now = now.Round(0)
	if !now.After(k.lastClaimTime) {
		now = k.lastClaimTime.Add(time.Nanosecond)
	}
	k.lastClaimTime = now
	return &clemwire.Claim{
		Organisation: offer.GetOrganisation(), Key: offer.GetKey(), Token: offer.GetAttempt(),
		Server: k.config.Server, Incarnation: k.config.Incarnation, Payload: PayloadDigest(offer),
		Time: timestamppb.New(now), Request: offer.GetRequest(),
	}
}

// endGrant ends a grant and removes it.
func (k *Claimer) endGrant(grant *Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	grant.phase = phaseEnded
	if k.grants[grant.claim.GetToken()] == grant {
		delete(k.grants, grant.claim.GetToken())
	}
}

// confirmGrant completes an acquisition unless the token was voided meanwhile.
func (k *Claimer) confirmGrant(grant *Grant) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if grant.phase == phaseVoided {
		grant.phase = phaseEnded
		delete(k.grants, grant.claim.GetToken())
		return errTakenOver(grant.claim)
	}
	grant.phase = phaseHeld
	return nil
}

// endTakenOver ends a grant that was voided for another attempt. That attempt,
// or the next one, records the void.
func (k *Claimer) endTakenOver(grant *Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if grant.phase == phaseVoided && !grant.recordsVoid {
		grant.phase = phaseEnded
		delete(k.grants, grant.claim.GetToken())
	}
}

func errTakenOver(claim *clemwire.Claim) error {
	return clementineturn.Refuse(clementineturn.KindInProgress, "another attempt at key %q took over before this one began", claim.GetKey())
}

// Void voids a token at the request of another sidecar, unless its call runs or
// ran. The answer identifies this sidecar and its incarnation.
func (k *Claimer) Void(void *clemwire.Void) *clemwire.Voided {
	return &clemwire.Voided{
		State:  k.voidToken(void),
		Status: &clemwire.Status{Server: k.config.Server, Incarnation: k.config.Incarnation},
	}
}

func (k *Claimer) voidToken(void *clemwire.Void) clemwire.TokenState {
	if void.GetIncarnation() != k.config.Incarnation {
		return clemwire.TokenState_TOKEN_STATE_FOREIGN
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	grant := k.grants[void.GetToken()]
	if grant == nil {
		return clemwire.TokenState_TOKEN_STATE_VOIDED
	}
	switch grant.phase {
	case phaseRunning:
		return clemwire.TokenState_TOKEN_STATE_RUNNING
	case phaseEnded:
		return clemwire.TokenState_TOKEN_STATE_DONE
	default:
		grant.phase = phaseVoided
		return clemwire.TokenState_TOKEN_STATE_VOIDED
	}
}
