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

func open(c LimitsConfig) *Gate {
	g := New(Config{Server: "s"})
	g.SetLimits(start, known(c, 1, 0, start))
	return g
}

func enter(t *testing.T, g *Gate, now time.Time, item Item) *Ticket {
	t.Helper()
	ticket, err := g.Enter(now, item)
	require.NoError(t, err)
	return ticket
}

func requireKind(t *testing.T, err error, kind clementineturn.Kind) {
	t.Helper()
	require.Truef(t, clementineturn.IsKind(err, kind) && clementineturn.IsNotRun(err), "found %v, want %v", err, kind)
}

// The load stays within the bound's multiple of the mean, and the mean counts
// the server's own part as of now.
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
		g := open(limits(16))
		now := start.Add(10 * time.Second)
		if c.load > 0 {
			enter(t, g, now, item("a", c.load))
		}
		config := limits(16)
		config.Known = c.known
		config.Load = clemboard.NewLoad(clemboard.LoadConfig{Servers: c.servers, Total: c.total, Time: now.Add(-c.age)})
		g.SetLimits(now, NewLimits(config))
		require.Equal(t, c.allows, g.fits(now, c.cost), c.name)
	}
}

func TestStaleMeanFallsBackToSafeSlots(t *testing.T) {
	g := open(limits(8))
	later := start.Add(maxMeanAge + time.Millisecond)
	for range 4 {
		require.True(t, isDecided(enter(t, g, later, item("a", 10))))
	}
	require.False(t, isDecided(enter(t, g, later, item("a", 10))))
}

func TestBusyEngineAfterRestart(t *testing.T) {
	g := open(limits(8))
	g.SetLimits(start, known(limits(8), 4, 800, start))
	g.SetBusy(start, 900)
	require.Equal(t, uint64(900), g.Report().Load())
	_, err := g.Enter(start, NewItem(ItemConfig{Organisation: "a", Queue: 5, Output: 10, Eager: true}))
	requireKind(t, err, clementineturn.KindOverloaded)
	waiting := enter(t, g, start, item("a", 10))
	require.False(t, isDecided(waiting))
	g.SetBusy(start, 0)
	require.True(t, isDecided(waiting))
}

func TestBusyEngineHasSafeSlots(t *testing.T) {
	g := open(limits(8))
	g.SetBusy(start, 10)
	for range 5 {
		enter(t, g, start, item("a", 10))
	}
	require.Equal(t, 4, g.Report().Running())
}

// An item that waits for the bound while a slot is free is handed back, so
// that the entry offers it to a server below the mean.
func TestBoundHandsBack(t *testing.T) {
	g := open(limits(8))
	g.SetLimits(start, known(limits(8), 4, 0, start))
	enter(t, g, start, item("a", 100))
	enter(t, g, start, item("a", 100))
	waiting := enter(t, g, start, item("a", 100))
	g.Expire(start.Add(boundPatience - 1))
	require.False(t, isDecided(waiting))
	g.Expire(start.Add(boundPatience))
	requireKind(t, waiting.Err(), clementineturn.KindOverloaded)
}

func TestLongHoldsAShareOfTheSlots(t *testing.T) {
	g := open(limits(4))
	var long []*Ticket
	for range 3 {
		long = append(long, enter(t, g, start, item("a", 2000)))
	}
	require.True(t, isDecided(long[1]))
	require.False(t, isDecided(long[2]), "half of four slots are for long items")
	short := enter(t, g, start, item("b", 10))
	require.True(t, isDecided(short))
	require.Equal(t, PriorityShort, short.Priority())
	require.Equal(t, PriorityLong, long[0].Priority())
	g.Leave(start, long[0])
	require.True(t, isDecided(long[2]))
}

func TestAgedLongGoesFirst(t *testing.T) {
	for _, aged := range []bool{false, true} {
		g := open(limits(1))
		running := enter(t, g, start, item("a", 10))
		long := enter(t, g, start, item("a", 2000))
		now := start
		if aged {
			now = now.Add(agedAfter)
		}
		short := enter(t, g, now, item("a", 10))
		g.Leave(now, running)
		require.Equal(t, aged, isDecided(long))
		require.Equal(t, !aged, isDecided(short))
	}
}

func TestOutrunEstimateDemotes(t *testing.T) {
	g := open(limits(4))
	ticket := enter(t, g, start, item("a", 100))
	g.Progress(start, ticket, 1500)
	require.Equal(t, PriorityLong, ticket.Priority())
	require.Equal(t, uint64(1500), g.Report().Load())
	g.Leave(start, ticket)
	require.Zero(t, g.Report().Load())
	require.Zero(t, g.long)
}

