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
	// submitTimeout bounds one request to the ledger of another sidecar whose
	// caller sets no deadline.
	submitTimeout = 30 * time.Second
	// probeAfter is the time after which a sidecar that has not answered is
	// probed, and how long the probe may take. A slow table makes a ledger slow
	// to answer, and passing its steps to another one would not help.
	probeAfter = time.Second
	// avoidTime is how long a sidecar that did not answer is passed over. It
	// doubles while the sidecar does not answer.
	avoidTime   = 5 * time.Second
	avoidMost   = time.Minute
	sidecarRole = "sidecar"
)

// RouterConfig describes a Router to construct.
type RouterConfig struct {
	// Ledger serves the buckets of this process, and every bucket while no
	// sidecar is known.
	Ledger *Ledger
	Board  *clemboard.Board
	Peers  clementineturn.Peers
	// Self is the name of this process's host.
	Self string
}

// Router implements clementineturn.Ledger. It passes each step to the sidecar
// that serves the claim's bucket, so that the steps of many sidecars share
// writes. The sidecar is found by rendezvous hashing over the members; if it
// cannot be reached, the second in rank is asked. Nothing is agreed on:
// routers that disagree cost the table more writes, and the conditional writes
// of the ledgers keep the claims right. Every step may be submitted twice,
// also to two ledgers, since a ledger recognises a record that it holds.
//
// Locks: mu guards the fields below it and is never held during a call.
type Router struct {
	config RouterConfig

	mu      sync.Mutex
	members *clemboard.Members
	// owners holds the two best ranked sidecars of each bucket.
	owners [][]*clemwire.Host
	avoid  map[string]avoidance
}

// avoidance tells until when a sidecar is passed over.
type avoidance struct {
	until time.Time
	pause time.Duration
}

// NewRouter returns the router that the configuration describes.
func NewRouter(c RouterConfig) *Router {
	return &Router{config: c, avoid: map[string]avoidance{}}
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
	return found, unread(err)
}

func (r *Router) route(ctx context.Context, record *clemwire.Record) (*clemwire.Record, error) {
	claim := record.GetClaim()
	owners := r.ranked(bucketOf(claim.GetOrganisation(), claim.GetKey(), len(r.config.Ledger.buckets)))
	if len(owners) == 0 {
		return r.config.Ledger.step(ctx, record)
	}
	var failed error
	for _, owner := range owners {
		answer, answered, err := r.submit(ctx, owner, record)
		if answered {
			return answer, submitted(failed, err)
		}
		failed = worse(failed, err)
	}
	return nil, failed
}

// submitted returns the ledger's error. A refusal as not written holds only if
// no earlier request for the same step is still on its way.
func submitted(earlier, err error) error {
	if err == nil || !clementineturn.IsNotRun(err) || earlier == nil || clementineturn.IsNotRun(earlier) {
		return err
	}
	return clementineturn.Errorf(clementineturn.KindUnknown, "the record may have been written: %w", err)
}

// worse returns the error that leaves more open.
func worse(a, b error) error {
	if a == nil || clementineturn.IsNotRun(a) {
		return b
	}
	return a
}

// submit asks one sidecar and reports whether its ledger answered.
func (r *Router) submit(ctx context.Context, owner *clemwire.Host, record *clemwire.Record) (*clemwire.Record, bool, error) {
	if owner.GetName() == r.config.Self {
		answer, err := r.config.Ledger.step(ctx, record)
		return answer, true, err
	}
	answer, err := ask(ctx, r.config.Peers.Peer(owner.GetAddress()), record)
	if err != nil {
		r.pass(owner.GetName())
		return nil, false, unanswered(err)
	}
	r.answered(owner.GetName())
	if refusal := answer.GetRefusal(); refusal != nil {
		return nil, true, clementineturn.FromRefusal(refusal)
	}
	return answer.GetRecord(), true, nil
}

// ask submits the record to a peer, and gives up early if that does not answer probes.
func ask(ctx context.Context, peer clementineturn.Peer, record *clemwire.Record) (*clemwire.Submitted, error) {
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
	ticker := time.NewTicker(probeAfter)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return answer, err
		case <-ticker.C:
			if !alive(ctx, peer) {
				cancel()
			}
		}
	}
}

func alive(ctx context.Context, peer clementineturn.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, probeAfter)
	defer cancel()
	_, err := peer.Probe(ctx)
	return err == nil
}

// unanswered returns the error of a request without an answer.
func unanswered(err error) error {
	if clementineturn.IsNotRun(err) {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "submit: %w", err)
	}
	return clementineturn.Errorf(clementineturn.KindUnknown, "submit: %w", err)
}

// pass has the sidecar passed over for a while.
func (r *Router) pass(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.avoid, func(_ string, a avoidance) bool { return now.Sub(a.until) > avoidMost })
	pause := min(max(2*r.avoid[name].pause, avoidTime), avoidMost)
	r.avoid[name] = avoidance{until: now.Add(pause), pause: pause}
}

// answered notes that the sidecar answers.
func (r *Router) answered(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoid, name)
}

// ranked returns the sidecars that serve the bucket, the best first. Those
// that did not answer lately come last.
func (r *Router) ranked(bucket uint64) []*clemwire.Host {
	members := r.config.Board.Members().Get()
	r.mu.Lock()
	defer r.mu.Unlock()
	if members == nil {
		return nil
	}
	if members != r.members {
		r.members, r.owners = members, rank(members, len(r.config.Ledger.buckets))
	}
	owners := r.owners[bucket]
	if len(owners) == 2 && time.Now().Before(r.avoid[owners[0].GetName()].until) {
		return []*clemwire.Host{owners[1], owners[0]}
	}
	return owners
}

// rank returns the two sidecars with the highest digests for each bucket.
func rank(members *clemboard.Members, buckets int) [][]*clemwire.Host {
	owners := make([][]*clemwire.Host, buckets)
	for bucket := range owners {
		var best, second uint64
		var hosts [2]*clemwire.Host
		for _, host := range members.Hosts() {
			if host.GetRole() != sidecarRole {
				continue
			}
			switch digest := rendezvous(uint64(bucket), host.GetName()); {
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

func rendezvous(bucket uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(bucket)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// step carries out the step of the ledger that the record's state names.
func (l *Ledger) step(ctx context.Context, record *clemwire.Record) (*clemwire.Record, error) {
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

// Submit answers another process's request for one step of the ledger.
func (l *Ledger) Submit(ctx context.Context, submit *clemwire.Submit) *clemwire.Submitted {
	if submit.GetRecord().GetClaim() == nil {
		return &clemwire.Submitted{Refusal: clementineturn.Invalid("record.claim", "is missing").Refusal()}
	}
	if timeout := submit.GetTimeout(); timeout != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout.AsDuration())
		defer cancel()
	}
	record, err := l.step(ctx, submit.GetRecord())
	if err != nil {
		return &clemwire.Submitted{Refusal: clementineturn.AsError(err).Refusal()}
	}
	return &clemwire.Submitted{Record: record}
}
