package clemgate

import (
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// maxShortWait is the estimated wait from which short items are refused. A
// longer queue adds no throughput, and makes every caller late after a crest.
const maxShortWait = time.Second

// check refuses what needs no look at the queue.
func (g *Gate) check(now time.Time, item Item) error {
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

// checkQueue refuses an item that cannot run at once and should not wait.
func (g *Gate) checkQueue(now time.Time, t *Ticket) error {
	switch {
	case t.item.hedge:
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s has no room for hedges", g.server)
	case g.factor < 1 || g.pulse.isStalled(now):
		return clementineturn.Refuse(clementineturn.KindSlow, "%s is slower than its pool", g.server)
	case t.flow.waiting >= int(t.item.queue):
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s holds %d waiting items of the organisation", g.server, t.flow.waiting)
	case t.item.eager:
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s has no room at once", g.server)
	}
	wait := g.wait(now, t)
	if t.class == classShort && wait > maxShortWait {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s has a queue of %v", g.server, wait.Round(time.Millisecond))
	}
	if !t.latest.IsZero() && now.Add(wait).After(t.latest) {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%s cannot meet the deadline", g.server)
	}
	return nil
}

// latest returns the last time at which the item can start and still meet
// its deadline at the server's speed, or zero without a deadline.
func (g *Gate) latest(item Item) time.Time {
	if item.deadline.IsZero() {
		return time.Time{}
	}
	return item.deadline.Add(-g.span(item.output))
}

// span returns the time that the output takes one item at the server's speed.
func (g *Gate) span(tokens uint64) time.Duration {
	return time.Duration(tokens) * g.meter.speed()
}

// wait returns how long the item would wait: its organisation's waiting
// output of the class, at the organisation's share of the class's slots.
func (g *Gate) wait(now time.Time, t *Ticket) time.Duration {
	slots := g.slots(now)
	if t.class == classLong {
		slots = scale(slots, g.limits.longShare)
	} else {
		slots -= g.long
	}
	share := t.flow.weight / max(t.flow.weight, g.backlog.weight)
	return time.Duration(float64(g.span(t.flow.tokens[t.class])) / (share * float64(max(1, slots))))
}

// tick reacts to the time and to changed limits.
func (g *Gate) tick(now time.Time) {
	g.history.add(now, g.load+g.busy)
	g.factor = 1
	if g.limits.isFresh(now) {
		g.factor = g.meter.factor(g.limits.load.Median())
	}
	g.expire(now)
	g.backlog.sweep(now)
	switch {
	case g.draining:
		g.refuseAll(now, clementineturn.Refuse(clementineturn.KindDraining, "%s takes no new work", g.server))
	case g.factor < 1 || g.pulse.isStalled(now):
		g.refuseAll(now, clementineturn.Refuse(clementineturn.KindSlow, "%s is slower than its pool", g.server))
	}
	g.dispatch(now)
}

// expire refuses the items that can no longer meet their deadline.
func (g *Gate) expire(now time.Time) {
	for g.backlog.expiry.Len() > 0 {
		t := g.backlog.expiry.first()
		if !now.After(t.latest) {
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

// outrun follows an item that produces more than its estimate: its load and
// its organisation's charge grow, and it counts as long once it is.
func (g *Gate) outrun(now time.Time, t *Ticket) {
	actual := work(t.item.prompt, t.produced)
	if actual <= t.cost {
		return
	}
	more := actual - t.cost
	t.cost = actual
	g.setLoad(now, g.load+more)
	g.backlog.charge(t.flow, more)
	if t.class == classShort && g.limits.isLong(actual) {
		t.setClass(classLong)
		g.long++
	}
}
