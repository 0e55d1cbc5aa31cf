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

// maxSumAge is the age from which the load bound no longer uses a sum.
const maxSumAge = 3 * time.Second

// oldestSum returns the greatest age of a pool's sum on any running node, and the
// number of nodes without one.
func (f *fleet) oldestSum(pool string) (age time.Duration, missing int) {
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

// watchSumAge sleeps in virtual time and returns the greatest values of oldestSum
// during that time.
func (f *fleet) watchSumAge(pool string, d time.Duration) (age time.Duration, missing int) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		a, m := f.oldestSum(pool)
		age, missing = max(age, a), max(missing, m)
	}
	return age, missing
}

// Every node has complete sums that are not too old for the load bound, both in a
// single data centre and with the delays between regions.
func TestBeatSums(t *testing.T) {
	for name, c := range map[string]struct {
		hosts []*clemwire.Host
		delay func(a, b *clemwire.Host) time.Duration
	}{
		"centre":  {region("r", 1, designCentreHosts), nil},
		"regions": {regions(10, 4, 8), interRegionDelay},
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
				age, missing := f.watchSumAge("pool-1", 10*time.Second)
				require.Zero(t, missing)
				require.Less(t, age, maxSumAge)
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

// The load of a frozen node is removed from the sums once its report has expired and
// a few rounds have passed. On the frozen node itself the sums age.
func TestBeatDrop(t *testing.T) {
	inFleet(t, region("r", 1, 40), func(t *testing.T, f *fleet) {
		leaf := f.centreHosts("r-0")[39]
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
		// Until the report at the former parent expires, the node may count twice.
		time.Sleep(2 * maxSumAge)
		load, _ := f.nodes[leaf.GetName()].board.Loads().Get().Pool(leaf.GetPool())
		require.Equal(t, 10, load.Servers())
	})
}

// Guards against one frozen node making a pool's sum too old to use. Only the nodes
// below it may have an older sum, until they find another parent.
func TestBeatFrozenNode(t *testing.T) {
	for _, index := range []int{39, 7, 3} {
		inFleet(t, region("r", 1, 40), func(t *testing.T, f *fleet) {
			order := f.centreHosts("r-0")
			isBelow := map[*clemwire.Host]bool{order[index]: true}
			for i := index + 1; i < len(order); i++ {
				isBelow[order[i]] = isBelow[order[(i-1)/maxHostChildren]]
			}
			f.freeze(order[index].GetName(), true)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for _, host := range order {
					load, ok := f.nodes[host.GetName()].board.Loads().Get().Pool("pool-0")
					require.True(t, ok, "%s (node %d) index %d", host.GetName(), slices.Index(order, host), index)
					if !isBelow[host] {
						require.Less(t, time.Since(load.OldestReport()), maxSumAge, "%s beside frozen node %d", host.GetName(), index)
					}
				}
			}
			for _, host := range order {
				load, _ := f.nodes[host.GetName()].board.Loads().Get().Pool("pool-0")
				if host != order[index] {
					require.Less(t, time.Since(load.OldestReport()), maxSumAge, "nodes below found another parent")
				}
			}
		})
	}
}

// A part of the fleet that receives the reports of less than half of a pool does not
// renew the pool's sum.
func TestBeatSmallPart(t *testing.T) {
	inFleet(t, regions(3, 1, 8), func(t *testing.T, f *fleet) {
		f.cutOff(func(h *clemwire.Host) bool { return h.GetRegion() == "r1" })
		time.Sleep(20 * time.Second)
		for _, n := range f.nodes {
			load, _ := n.board.Loads().Get().Pool("pool-0")
			if n.host.GetRegion() == "r1" {
				require.Greater(t, time.Since(load.OldestReport()), maxSumAge)
				continue
			}
			require.Less(t, time.Since(load.OldestReport()), maxSumAge)
			require.Equal(t, 4, load.Servers())
		}
		f.heal()
		time.Sleep(time.Minute)
		age, missing := f.oldestSum("pool-0")
		require.Zero(t, missing)
		require.Less(t, age, maxSumAge)
	})
}

func TestBeatOldIncarnation(t *testing.T) {
	b := newAggregator(time.Second)
	_, err := b.recordReport(&clemwire.Beat{Node: "a", Incarnation: 2}, time.Now())
	require.NoError(t, err)
	_, err = b.recordReport(&clemwire.Beat{Node: "a", Incarnation: 1}, time.Now())
	require.Error(t, err)
}

// Sums do not depend on how reports are grouped in the tree.
func TestSumsGrouping(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		flat, left, right := poolSums{}, poolSums{}, poolSums{}
		for i := range rapid.IntRange(1, 30).Draw(t, "reports") {
			load := &clemwire.PoolLoad{
				Pool: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"), Servers: 1, Load: uint64(rapid.IntRange(0, 1e6).Draw(t, "load")),
				Speeds: SpeedHistogram(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "speed"))),
			}
			reportedAt := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond)
			flat.add(load, reportedAt)
			[]poolSums{left, right}[i%2].add(load, reportedAt)
		}
		tree := poolSums{}
		for _, part := range []poolSums{left, right} {
			for _, load := range part.forParent(now) {
				tree.add(load, now)
			}
		}
		require.Equal(t, flat, tree)
	})
}

func TestMedian(t *testing.T) {
	require.Zero(t, MedianTokenTime(nil))
	require.Zero(t, MedianTokenTime(SpeedHistogram(0)))
	for _, d := range []time.Duration{50 * time.Microsecond, 200 * time.Microsecond, 31 * time.Millisecond, 400 * time.Millisecond} {
		s := poolSums{}
		for range 5 {
			s.add(&clemwire.PoolLoad{Pool: "a", Servers: 1, Speeds: SpeedHistogram(d)}, time.Now())
		}
		require.InEpsilon(t, max(d, fastestStep), s["a"].medianTokenTime(), 0.15, "median of %v", d)
	}
}
