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

// Delays and timeouts as multiples of the report interval. The replies of a
// round reach all nodes at about the same time, so that all of them start the
// delay before the next round together, and reports of leaf nodes reach the root
// within one round.
const (
	// roundDelayFactor gives the delay between a round's end and the next round of a
	// node that has a parent.
	roundDelayFactor = 0.4
	// childWaitFactor gives the longest wait for reports that children owe.
	childWaitFactor = 0.5
	// replyWaitFactor gives the longest time for which a parent delays the reply
	// to a child's report until its own round ends.
	replyWaitFactor = 1.1
	// callTimeoutFactor gives the timeout of a report to a parent.
	callTimeoutFactor = 1.7
	// probeTimeoutFactor gives the timeout of probes to the other parents after
	// a failed report.
	probeTimeoutFactor = 0.5
	// orphanDelayFactor gives the time without a reply from any parent after
	// which a node directs its children to other parents.
	orphanDelayFactor = 2
	// childExpiryFactor gives the age from which a child's report no longer counts.
	childExpiryFactor = 1.2
)

// maxReplyChanges is the largest number of changes in the reply to a report.
const maxReplyChanges = 16

const (
	// maxReportAttempts is the number of parents that a round reports to until one
	// replies.
	maxReportAttempts = 3
	// maxParentProbes is the number of parents that are probed after a failure.
	maxParentProbes = 8
)

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// childState holds the latest report of a child, which covers its subtree.
type childState struct {
	incarnation uint64
	loads       []*clemwire.PoolLoad
	reportedAt  time.Time
	// hasReported is set if the child reported since the last round ended.
	hasReported bool
	// isExpected is set if the child reported in the round before. The next round
	// waits for such children.
	isExpected bool
}

// aggregator holds the reports of the children and the totals over the whole
// tree.
type aggregator struct {
	interval time.Duration

	// mu guards the fields below.
	mu            sync.Mutex
	children      map[string]*childState
	reportArrived chan struct{}
	roundDone     chan struct{}
	totals        poolSums
	// orphanedSince is the time from which on no parent replied and less than half
	// of every pool reported here; zero if that is not so.
	orphanedSince time.Time
}

func newAggregator(interval time.Duration) *aggregator {
	return &aggregator{interval: interval, children: map[string]*childState{}, reportArrived: make(chan struct{}, 1), roundDone: make(chan struct{})}
}

// recordReport stores a child's report and returns a channel that is closed
// when the next round has ended.
// Errors: KindConflict if a newer incarnation of the node reported before.
func (a *aggregator) recordReport(beat *clemwire.Beat, now time.Time) (<-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.children[beat.GetNode()]
	if c == nil {
		c = &childState{}
		a.children[beat.GetNode()] = c
	}
	if beat.GetIncarnation() < c.incarnation {
		return nil, clementineturn.Refuse(clementineturn.KindConflict, "incarnation %d of %s is older than %d", beat.GetIncarnation(), beat.GetNode(), c.incarnation)
	}
	c.incarnation, c.loads, c.reportedAt, c.hasReported = beat.GetIncarnation(), beat.GetPools(), now, true
	select {
	case a.reportArrived <- struct{}{}:
	default:
	}
	return a.roundDone, nil
}

// allReported reports whether every expected child reported since the last
// round ended.
func (a *aggregator) allReported() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.children {
		if c.isExpected && !c.hasReported {
			return false
		}
	}
	return true
}

