// Package clemgate is the admission control of the sidecar beside a backend
// server. It keeps the server's load, which is the estimated number of tokens
// in flight, within a load factor of the pool's mean. Work that has to wait is
// queued fairly over organisations, with short items before long ones. The
// package takes the time as an argument and starts no goroutine.
package clemgate

import (
	"math"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// longAgingDelay is the wait after which a long item goes before short ones.
	longAgingDelay = 2 * time.Second
	// boundWaitTimeout is how long an item waits for the load bound once a slot
	// is free. It is longer than the pool's load sums take to show a burst.
	boundWaitTimeout = time.Second
	// hedgeSlotShare is the share of the slots up to which hedges are admitted.
	hedgeSlotShare = 0.75
)

// Config describes a Gate to construct.
type Config struct {
	// Server is the name of the backend server. It appears in refusals.
	Server string
}

// Gate admits work to one backend server. It is safe for concurrent use.
type Gate struct {
	server string

	mu            sync.Mutex
	limits        Limits
	backlog       *backlog
	meter         speedMeter
	history       history
	peerLoads     peerLoads
	load          uint64
	inheritedLoad uint64
	running       int
	runningLong   int
	stall         stallDetector
	speedFactor   float64
	draining      bool
}

// New returns a gate without slots, which refuses all work until SetLimits is
// called.
func New(c Config) *Gate {
	return &Gate{server: c.Server, backlog: newBacklog(), peerLoads: peerLoads{}, speedFactor: 1}
}

// SetLimits replaces the limits and grants what they allow.
func (g *Gate) SetLimits(now time.Time, l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.update(now)
}

// SetInheritedLoad sets the work, in tokens, that the engine still runs for an
// earlier incarnation of the sidecar.
func (g *Gate) SetInheritedLoad(now time.Time, load uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inheritedLoad = load
	g.update(now)
}

// SetPeerLoad records the load, in tokens, that another server of the pool has
// just reported.
func (g *Gate) SetPeerLoad(now time.Time, server string, load uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if server != g.server {
		g.peerLoads.add(now, server, load)
	}
}

// Acquire asks for admission. The ticket is granted at once or waits. An error
// is a refusal, which says that the item was not run, of KindOverloaded,
// KindDraining, KindExpired or KindSlow.
func (g *Gate) Acquire(now time.Time, item Item) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkState(now, item); err != nil {
		return nil, err
	}
	// Items that still wait after this are held back by limits of their own, so
	// the new item overtakes nobody. The flow is looked up afterwards because a
	// refusal may drop idle flows.
	g.dispatch(now)
	t := &Ticket{item: item, expiryIndex: notInHeap, entered: now, latestStart: g.latestStart(item), cost: item.cost(), decided: make(chan struct{})}
	t.setClass(g.classOf(t.cost))
	t.flow = g.backlog.flow(item)
	if g.hasSlot(now, t) && g.isWithinBound(now, t.cost) {
		g.backlog.activate(t.flow)
		g.grant(now, t)
		return t, nil
	}
	if err := g.checkWait(now, t); err != nil {
		g.backlog.dropUnused(t.flow)
		return nil, err
	}
	g.backlog.push(t)
	g.dispatch(now)
	return t, nil
}

// Cancel cancels a waiting item. It returns true if the item did not and will
// not run.
func (g *Gate) Cancel(now time.Time, t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != stateWaiting {
		return t.state == stateRefused
	}
	g.refuse(now, t, clementineturn.Refuse(clementineturn.KindCancelled, "withdrawn"))
	g.dispatch(now)
	return true
}

// ReportProgress records the output, in tokens, that a granted item has
// produced so far.
func (g *Gate) ReportProgress(now time.Time, t *Ticket, tokens uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != stateGranted || tokens <= t.outputTokens {
		return
	}
	if t.outputTokens > 0 {
		g.meter.add(now, now.Sub(t.lastOutput), tokens-t.outputTokens)
	}
	t.outputTokens, t.lastOutput = tokens, now
	t.outputReports++
	g.stall.recordOutput(now, t.outputReports == 1)
	g.recordOverrun(now, t)
}

// Release ends a granted item. If its output was reported only once, the speed
// is measured over its whole run time; work that ends without output is not
// measured.
func (g *Gate) Release(now time.Time, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != stateGranted {
		return
	}
	if t.outputReports == 1 {
		g.meter.add(now, now.Sub(t.granted), t.cost)
	}
	t.state = stateDone
	g.setLoad(now, g.load-t.cost)
	g.running--
	if t.class == classLong {
		g.runningLong--
	}
	if t.outputReports > 0 {
		g.stall.endAnswer()
	}
	t.flow.running--
	g.backlog.deactivateIfIdle(now, t.flow)
	g.dispatch(now)
}

// Tick refuses waiting items that can no longer meet their deadline, and grants
// what the limits allow at this time.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(now)
}

// SetDraining starts or ends draining. A draining gate refuses waiting and new
// work.
func (g *Gate) SetDraining(now time.Time, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = draining
	g.update(now)
}

// Report returns the state of the gate.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{
		load: g.load + g.inheritedLoad, running: g.running, waiting: g.backlog.waiting,
		speed: g.meter.speed(), slowness: g.meter.slowness(g.limits.load.MedianTokenTime()),
	}
}

