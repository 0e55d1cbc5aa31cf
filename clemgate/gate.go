// Package clemgate admits work at the sidecar beside a backend server. The
// server's load is the sidecar's own count of estimated tokens in flight, and
// it stays within a multiple of the pool's mean. Work that has to wait is
// queued fairly over organisations, short before long. The package takes the
// time as an argument and starts no goroutine.
package clemgate

import (
	"math"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// agedAfter is the wait after which a long item goes before short ones.
	agedAfter = 2 * time.Second
	// boundPatience is how long an item waits for the bound once a slot is free:
	// longer than the sums of loads need to show a burst.
	boundPatience = time.Second
	// hedgeShare is the share of the slots up to which hedges are admitted.
	hedgeShare = 0.75
)

// Config describes a Gate to construct.
type Config struct {
	// Server is the name of the backend server, used in refusals.
	Server string
}

// Gate admits work to one backend server. It is safe for concurrent use.
type Gate struct {
	server string

	mu       sync.Mutex
	limits   Limits
	backlog  *backlog
	meter    meter
	history  history
	heard    hearsay
	load     uint64
	busy     uint64
	running  int
	long     int
	pulse    pulse
	factor   float64
	draining bool
}

// New returns a gate without slots; SetLimits opens it.
func New(c Config) *Gate {
	return &Gate{server: c.Server, backlog: newBacklog(), heard: hearsay{}, factor: 1}
}

// SetLimits replaces the limits and grants what they allow.
func (g *Gate) SetLimits(now time.Time, l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.tick(now)
}

// SetBusy sets the work, in tokens, that the engine still runs for an earlier
// incarnation of the sidecar.
func (g *Gate) SetBusy(now time.Time, load uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = load
	g.tick(now)
}

// Hear notes the load, in tokens, that another server of the pool told just now.
func (g *Gate) Hear(now time.Time, server string, load uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if server != g.server {
		g.heard.add(now, server, load)
	}
}

// Enter asks for admission. The ticket is granted at once or waits; an error
// refuses the item and says that it was not run. Errors: KindOverloaded,
// KindDraining, KindExpired, KindSlow.
func (g *Gate) Enter(now time.Time, item Item) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(now, item); err != nil {
		return nil, err
	}
	// What still waits then is held back by limits of its own, so the item
	// passes nobody. The flow is looked up afterwards, since a refusal may drop
	// idle flows.
	g.dispatch(now)
	t := &Ticket{item: item, index: absent, entered: now, latest: g.latest(item), cost: item.cost(), decided: make(chan struct{})}
	t.setClass(g.classOf(t.cost))
	t.flow = g.backlog.flow(item)
	if g.hasSlot(now, t) && g.fits(now, t.cost) {
		g.backlog.enter(t.flow)
		g.grant(now, t)
		return t, nil
	}
	if err := g.checkQueue(now, t); err != nil {
		g.backlog.forget(t.flow)
		return nil, err
	}
	g.backlog.push(t)
	g.dispatch(now)
	return t, nil
}

// Withdraw takes back an item. It returns true if the item still waited and
// now never runs.
func (g *Gate) Withdraw(now time.Time, t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != stateWaiting {
		return t.state == stateRefused
	}
	g.refuse(now, t, clementineturn.Refuse(clementineturn.KindCancelled, "withdrawn"))
	g.dispatch(now)
	return true
}

// Progress tells the output, in tokens, that a granted item has produced so far.
func (g *Gate) Progress(now time.Time, t *Ticket, tokens uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != stateGranted || tokens <= t.produced {
		return
	}
	if t.produced > 0 {
		g.meter.add(now, now.Sub(t.mark), tokens-t.produced)
	}
	t.produced, t.mark = tokens, now
	t.reports++
	g.pulse.beat(now, t.reports == 1)
	g.outrun(now, t)
}

// Leave ends a granted item. The whole time of an answer that came in one
// piece counts as its speed; work that ends without an answer tells nothing.
func (g *Gate) Leave(now time.Time, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != stateGranted {
		return
	}
	if t.reports == 1 {
		g.meter.add(now, now.Sub(t.granted), t.cost)
	}
	t.state = stateLeft
	g.setLoad(now, g.load-t.cost)
	g.running--
	if t.class == classLong {
		g.long--
	}
	if t.reports > 0 {
		g.pulse.end()
	}
	t.flow.running--
	g.backlog.leave(now, t.flow)
	g.dispatch(now)
}

// Expire refuses waiting items whose deadline has passed or cannot be met,
// and grants what the limits allow at this time.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tick(now)
}

// SetDraining refuses waiting and new work, or takes new work again.
func (g *Gate) SetDraining(now time.Time, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = draining
	g.tick(now)
}

// Report returns the state of the gate.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{
		load: g.load + g.busy, running: g.running, waiting: g.backlog.waiting,
		speed: g.meter.speed(), slowness: g.meter.slowness(g.limits.load.Median()),
	}
}

