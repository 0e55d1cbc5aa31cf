package clemrelay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Shares of the beat interval. The replies of a round reach all nodes within
// a short time of each other, so they start the pause before the next round
// everywhere, and reports of leaves reach the root within the same round.
const (
	// pauseShare is the time from a round's end to a node's next report.
	pauseShare = 0.4
	// gatherShare is how long a node waits for children that are late.
	gatherShare = 0.5
	// holdShare is how long a parent holds a child's report for its own round to end.
	holdShare = 1.1
	// callShare is how long a report may take until its parent counts as silent.
	callShare = 1.7
	// probeShare is how long the other parents have to show that they answer.
	probeShare = 0.5
	// orphanShare is the time after which a node that no parent answers sends
	// its children elsewhere.
	orphanShare = 2
	// dropShare is the time after which a silent child no longer counts.
	dropShare = 1.2
)

// maxCarried is the most changes that the reply to a report carries.
const maxCarried = 16

const (
	// beatTries is the most parents that one round tries.
	beatTries = 3
	// maxProbed is the most parents that are probed after a failure.
	maxProbed = 8
)

func share(d time.Duration, of float64) time.Duration {
	return time.Duration(float64(d) * of)
}

// child is the latest report of a node's subtree.
type child struct {
	incarnation uint64
	loads       []*clemwire.PoolLoad
	at          time.Time
	// fresh tells whether the child reported since the last round ended.
	fresh bool
	// expected tells whether it did so in the round before, and is waited for.
	expected bool
}

// beats holds what the reports say.
type beats struct {
	beat time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	children map[string]*child
	arrived  chan struct{}
	done     chan struct{}
	totals   sums
	// lone is since when no parent answers and only a small part is heard, or zero.
	lone time.Time
}

func newBeats(beat time.Duration) *beats {
	return &beats{beat: beat, children: map[string]*child{}, arrived: make(chan struct{}, 1), done: make(chan struct{})}
}

// record stores a child's report and returns a channel that closes when a round has ended.
// Errors: KindConflict if a newer incarnation of the node reported before.
func (b *beats) record(beat *clemwire.Beat, now time.Time) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.children[beat.GetNode()]
	if c == nil {
		c = &child{}
		b.children[beat.GetNode()] = c
	}
	if beat.GetIncarnation() < c.incarnation {
		return nil, clementineturn.Refuse(clementineturn.KindConflict, "incarnation %d of %s is older than %d", beat.GetIncarnation(), beat.GetNode(), c.incarnation)
	}
	c.incarnation, c.loads, c.at, c.fresh = beat.GetIncarnation(), beat.GetPools(), now, true
	select {
	case b.arrived <- struct{}{}:
	default:
	}
	return b.done, nil
}

// complete reports whether every expected child reported since the last round ended.
func (b *beats) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.children {
		if c.expected && !c.fresh {
			return false
		}
	}
	return true
}

