package clemgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// newGateWithSurge returns a gate of 8 slots at which one organisation, far
// above its fair share, has 6 items running and 2 waiting, while other
// organisations had work recently.
func newGateWithSurge(t *testing.T) *Gate {
	t.Helper()
	g := newOpenGate(limits(8))
	for _, other := range []string{"b", "c", "d", "e"} {
		g.Release(start, mustAcquire(t, g, start, item(other, 10)))
	}
	for range 8 {
		mustAcquire(t, g, start, item("a", 10))
	}
	require.Equal(t, 2, g.Report().Waiting())
	return g
}

// Items waiting for an organisation above its fair share do not block others.
func TestSurgeDoesNotBlockOthers(t *testing.T) {
	g := newGateWithSurge(t)
	eager := NewItem(ItemConfig{Organisation: "b", OutputTokens: 10, Eager: true})
	require.True(t, isDecided(mustAcquire(t, g, start, eager)))
	last := mustAcquire(t, g, start, item("c", 10))
	require.True(t, isDecided(last))
	waiting := mustAcquire(t, g, start, item("d", 10))
	require.False(t, isDecided(waiting), "all slots are taken")
	g.Release(start, last)
	require.True(t, isDecided(waiting), "it is granted before the queue of the organisation above its fair share")
	require.Equal(t, 2, g.Report().Waiting())
}

// A short item is refused if its organisation's queue exceeds the longest wait
// for short items.
func TestShortItemsAreRefusedBehindLongQueue(t *testing.T) {
	g := newOpenGate(limits(1))
	g.meter.add(start, time.Second, 100)
	mustAcquire(t, g, start, item("a", 10))
	mustAcquire(t, g, start, item("a", 101))
	_, err := g.Acquire(start, item("a", 10))
	requireKind(t, err, clementineturn.KindOverloaded)
	mustAcquire(t, g, start, item("b", 10))
}

// An item that would wait past its deadline is refused on arrival.
func TestItemIsRefusedIfItWouldWaitPastDeadline(t *testing.T) {
	g := newOpenGate(limits(1))
	g.meter.add(start, time.Second, 100)
	mustAcquire(t, g, start, item("a", 10))
	mustAcquire(t, g, start, item("a", 50))
	_, err := g.Acquire(start, NewItem(ItemConfig{Organisation: "a", QueueLimit: 10, OutputTokens: 10, Deadline: start.Add(550 * time.Millisecond)}))
	requireKind(t, err, clementineturn.KindOverloaded)
	mustAcquire(t, g, start, NewItem(ItemConfig{Organisation: "a", QueueLimit: 10, OutputTokens: 10, Deadline: start.Add(650 * time.Millisecond)}))
}

// A server that stalls in the middle of answers refuses waiting and new items
// until an answer makes progress.
func TestStalledServer(t *testing.T) {
	g := newOpenGate(limits(1))
	running := mustAcquire(t, g, start, item("a", 100))
	waiting := mustAcquire(t, g, start, item("a", 10))
	g.Tick(start.Add(minStallTime))
	require.False(t, isDecided(waiting), "an answer that has not begun cannot stall")
	begun := start.Add(minStallTime)
	g.ReportProgress(begun, running, 1)
	g.Tick(begun.Add(minStallTime - 1))
	require.False(t, isDecided(waiting))
	g.Tick(begun.Add(minStallTime))
	requireKind(t, waiting.Err(), clementineturn.KindSlow)
	_, err := g.Acquire(begun.Add(minStallTime), item("a", 10))
	requireKind(t, err, clementineturn.KindSlow)
	g.ReportProgress(begun.Add(minStallTime), running, 2)
	waiting = mustAcquire(t, g, begun.Add(minStallTime), item("a", 10))
	g.Release(begun.Add(minStallTime), running)
	require.True(t, isDecided(waiting))
}

func TestStalledServerWithFreeSlots(t *testing.T) {
	g := newOpenGate(limits(4))
	running := mustAcquire(t, g, start, item("a", 100))
	g.ReportProgress(start, running, 1)
	_, err := g.Acquire(start.Add(minStallTime), item("a", 10))
	requireKind(t, err, clementineturn.KindSlow)
}

