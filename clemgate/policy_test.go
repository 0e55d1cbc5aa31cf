package clemgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
)

func newOpenGate(c LimitsConfig) *Gate {
	g := New(Config{Server: "s"})
	g.SetLimits(start, withLoad(c, 1, 0, start))
	return g
}

func mustAcquire(t *testing.T, g *Gate, now time.Time, item Item) *Ticket {
	t.Helper()
	ticket, err := g.Acquire(now, item)
	require.NoError(t, err)
	return ticket
}

func requireKind(t *testing.T, err error, kind clementineturn.Kind) {
	t.Helper()
	require.Truef(t, clementineturn.IsKind(err, kind) && clementineturn.IsNotRun(err), "found %v, want %v", err, kind)
}

// The load stays within the load factor times the mean, and the mean uses the
// server's own current load.
func TestBound(t *testing.T) {
	cases := []struct {
		name          string
		servers       int
		total         uint64
		load, cost    uint64
		age           time.Duration
		known, allows bool
	}{
		{"an idle server takes any item", 4, 0, 0, 900, 0, true, true},
		{"one item on top of an equal one", 4, 300, 100, 100, 0, true, true},
		{"above the bound", 4, 300, 200, 100, 0, true, false},
		{"a small item above the bound", 4, 300, 200, 10, 0, true, false},
		{"within the bound", 4, 600, 100, 100, 0, true, true},
		{"a lone server is its own mean", 1, 0, 400, 100, 0, true, true},
		{"a stale mean does not count", 4, 300, 100, 100, 4 * time.Second, true, true},
		{"an unknown mean does not count", 4, 300, 100, 100, 0, false, true},
		{"no servers in the sum", 0, 300, 100, 100, 0, true, true},
	}
	for _, c := range cases {
		g := newOpenGate(limits(16))
		now := start.Add(10 * time.Second)
		if c.load > 0 {
			mustAcquire(t, g, now, item("a", c.load))
		}
		config := limits(16)
		config.LoadKnown = c.known
		config.Load = clemboard.NewLoad(clemboard.LoadConfig{Servers: c.servers, TotalTokens: c.total, OldestReport: now.Add(-c.age)})
		g.SetLimits(now, NewLimits(config))
		require.Equal(t, c.allows, g.isWithinBound(now, c.cost), c.name)
	}
}

func TestStaleMeanLimitsSlots(t *testing.T) {
	g := newOpenGate(limits(8))
	later := start.Add(maxMeanAge + time.Millisecond)
	for range 4 {
		require.True(t, isDecided(mustAcquire(t, g, later, item("a", 10))))
	}
	require.False(t, isDecided(mustAcquire(t, g, later, item("a", 10))))
}

func TestInheritedLoadLimitsAdmission(t *testing.T) {
	g := newOpenGate(limits(8))
	g.SetLimits(start, withLoad(limits(8), 4, 800, start))
	g.SetInheritedLoad(start, 900)
	require.Equal(t, uint64(900), g.Report().Load())
	_, err := g.Acquire(start, NewItem(ItemConfig{Organisation: "a", QueueLimit: 5, OutputTokens: 10, Eager: true}))
	requireKind(t, err, clementineturn.KindOverloaded)
	waiting := mustAcquire(t, g, start, item("a", 10))
	require.False(t, isDecided(waiting))
	g.SetInheritedLoad(start, 0)
	require.True(t, isDecided(waiting))
}

func TestInheritedLoadLimitsSlots(t *testing.T) {
	g := newOpenGate(limits(8))
	g.SetInheritedLoad(start, 10)
	for range 5 {
		mustAcquire(t, g, start, item("a", 10))
	}
	require.Equal(t, 4, g.Report().Running())
}

// An item that waits for the load bound while a slot is free is refused, so
// that the entry offers it to a server below the mean.
func TestItemIsRefusedAfterWaitingAtBound(t *testing.T) {
	g := newOpenGate(limits(8))
	g.SetLimits(start, withLoad(limits(8), 4, 0, start))
	mustAcquire(t, g, start, item("a", 100))
	mustAcquire(t, g, start, item("a", 100))
	waiting := mustAcquire(t, g, start, item("a", 100))
	g.Tick(start.Add(boundWaitTimeout - 1))
	require.False(t, isDecided(waiting))
	g.Tick(start.Add(boundWaitTimeout))
	requireKind(t, waiting.Err(), clementineturn.KindOverloaded)
}