func TestDeadline(t *testing.T) {
	g := open(limits(1))
	running := enter(t, g, start, item("a", 10))
	late := NewItem(ItemConfig{Organisation: "a", Queue: 5, Output: 10, Deadline: start.Add(time.Second)})
	waiting := enter(t, g, start, late)
	g.Expire(start.Add(time.Second))
	require.False(t, isDecided(waiting))
	g.Expire(start.Add(time.Second + 1))
	requireKind(t, waiting.Err(), clementineturn.KindExpired)
	_, err := g.Enter(start.Add(time.Second), late)
	requireKind(t, err, clementineturn.KindExpired)
	require.True(t, g.Withdraw(start, waiting), "a refused item never runs")
	require.False(t, g.Withdraw(start, running))
}

func TestQueueLimitIsPerOrganisation(t *testing.T) {
	g := open(limits(1))
	enter(t, g, start, item("a", 10))
	for range 10 {
		enter(t, g, start, item("a", 10))
	}
	_, err := g.Enter(start, item("a", 10))
	requireKind(t, err, clementineturn.KindOverloaded)
	enter(t, g, start, item("b", 10))
}

func TestHedgesAreRefusedFirst(t *testing.T) {
	hedge := NewItem(ItemConfig{Organisation: "b", Queue: 5, Output: 10, Hedge: true})
	g := open(limits(4))
	require.True(t, isDecided(enter(t, g, start, hedge)))
	enter(t, g, start, item("a", 10))
	enter(t, g, start, item("a", 10))
	_, err := g.Enter(start, hedge)
	requireKind(t, err, clementineturn.KindOverloaded)
	require.True(t, isDecided(enter(t, g, start, item("a", 10))))
}

// An organisation far above its fair share leaves slots free for those that
// had work lately, and its work has a lower priority.
func TestReserveForOthers(t *testing.T) {
	g := open(limits(8))
	for _, other := range []string{"b", "c", "d", "e"} {
		g.Leave(start, enter(t, g, start, item(other, 10)))
	}
	var last *Ticket
	for range 8 {
		last = enter(t, g, start, item("a", 10))
	}
	require.Equal(t, 6, g.Report().Running())
	other := enter(t, g, start, item("b", 10))
	require.True(t, isDecided(other))
	require.Equal(t, PriorityShort, other.Priority())
	g.Leave(start, other)
	require.False(t, isDecided(last))
	g.SetLimits(start.Add(flowMemory), known(limits(8), 1, 0, start.Add(flowMemory)))
	require.True(t, isDecided(last), "the others had no work lately")
}

func TestAboveShareHasLowerPriority(t *testing.T) {
	g := open(limits(16))
	enter(t, g, start, item("b", 10))
	enter(t, g, start, item("c", 10))
	var last *Ticket
	for range 8 {
		last = enter(t, g, start, item("a", 10))
	}
	require.Equal(t, PriorityAbove, last.Priority())
}

// slowed returns a gate whose item produced tokens at 40 ms while the pool's
// median is 10 ms.
func slowed(t *testing.T, step time.Duration) (*Gate, time.Time, *Ticket) {
	g := open(limits(4))
	ticket := enter(t, g, start, item("a", 100))
	now := start
	for i := range 100 {
		now = now.Add(step)
		g.Progress(now, ticket, uint64(i+1))
	}
	return g, now, ticket
}

func setMedian(g *Gate, now time.Time, median time.Duration) {
	c := limits(4)
	c.Known = true
	c.Load = clemboard.NewLoad(clemboard.LoadConfig{Servers: 1, Median: median, Time: now})
	g.SetLimits(now, NewLimits(c))
}

func TestSlowServerHandsBack(t *testing.T) {
	g, now, running := slowed(t, 40*time.Millisecond)
	require.Equal(t, 40*time.Millisecond, g.Report().Speed())
	setMedian(g, now, 40*time.Millisecond)
	for range 3 {
		enter(t, g, now, item("a", 10))
	}
	waiting := enter(t, g, now, item("a", 10))
	setMedian(g, now, 10*time.Millisecond)
	requireKind(t, waiting.Err(), clementineturn.KindSlow)
	require.InDelta(t, 0.25, g.factor, 0.001)
	require.Equal(t, 1, g.slots(now))
	require.NoError(t, running.Err())
	_, err := g.Enter(now, item("a", 10))
	requireKind(t, err, clementineturn.KindSlow)
}