// gather waits for the expected children, at most a share of the interval.
func (b *beats) gather(ctx context.Context) {
	timer := time.NewTimer(share(b.beat, gatherShare))
	defer timer.Stop()
	for !b.complete() {
		select {
		case <-b.arrived:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// collect starts a round: it drops silent children and returns their names.
func (b *beats) collect(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var dropped []string
	for node, c := range b.children {
		if now.Sub(c.at) > share(b.beat, dropShare) {
			delete(b.children, node)
			dropped = append(dropped, node)
		}
	}
	return dropped
}

// sum adds the children's reports to the process's own.
func (b *beats) sum(own []*clemwire.PoolLoad, now time.Time) sums {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := sums{}
	for _, load := range own {
		s.add(load, now)
	}
	for _, c := range b.children {
		if now.Sub(c.at) > share(b.beat, dropShare) {
			continue
		}
		for _, load := range c.loads {
			s.add(load, c.at)
		}
	}
	return s
}

// finish ends a round. A report that came while the round ran is answered by
// it, so the child will report again before the next one. Without new totals
// the old ones stay and age.
func (b *beats) finish(totals sums) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if totals != nil {
		b.totals = totals
	}
	for _, c := range b.children {
		c.expected, c.fresh = c.fresh, false
	}
	close(b.done)
	b.done = make(chan struct{})
}

func (b *beats) setOrphan(on bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !on {
		b.lone = time.Time{}
	} else if b.lone.IsZero() {
		b.lone = now
	}
}

// orphan reports whether the process has been cut off from its parents, with
// a small part of the fleet, for longer than a new root takes to be found.
func (b *beats) orphan(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lone.IsZero() && now.Sub(b.lone) > share(b.beat, orphanShare)
}

func (b *beats) latest() sums {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// Beat takes a child's report and answers with the sums over the whole tree,
// after this process's own next round. Errors: KindConflict.
func (r *Relay) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	start := time.Now()
	done, err := r.beats.record(beat, start)
	if err != nil {
		return nil, err
	}
	if members := r.config.Board.Members().Get(); members != nil {
		r.hear(beat.GetGeneration(), members.Host(beat.GetNode()).GetAddress())
	}
	timer := time.NewTimer(share(r.config.Beat, holdShare))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
		return nil, clementineturn.AsError(ctx.Err())
	}
	now := time.Now()
	generation, _ := r.store.generation()
	return &clemwire.BeatReply{
		Generation: generation, Pools: r.beats.latest().down(now), Held: durationpb.New(roundAge(now.Sub(start))),
		Changes: r.few(beat.GetGeneration()), Orphan: r.beats.orphan(now) || r.cut(),
		Hosts: r.hostChanges(beat.GetHosts(), now),
	}, nil
}

// few returns the changes after a generation if they fit a reply. A child
// that lacks more pulls them.
func (r *Relay) few(generation uint64) []*clemwire.Change {
	changes := r.Changes(generation)
	if len(changes) > maxCarried {
		return nil
	}
	return changes
}

// report runs the rounds.
func (r *Relay) report(ctx context.Context) error {
	for sleep(ctx, r.pause()) {
		r.beats.gather(ctx)
		start := time.Now()
		for _, node := range r.beats.collect(start) {
			r.config.Events.Emit(clemevent.ChildDropped, zap.String("host", node))
		}
		totals := r.round(ctx)
		if totals != nil {
			r.config.Board.Loads().Set(totals.loads())
		}
		r.beats.finish(totals)
	}
	return nil
}

// pause returns the time to the next round. The root sets the pace of the
// tree, because all other nodes wait for its round to end.
func (r *Relay) pause() time.Duration {
	if len(r.parents()) == 0 {
		return r.config.Beat
	}
	return share(r.config.Beat, pauseShare)
}

// round reports to the first parent that answers and returns the sums over
// the whole tree, or nil if they are not known.
func (r *Relay) round(ctx context.Context) sums {
	for range beatTries {
		hosts := r.parents()
		if len(hosts) == 0 {
			r.readHosts()
			totals, most := r.rootTotals()
			r.beats.setOrphan(!most && len(r.tree.Load().parents) > 0, time.Now())
			return totals
		}
		totals, err := r.reportTo(ctx, hosts[0])
		if err == nil {
			r.beats.setOrphan(false, time.Now())
			return totals
		}
		if ctx.Err() != nil {
			return nil
		}
		r.failed(hosts[0], err)
		r.probeParents(ctx)
	}
	return nil
}

// probeParents asks the next parents at once whether they answer, because a
// failure seldom comes alone: a rack, data centre or region is lost as a whole.
func (r *Relay) probeParents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, share(r.config.Beat, probeShare))
	defer cancel()
	hosts := r.parents()
	var group errgroup.Group
	for _, host := range hosts[:min(len(hosts), maxProbed)] {
		group.Go(func() error {
			if _, err := r.config.Peers.Peer(host.GetAddress()).Probe(ctx); err != nil {
				r.failed(host, err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// rootTotals returns the sums of a node that no parent answers. For a pool of
// which it hears less than half the members the old sum stays and ages: a
// small part of the fleet would take its own load for the pool's mean. Most
// tells whether there is a pool of which it hears that much.
func (r *Relay) rootTotals() (totals sums, most bool) {
	heard := r.beats.sum(r.config.Loads(), time.Now())
	members := r.config.Board.Members().Get()
	if members == nil {
		return r.beats.latest(), false
	}
	totals = sums{}
	for pool, p := range r.beats.latest() {
		if len(members.Pool(pool)) > 0 {
			totals[pool] = p
		}
	}
	for pool, p := range heard {
		if 2*int(p.servers) >= len(members.Pool(pool)) {
			totals[pool] = p
			most = true
		}
	}
	return totals, most
}

// reportTo sends the report to one parent and takes what the reply holds.
func (r *Relay) reportTo(ctx context.Context, host *clemwire.Host) (sums, error) {
	ctx, cancel := context.WithTimeout(ctx, share(r.config.Beat, callShare))
	defer cancel()
	start := time.Now()
	generation, _ := r.store.generation()
	beat := &clemwire.Beat{Node: r.config.Self.GetName(), Incarnation: r.config.Incarnation, Generation: generation, Hosts: r.config.Board.HostList().Get().Digest()}
	beat.Pools = r.beats.sum(r.config.Loads(), start).up(start.Add(r.transit))
	reply, err := r.config.Peers.Peer(host.GetAddress()).Beat(ctx, beat)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.transit = max(now.Sub(start)-reply.GetHeld().AsDuration()+ageStep, 0)
	r.takeHosts(reply.GetHosts(), now)
	r.health.noteOrphan(host, reply.GetOrphan(), now)
	r.contact.heard()
	if r.Ready() {
		_ = r.applyAll(reply.GetChanges())
	}
	r.hear(reply.GetGeneration(), host.GetAddress())
	totals := sums{}
	for _, load := range reply.GetPools() {
		totals.add(load, now.Add(-r.transit))
	}
	return totals, nil
}
