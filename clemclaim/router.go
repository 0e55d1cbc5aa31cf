package clemclaim

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// submitTimeout bounds a request to the ledger of another sidecar, also if
	// the caller sets no deadline.
	submitTimeout = 30 * time.Second
	// probeInterval is the interval at which a sidecar that has not answered is
	// probed, and the timeout of each probe. A request is not cancelled while the
	// sidecar answers probes: if its ledger is slow because the table is, another
	// ledger would not be faster.
	probeInterval = time.Second
	// minAvoidDuration is how long a sidecar that did not answer is avoided. The
	// time doubles with each request that it does not answer, up to
	// maxAvoidDuration.
	minAvoidDuration = 5 * time.Second
	maxAvoidDuration = time.Minute
	sidecarRole      = "sidecar"
)

// RouterConfig describes a Router to construct.
type RouterConfig struct {
	// Ledger serves the buckets of this process, and all buckets while no sidecar
	// is known.
	Ledger *Ledger
	Board  *clemboard.Board
	Peers  clementineturn.Peers
	// Self is the name of this process's host.
	Self string
}

// Router implements clementineturn.Ledger. It submits each operation to the
// sidecar that owns the claim's bucket, so that operations of many sidecars share
// writes. The owner is found by rendezvous hashing over the members; if it cannot
// be reached, the second in rank is used. Routers need not agree on the owner: a
// disagreement costs the table more writes, and the conditional writes of the
// ledgers keep the claims consistent. An operation may be submitted more than
// once, also to two ledgers, since a ledger recognises a record that it holds.
//
// Locks: mu guards the fields below it and is never held during a call.
type Router struct {
	config RouterConfig

	mu      sync.Mutex
	members *clemboard.Members
	// owners holds the two sidecars of the highest rank for each bucket.
	owners [][]*clemwire.Host
	// avoided holds the sidecars that did not answer, by name.
	avoided map[string]avoidance
}

// avoidance is the time until which a sidecar is avoided, and for how long it was
// set.
type avoidance struct {
	until    time.Time
	duration time.Duration
}

// NewRouter returns the router that the configuration describes.
func NewRouter(c RouterConfig) *Router {
	return &Router{config: c, avoided: map[string]avoidance{}}
}

// Claim implements clementineturn.Ledger.
func (r *Router) Claim(ctx context.Context, claim *clemwire.Claim) (*clemwire.Record, error) {
	return r.route(ctx, &clemwire.Record{Claim: claim, State: stateHeld})
}

// Advance implements clementineturn.Ledger.
func (r *Router) Advance(ctx context.Context, record *clemwire.Record) error {
	_, err := r.route(ctx, record)
	return err
}

// Lookup implements clementineturn.Ledger.
func (r *Router) Lookup(ctx context.Context, organisation, key string) (*clemwire.Record, error) {
	found, err := r.route(ctx, &clemwire.Record{Claim: &clemwire.Claim{Organisation: organisation, Key: key}})
	return found, lookupError(err)
}

// route carries out the operation at the first owner of the claim's bucket that
// answers.
func (r *Router) route(ctx context.Context, record *clemwire.Record) (*clemwire.Record, error) {
	claim := record.GetClaim()
	owners := r.ownersOf(bucketOf(claim.GetOrganisation(), claim.GetKey(), len(r.config.Ledger.buckets)))
	if len(owners) == 0 {
		return r.config.Ledger.apply(ctx, record)
	}
	var earlier error
	for _, owner := range owners {
		answer, answered, err := r.submit(ctx, owner, record)
		if answered {
			return answer, withEarlierError(earlier, err)
		}
		earlier = leastCertain(earlier, err)
	}
	return nil, earlier
}

// withEarlierError returns the error of an operation that an earlier owner did
// not answer. An error that states that nothing was written becomes KindUnknown
// if the earlier request may still take effect.
func withEarlierError(earlier, err error) error {
	if err == nil || !clementineturn.IsNotRun(err) || earlier == nil || clementineturn.IsNotRun(earlier) {
		return err
	}
	return clementineturn.Errorf(clementineturn.KindUnknown, "the record may have been written: %w", err)
}

// leastCertain returns b if a is nil or states that nothing was written, and a
// otherwise.
func leastCertain(a, b error) error {
	if a == nil || clementineturn.IsNotRun(a) {
		return b
	}
	return a
}

// submit submits the operation to one sidecar and reports whether its ledger
// answered.
func (r *Router) submit(ctx context.Context, owner *clemwire.Host, record *clemwire.Record) (*clemwire.Record, bool, error) {
	if owner.GetName() == r.config.Self {
		answer, err := r.config.Ledger.apply(ctx, record)
		return answer, true, err
	}
	answer, err := submitWithProbes(ctx, r.config.Peers.Peer(owner.GetAddress()), record)
	if err != nil {
		r.recordUnanswered(owner.GetName())
		return nil, false, submitError(err)
	}
	r.recordAnswered(owner.GetName())
	if refusal := answer.GetRefusal(); refusal != nil {
		return nil, true, clementineturn.FromRefusal(refusal)
	}
	return answer.GetRecord(), true, nil
}