// An answer in one piece counts with its whole time, an abandoned item not at all.
func TestSpeedOfAnswersInOnePiece(t *testing.T) {
	g := open(limits(4))
	abandoned, answered := enter(t, g, start, item("a", 100)), enter(t, g, start, item("a", 100))
	g.Leave(start, abandoned)
	require.Zero(t, g.Report().Speed())
	now := start.Add(time.Second)
	g.Progress(now, answered, 90)
	g.Leave(now, answered)
	require.Equal(t, 10*time.Millisecond, g.Report().Speed())
}

func TestSlownessShrinksTheBound(t *testing.T) {
	g := open(limits(16))
	enter(t, g, start, item("a", 100))
	g.SetLimits(start, known(limits(16), 4, 600, start))
	require.True(t, g.fits(start, 100))
	g.factor = 0.25
	require.False(t, g.fits(start, 100))
}

func TestSlownessHysteresis(t *testing.T) {
	m := meter{}
	median := 10 * time.Millisecond
	for _, c := range []struct {
		speed time.Duration
		slow  bool
	}{{14, false}, {18, true}, {14, true}, {12, false}, {14, false}} {
		m.elapsed, m.tokens = float64(c.speed*time.Millisecond*100), 100
		m.factor(median)
		require.Equal(t, c.slow, m.slow, c.speed)
	}
	require.Equal(t, 1.0, m.factor(0), "without a median nobody is slow")
}

// While two organisations both have work waiting, their service by weight
// differs by at most one item of each.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 400
		weights := [2]uint32{uint32(rapid.IntRange(1, 5).Draw(t, "a")), uint32(rapid.IntRange(1, 5).Draw(t, "b"))}
		g := open(limits(1))
		first, err := g.Enter(start, item("c", 1))
		require.NoError(t, err)
		var tickets []*Ticket
		for i := range 200 {
			ticket, err := g.Enter(start, NewItem(ItemConfig{
				Organisation: fmt.Sprint(i % 2), Weight: weights[i%2], Queue: 200,
				Output: rapid.Uint64Range(1, most).Draw(t, "cost"),
			}))
			require.NoError(t, err)
			tickets = append(tickets, ticket)
		}
		g.Leave(start, first)
		var served [2]float64
		for g.backlog.active[classShort].Len() == 2 {
			for i, ticket := range tickets {
				if ticket.state == stateGranted {
					served[i%2] += float64(ticket.cost) / float64(weights[i%2])
					g.Leave(start, ticket)
					break
				}
			}
			bound := most/float64(weights[0]) + most/float64(weights[1])
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
			g := open(limits(1))
			tickets := make([]*Ticket, n)
			for i := range tickets {
				tickets[i], _ = g.Enter(start, item(fmt.Sprint(i), 10))
			}
			b.ReportAllocs()
			for i := range b.N {
				g.Withdraw(start, tickets[i%n])
				g.Leave(start, tickets[i%n])
				tickets[i%n], _ = g.Enter(start, item(tickets[i%n].item.organisation, 10))
			}
		})
	}
}

func BenchmarkRefusal(b *testing.B) {
	g := open(limits(1))
	_, _ = g.Enter(start, item("a", 10))
	full := NewItem(ItemConfig{Organisation: "a", Output: 10})
	b.ReportAllocs()
	for range b.N {
		_, _ = g.Enter(start, full)
	}
}

// Loads that others told raise the mean at once, for a second.
func TestHeardLoadsRaiseTheMean(t *testing.T) {
	start := time.Unix(1000, 0)
	g := New(Config{Server: "s1"})
	load := clemboard.NewLoad(clemboard.LoadConfig{Servers: 3, Total: 0, Time: start})
	g.SetLimits(start, NewLimits(LimitsConfig{Slots: 8, Bound: 2, LongCost: 1000, LongShare: 1, Load: load, Known: true}))
	eager := func() error {
		_, err := g.Enter(start, NewItem(ItemConfig{Organisation: "a", Weight: 1, Queue: 10, Output: 100, Eager: true}))
		return err
	}
	require.NoError(t, eager())
	require.NoError(t, eager())
	require.Error(t, eager(), "two of a known total of three items' mean are at the bound")
	g.Hear(start, "s1", 10_000)
	require.Error(t, eager(), "its own load is no news")
	g.Hear(start, "s2", 200)
	g.Hear(start, "s3", 200)
	require.NoError(t, eager())
	require.Zero(t, g.heard.sum(start.Add(hearTime+1)), "what was heard is forgotten")
}