func TestStallDetectionWithLargeOutputGaps(t *testing.T) {
	var d stallDetector
	now := start
	for i := range 100 {
		now = now.Add(time.Second)
		d.recordOutput(now, i == 0)
	}
	require.False(t, d.isStalled(now.Add(3*time.Second)))
	require.True(t, d.isStalled(now.Add(4*time.Second)))
	d.endAnswer()
	require.False(t, d.isStalled(now.Add(time.Hour)))
}

// A flow that is next in order but must leave the free slots to others is
// skipped.
func TestFlowAboveFairShareIsSkipped(t *testing.T) {
	g := newOpenGate(limits(8))
	for _, other := range []string{"b", "d", "e"} {
		g.Release(start, mustAcquire(t, g, start, item(other, 10)))
	}
	first := mustAcquire(t, g, start, item("c", 500))
	mustAcquire(t, g, start, item("c", 500))
	for range 7 {
		mustAcquire(t, g, start, item("a", 1))
	}
	require.Equal(t, 2, g.Report().Waiting(), "the last slot is reserved for organisations within their fair share")
	mustAcquire(t, g, start, item("c", 500))
	last := mustAcquire(t, g, start, item("c", 500))
	require.False(t, isDecided(last))
	g.Release(start, first)
	require.True(t, isDecided(last))
}

// An organisation that was idle gets no credit for the service it did not use.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	g := newOpenGate(limits(1))
	for range 50 {
		g.Release(start, mustAcquire(t, g, start, item("a", 100)))
	}
	running := mustAcquire(t, g, start, item("a", 100))
	var tickets []*Ticket
	for range 10 {
		tickets = append(tickets, mustAcquire(t, g, start, item("a", 100)), mustAcquire(t, g, start, item("b", 100)))
	}
	g.Release(start, running)
	served := map[string]int{}
	for range 10 {
		for _, ticket := range tickets {
			if ticket.state == stateGranted {
				served[ticket.item.organisation]++
				g.Release(start, ticket)
				break
			}
		}
	}
	require.InDelta(t, 5, served["a"], 1)
}

// A waiting item that has become admissible only by the passage of time is
// granted before a new item.
func TestWaitingItemIsGrantedBeforeNewItem(t *testing.T) {
	g := newOpenGate(limits(8))
	g.SetLimits(start, withLoad(limits(8), 4, 0, start))
	mustAcquire(t, g, start, item("a", 100))
	mustAcquire(t, g, start, item("a", 100))
	waiting := mustAcquire(t, g, start, item("a", 100))
	require.False(t, isDecided(waiting))
	mustAcquire(t, g, start.Add(maxMeanAge+1), item("b", 100))
	require.True(t, isDecided(waiting))
}

// An organisation returns at the moment at which its idle flow is due to be
// dropped, while the refusal of another item drops idle flows. The new item
// must use the flow that the backlog counts.
func TestFlowReusedWhileIdleFlowsAreDropped(t *testing.T) {
	g := newOpenGate(limits(8))
	g.Release(start, mustAcquire(t, g, start, item("a", 100)))
	now := start.Add(idleFlowTTL - boundWaitTimeout - time.Millisecond)
	mustAcquire(t, g, now, item("c", 100))
	mustAcquire(t, g, now, item("c", 100))
	g.SetLimits(now, withLoad(limits(8), 4, 0, now))
	waiting := mustAcquire(t, g, now, item("b", 100))
	require.False(t, isDecided(waiting))
	now = start.Add(idleFlowTTL)
	ticket, err := g.Acquire(now, item("a", 100))
	requireKind(t, waiting.Err(), clementineturn.KindOverloaded)
	require.NoError(t, err)
	require.Same(t, g.backlog.flows["a"], ticket.flow)
	sum := 0.0
	for _, f := range g.backlog.flows {
		sum += f.weight
	}
	require.InDelta(t, sum, g.backlog.recentWeight, 1e-9)
}
