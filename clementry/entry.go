// Package clementry implements the entry, the HTTP front end of the fleet. It
// authenticates the caller's organisation, classifies the request by the
// configured rules, ranks the backend servers, offers the request to their
// sidecars and relays the answer. It keeps no durable state.
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

// Relay is the part of the relay tree that the entry uses to distribute
// configuration.
type Relay interface {
	Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error)
	Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error)
	ApplyChanges(changes []*clemwire.Change)
}

// HealthObserver receives the outcome of each offer to a backend server.
type HealthObserver interface {
	Refused(server string, kind clementineturn.Kind, now time.Time)
	Failed(server string, now time.Time)
	Succeeded(server string, now time.Time)
}

// Config describes an Entry to construct.
type Config struct {
	Name    string
	Board   *clemboard.Board
	Relay   Relay
	Health  HealthObserver
	Peers   clementineturn.Peers
	Ranker  clementineturn.Ranker
	Burn    *clemburn.Recorder
	Metrics *clemmetric.Registry
	Events  *clemevent.Logger
	// MaxBodyBytes is the largest size of a request body in bytes.
	MaxBodyBytes int64
	// DefaultTimeout is the time limit of a request for which no rule sets one.
	DefaultTimeout time.Duration
}

// Entry serves callers over HTTP and implements clementineturn.Peer for the
// other processes of the fleet.
type Entry struct {
	clemrpc.UnimplementedPeer
	config         Config
	router         *router
	memory         *memoryBudget
	activeRequests atomic.Int64
}

// New returns the entry that the configuration describes.
func New(c Config) *Entry {
	return &Entry{config: c, router: newRouter(c), memory: newMemoryBudget(c.MaxBodyBytes)}
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

// ActiveRequests returns the number of callers' requests in progress.
func (e *Entry) ActiveRequests() int64 { return e.activeRequests.Load() }
