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

// KeeperConfig describes a Keeper to construct.
type KeeperConfig struct {
	Ledger clementineturn.Ledger
	// Server and Incarnation name the sidecar in the claims it makes.
	Server      string
	Incarnation uint64
	// Locate returns the sidecar of a backend server, or nil if unknown.
	Locate func(server string) clementineturn.Peer
	Events *clemevent.Logger
}

// grantLimit bounds the grants whose end the ledger does not hold yet.
const grantLimit = 8192

// Keeper grants the right to run at-most-once calls at one sidecar. It holds
// a grant for each token from before the claim is written until the claim's
// end is in the ledger. A token of this incarnation that it does not hold
// therefore never runs, or ran and has its end in the ledger, which no void
// can replace; either way it may be voided.
type Keeper struct {
	config  KeeperConfig
	backlog backlog

	// mu guards what follows and the phase of every grant. No other lock is
	// taken while it is held.
	mu     sync.Mutex
	grants map[string]*Grant
	last   time.Time
}

// NewKeeper returns the keeper that the configuration describes.
func NewKeeper(c KeeperConfig) *Keeper {
	return &Keeper{config: c, grants: map[string]*Grant{}, backlog: newBacklog()}
}

// Payload returns the digest that tells calls of one key apart.
func Payload(offer *clemwire.Offer) uint64 {
	digest := xxhash.New()
	for _, part := range []string{offer.GetService(), offer.GetCall()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(offer.GetBody())
	return digest.Sum64()
}

// Acquire claims the offer's call. It returns a grant to run the call, or a
// grant with the outcome of an earlier run. The context, and the offer's
// timeout, bound the grant until Begin. Errors: KindKeyReused, KindUnavailable
// and KindOverloaded, which say that the work was not run; KindInProgress,
// KindUnknown and KindEvicted, which do not, since another attempt at the
// same call may have run.
func (k *Keeper) Acquire(ctx context.Context, offer *clemwire.Offer) (*Grant, error) {
	if offer.GetKey() == "" {
		return nil, clementineturn.Refuse(clementineturn.KindKeyMissing, "an at-most-once call needs a key")
	}
	grant, err := k.open(ctx, offer)
	if err != nil {
		return nil, err
	}
	outcome, err := k.acquire(ctx, grant)
	if err != nil {
		k.remove(grant)
		return nil, err
	}
	if outcome != nil {
		k.remove(grant)
		return &Grant{keeper: k, claim: grant.claim, phase: phaseEnded, replay: outcome}, nil
	}
	if err := k.hold(grant); err != nil {
		return nil, err
	}
	return grant, nil
}

// open enters a grant for the offer's token, so that it can be voided while
// its claim is on the way.
func (k *Keeper) open(ctx context.Context, offer *clemwire.Offer) (*Grant, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.grants[offer.GetAttempt()]; ok {
		return nil, clementineturn.Errorf(clementineturn.KindInProgress, "attempt %q is here already", offer.GetAttempt())
	}
	if len(k.grants) >= grantLimit {
		return nil, clementineturn.Refuse(clementineturn.KindOverloaded, "%d calls wait for the ledger", len(k.grants))
	}
	now := time.Now()
	grant := &Grant{keeper: k, ctx: ctx, claim: k.claim(offer, now)}
	if timeout := offer.GetTimeout(); timeout != nil {
		grant.deadline = now.Add(timeout.AsDuration())
	}
	k.grants[offer.GetAttempt()] = grant
	return grant, nil
}

// claim returns the offer's claim. Its time differs from that of every other
// claim of this keeper, also if the clock steps back.
func (k *Keeper) claim(offer *clemwire.Offer, now time.Time) *clemwire.Claim {
	now = now.Round(0)
	if !now.After(k.last) {
		now = k.last.Add(time.Nanosecond)
	}
	k.last = now
	return &clemwire.Claim{
		Organisation: offer.GetOrganisation(), Key: offer.GetKey(), Token: offer.GetAttempt(),
		Server: k.config.Server, Incarnation: k.config.Incarnation, Payload: Payload(offer),
		Time: timestamppb.New(now), Request: offer.GetRequest(),
	}
}

func (k *Keeper) remove(grant *Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	grant.phase = phaseEnded
	if k.grants[grant.claim.GetToken()] == grant {
		delete(k.grants, grant.claim.GetToken())
	}
}

// hold completes an acquisition unless the token was voided meanwhile.
func (k *Keeper) hold(grant *Grant) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if grant.phase == phaseVoided {
		grant.phase = phaseEnded
		delete(k.grants, grant.claim.GetToken())
		return errVoided(grant.claim)
	}
	grant.phase = phaseHeld
	return nil
}

// forget drops a grant that was voided for another attempt. That attempt, or
// the next one, records the void.
func (k *Keeper) forget(grant *Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if grant.phase == phaseVoided && !grant.abandoned {
		grant.phase = phaseEnded
		delete(k.grants, grant.claim.GetToken())
	}
}

func errVoided(claim *clemwire.Claim) error {
	return clementineturn.Refuse(clementineturn.KindInProgress, "another attempt at key %q took over before this one began", claim.GetKey())
}

// Void answers another sidecar's request to give up a token.
func (k *Keeper) Void(void *clemwire.Void) *clemwire.Voided {
	return &clemwire.Voided{
		State:  k.void(void),
		Status: &clemwire.Status{Server: k.config.Server, Incarnation: k.config.Incarnation},
	}
}

func (k *Keeper) void(void *clemwire.Void) clemwire.TokenState {
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