func TestLongItemsHoldAShareOfTheSlots(t *testing.T) {
	g := newOpenGate(limits(4))
	var long []*Ticket
	for range 3 {
		long = append(long, mustAcquire(t, g, start, item("a", 2000)))
	}
	require.True(t, isDecided(long[1]))
	require.False(t, isDecided(long[2]), "half of four slots are for long items")
	short := mustAcquire(t, g, start, item("b", 10))
	require.True(t, isDecided(short))
	require.Equal(t, PriorityShort, short.Priority())
	require.Equal(t, PriorityLong, long[0].Priority())
	g.Release(start, long[0])
	require.True(t, isDecided(long[2]))
}

func TestAgedLongItemGoesFirst(t *testing.T) {
	for _, aged := range []bool{false, true} {
		g := newOpenGate(limits(1))
		running := mustAcquire(t, g, start, item("a", 10))
		long := mustAcquire(t, g, start, item("a", 2000))
		now := start
		if aged {
			now = now.Add(longAgingDelay)
		}
		short := mustAcquire(t, g, now, item("a", 10))
		g.Release(now, running)
		require.Equal(t, aged, isDecided(long))
		require.Equal(t, !aged, isDecided(short))
	}
}

func TestItemOverItsEstimateLosesPriority(t *testing.T) {
	g := newOpenGate(limits(4))
	ticket := mustAcquire(t, g, start, item("a", 100))
	g.ReportProgress(start, ticket, 1500)
	require.Equal(t, PriorityLong, ticket.Priority())
	require.Equal(t, uint64(1500), g.Report().Load())
	g.Release(start, ticket)
	require.Zero(t, g.Report().Load())
	require.Zero(t, g.runningLong)
}

func TestDeadline(t *testing.T) {
	g := newOpenGate(limits(1))
	running := mustAcquire(t, g, start, item("a", 10))
	late := NewItem(ItemConfig{Organisation: "a", QueueLimit: 5, OutputTokens: 10, Deadline: start.Add(time.Second)})
	waiting := mustAcquire(t, g, start, late)
	g.Tick(start.Add(time.Second))
	require.False(t, isDecided(waiting))
	g.Tick(start.Add(time.Second + 1))
	requireKind(t, waiting.Err(), clementineturn.KindExpired)
	_, err := g.Acquire(start.Add(time.Second), late)
	requireKind(t, err, clementineturn.KindExpired)
	require.True(t, g.Cancel(start, waiting), "a refused item never runs")
	require.False(t, g.Cancel(start, running))
}

func TestQueueLimitIsPerOrganisation(t *testing.T) {
	g := newOpenGate(limits(1))
	mustAcquire(t, g, start, item("a", 10))
	for range 10 {
		mustAcquire(t, g, start, item("a", 10))
	}
	_, err := g.Acquire(start, item("a", 10))
	requireKind(t, err, clementineturn.KindOverloaded)
	mustAcquire(t, g, start, item("b", 10))
}

func TestHedgesAreRefusedFirst(t *testing.T) {
	hedge := NewItem(ItemConfig{Organisation: "b", QueueLimit: 5, OutputTokens: 10, Hedge: true})
	g := newOpenGate(limits(4))
	require.True(t, isDecided(mustAcquire(t, g, start, hedge)))
	mustAcquire(t, g, start, item("a", 10))
	mustAcquire(t, g, start, item("a", 10))
	_, err := g.Acquire(start, hedge)
	requireKind(t, err, clementineturn.KindOverloaded)
	require.True(t, isDecided(mustAcquire(t, g, start, item("a", 10))))
}

