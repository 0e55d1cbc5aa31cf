package clemrelay

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/clementineturn/clementineturn/clemwire"
)

// fallback is the age from which the load bound no longer uses a sum.
const fallback = 3 * time.Second

// oldest returns the greatest age of a pool's sum on any running node, and the
// number of nodes without one.
func (f *fleet) oldest(pool string) (age time.Duration, missing int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		load, ok := n.board.Loads().Get().Pool(pool)
		if !ok {
			missing++
			continue
		}
		age = max(age, time.Since(load.OldestReport()))
	}
	return age, missing
}

// watch passes virtual time and returns the greatest age seen.
func (f *fleet) watch(pool string, d time.Duration) (age time.Duration, missing int) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		a, m := f.oldest(pool)
		age, missing = max(age, a), max(missing, m)
	}
	return age, missing
}

// Every node has whole sums that are young enough to use, in one data centre
// and with all the delay between regions.
func TestBeatSums(t *testing.T) {
	for name, c := range map[string]struct {
		hosts []*clemwire.Host
		delay func(a, b *clemwire.Host) time.Duration
	}{
		"centre":  {region("r", 1, letterCentre), nil},
		"regions": {regions(10, 4, 8), farRegions},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, c.hosts)
				if c.delay != nil {
					f.delay = c.delay
				}
				f.startAll()
				defer f.stopAll()
				time.Sleep(warmup)
				age, missing := f.watch("pool-1", 10*time.Second)
				require.Zero(t, missing)
				require.Less(t, age, fallback)
				t.Logf("age %v", age)
				for _, n := range f.nodes {
					load, _ := n.board.Loads().Get().Pool("pool-1")
					require.Equal(t, len(c.hosts)/4, load.Servers())
					require.EqualValues(t, 100*len(c.hosts)/4, load.TotalTokens())
					require.InEpsilon(t, float64(30*time.Millisecond), float64(load.MedianTokenTime()), 0.15)
				}
			})
		})
	}
}

// A stopped child drops out of the sums; a frozen one stops counting within
// the drop time and a few rounds.
func TestBeatDrop(t *testing.T) {
	inFleet(t, region("r", 1, 40), func(t *testing.T, f *fleet) {
		leaf := f.ordered("r-0")[39]
		f.freeze(leaf.GetName(), true)
		time.Sleep(6 * time.Second)
		for _, n := range f.nodes {
			load, ok := n.board.Loads().Get().Pool(leaf.GetPool())
			require.True(t, ok)
			if n.host != leaf {
				require.Equal(t, 9, load.Servers())
				continue
			}
			require.GreaterOrEqual(t, time.Since(load.OldestReport()), 6*time.Second, "its sums age")
		}
		f.freeze(leaf.GetName(), false)
		// Until the drop time has passed, it may count at two parents.
		time.Sleep(2 * fallback)
		load, _ := f.nodes[leaf.GetName()].board.Loads().Get().Pool(leaf.GetPool())
		require.Equal(t, 10, load.Servers())
	})
}

// One frozen server among many must not make the whole pool's sum too old to
// use, and a frozen relay no more than that of the nodes below it, which find
// another parent.
func TestBeatFrozenNode(t *testing.T) {
	for _, index := range []int{39, 7, 3} {
		inFleet(t, region("r", 1, 40), func(t *testing.T, f *fleet) {
			order := f.ordered("r-0")
			below := map[*clemwire.Host]bool{order[index]: true}
			for i := index + 1; i < len(order); i++ {
				below[order[i]] = below[order[(i-1)/hostFan]]
			}
			f.freeze(order[index].GetName(), true)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for _, host := range order {
					load, ok := f.nodes[host.GetName()].board.Loads().Get().Pool("pool-0")
					require.True(t, ok, "%s (node %d) index %d", host.GetName(), slices.Index(order, host), index)
					if !below[host] {
						require.Less(t, time.Since(load.OldestReport()), fallback, "%s beside frozen node %d", host.GetName(), index)
					}
				}
			}
			for _, host := range order {
				load, _ := f.nodes[host.GetName()].board.Loads().Get().Pool("pool-0")
				if host != order[index] {
					require.Less(t, time.Since(load.OldestReport()), fallback, "nodes below found another parent")
				}
			}
		})
	}
}

// A part of the fleet that hears less than half of a pool publishes no sum.
func TestBeatSmallPart(t *testing.T) {
	inFleet(t, regions(3, 1, 8), func(t *testing.T, f *fleet) {
		f.cutOff(func(h *clemwire.Host) bool { return h.GetRegion() == "r1" })
		time.Sleep(20 * time.Second)
		for _, n := range f.nodes {
			load, _ := n.board.Loads().Get().Pool("pool-0")
			if n.host.GetRegion() == "r1" {
				require.Greater(t, time.Since(load.OldestReport()), fallback)
				continue
			}
			require.Less(t, time.Since(load.OldestReport()), fallback)
			require.Equal(t, 4, load.Servers())
		}
		f.heal()
		time.Sleep(time.Minute)
		age, missing := f.oldest("pool-0")
		require.Zero(t, missing)
		require.Less(t, age, fallback)
	})
}

func TestBeatOldIncarnation(t *testing.T) {
	b := newBeats(time.Second)
	_, err := b.record(&clemwire.Beat{Node: "a", Incarnation: 2}, time.Now())
	require.NoError(t, err)
	_, err = b.record(&clemwire.Beat{Node: "a", Incarnation: 1}, time.Now())
	require.Error(t, err)
}

// Sums do not depend on the grouping of reports.
func TestSumsGrouping(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		flat, left, right := sums{}, sums{}, sums{}
		for i := range rapid.IntRange(1, 30).Draw(t, "reports") {
			load := &clemwire.PoolLoad{
				Pool: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"), Servers: 1, Load: uint64(rapid.IntRange(0, 1e6).Draw(t, "load")),
				Speeds: Speeds(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "speed"))),
			}
			at := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond)
			flat.add(load, at)
			[]sums{left, right}[i%2].add(load, at)
		}
		tree := sums{}
		for _, part := range []sums{left, right} {
			for _, load := range part.up(now) {
				tree.add(load, now)
			}
		}
		require.Equal(t, flat, tree)
	})
}

func TestMedian(t *testing.T) {
	require.Zero(t, Median(nil))
	require.Zero(t, Median(Speeds(0)))
	for _, d := range []time.Duration{50 * time.Microsecond, 200 * time.Microsecond, 31 * time.Millisecond, 400 * time.Millisecond} {
		s := sums{}
		for range 5 {
			s.add(&clemwire.PoolLoad{Pool: "a", Servers: 1, Speeds: Speeds(d)}, time.Now())
		}
		require.InEpsilon(t, max(d, fastest), s["a"].medianTime(), 0.15, "median of %v", d)
	}
}
