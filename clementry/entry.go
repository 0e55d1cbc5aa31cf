// Package clementry is the process that callers meet. It identifies the
// organisation, classifies the work by the operators' rules, ranks the
// backend servers, offers the work to their sidecars and relays the answer.
// It holds nothing that must last.
package clementry

import (
	"context"
	"sync/atomic"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Relay is what the entry asks of the relay tree.
type Relay interface {
	Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error)
	Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error)
	Learn(changes []*clemwire.Change)
}

// Health takes what the entry learns about backend servers from its offers.
type Health interface {
	Refused(server string, kind clementineturn.Kind, now time.Time)
	Failed(server string, now time.Time)
	Succeeded(server string, now time.Time)
}

// Config describes an Entry to construct.
type Config struct {
	Name    string
	Board   *clemboard.Board
	Relay   Relay
	Health  Health
	Peers   clementineturn.Peers
	Ranker  clementineturn.Ranker
	Burn    *clemburn.Recorder
	Metrics *clemmetric.Registry
	Events  *clemevent.Logger
	// Body is the size in bytes of the largest request body.
	Body int64
	// Deadline is the time that a request has if no rule sets one.
	Deadline time.Duration
}

// Entry serves callers. It implements clementineturn.Peer for the fleet.
type Entry struct {
	clemrpc.Unsupported
	config Config
	router *router
	ration *ration
	active atomic.Int64
}

// New returns the entry that the configuration describes.
func New(c Config) *Entry {
	return &Entry{config: c, router: newRouter(c), ration: newRation(c.Body)}
}

// Pull implements clementineturn.Peer.
func (e *Entry) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	return e.config.Relay.Pull(ctx, pull)
}

// Beat implements clementineturn.Peer.
func (e *Entry) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	return e.config.Relay.Beat(ctx, beat)
}

// Probe implements clementineturn.Peer.
func (e *Entry) Probe(context.Context) (*clemwire.Probed, error) {
	probed := &clemwire.Probed{Node: e.config.Name, Role: "entry", Draining: e.config.Board.Drain().Get().Active()}
	if state := e.config.Board.Config().Get(); state != nil {
		probed.Generation, probed.Ready = state.Generation(), true
	}
	return probed, nil
}

// Gather implements clementineturn.Peer.
func (e *Entry) Gather(context.Context) (*clemwire.Gathered, error) {
	return e.config.Burn.Gather(e.config.Name), nil
}

// Active returns the number of callers' requests in progress.
func (e *Entry) Active() int64 { return e.active.Load() }