// An organisation far above its fair share leaves slots free for organisations
// that had work recently.
func TestSlotsAreReservedForOtherOrganisations(t *testing.T) {
	g := newOpenGate(limits(8))
	for _, other := range []string{"b", "c", "d", "e"} {
		g.Release(start, mustAcquire(t, g, start, item(other, 10)))
	}
	var last *Ticket
	for range 8 {
		last = mustAcquire(t, g, start, item("a", 10))
	}
	require.Equal(t, 6, g.Report().Running())
	other := mustAcquire(t, g, start, item("b", 10))
	require.True(t, isDecided(other))
	require.Equal(t, PriorityShort, other.Priority())
	g.Release(start, other)
	require.False(t, isDecided(last))
	g.SetLimits(start.Add(idleFlowTTL), withLoad(limits(8), 1, 0, start.Add(idleFlowTTL)))
	require.True(t, isDecided(last), "the others have had no work for idleFlowTTL")
}

func TestAboveShareHasLowerPriority(t *testing.T) {
	g := newOpenGate(limits(16))
	mustAcquire(t, g, start, item("b", 10))
	mustAcquire(t, g, start, item("c", 10))
	var last *Ticket
	for range 8 {
		last = mustAcquire(t, g, start, item("a", 10))
	}
	require.Equal(t, PriorityAboveShare, last.Priority())
}

// newGateWithSpeed returns a gate that has measured the given time per token,
// with the time after the last measurement and the running item.
func newGateWithSpeed(t *testing.T, step time.Duration) (*Gate, time.Time, *Ticket) {
	g := newOpenGate(limits(4))
	ticket := mustAcquire(t, g, start, item("a", 100))
	now := start
	for i := range 100 {
		now = now.Add(step)
		g.ReportProgress(now, ticket, uint64(i+1))
	}
	return g, now, ticket
}

func setMedian(g *Gate, now time.Time, median time.Duration) {
	c := limits(4)
	c.LoadKnown = true
	c.Load = clemboard.NewLoad(clemboard.LoadConfig{Servers: 1, MedianTokenTime: median, OldestReport: now})
	g.SetLimits(now, NewLimits(c))
}

func TestSlowServerRefusesWaitingItems(t *testing.T) {
	g, now, running := newGateWithSpeed(t, 40*time.Millisecond)
	require.Equal(t, 40*time.Millisecond, g.Report().Speed())
	setMedian(g, now, 40*time.Millisecond)
	for range 3 {
		mustAcquire(t, g, now, item("a", 10))
	}
	waiting := mustAcquire(t, g, now, item("a", 10))
	setMedian(g, now, 10*time.Millisecond)
	requireKind(t, waiting.Err(), clementineturn.KindSlow)
	require.InDelta(t, 0.25, g.speedFactor, 0.001)
	require.Equal(t, 1, g.usableSlots(now))
	require.NoError(t, running.Err())
	_, err := g.Acquire(now, item("a", 10))
	requireKind(t, err, clementineturn.KindSlow)
}

// An answer that is reported once counts with its whole run time, an abandoned
// item not at all.
func TestSpeedOfAnswersReportedOnce(t *testing.T) {
	g := newOpenGate(limits(4))
	abandoned, answered := mustAcquire(t, g, start, item("a", 100)), mustAcquire(t, g, start, item("a", 100))
	g.Release(start, abandoned)
	require.Zero(t, g.Report().Speed())
	now := start.Add(time.Second)
	g.ReportProgress(now, answered, 90)
	g.Release(now, answered)
	require.Equal(t, 10*time.Millisecond, g.Report().Speed())
}

func TestSlownessShrinksTheBound(t *testing.T) {
	g := newOpenGate(limits(16))
	mustAcquire(t, g, start, item("a", 100))
	g.SetLimits(start, withLoad(limits(16), 4, 600, start))
	require.True(t, g.isWithinBound(start, 100))
	g.speedFactor = 0.25
	require.False(t, g.isWithinBound(start, 100))
}

func TestSlownessHysteresis(t *testing.T) {
	m := speedMeter{}
	median := 10 * time.Millisecond
	for _, c := range []struct {
		speed time.Duration
		slow  bool
	}{{14, false}, {18, true}, {14, true}, {12, false}, {14, false}} {
		m.elapsed, m.tokens = float64(c.speed*time.Millisecond*100), 100
		m.factor(median)
		require.Equal(t, c.slow, m.slow, c.speed)
	}
	require.Equal(t, 1.0, m.factor(0), "without a median no server is slow")
}

