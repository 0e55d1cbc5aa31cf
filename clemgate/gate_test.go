package clemgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func limits(slots int) LimitsConfig {
	return LimitsConfig{Slots: slots, MaxLoadFactor: 1.5, LongCost: 1000, LongShare: 0.5}
}

func withLoad(c LimitsConfig, servers int, total uint64, at time.Time) Limits {
	c.Load = clemboard.NewLoad(clemboard.LoadConfig{Servers: servers, TotalTokens: total, OldestReport: at})
	c.LoadKnown = true
	return NewLimits(c)
}

func item(organisation string, output uint64) Item {
	return NewItem(ItemConfig{Organisation: organisation, QueueLimit: 10, OutputTokens: output})
}

func isDecided(t *Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

func TestQueueAndGrant(t *testing.T) {
	g := New(Config{Server: "s1"})
	_, err := g.Acquire(start, item("a", 10))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded), "no slots yet")
	g.SetLimits(start, withLoad(limits(1), 1, 0, start))
	first, err := g.Acquire(start, item("a", 10))
	require.NoError(t, err)
	require.True(t, isDecided(first))
	second, err := g.Acquire(start, item("a", 10))
	require.NoError(t, err)
	require.False(t, isDecided(second))
	require.Equal(t, 1, g.Report().Waiting())
	g.Release(start, first)
	require.True(t, isDecided(second))
	require.NoError(t, second.Err())
	require.False(t, g.Cancel(start, second))
	require.Equal(t, uint64(10), g.Report().Load())
}

func TestDrainRefusesWaiting(t *testing.T) {
	g := New(Config{Server: "s1"})
	g.SetLimits(start, withLoad(limits(1), 1, 0, start))
	first, err := g.Acquire(start, item("a", 10))
	require.NoError(t, err)
	second, err := g.Acquire(start, item("a", 10))
	require.NoError(t, err)
	g.SetDraining(start, true)
	require.True(t, clementineturn.IsKind(second.Err(), clementineturn.KindDraining))
	require.True(t, clementineturn.IsNotRun(second.Err()))
	require.NoError(t, first.Err())
	_, err = g.Acquire(start, item("a", 10))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindDraining))
	g.SetDraining(start, false)
	g.Release(start, first)
	third, err := g.Acquire(start, item("a", 10))
	require.NoError(t, err, "an undrained server takes work again")
	require.True(t, isDecided(third))
	require.NoError(t, third.Err())
}