// submitWithProbes submits the record to a peer, and cancels the request if the
// peer does not answer a probe.
func submitWithProbes(ctx context.Context, peer clementineturn.Peer, record *clemwire.Record) (*clemwire.Submitted, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	var answer *clemwire.Submitted
	done := make(chan error, 1)
	go func() {
		var err error
		answer, err = peer.Submit(ctx, &clemwire.Submit{Record: record, Timeout: durationpb.New(time.Until(deadline))})
		done <- err
	}()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return answer, err
		case <-ticker.C:
			if !isAlive(ctx, peer) {
				cancel()
			}
		}
	}
}

func isAlive(ctx context.Context, peer clementineturn.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	_, err := peer.Probe(ctx)
	return err == nil
}

// submitError returns the error of a request that was not answered: KindUnknown
// unless the request was certainly not carried out.
func submitError(err error) error {
	if clementineturn.IsNotRun(err) {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "submit: %w", err)
	}
	return clementineturn.Errorf(clementineturn.KindUnknown, "submit: %w", err)
}

// recordUnanswered records that the sidecar did not answer, so that it is
// avoided.
func (r *Router) recordUnanswered(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.avoided, func(_ string, a avoidance) bool { return now.Sub(a.until) > maxAvoidDuration })
	duration := min(max(2*r.avoided[name].duration, minAvoidDuration), maxAvoidDuration)
	r.avoided[name] = avoidance{until: now.Add(duration), duration: duration}
}

// recordAnswered records that the sidecar answered.
func (r *Router) recordAnswered(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoided, name)
}

// ownersOf returns the sidecars of the highest rank for the bucket, at most two,
// in the order in which they are tried: if the first is avoided, it comes last.
func (r *Router) ownersOf(bucket uint64) []*clemwire.Host {
	members := r.config.Board.Members().Get()
	r.mu.Lock()
	defer r.mu.Unlock()
	if members == nil {
		return nil
	}
	if members != r.members {
		r.members, r.owners = members, rankOwners(members, len(r.config.Ledger.buckets))
	}
	owners := r.owners[bucket]
	if len(owners) == 2 && time.Now().Before(r.avoided[owners[0].GetName()].until) {
		return []*clemwire.Host{owners[1], owners[0]}
	}
	return owners
}

// rankOwners returns the two sidecars with the highest rendezvous hashes for each
// bucket.
func rankOwners(members *clemboard.Members, buckets int) [][]*clemwire.Host {
	owners := make([][]*clemwire.Host, buckets)
	for bucket := range owners {
		var best, second uint64
		var hosts [2]*clemwire.Host
		for _, host := range members.Hosts() {
			if host.GetRole() != sidecarRole {
				continue
			}
			switch digest := rendezvousHash(uint64(bucket), host.GetName()); {
			case hosts[0] == nil || digest > best:
				best, second = digest, best
				hosts[0], hosts[1] = host, hosts[0]
			case hosts[1] == nil || digest > second:
				second, hosts[1] = digest, host
			}
		}
		for _, host := range hosts {
			if host != nil {
				owners[bucket] = append(owners[bucket], host)
			}
		}
	}
	return owners
}

func rendezvousHash(bucket uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(bucket)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// apply carries out the operation that the record's state specifies: Claim for
// HELD, Lookup for UNSPECIFIED, Advance for all others.
func (l *Ledger) apply(ctx context.Context, record *clemwire.Record) (*clemwire.Record, error) {
	claim := record.GetClaim()
	switch record.GetState() {
	case stateHeld:
		return l.Claim(ctx, claim)
	case clemwire.ClaimState_CLAIM_STATE_UNSPECIFIED:
		return l.Lookup(ctx, claim.GetOrganisation(), claim.GetKey())
	default:
		return nil, l.Advance(ctx, record)
	}
}

// Submit carries out an operation of the ledger for another process.
func (l *Ledger) Submit(ctx context.Context, submit *clemwire.Submit) *clemwire.Submitted {
	if submit.GetRecord().GetClaim() == nil {
		return &clemwire.Submitted{Refusal: clementineturn.Invalid("record.claim", "is missing").Refusal()}
	}
	if timeout := submit.GetTimeout(); timeout != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout.AsDuration())
		defer cancel()
	}
	record, err := l.apply(ctx, submit.GetRecord())
	if err != nil {
		return &clemwire.Submitted{Refusal: clementineturn.AsError(err).Refusal()}
	}
	return &clemwire.Submitted{Record: record}
}