// While two organisations both have items waiting, the service they get by
// weight differs by at most one item of each.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 400
		weights := [2]uint32{uint32(rapid.IntRange(1, 5).Draw(t, "a")), uint32(rapid.IntRange(1, 5).Draw(t, "b"))}
		g := newOpenGate(limits(1))
		first, err := g.Acquire(start, item("c", 1))
		require.NoError(t, err)
		var tickets []*Ticket
		for i := range 200 {
			ticket, err := g.Acquire(start, NewItem(ItemConfig{
				Organisation: fmt.Sprint(i % 2), Weight: weights[i%2], QueueLimit: 200,
				OutputTokens: rapid.Uint64Range(1, maxCost).Draw(t, "cost"),
			}))
			require.NoError(t, err)
			tickets = append(tickets, ticket)
		}
		g.Release(start, first)
		var served [2]float64
		for g.backlog.active[classShort].Len() == 2 {
			for i, ticket := range tickets {
				if ticket.state == stateGranted {
					served[i%2] += float64(ticket.cost) / float64(weights[i%2])
					g.Release(start, ticket)
					break
				}
			}
			bound := maxCost/float64(weights[0]) + maxCost/float64(weights[1])
			require.InDelta(t, served[0], served[1], bound)
		}
	})
}

func TestHistory(t *testing.T) {
	var h history
	for i := range 10 * historySize {
		h.add(start.Add(time.Duration(i)*historyStep), uint64(i))
	}
	now := start.Add(10 * time.Duration(historySize) * historyStep)
	require.Equal(t, uint64(10*historySize-20), h.at(now, now.Add(-20*historyStep), 7))
	require.Equal(t, uint64(7), h.at(now, now, 7))
	require.Zero(t, h.at(now, start, 7))
}

func BenchmarkManyOrganisations(b *testing.B) {
	for _, n := range []int{10, 1000, 6500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newOpenGate(limits(1))
			tickets := make([]*Ticket, n)
			for i := range tickets {
				tickets[i], _ = g.Acquire(start, item(fmt.Sprint(i), 10))
			}
			b.ReportAllocs()
			for i := range b.N {
				g.Cancel(start, tickets[i%n])
				g.Release(start, tickets[i%n])
				tickets[i%n], _ = g.Acquire(start, item(tickets[i%n].item.organisation, 10))
			}
		})
	}
}

func BenchmarkRefusal(b *testing.B) {
	g := newOpenGate(limits(1))
	_, _ = g.Acquire(start, item("a", 10))
	full := NewItem(ItemConfig{Organisation: "a", OutputTokens: 10})
	b.ReportAllocs()
	for range b.N {
		_, _ = g.Acquire(start, full)
	}
}

// Loads reported by other servers raise the mean at once and expire after
// peerLoadTTL.
func TestPeerLoadsRaiseTheMean(t *testing.T) {
	start := time.Unix(1000, 0)
	g := New(Config{Server: "s1"})
	load := clemboard.NewLoad(clemboard.LoadConfig{Servers: 3, TotalTokens: 0, OldestReport: start})
	g.SetLimits(start, NewLimits(LimitsConfig{Slots: 8, MaxLoadFactor: 2, LongCost: 1000, LongShare: 1, Load: load, LoadKnown: true}))
	acquireEager := func() error {
		_, err := g.Acquire(start, NewItem(ItemConfig{Organisation: "a", Weight: 1, QueueLimit: 10, OutputTokens: 100, Eager: true}))
		return err
	}
	require.NoError(t, acquireEager())
	require.NoError(t, acquireEager())
	require.Error(t, acquireEager(), "with a known total of three items, two at one server are at the bound of the pool's mean")
	g.SetPeerLoad(start, "s1", 10_000)
	require.Error(t, acquireEager(), "reports of its own load have no effect")
	g.SetPeerLoad(start, "s2", 200)
	g.SetPeerLoad(start, "s3", 200)
	require.NoError(t, acquireEager())
	require.Zero(t, g.peerLoads.sum(start.Add(peerLoadTTL+1)), "loads expire after peerLoadTTL")
}
