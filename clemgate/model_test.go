package clemgate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
)

// machine drives a gate with random steps and checks its invariants after each.
type machine struct {
	gate    *Gate
	now     time.Time
	limits  Limits
	tickets []*Ticket
	state   map[*Ticket]string
}

func newMachine() *machine {
	m := &machine{gate: New(Config{Server: "s"}), now: start, state: map[*Ticket]string{}}
	m.limits = withLoad(limits(4), 3, 0, start)
	m.gate.SetLimits(m.now, m.limits)
	return m
}

func (m *machine) Enter(t *rapid.T) {
	item := NewItem(ItemConfig{
		Organisation: fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "organisation")),
		Weight:       uint32(rapid.IntRange(0, 3).Draw(t, "weight")),
		QueueLimit:   uint32(rapid.IntRange(0, 3).Draw(t, "queue")),
		PromptTokens: rapid.Uint64Range(0, 500).Draw(t, "prompt"),
		OutputTokens: rapid.Uint64Range(0, 1500).Draw(t, "output"),
		Deadline:     m.deadline(t),
		Hedge:        rapid.Bool().Draw(t, "hedge"),
		Eager:        rapid.Bool().Draw(t, "eager"),
	})
	before := m.gate.Report().Load()
	wasRunning := m.running()
	ticket, err := m.gate.Acquire(m.now, item)
	if err != nil {
		require.True(t, clementineturn.IsNotRun(err))
		require.Equal(t, before, m.gate.Report().Load())
		return
	}
	m.tickets = append(m.tickets, ticket)
	m.state[ticket] = "acquired"
	if isDecided(ticket) && ticket.Err() == nil && m.running() == wasRunning+1 {
		m.checkBound(t, ticket, before)
	}
}

// checkBound checks the load bound for one item that was granted.
func (m *machine) checkBound(t *rapid.T, ticket *Ticket, before uint64) {
	load := m.limits.load
	if before == 0 || !m.limits.loadKnown || m.now.Sub(load.OldestReport()) > maxMeanAge {
		return
	}
	cost := ticket.item.cost()
	total := float64(load.TotalTokens()+before+cost) / float64(load.Servers())
	items := math.Ceil(m.limits.bound * total / float64(cost))
	require.LessOrEqual(t, float64(before+cost), items*float64(cost), "the load is above the bound; no multiple of the mean allows it")
}

func (m *machine) deadline(t *rapid.T) time.Time {
	if rapid.Bool().Draw(t, "endless") {
		return time.Time{}
	}
	return m.now.Add(time.Duration(rapid.IntRange(-1, 5000).Draw(t, "timeout")) * time.Millisecond)
}

func (m *machine) pick(t *rapid.T) *Ticket {
	if len(m.tickets) == 0 {
		t.Skip("no tickets")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

func (m *machine) Withdraw(t *rapid.T) {
	ticket := m.pick(t)
	granted := isDecided(ticket) && ticket.Err() == nil
	notRun := m.gate.Cancel(m.now, ticket)
	require.Equal(t, !granted, notRun)
	if notRun {
		m.state[ticket] = "cancelled"
	}
}

func (m *machine) Progress(t *rapid.T) {
	m.gate.ReportProgress(m.now, m.pick(t), rapid.Uint64Range(0, 2000).Draw(t, "produced"))
}

func (m *machine) Leave(t *rapid.T) {
	ticket := m.pick(t)
	m.gate.Release(m.now, ticket)
	if isDecided(ticket) && ticket.Err() == nil {
		m.state[ticket] = "released"
	}
}

func (m *machine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait")) * time.Millisecond)
	m.gate.Tick(m.now)
}

func (m *machine) SetLimits(t *rapid.T) {
	c := limits(rapid.IntRange(0, 6).Draw(t, "slots"))
	c.Load = clemboard.NewLoad(clemboard.LoadConfig{
		Servers:         rapid.IntRange(0, 4).Draw(t, "servers"),
		TotalTokens:     rapid.Uint64Range(0, 5000).Draw(t, "total"),
		MedianTokenTime: time.Duration(rapid.IntRange(0, 20).Draw(t, "median")) * time.Millisecond,
		OldestReport:    m.now.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond),
	})
	c.LoadKnown = rapid.Bool().Draw(t, "known")
	m.limits = NewLimits(c)
	m.gate.SetLimits(m.now, m.limits)
}

func (m *machine) SetBusy(t *rapid.T) {
	m.gate.SetInheritedLoad(m.now, rapid.SampledFrom([]uint64{0, 0, 700}).Draw(t, "busy"))
}

func (m *machine) SetDraining(t *rapid.T) {
	m.gate.SetDraining(m.now, rapid.SampledFrom([]bool{false, false, true}).Draw(t, "draining"))
}

func (m *machine) running() int {
	running := 0
	for _, ticket := range m.tickets {
		if isDecided(ticket) && ticket.Err() == nil && m.state[ticket] != "released" {
			running++
		}
	}
	return running
}

// Check compares the gate's counts with the states of the tickets.
func (m *machine) Check(t *rapid.T) {
	waiting, running, load := map[string]int{}, 0, m.gate.inheritedLoad
	for _, ticket := range m.tickets {
		switch {
		case !isDecided(ticket):
			require.Equal(t, "acquired", m.state[ticket])
			waiting[ticket.item.organisation]++
			waiting["all"]++
			require.LessOrEqual(t, waiting[ticket.item.organisation], maxQueue(m, ticket))
		case ticket.Err() != nil:
			require.True(t, clementineturn.IsNotRun(ticket.Err()))
			require.NotEqual(t, "released", m.state[ticket])
		default:
			require.NotEqual(t, "cancelled", m.state[ticket], "granted after it was cancelled")
			if m.state[ticket] != "released" {
				running++
				load += ticket.cost
			}
		}
	}
	report := m.gate.Report()
	require.Equal(t, waiting["all"], report.Waiting())
	require.Equal(t, running, report.Running())
	require.Equal(t, load, report.Load())
	m.checkBacklog(t)
}

// maxQueue returns the highest queue limit among the organisation's waiting
// items.
func maxQueue(m *machine, ticket *Ticket) int {
	most := 0
	for _, other := range m.tickets {
		if other.item.organisation == ticket.item.organisation && !isDecided(other) {
			most = max(most, int(other.item.queueLimit))
		}
	}
	return most
}

func (m *machine) checkBacklog(t *rapid.T) {
	weight, recent := 0.0, 0.0
	for name, f := range m.gate.backlog.flows {
		require.Equal(t, name, f.name)
		require.Equal(t, f.isActive(), f.idleElement == nil)
		recent += f.weight
		if f.isActive() {
			weight += f.weight
		}
		for c := range f.heapIndex {
			require.Equal(t, f.queues[c].Len() > 0, f.heapIndex[c] != notInHeap)
		}
	}
	require.Equal(t, weight, m.gate.backlog.activeWeight)
	require.Equal(t, recent, m.gate.backlog.recentWeight)
}

func TestGateModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(rapid.StateMachineActions(m))
		m.gate.SetDraining(m.now, true)
		for _, ticket := range m.tickets {
			require.True(t, isDecided(ticket), "every item is decided")
			m.gate.Release(m.now, ticket)
		}
		require.Equal(t, m.gate.inheritedLoad, m.gate.Report().Load())
		m.gate.Tick(m.now.Add(idleFlowTTL))
		require.Empty(t, m.gate.backlog.flows)
	})
}