// waitForChildren waits until every expected child has reported or the time
// given by childWaitFactor has passed.
func (a *aggregator) waitForChildren(ctx context.Context) {
	timer := time.NewTimer(scale(a.interval, childWaitFactor))
	defer timer.Stop()
	for !a.allReported() {
		select {
		case <-a.reportArrived:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// removeExpiredChildren removes the children whose reports have expired and
// returns their names.
func (a *aggregator) removeExpiredChildren(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var removed []string
	for node, c := range a.children {
		if now.Sub(c.reportedAt) > scale(a.interval, childExpiryFactor) {
			delete(a.children, node)
			removed = append(removed, node)
		}
	}
	return removed
}

// aggregate returns the sums of the process's own load and its children's
// reports.
func (a *aggregator) aggregate(own []*clemwire.PoolLoad, now time.Time) poolSums {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := poolSums{}
	for _, load := range own {
		sums.add(load, now)
	}
	for _, c := range a.children {
		if now.Sub(c.reportedAt) > scale(a.interval, childExpiryFactor) {
			continue
		}
		for _, load := range c.loads {
			sums.add(load, c.reportedAt)
		}
	}
	return sums
}

// finishRound ends a round and with it the wait for replies. A report that
// arrived during the round is replied to at its end, so that the child reports
// again before the next round. If the new totals are nil, the old ones stay and
// their age grows.
func (a *aggregator) finishRound(totals poolSums) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if totals != nil {
		a.totals = totals
	}
	for _, c := range a.children {
		c.isExpected, c.hasReported = c.hasReported, false
	}
	close(a.roundDone)
	a.roundDone = make(chan struct{})
}

func (a *aggregator) setOrphaned(isOrphaned bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !isOrphaned {
		a.orphanedSince = time.Time{}
	} else if a.orphanedSince.IsZero() {
		a.orphanedSince = now
	}
}

// isOrphaned reports whether the process has been cut off from its parents,
// together with a minority of every pool, for longer than the other nodes take
// to find a new root.
func (a *aggregator) isOrphaned(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.orphanedSince.IsZero() && now.Sub(a.orphanedSince) > scale(a.interval, orphanDelayFactor)
}

func (a *aggregator) latestTotals() poolSums {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.totals
}

// Beat implements the method of clementineturn.Peer: it records a child's report
// and, once this process's own round has ended, returns the totals over the whole
// tree. Errors: KindConflict.
func (r *Relay) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	start := time.Now()
	roundDone, err := r.aggregator.recordReport(beat, start)
	if err != nil {
		return nil, err
	}
	if members := r.config.Board.Members().Get(); members != nil {
		r.requestPull(beat.GetGeneration(), members.Host(beat.GetNode()).GetAddress())
	}
	timer := time.NewTimer(scale(r.config.ReportInterval, replyWaitFactor))
	defer timer.Stop()
	select {
	case <-roundDone:
	case <-timer.C:
	case <-ctx.Done():
		return nil, clementineturn.AsError(ctx.Err())
	}
	now := time.Now()
	generation, _ := r.store.generation()
	return &clemwire.BeatReply{
		Generation: generation, Pools: r.aggregator.latestTotals().forChild(now), Held: durationpb.New(roundUpAge(now.Sub(start))),
		Changes: r.replyChanges(beat.GetGeneration()), Orphan: r.aggregator.isOrphaned(now) || r.isCutOff(),
		Hosts: r.hostChangesSince(beat.GetHosts(), now),
	}, nil
}

// replyChanges returns the changes after a generation, or nil if they are more
// than a reply may carry. A child that lacks more pulls them.
func (r *Relay) replyChanges(generation uint64) []*clemwire.Change {
	changes := r.ChangesAfter(generation)
	if len(changes) > maxReplyChanges {
		return nil
	}
	return changes
}

// runRounds aggregates and reports load in rounds until the context ends.
func (r *Relay) runRounds(ctx context.Context) error {
	for sleep(ctx, r.roundDelay()) {
		r.aggregator.waitForChildren(ctx)
		start := time.Now()
		for _, node := range r.aggregator.removeExpiredChildren(start) {
			r.config.Events.Emit(clemevent.ChildDropped, zap.String("host", node))
		}
		totals := r.runRound(ctx)
		if totals != nil {
			r.config.Board.Loads().Set(totals.boardLoads())
		}
		r.aggregator.finishRound(totals)
	}
	return nil
}

// roundDelay returns the delay before the next round. The root determines the
// interval for the whole tree, because the rounds of all other nodes end with its
// reply.
func (r *Relay) roundDelay() time.Duration {
	if len(r.usableParents()) == 0 {
		return r.config.ReportInterval
	}
	return scale(r.config.ReportInterval, roundDelayFactor)
}

// runRound reports to the first parent that replies and returns the totals over
// the whole tree, or nil if they are not known.
func (r *Relay) runRound(ctx context.Context) poolSums {
	for range maxReportAttempts {
		parents := r.usableParents()
		if len(parents) == 0 {
			r.requestListRead()
			totals, isMajority := r.rootTotals()
			r.aggregator.setOrphaned(!isMajority && len(r.tree.Load().parents) > 0, time.Now())
			return totals
		}
		totals, err := r.reportTo(ctx, parents[0])
		if err == nil {
			r.aggregator.setOrphaned(false, time.Now())
			return totals
		}
		if ctx.Err() != nil {
			return nil
		}
		r.recordFailure(parents[0], err)
		r.probeParents(ctx)
	}
	return nil
}

// probeParents probes the next parents concurrently, since failures are often
// correlated: a rack, data centre or region is lost as a whole.
func (r *Relay) probeParents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scale(r.config.ReportInterval, probeTimeoutFactor))
	defer cancel()
	parents := r.usableParents()
	var group errgroup.Group
	for _, host := range parents[:min(len(parents), maxParentProbes)] {
		group.Go(func() error {
			if _, err := r.config.Peers.Peer(host.GetAddress()).Probe(ctx); err != nil {
				r.recordFailure(host, err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// rootTotals returns the totals at a node without a reachable parent. For a pool
// of which less than half the members reported here the old sum stays and its age
// grows: a minority would otherwise take its own load for the pool's mean.
// isMajority is set if at least half of some pool reported.
func (r *Relay) rootTotals() (totals poolSums, isMajority bool) {
	reported := r.aggregator.aggregate(r.config.Loads(), time.Now())
	members := r.config.Board.Members().Get()
	if members == nil {
		return r.aggregator.latestTotals(), false
	}
	totals = poolSums{}
	for pool, p := range r.aggregator.latestTotals() {
		if len(members.Pool(pool)) > 0 {
			totals[pool] = p
		}
	}
	for pool, p := range reported {
		if 2*int(p.servers) >= len(members.Pool(pool)) {
			totals[pool] = p
			isMajority = true
		}
	}
	return totals, isMajority
}

// reportTo reports to one parent, applies the reply and returns the totals in it.
func (r *Relay) reportTo(ctx context.Context, host *clemwire.Host) (poolSums, error) {
	ctx, cancel := context.WithTimeout(ctx, scale(r.config.ReportInterval, callTimeoutFactor))
	defer cancel()
	start := time.Now()
	generation, _ := r.store.generation()
	beat := &clemwire.Beat{Node: r.config.Self.GetName(), Incarnation: r.config.Incarnation, Generation: generation, Hosts: r.config.Board.HostList().Get().Digest()}
	beat.Pools = r.aggregator.aggregate(r.config.Loads(), start).forParent(start.Add(r.maxTransit))
	reply, err := r.config.Peers.Peer(host.GetAddress()).Beat(ctx, beat)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.maxTransit = max(now.Sub(start)-reply.GetHeld().AsDuration()+ageResolution, 0)
	r.applyHostChanges(reply.GetHosts(), now)
	r.health.setOrphaned(host, reply.GetOrphan(), now)
	r.contact.record()
	if r.Ready() {
		_ = r.applyAndLog(reply.GetChanges())
	}
	r.requestPull(reply.GetGeneration(), host.GetAddress())
	totals := poolSums{}
	for _, load := range reply.GetPools() {
		totals.add(load, now.Add(-r.maxTransit))
	}
	return totals, nil
}
