package clemrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

// loss is a set of hosts that hang, or that are cut off from the others.
type loss struct {
	name string
	lost func(*clemwire.Host) bool
	cut  bool
}

// TestLosses prints what others notice of a lost rack, data centre or region:
// how long a change takes, how old sums get, and what the busiest node spends.
func TestLosses(t *testing.T) {
	hosts := fleetOf(9)
	order := sortedCopy(hosts)
	first := order[0]
	losses := []loss{
		{name: "a third of a data centre", lost: func(h *clemwire.Host) bool { return h.GetCentre() == "r4-1" && rankOf(h).node%3 == 0 }},
		{name: "a data centre", lost: func(h *clemwire.Host) bool { return h.GetCentre() == "r4-1" }},
		{name: "the fleet's root and its data centre", lost: func(h *clemwire.Host) bool { return h.GetCentre() == first.GetCentre() }},
		{name: "a region cut off", lost: func(h *clemwire.Host) bool { return h.GetRegion() == "r4" }, cut: true},
		{name: "the root's region cut off", lost: func(h *clemwire.Host) bool { return h.GetRegion() == first.GetRegion() }, cut: true},
	}
	for _, l := range losses {
		t.Run(l.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { l.run(t, hosts) })
		})
	}
}

func (l loss) run(t *testing.T, hosts []*clemwire.Host) {
	f := newFleet(t, hosts)
	f.report = busyReport(4)
	f.delay = farRegions
	c := &traffic{bytes: map[string]int{}, messages: map[string]int{}}
	f.counter = c.count
	f.startAll()
	defer f.stopAll()
	time.Sleep(warmup)
	c.start()
	l.start(f)
	inForce := f.inForceBeside(f.commit("a"), l.lost, l.cut)
	var age time.Duration
	bad := 0
	for range 100 {
		time.Sleep(200 * time.Millisecond)
		now, old := f.agesBeside(l.lost)
		age, bad = max(age, now), max(bad, old)
	}
	c.stop()
	size, _ := c.most()
	settled, _ := f.agesBeside(l.lost)
	t.Logf("change in force after %v, sums at most %v old, on at most %d nodes too old, after 20 s %v; busiest node %d B/s",
		inForce, age, bad, settled, size/20)
	require.Less(t, inForce, promised)
	require.Less(t, settled, fallback)
}

func (l loss) start(f *fleet) {
	if l.cut {
		f.cutOff(l.lost)
		return
	}
	for _, host := range f.hosts {
		if l.lost(host) {
			f.freeze(host.GetName(), true)
		}
	}
}

// inForceBeside returns when the generation is in force on all nodes that
// are not lost, and on those cut off too, since they reach the table.
func (f *fleet) inForceBeside(generation uint64, lost func(*clemwire.Host) bool, cut bool) time.Duration {
	start := time.Now()
	for time.Since(start) < promised {
		left := 0
		for _, name := range f.behind(generation) {
			if cut || !lost(f.nodes[name].host) {
				left++
			}
		}
		if left == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// agesBeside returns the greatest age of a sum on the nodes that are not
// lost, and on how many of them it is too old for the load bound.
func (f *fleet) agesBeside(lost func(*clemwire.Host) bool) (age time.Duration, old int) {
	for _, n := range f.nodes {
		load, ok := n.board.Loads().Get().Pool("catalogue-1")
		if lost(n.host) || !ok {
			continue
		}
		since := time.Since(load.OldestReport())
		age = max(age, since)
		if since >= fallback {
			old++
		}
	}
	return age, old
}

// farRegions puts 100 ms one way between regions and 1 ms within them.
func farRegions(a, b *clemwire.Host) time.Duration {
	if a.GetRegion() != b.GetRegion() {
		return 100 * time.Millisecond
	}
	return time.Millisecond
}
