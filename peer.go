package clementineturn

import (
	"context"

	"github.com/clementineturn/clementineturn/clemwire"
)

// Peer is the interface that entries and sidecars call on each other. A process
// refuses the methods that its role does not serve with KindNotFound. If the
// remote process refuses work, the refusal is part of the verdict. If a method
// returns an error, the remote process may have received the message unless
// IsNotRun reports true.
type Peer interface {
	// Offer asks the sidecar to run the work. It returns once the work is
	// dispatched to the backend server, refused, or found to have run already.
	Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error)
	// Cancel removes queued work and stops a running idempotent stream.
	Cancel(ctx context.Context, cancel *clemwire.Cancel) (*clemwire.Cancelled, error)
	// Void asks the sidecar never to run the work of a claim token.
	Void(ctx context.Context, void *clemwire.Void) (*clemwire.Voided, error)
	// Submit passes one step of the claim ledger to the sidecar that writes the
	// claim's bucket, where steps of many sidecars share a write.
	Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error)
	// Fetch passes the frames of an answer to the handler, beginning at the
	// requested sequence number. It returns after the end frame, on an error of
	// the transport or the handler, or when the context ends. The frame is
	// valid only during the call of the handler.
	Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error
	// Pull asks for changes of the configuration after a generation.
	Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error)
	// Beat sends a node's periodic report to its parent in the relay tree.
	Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error)
	// Probe asks for the configuration generation and the readiness of the
	// process.
	Probe(ctx context.Context) (*clemwire.Probed, error)
	// Gather asks an entry for the counts behind its service-level indicators.
	Gather(ctx context.Context) (*clemwire.Gathered, error)
	// Share exchanges state between two entries: it sends the report of one and
	// returns that of the other.
	Share(ctx context.Context, share *clemwire.Share) (*clemwire.Share, error)
}

// Peers returns the Peer for an address. A Peer may be used concurrently and
// remains usable when the remote process restarts.
type Peers interface {
	Peer(address string) Peer
}

// RoutingKey is the key by which a Ranker ranks backend servers for a piece of
// work. Work with equal keys gets the same order.
type RoutingKey struct {
	pool         string
	organisation string
	conversation uint64
}

// NewRoutingKey returns the key of the pool, the organisation and the
// conversation.
func NewRoutingKey(pool, organisation string, conversation uint64) RoutingKey {
	return RoutingKey{pool: pool, organisation: organisation, conversation: conversation}
}

// Pool returns the pool's name.
func (w RoutingKey) Pool() string { return w.pool }

// Organisation returns the organisation's name.
func (w RoutingKey) Organisation() string { return w.organisation }

// Conversation returns a digest that is equal for all turns of one chat.
func (w RoutingKey) Conversation() uint64 { return w.conversation }

// Ranker orders the candidate backend servers for a piece of work.
type Ranker interface {
	// Rank returns the hosts to try, the best first.
	Rank(work RoutingKey, hosts []*clemwire.Host) []*clemwire.Host
}

// Ledger records the claims of at-most-once calls in the platform's table. A
// claim gives one attempt, identified by its token, the exclusive right to run
// a call.
type Ledger interface {
	// Claim inserts the claim unless one exists for its organisation and key,
	// and returns the current record. The caller may run the call only if the
	// record has its token. Errors: KindUnavailable and KindUnknown; after
	// either the caller must not run the call.
	Claim(ctx context.Context, claim *clemwire.Claim) (*clemwire.Record, error)
	// Advance moves the claim of the record's token to the record's state.
	// Errors: KindConflict if another token holds the call or the transition
	// from the current state is not allowed, KindNotFound, KindUnavailable,
	// KindUnknown.
	Advance(ctx context.Context, record *clemwire.Record) error
	// Lookup returns the current record. Errors: KindNotFound, KindUnavailable.
	Lookup(ctx context.Context, organisation, key string) (*clemwire.Record, error)
}
