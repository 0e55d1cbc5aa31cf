package clemgate

import (
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// maxShortItemWait is the estimated wait above which short items are refused. A
// longer queue adds no throughput and delays every caller after a peak.
const maxShortItemWait = time.Second

// checkState refuses an item for reasons that do not depend on the queue.
func (g *Gate) checkState(now time.Time, item Item) error {
	if g.draining {
		return clementineturn.Refuse(clementineturn.KindDraining, "%s takes no new work", g.server)
	}
	if !item.deadline.IsZero() && !now.Before(item.deadline) {
		return clementineturn.Refuse(clementineturn.KindExpired, "the deadline has passed")
	}
	if g.limits.slots <= 0 {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s has no slots", g.server)
	}
	return nil
}

// checkWait refuses an item that cannot run at once and must not wait.
func (g *Gate) checkWait(now time.Time, t *Ticket) error {
	switch {
	case t.item.hedge:
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s has no room for hedges", g.server)
	case g.speedFactor < 1 || g.stall.isStalled(now):
		return clementineturn.Refuse(clementineturn.KindSlow, "%s is slower than its pool", g.server)
	case t.flow.waiting >= int(t.item.queueLimit):
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s holds %d waiting items of the organisation", g.server, t.flow.waiting)
	case t.item.eager:
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s has no room at once", g.server)
	}
	wait := g.estimateWait(now, t)
	if t.class == classShort && wait > maxShortItemWait {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s has a queue of %v", g.server, wait.Round(time.Millisecond))
	}
	if !t.latestStart.IsZero() && now.Add(wait).After(t.latestStart) {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s cannot meet the deadline", g.server)
	}
	return nil
}

// latestStart returns the last time at which the item can start and still meet
// its deadline at the server's speed, or zero without a deadline.
func (g *Gate) latestStart(item Item) time.Time {
	if item.deadline.IsZero() {
		return time.Time{}
	}
	return item.deadline.Add(-g.runTime(item.outputTokens))
}

// runTime returns the time to produce the tokens of one item at the server's
// speed.
func (g *Gate) runTime(tokens uint64) time.Duration {
	return time.Duration(tokens) * g.meter.speed()
}

// estimateWait returns how long the item would wait: the time to run the output
// that its organisation has waiting in the class, at the organisation's share
// of the class's slots.
func (g *Gate) estimateWait(now time.Time, t *Ticket) time.Duration {
	slots := g.usableSlots(now)
	if t.class == classLong {
		slots = scaleSlots(slots, g.limits.longShare)
	} else {
		slots -= g.runningLong
	}
	share := t.flow.weight / max(t.flow.weight, g.backlog.activeWeight)
	return time.Duration(float64(g.runTime(t.flow.waitingTokens[t.class])) / (share * float64(max(1, slots))))
}

// update applies the passage of time and changed limits.
func (g *Gate) update(now time.Time) {
	g.history.add(now, g.load+g.inheritedLoad)
	g.speedFactor = 1
	if g.limits.hasFreshMean(now) {
		g.speedFactor = g.meter.factor(g.limits.load.MedianTokenTime())
	}
	g.expireWaiting(now)
	g.backlog.dropIdle(now)
	switch {
	case g.draining:
		g.refuseAll(now, clementineturn.Refuse(clementineturn.KindDraining, "%s takes no new work", g.server))
	case g.speedFactor < 1 || g.stall.isStalled(now):
		g.refuseAll(now, clementineturn.Refuse(clementineturn.KindSlow, "%s is slower than its pool", g.server))
	}
	g.dispatch(now)
}

// expireWaiting refuses the items that can no longer meet their deadline.
func (g *Gate) expireWaiting(now time.Time) {
	for g.backlog.expiry.Len() > 0 {
		t := g.backlog.expiry.first()
		if !now.After(t.latestStart) {
			return
		}
		g.refuse(now, t, clementineturn.Refuse(clementineturn.KindExpired, "%s cannot meet the deadline any more", g.server))
	}
}

// refuseAll refuses every waiting item.
func (g *Gate) refuseAll(now time.Time, err error) {
	for c := range g.backlog.active {
		for g.backlog.active[c].Len() > 0 {
			g.refuse(now, g.backlog.active[c].first().head(class(c)), err)
		}
	}
}

// recordOverrun raises the cost of an item that produces more than its
// estimate: the load and the organisation's charge grow, and a short item
// becomes long once its cost is that of a long one.
func (g *Gate) recordOverrun(now time.Time, t *Ticket) {
	cost := workTokens(t.item.promptTokens, t.outputTokens)
	if cost <= t.cost {
		return
	}
	excess := cost - t.cost
	t.cost = cost
	g.setLoad(now, g.load+excess)
	g.backlog.charge(t.flow, excess)
	if t.class == classShort && g.limits.isLong(cost) {
		t.setClass(classLong)
		g.runningLong++
	}
}
