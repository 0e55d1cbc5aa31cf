package clemrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

// loss is an injected fault: a set of hosts that hang or are cut off from the rest.
type loss struct {
	name  string
	lost  func(*clemwire.Host) bool
	isCut bool
}

// TestLosses injects the loss of a rack, data centre or region and logs the effect
// on the remaining nodes: the time until a change is in force, the age of sums and
// the traffic of the busiest node.
func TestLosses(t *testing.T) {
	hosts := fleetOf(9)
	order := sortedCopy(hosts)
	first := order[0]
	losses := []loss{
		{name: "a third of a data centre", lost: func(h *clemwire.Host) bool { return h.GetCentre() == "r4-1" && rankOf(h).nameHash%3 == 0 }},
		{name: "a data centre", lost: func(h *clemwire.Host) bool { return h.GetCentre() == "r4-1" }},
		{name: "the fleet's root and its data centre", lost: func(h *clemwire.Host) bool { return h.GetCentre() == first.GetCentre() }},
		{name: "a region cut off", lost: func(h *clemwire.Host) bool { return h.GetRegion() == "r4" }, isCut: true},
		{name: "the root's region cut off", lost: func(h *clemwire.Host) bool { return h.GetRegion() == first.GetRegion() }, isCut: true},
	}
	for _, l := range losses {
		t.Run(l.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { l.run(t, hosts) })
		})
	}
}

func (l loss) run(t *testing.T, hosts []*clemwire.Host) {
	f := newFleet(t, hosts)
	f.newReport = busyReport(4)
	f.delay = interRegionDelay
	c := &traffic{bytes: map[string]int{}, messages: map[string]int{}}
	f.onMessage = c.count
	f.startAll()
	defer f.stopAll()
	time.Sleep(warmup)
	c.start()
	l.start(f)
	inForce := f.timeInForce(f.commit("a"), l.lost, l.isCut)
	var age time.Duration
	maxOutdated := 0
	for range 100 {
		time.Sleep(200 * time.Millisecond)
		currentAge, outdated := f.sumAges(l.lost)
		age, maxOutdated = max(age, currentAge), max(maxOutdated, outdated)
	}
	c.stop()
	size, _ := c.busiestNode()
	settled, _ := f.sumAges(l.lost)
	t.Logf("change in force after %v, sums at most %v old, on at most %d nodes too old, after 20 s %v; busiest node %d B/s",
		inForce, age, maxOutdated, settled, size/20)
	require.Less(t, inForce, maxPropagation)
	require.Less(t, settled, maxSumAge)
}

func (l loss) start(f *fleet) {
	if l.isCut {
		f.cutOff(l.lost)
		return
	}
	for _, host := range f.hosts {
		if l.lost(host) {
			f.freeze(host.GetName(), true)
		}
	}
}

// timeInForce returns the time until the generation is in force on all nodes that
// are not lost and, if isCut is set, on the lost ones too, since nodes that are cut
// off still reach the table.
func (f *fleet) timeInForce(generation uint64, lost func(*clemwire.Host) bool, isCut bool) time.Duration {
	start := time.Now()
	for time.Since(start) < maxPropagation {
		remaining := 0
		for _, name := range f.nodesBehind(generation) {
			if isCut || !lost(f.nodes[name].host) {
				remaining++
			}
		}
		if remaining == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// sumAges returns the greatest age of a sum on the nodes that are not lost, and the
// number of nodes on which it is too old for the load bound.
func (f *fleet) sumAges(lost func(*clemwire.Host) bool) (age time.Duration, outdated int) {
	for _, n := range f.nodes {
		load, ok := n.board.Loads().Get().Pool("catalogue-1")
		if lost(n.host) || !ok {
			continue
		}
		sumAge := time.Since(load.OldestReport())
		age = max(age, sumAge)
		if sumAge >= maxSumAge {
			outdated++
		}
	}
	return age, outdated
}

// interRegionDelay returns one-way delays of 100 ms between regions and 1 ms within
// a region.
func interRegionDelay(a, b *clemwire.Host) time.Duration {
	if a.GetRegion() != b.GetRegion() {
		return 100 * time.Millisecond
	}
	return time.Millisecond
}
