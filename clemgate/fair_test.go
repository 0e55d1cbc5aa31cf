package clemgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// surged returns a gate of 8 slots on which a surging organisation runs 6
// items and waits with more, for others that had work lately.
func surged(t *testing.T) *Gate {
	t.Helper()
	g := open(limits(8))
	for _, other := range []string{"b", "c", "d", "e"} {
		g.Leave(start, enter(t, g, start, item(other, 10)))
	}
	for range 8 {
		enter(t, g, start, item("a", 10))
	}
	require.Equal(t, 2, g.Report().Waiting())
	return g
}

// What waits for an organisation that surges holds up nobody else.
func TestSurgeHoldsUpNobody(t *testing.T) {
	g := surged(t)
	eager := NewItem(ItemConfig{Organisation: "b", Output: 10, Eager: true})
	require.True(t, isDecided(enter(t, g, start, eager)))
	last := enter(t, g, start, item("c", 10))
	require.True(t, isDecided(last))
	waiting := enter(t, g, start, item("d", 10))
	require.False(t, isDecided(waiting), "all slots are taken")
	g.Leave(start, last)
	require.True(t, isDecided(waiting), "it passes over the surging organisation's queue")
	require.Equal(t, 2, g.Report().Waiting())
}

// Short work is refused once its organisation's queue is longer than a caller should wait.
func TestQueueIsShort(t *testing.T) {
	g := open(limits(1))
	g.meter.add(start, time.Second, 100)
	enter(t, g, start, item("a", 10))
	enter(t, g, start, item("a", 101))
	_, err := g.Enter(start, item("a", 10))
	requireKind(t, err, clementineturn.KindOverloaded)
	enter(t, g, start, item("b", 10))
}

// Work that would wait past its deadline is refused when it comes.
func TestQueueWithinDeadline(t *testing.T) {
	g := open(limits(1))
	g.meter.add(start, time.Second, 100)
	enter(t, g, start, item("a", 10))
	enter(t, g, start, item("a", 50))
	_, err := g.Enter(start, NewItem(ItemConfig{Organisation: "a", Queue: 10, Output: 10, Deadline: start.Add(550 * time.Millisecond)}))
	requireKind(t, err, clementineturn.KindOverloaded)
	enter(t, g, start, NewItem(ItemConfig{Organisation: "a", Queue: 10, Output: 10, Deadline: start.Add(650 * time.Millisecond)}))
}

// A server that stops in the middle of answers hands waiting work back and
// takes none until an answer goes on.
func TestStalledServer(t *testing.T) {
	g := open(limits(1))
	running := enter(t, g, start, item("a", 100))
	waiting := enter(t, g, start, item("a", 10))
	g.Expire(start.Add(stalledAfter))
	require.False(t, isDecided(waiting), "an answer that has not begun does not stand still")
	begun := start.Add(stalledAfter)
	g.Progress(begun, running, 1)
	g.Expire(begun.Add(stalledAfter - 1))
	require.False(t, isDecided(waiting))
	g.Expire(begun.Add(stalledAfter))
	requireKind(t, waiting.Err(), clementineturn.KindSlow)
	_, err := g.Enter(begun.Add(stalledAfter), item("a", 10))
	requireKind(t, err, clementineturn.KindSlow)
	g.Progress(begun.Add(stalledAfter), running, 2)
	waiting = enter(t, g, begun.Add(stalledAfter), item("a", 10))
	g.Leave(begun.Add(stalledAfter), running)
	require.True(t, isDecided(waiting))
}

func TestStalledServerWithFreeSlots(t *testing.T) {
	g := open(limits(4))
	running := enter(t, g, start, item("a", 100))
	g.Progress(start, running, 1)
	_, err := g.Enter(start.Add(stalledAfter), item("a", 10))
	requireKind(t, err, clementineturn.KindSlow)
}

func TestPulseOfAnswersInLargePieces(t *testing.T) {
	var p pulse
	now := start
	for i := range 100 {
		now = now.Add(time.Second)
		p.beat(now, i == 0)
	}
	require.False(t, p.isStalled(now.Add(3*time.Second)))
	require.True(t, p.isStalled(now.Add(4*time.Second)))
	p.end()
	require.False(t, p.isStalled(now.Add(time.Hour)))
}

// A queue that is next in order and has to leave the free slots to others is
// passed over.
func TestSurgeIsPassedOver(t *testing.T) {
	g := open(limits(8))
	for _, other := range []string{"b", "d", "e"} {
		g.Leave(start, enter(t, g, start, item(other, 10)))
	}
	first := enter(t, g, start, item("c", 500))
	enter(t, g, start, item("c", 500))
	for range 7 {
		enter(t, g, start, item("a", 1))
	}
	require.Equal(t, 2, g.Report().Waiting(), "the last slot is not for one that surges")
	enter(t, g, start, item("c", 500))
	last := enter(t, g, start, item("c", 500))
	require.False(t, isDecided(last))
	g.Leave(start, first)
	require.True(t, isDecided(last))
}

// An organisation that had no work for a while has no claim on the service of that time.
func TestIdleTimeEarnsNothing(t *testing.T) {
	g := open(limits(1))
	for range 50 {
		g.Leave(start, enter(t, g, start, item("a", 100)))
	}
	running := enter(t, g, start, item("a", 100))
	var tickets []*Ticket
	for range 10 {
		tickets = append(tickets, enter(t, g, start, item("a", 100)), enter(t, g, start, item("b", 100)))
	}
	g.Leave(start, running)
	served := map[string]int{}
	for range 10 {
		for _, ticket := range tickets {
			if ticket.state == stateGranted {
				served[ticket.item.organisation]++
				g.Leave(start, ticket)
				break
			}
		}
	}
	require.InDelta(t, 5, served["a"], 1)
}

// What the time alone has made admissible goes before a new item.
func TestWaitingGoesBeforeNew(t *testing.T) {
	g := open(limits(8))
	g.SetLimits(start, known(limits(8), 4, 0, start))
	enter(t, g, start, item("a", 100))
	enter(t, g, start, item("a", 100))
	waiting := enter(t, g, start, item("a", 100))
	require.False(t, isDecided(waiting))
	enter(t, g, start.Add(maxMeanAge+1), item("b", 100))
	require.True(t, isDecided(waiting))
}

// An organisation returns at the moment at which its flow is due to be
// dropped, and a refusal of another's item sweeps the flows meanwhile. The
// flow in use stays the one that the gate counts.
func TestReturnOfAFlowThatIsSwept(t *testing.T) {
	g := open(limits(8))
	g.Leave(start, enter(t, g, start, item("a", 100)))
	now := start.Add(flowMemory - boundPatience - time.Millisecond)
	enter(t, g, now, item("c", 100))
	enter(t, g, now, item("c", 100))
	g.SetLimits(now, known(limits(8), 4, 0, now))
	waits := enter(t, g, now, item("b", 100))
	require.False(t, isDecided(waits))
	now = start.Add(flowMemory)
	back, err := g.Enter(now, item("a", 100))
	requireKind(t, waits.Err(), clementineturn.KindOverloaded)
	require.NoError(t, err)
	require.Same(t, g.backlog.flows["a"], back.flow)
	sum := 0.0
	for _, f := range g.backlog.flows {
		sum += f.weight
	}
	require.InDelta(t, sum, g.backlog.recent, 1e-9)
}
