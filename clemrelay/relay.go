// Package clemrelay spreads the configuration to every process and adds up
// loads, along one tree that each process derives from the host list. A few
// processes per data centre read the configuration log in the table. Reports
// of load travel up the tree once a second; the sums, newer changes and
// changes of the host list travel down with the replies. A process that no
// reply reaches pulls the changes.
package clemrelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	defaultBeat = time.Second
	defaultPoll = time.Second
	// tableTimeout bounds one read of the table.
	tableTimeout = 3 * time.Second
)

// Config describes a Relay to construct.
type Config struct {
	// Self is the process's own entry of the host list.
	Self        *clemwire.Host
	Incarnation uint64
	Board       *clemboard.Board
	Log         *clemconfig.Log
	// Objects holds snapshots; nil does without them.
	Objects clementineturn.Objects
	Peers   clementineturn.Peers
	// Loads returns the process's own report, nil for entries.
	Loads func() []*clemwire.PoolLoad
	// Beat and Poll are the intervals of reports and of reads of the table; 0 takes 1 s.
	Beat   time.Duration
	Poll   time.Duration
	Events *clemevent.Logger
}

// Relay is one process's node of the relay tree.
type Relay struct {
	config Config
	store  *store
	beats  *beats
	health *health
	tree   atomic.Pointer[tree]
	heard  chan string
	draws  atomic.Uint64
	// waiters and snapshots hold a slot for each parked pull and snapshot under way.
	waiters   chan struct{}
	snapshots chan struct{}
	contact   contact
	lists     lists
	// partial is what the follower read of the log before it held a
	// configuration.
	partial *clemconfig.State
	// transit bounds the time that a report takes to the parent, as last
	// measured. It belongs to the report loop.
	transit time.Duration
}

// contact remembers when the process last heard from a parent or the table.
type contact struct {
	mu     sync.Mutex
	last   time.Time
	failed bool
}

// New returns the relay that the configuration describes.
func New(c Config) *Relay {
	if c.Beat == 0 {
		c.Beat = defaultBeat
	}
	if c.Poll == 0 {
		c.Poll = defaultPoll
	}
	if c.Loads == nil {
		c.Loads = func() []*clemwire.PoolLoad { return nil }
	}
	r := &Relay{
		config: c, store: newStore(c.Board, c.Log), beats: newBeats(c.Beat),
		health: newHealth(), heard: make(chan string, 1),
		waiters: make(chan struct{}, maxWaiters), snapshots: make(chan struct{}, maxSnapshots),
	}
	r.tree.Store(newTree(c.Self, nil))
	return r
}

// Start runs the relay until the context ends. The channel gets the error
// that ended it, or nil, and is then closed.
func (r *Relay) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	r.contact.heard()
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{r.place, r.follow, r.report, r.catchUp, r.recheck} {
		group.Go(func() error { return loop(ctx) })
	}
	go func() {
		defer close(ended)
		ended <- group.Wait()
	}()
	return ended
}

// Ready reports whether the process holds a configuration.
func (r *Relay) Ready() bool {
	_, ok := r.store.generation()
	return ok
}

// Learn applies changes that another process handed over, as far as they
// continue the configuration in force.
func (r *Relay) Learn(changes []*clemwire.Change) {
	_ = r.store.apply(changes)
}

// Adopt takes a state that this process committed, if it is newer than the one held.
func (r *Relay) Adopt(state *clemconfig.State) { r.store.adopt(state) }

// Changes returns the changes after a generation, or nil if they are not held.
func (r *Relay) Changes(generation uint64) []*clemwire.Change {
	if held, ok := r.store.generation(); !ok || held < generation {
		return nil
	}
	changes, _ := r.store.since(generation)
	return changes
}

// place derives the process's place in the tree from each new host list.
func (r *Relay) place(ctx context.Context) error {
	misplaced := false
	for {
		members, changed := r.config.Board.Members().Watch()
		if members != nil {
			self := r.listed(members)
			r.tree.Store(newTree(self, members.Hosts()))
			if differs := rankOf(self) != rankOf(r.config.Self); differs != misplaced {
				misplaced = differs
				r.logPlace(self, misplaced)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// listed returns the process's own host as the list shows it, since that is
// what the others go by. By its settings alone, a process whose settings name
// another data centre could take itself, or a node below it, for a parent.
func (r *Relay) listed(members *clemboard.Members) *clemwire.Host {
	if self := members.AnyHost(r.config.Self.GetName()); self != nil {
		return self
	}
	return r.config.Self
}

// logPlace logs that the list starts or ceases to contradict the settings.
func (r *Relay) logPlace(self *clemwire.Host, misplaced bool) {
	event := clemevent.PlaceAgrees
	if misplaced {
		event = clemevent.PlaceDiffers
	}
	r.config.Events.Emit(event, zap.String("region", self.GetRegion()), zap.String("centre", self.GetCentre()))
}

// parents returns the hosts to ask, the preferred one first.
func (r *Relay) parents() []*clemwire.Host {
	return r.health.usable(r.tree.Load().parents, time.Now())
}

// failed notes that a peer did not answer.
func (r *Relay) failed(host *clemwire.Host, err error) {
	if r.health.failed(host, time.Now()) {
		r.config.Events.Emit(clemevent.ParentFailed, zap.String("host", host.GetName()), zap.Error(err))
	}
}

// recheck probes the peers that did not answer and lets them serve again once they do.
func (r *Relay) recheck(ctx context.Context) error {
	for sleep(ctx, r.config.Beat) {
		for _, host := range r.health.due(time.Now(), r.tree.Load().parents) {
			probe, cancel := context.WithTimeout(ctx, r.config.Beat)
			_, err := r.config.Peers.Peer(host.GetAddress()).Probe(probe)
			cancel()
			if err != nil {
				r.health.again(host, time.Now())
				continue
			}
			r.health.succeeded(host)
			r.config.Events.Emit(clemevent.ParentBack, zap.String("host", host.GetName()))
		}
	}
	return nil
}

func (c *contact) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = time.Now()
}

// lost reports whether nothing was heard for the given time.
func (c *contact) lost(after time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.last) > after
}

// sleep waits and reports whether the context still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a time between half and one and a half times d. The sequence
// depends on the host and incarnation alone.
func (r *Relay) jitter(d time.Duration) time.Duration {
	source := rand.New(rand.NewPCG(xxhash.Sum64String(r.config.Self.GetName())+r.config.Incarnation, r.draws.Add(1)))
	return d/2 + time.Duration(source.Int64N(int64(d)))
}