// isWithinBound reports whether the load bound allows the cost, in tokens. The
// mean is the pool's reported total, with the server's own part replaced by its
// current load and the new cost added, divided by the number of servers. The
// limit is rounded up to whole items of the cost, as in consistent hashing with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018), where all items are
// equal: an idle server takes any one item, and a pool whose servers carry one
// item each can take another. Without a fresh mean only the slots limit the
// load.
func (g *Gate) isWithinBound(now time.Time, cost uint64) bool {
	load := g.load + g.inheritedLoad
	if load == 0 || !g.limits.hasFreshMean(now) {
		return true
	}
	mean := (g.poolLoad(now) + float64(cost)) / float64(g.limits.load.Servers())
	items := math.Ceil(g.limits.bound * g.speedFactor * mean / float64(cost))
	return float64(load+cost) <= items*float64(cost)
}

// poolLoad returns the pool's work in flight, with this server's current load
// in place of its reported one. The loads that other servers reported directly
// are a lower bound of their part: at the start of a burst they are far above
// the sum, which is a second or two old.
func (g *Gate) poolLoad(now time.Time) float64 {
	own := g.history.at(now, g.limits.load.OldestReport(), g.load+g.inheritedLoad)
	peerTotal := float64(g.limits.load.TotalTokens()) - float64(own)
	return max(0, peerTotal, g.peerLoads.sum(now)) + float64(g.load+g.inheritedLoad)
}

// usableSlots returns the number of items that may run now. It is reduced while
// there is inherited load or no fresh mean, and on a slow server.
func (g *Gate) usableSlots(now time.Time) int {
	slots := g.limits.slots
	if g.inheritedLoad > 0 || !g.limits.hasFreshMean(now) {
		slots = scaleSlots(slots, fallbackSlotShare)
	}
	if g.speedFactor < 1 {
		slots = scaleSlots(slots, g.speedFactor)
	}
	return slots
}

// hasSlot reports whether a slot is free for the ticket. Long items may hold a
// limited share of the slots, and an organisation far above its fair share
// leaves some free.
func (g *Gate) hasSlot(now time.Time, t *Ticket) bool {
	if g.stall.isStalled(now) {
		return false
	}
	slots := g.usableSlots(now)
	if t.class == classLong && g.runningLong >= scaleSlots(slots, g.limits.longShare) {
		return false
	}
	if t.item.hedge {
		slots = scaleSlots(slots, hedgeSlotShare)
	}
	if g.exceedsFairShare(t.flow, fairShareFactor) {
		slots -= reservedSlots(slots)
	}
	return g.running < slots
}

// exceedsFairShare reports whether the flow runs at least the multiple of its
// fair share of the slots, by weight over the organisations that had work
// recently. One more item is allowed, since a share may be less than one slot.
func (g *Gate) exceedsFairShare(f *flow, multiple float64) bool {
	fairShare := float64(g.limits.slots) * f.weight / max(f.weight, g.backlog.recentWeight)
	return float64(f.running) >= multiple*fairShare+1
}

func (g *Gate) classOf(tokens uint64) class {
	if g.limits.isLong(tokens) {
		return classLong
	}
	return classShort
}

// dispatch grants waiting items while the limits allow.
func (g *Gate) dispatch(now time.Time) {
	for g.backlog.waiting > 0 && g.dispatchOne(now) {
		continue
	}
}

// dispatchOne grants or refuses one waiting item and reports whether it did.
func (g *Gate) dispatchOne(now time.Time) bool {
	for _, c := range g.classOrder(now) {
		t := g.nextWaiting(now, c)
		if t == nil {
			continue
		}
		if g.isWithinBound(now, t.cost) {
			g.backlog.remove(t)
			g.grant(now, t)
			return true
		}
		if now.Sub(t.entered) >= boundWaitTimeout {
			g.refuse(now, t, clementineturn.Refuse(clementineturn.KindOverloaded, "%s is at its load bound", g.server))
			return true
		}
	}
	return false
}

// classOrder returns the classes in the order of service: short first, unless
// the next long item has waited for longAgingDelay.
func (g *Gate) classOrder(now time.Time) [classCount]class {
	if g.backlog.active[classLong].Len() > 0 {
		head := g.backlog.active[classLong].first().head(classLong)
		if now.Sub(head.entered) >= longAgingDelay {
			return [classCount]class{classLong, classShort}
		}
	}
	return [classCount]class{classShort, classLong}
}

// nextWaiting returns the next item of the class, or nil if no slot is free for
// any. It skips organisations that must leave the free slots to others. Each of
// those has running items, so no more are skipped than there are slots.
func (g *Gate) nextWaiting(now time.Time, c class) *Ticket {
	active := &g.backlog.active[c]
	var skipped []*flow
	var found *Ticket
	for active.Len() > 0 && found == nil {
		f := active.first()
		if t := f.head(c); g.hasSlot(now, t) {
			found = t
			break
		}
		if !g.exceedsFairShare(f, fairShareFactor) {
			break
		}
		active.remove(0)
		skipped = append(skipped, f)
	}
	for _, f := range skipped {
		active.add(f)
	}
	return found
}

// grant lets the item run.
func (g *Gate) grant(now time.Time, t *Ticket) {
	g.backlog.startService(t.flow, t.cost)
	t.flow.running++
	g.running++
	if t.class == classLong {
		g.runningLong++
	}
	g.setLoad(now, g.load+t.cost)
	t.granted, t.lastOutput = now, now
	if t.class == classShort && g.exceedsFairShare(t.flow, 1) {
		t.priority.Store(PriorityAboveShare)
	}
	t.decide(stateGranted, nil)
}

// refuse ends a waiting item with the error.
func (g *Gate) refuse(now time.Time, t *Ticket, err error) {
	g.backlog.remove(t)
	g.backlog.deactivateIfIdle(now, t.flow)
	t.decide(stateRefused, err)
}

func (g *Gate) setLoad(now time.Time, load uint64) {
	g.load = load
	g.history.add(now, g.load+g.inheritedLoad)
}
