// Package clemrelay distributes the configuration and the host list to every
// process and aggregates load over one relay tree, which each process derives from
// the host list. A few processes of each data centre read the configuration log in
// the platform's table. Each node reports the load of its subtree to its parent
// once a second; totals, configuration changes and host changes are returned in
// the replies. A process that receives no reply pulls the changes. Requests of
// clients do not pass through this package.
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
	defaultReportInterval = time.Second
	defaultPollInterval   = time.Second
	// tableTimeout bounds one read of the table.
	tableTimeout = 3 * time.Second
)

// Config describes a Relay to construct.
type Config struct {
	// Self is this process's host, as its settings describe it.
	Self        *clemwire.Host
	Incarnation uint64
	Board       *clemboard.Board
	Log         *clemconfig.Log
	// Objects stores snapshots. If it is nil, none are read or written.
	Objects clementineturn.ObjectStore
	Peers   clementineturn.Peers
	// Loads returns the load of this process's backend server. It is nil for
	// entries.
	Loads func() []*clemwire.PoolLoad
	// ReportInterval is the interval between reports and PollInterval that between
	// reads of the table. The default of both is 1 s.
	ReportInterval time.Duration
	PollInterval   time.Duration
	Events         *clemevent.Logger
}

// Relay is one process's node in the relay tree.
type Relay struct {
	config       Config
	store        *configStore
	aggregator   *aggregator
	health       *peerHealth
	tree         atomic.Pointer[tree]
	pullRequests chan string
	jitterCount  atomic.Uint64
	// pullWaitSlots and snapshotSlots hold an element for each pull that waits and
	// each snapshot that is being sent.
	pullWaitSlots chan struct{}
	snapshotSlots chan struct{}
	contact       contact
	hostLists     hostListHistory
	// partialState is the state that bootstrap has read from the log so far.
	partialState *clemconfig.State
	// maxTransit is the latest upper bound of a message's transit time to or from
	// the parent. Only runRounds accesses it.
	maxTransit time.Duration
}

// contact holds the time of the last reply from a parent or the table.
type contact struct {
	mu             sync.Mutex
	lastContact    time.Time
	isTableFailing bool
}

// New returns the relay that the configuration describes.
func New(c Config) *Relay {
	if c.ReportInterval == 0 {
		c.ReportInterval = defaultReportInterval
	}
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.Loads == nil {
		c.Loads = func() []*clemwire.PoolLoad { return nil }
	}
	r := &Relay{
		config: c, store: newConfigStore(c.Board, c.Log), aggregator: newAggregator(c.ReportInterval),
		health: newPeerHealth(), pullRequests: make(chan string, 1),
		pullWaitSlots: make(chan struct{}, maxWaitingPulls), snapshotSlots: make(chan struct{}, maxConcurrentSnapshots),
	}
	r.tree.Store(newTree(c.Self, nil))
	return r
}

// Start runs the relay until the context ends. The returned channel receives the
// error that ended it, or nil, and is then closed.
func (r *Relay) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	r.contact.record()
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{r.followHostList, r.followConfiguration, r.runRounds, r.runRequestedPulls, r.probeFailedParents} {
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

// ApplyChanges applies changes that another process sent, as far as they follow the
// current generation without a gap.
func (r *Relay) ApplyChanges(changes []*clemwire.Change) {
	_ = r.store.apply(changes)
}

// Adopt replaces the configuration with a state that this process committed, if
// it is newer.
func (r *Relay) Adopt(state *clemconfig.State) { r.store.adopt(state) }

// ChangesAfter returns the changes after a generation, or nil if they are not all
// held.
func (r *Relay) ChangesAfter(generation uint64) []*clemwire.Change {
	if held, ok := r.store.generation(); !ok || held < generation {
		return nil
	}
	changes, _ := r.store.changesAfter(generation)
	return changes
}

// followHostList recomputes the process's place in the tree from each new host
// list.
func (r *Relay) followHostList(ctx context.Context) error {
	isMisplaced := false
	for {
		members, changed := r.config.Board.Members().Watch()
		if members != nil {
			self := r.listedSelf(members)
			r.tree.Store(newTree(self, members.Hosts()))
			if differs := rankOf(self) != rankOf(r.config.Self); differs != isMisplaced {
				isMisplaced = differs
				r.logPlacement(self, isMisplaced)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// listedSelf returns the process's own host as it is in the host list, from which
// other processes derive the tree. By its settings alone, a process whose settings
// name another data centre could choose itself or one of its descendants as a
// parent.
func (r *Relay) listedSelf(members *clemboard.Members) *clemwire.Host {
	if self := members.AnyHost(r.config.Self.GetName()); self != nil {
		return self
	}
	return r.config.Self
}

// logPlacement logs whether the host list now contradicts the settings or agrees
// with them again.
func (r *Relay) logPlacement(self *clemwire.Host, isMisplaced bool) {
	event := clemevent.LocationMatch
	if isMisplaced {
		event = clemevent.LocationMismatch
	}
	r.config.Events.Emit(event, zap.String("region", self.GetRegion()), zap.String("centre", self.GetCentre()))
}

// usableParents returns the parents to report to, the preferred one first.
func (r *Relay) usableParents() []*clemwire.Host {
	return r.health.usable(r.tree.Load().parents, time.Now())
}

// recordFailure records and logs that a peer did not reply.
func (r *Relay) recordFailure(host *clemwire.Host, err error) {
	if r.health.recordFailure(host, time.Now()) {
		r.config.Events.Emit(clemevent.ParentUnavailable, zap.String("host", host.GetName()), zap.Error(err))
	}
}

// probeFailedParents probes the parents that did not reply and makes them usable
// again once they do.
func (r *Relay) probeFailedParents(ctx context.Context) error {
	for sleep(ctx, r.config.ReportInterval) {
		for _, host := range r.health.dueProbes(time.Now(), r.tree.Load().parents) {
			probeCtx, cancel := context.WithTimeout(ctx, r.config.ReportInterval)
			_, err := r.config.Peers.Peer(host.GetAddress()).Probe(probeCtx)
			cancel()
			if err != nil {
				r.health.recordProbeFailure(host, time.Now())
				continue
			}
			r.health.recordRecovery(host)
			r.config.Events.Emit(clemevent.ParentRecovered, zap.String("host", host.GetName()))
		}
	}
	return nil
}

func (c *contact) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = time.Now()
}

// isLost reports whether the last contact was longer ago than the timeout.
func (c *contact) isLost(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastContact) > timeout
}

// sleep waits for the duration and reports false if the context ended before.
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

// jitter returns a random duration between 0.5 and 1.5 times d. The sequence
// depends only on the host's name and the incarnation.
func (r *Relay) jitter(d time.Duration) time.Duration {
	source := rand.New(rand.NewPCG(xxhash.Sum64String(r.config.Self.GetName())+r.config.Incarnation, r.jitterCount.Add(1)))
	return d/2 + time.Duration(source.Int64N(int64(d)))
}
