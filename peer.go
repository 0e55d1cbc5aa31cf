package clementineturn

import (
	"context"

	"github.com/clementineturn/clementineturn/clemwire"
)

// Peer is one sidecar as an entry or another sidecar reaches it. An error
// without a verdict leaves open whether the sidecar got the message, unless
// IsNotRun says otherwise.
type Peer interface {
	// Offer asks the sidecar to run the work and returns once it is
	// dispatched, refused or replayed.
	Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error)
	// Cancel withdraws work that still waits and stops an idempotent stream.
	Cancel(ctx context.Context, cancel *clemwire.Cancel) (*clemwire.Cancelled, error)
	// Void asks the sidecar to promise never to run a token.
	Void(ctx context.Context, void *clemwire.Void) (*clemwire.Voided, error)
	// Submit asks the sidecar for one step of the claim ledger.
	Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error)
	// Fetch passes the frames of an answer to the handler from the given
	// sequence number on, until the end frame, an error, or the context's end.
	// Frames are reused between calls of the handler.
	Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error
	// Pull asks for newer configuration.
	Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error)
	// Beat reports to a parent of the relay tree.
	Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error)
	// Probe asks for generation and readiness.
	Probe(ctx context.Context) (*clemwire.Probed, error)
	// Gather asks an entry for its service-level counts.
	Gather(ctx context.Context) (*clemwire.Gathered, error)
	// Share tells an entry what another one believes and returns its answer.
	Share(ctx context.Context, share *clemwire.Share) (*clemwire.Share, error)
}

// Peers finds the peer at an address. Peers are shared and stay usable
// while the other side restarts.
type Peers interface {
	Peer(address string) Peer
}

// Work is what a ranker knows of a piece of work.
type Work struct {
	pool         string
	organisation string
	conversation uint64
}

// NewWork returns the ranking key of a piece of work.
func NewWork(pool, organisation string, conversation uint64) Work {
	return Work{pool: pool, organisation: organisation, conversation: conversation}
}

// Pool returns the pool's name.
func (w Work) Pool() string { return w.pool }

// Organisation returns the organisation's name.
func (w Work) Organisation() string { return w.organisation }

// Conversation returns the digest that the turns of one chat share.
func (w Work) Conversation() uint64 { return w.conversation }

// Ranker orders candidate backend servers for a piece of work, the best first.
type Ranker interface {
	Rank(work Work, hosts []*clemwire.Host) []*clemwire.Host
}

// Ledger records at-most-once calls in the platform's table.
type Ledger interface {
	// Claim inserts the claim if its organisation and key have none, and
	// returns the record in force: the caller owns the call if the record
	// carries its token. Errors: KindUnavailable and KindUnknown, after which
	// the caller must not run the call.
	Claim(ctx context.Context, claim *clemwire.Claim) (*clemwire.Record, error)
	// Advance moves the claim of the token to the record's state. Errors:
	// KindConflict if another token holds the call or the state cannot follow
	// the one in force, KindNotFound, KindUnavailable, KindUnknown.
	Advance(ctx context.Context, record *clemwire.Record) error
	// Lookup returns the record in force. Errors: KindNotFound, KindUnavailable.
	Lookup(ctx context.Context, organisation, key string) (*clemwire.Record, error)
}