// fits reports whether the bound allows the cost, in tokens. The mean is
// the pool's total as reported, with the server's own part of it replaced by
// its count of now and the new cost added, over the servers in the sum. The
// limit is rounded up to whole items of the cost, as in consistent hashing
// with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018), where all
// items are equal: an idle server takes any one item, and a pool whose servers
// carry one item each can take another. Without a fresh mean the slots alone limit.
func (g *Gate) fits(now time.Time, cost uint64) bool {
	load := g.load + g.busy
	if load == 0 || !g.limits.isFresh(now) {
		return true
	}
	mean := (g.total(now) + float64(cost)) / float64(g.limits.load.Servers())
	items := math.Ceil(g.limits.bound * g.factor * mean / float64(cost))
	return float64(load+cost) <= items*float64(cost)
}

// total returns the pool's work in flight, with this server's part as of now.
// What other servers told lately is a lower bound of their part: at the start
// of a burst it is far above the sum, which is a second or two old.
func (g *Gate) total(now time.Time) float64 {
	own := g.history.at(now, g.limits.load.Time(), g.load+g.busy)
	others := float64(g.limits.load.Total()) - float64(own)
	return max(0, others, g.heard.sum(now)) + float64(g.load+g.busy)
}

// slots returns the number of items that may run now.
func (g *Gate) slots(now time.Time) int {
	slots := g.limits.slots
	if g.busy > 0 || !g.limits.isFresh(now) {
		slots = scale(slots, safeShare)
	}
	if g.factor < 1 {
		slots = scale(slots, g.factor)
	}
	return slots
}

// hasSlot reports whether a slot is free for the ticket. Long items hold a
// limited share, and an organisation that surges leaves some free.
func (g *Gate) hasSlot(now time.Time, t *Ticket) bool {
	if g.pulse.isStalled(now) {
		return false
	}
	slots := g.slots(now)
	if t.class == classLong && g.long >= scale(slots, g.limits.longShare) {
		return false
	}
	if t.item.hedge {
		slots = scale(slots, hedgeShare)
	}
	if g.isAbove(t.flow, surgeRatio) {
		slots -= reserve(slots)
	}
	return g.running < slots
}

// isAbove reports whether the flow runs more than the multiple of its fair
// share of the slots, by weight over the organisations that had work lately.
// One item more is allowed, since shares are fractions of a slot.
func (g *Gate) isAbove(f *flow, multiple float64) bool {
	fair := float64(g.limits.slots) * f.weight / max(f.weight, g.backlog.recent)
	return float64(f.running) >= multiple*fair+1
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
	for _, c := range g.order(now) {
		t := g.next(now, c)
		if t == nil {
			continue
		}
		if g.fits(now, t.cost) {
			g.backlog.pull(t)
			g.grant(now, t)
			return true
		}
		if now.Sub(t.entered) >= boundPatience {
			g.refuse(now, t, clementineturn.Refuse(clementineturn.KindOverloaded, "%s is at its load bound", g.server))
			return true
		}
	}
	return false
}

// order returns the classes in the order of service: short first, unless the
// long item that is next has aged.
func (g *Gate) order(now time.Time) [classCount]class {
	if g.backlog.active[classLong].Len() > 0 {
		head := g.backlog.active[classLong].first().head(classLong)
		if now.Sub(head.entered) >= agedAfter {
			return [classCount]class{classLong, classShort}
		}
	}
	return [classCount]class{classShort, classLong}
}

// next returns the class's item that is to be served next, or nil if no slot
// is free for any. It passes over organisations that have to leave the free
// slots to others; those run work, so there are at most as many as slots.
func (g *Gate) next(now time.Time, c class) *Ticket {
	active := &g.backlog.active[c]
	var passed []*flow
	var found *Ticket
	for active.Len() > 0 && found == nil {
		f := active.first()
		if t := f.head(c); g.hasSlot(now, t) {
			found = t
			break
		}
		if !g.isAbove(f, surgeRatio) {
			break
		}
		active.remove(0)
		passed = append(passed, f)
	}
	for _, f := range passed {
		active.add(f)
	}
	return found
}

// grant lets the item run.
func (g *Gate) grant(now time.Time, t *Ticket) {
	g.backlog.serve(t.flow, t.cost)
	t.flow.running++
	g.running++
	if t.class == classLong {
		g.long++
	}
	g.setLoad(now, g.load+t.cost)
	t.granted, t.mark = now, now
	if t.class == classShort && g.isAbove(t.flow, 1) {
		t.priority.Store(PriorityAbove)
	}
	t.decide(stateGranted, nil)
}

// refuse ends a waiting item.
func (g *Gate) refuse(now time.Time, t *Ticket, err error) {
	g.backlog.pull(t)
	g.backlog.leave(now, t.flow)
	t.decide(stateRefused, err)
}

func (g *Gate) setLoad(now time.Time, load uint64) {
	g.load = load
	g.history.add(now, g.load+g.busy)
}
