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

// Keeper grants the right to run at-most-once calls at one sidecar.
type Keeper struct {
	config KeeperConfig
	mu     sync.Mutex
	grants map[string]*Grant
}

// NewKeeper returns the keeper that the configuration describes.
func NewKeeper(c KeeperConfig) *Keeper {
	return &Keeper{config: c, grants: map[string]*Grant{}}
}

// Start records outcomes in the background until the context ends.
func (k *Keeper) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		done <- nil
	}()
	return done
}

// Pending returns the number of outcomes that the table does not hold yet.
func (k *Keeper) Pending() int { return 0 }

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
// grant with the outcome of an earlier run. Errors: KindKeyReused,
// KindInProgress, KindUnknown, KindUnavailable.
func (k *Keeper) Acquire(ctx context.Context, offer *clemwire.Offer) (*Grant, error) {
	claim := &clemwire.Claim{
		Organisation: offer.GetOrganisation(), Key: offer.GetKey(), Token: offer.GetAttempt(),
		Server: k.config.Server, Incarnation: k.config.Incarnation, Payload: Payload(offer),
		Time: timestamppb.New(time.Now()), Request: offer.GetRequest(),
	}
	record, err := k.config.Ledger.Claim(ctx, claim)
	if err != nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "claim: %w", err)
	}
	switch {
	case record.GetClaim().GetPayload() != claim.GetPayload():
		return nil, clementineturn.Refuse(clementineturn.KindKeyReused, "key %q was used with another payload", claim.GetKey())
	case record.GetState() == clemwire.ClaimState_CLAIM_STATE_DONE:
		return &Grant{keeper: k, claim: claim, replay: record.GetOutcome()}, nil
	case record.GetState() == clemwire.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "the outcome of key %q is not known", claim.GetKey())
	case record.GetClaim().GetToken() != claim.GetToken():
		return nil, clementineturn.Errorf(clementineturn.KindInProgress, "key %q is held by another attempt", claim.GetKey())
	}
	grant := &Grant{keeper: k, ctx: ctx, claim: claim}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.grants[claim.GetToken()] = grant
	return grant, nil
}

// Void answers another sidecar's request to give up a token.
func (k *Keeper) Void(void *clemwire.Void) *clemwire.Voided {
	if void.GetIncarnation() != k.config.Incarnation {
		return &clemwire.Voided{State: clemwire.TokenState_TOKEN_STATE_FOREIGN}
	}
	return &clemwire.Voided{State: clemwire.TokenState_TOKEN_STATE_RUNNING}
}
