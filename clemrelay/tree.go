package clemrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// hostFan is the most children that a node has within its data centre.
	hostFan = 2
	// centreFan is the most data centres of a region below one of them.
	centreFan = 3
	// regionFan is the most regions below one region.
	regionFan = 3
	// centreSlot is the node of a data centre that has the first data centre
	// below as a child, the next node the second one, and so on, so that a
	// node has at most one child outside its data centre.
	centreSlot = 1
	// regionSlot is the same for the regions below.
	regionSlot = centreSlot + centreFan
	// pollers is the number of nodes per data centre that read the table.
	pollers = 3
	// alternates is how many nodes of a group are tried if the first does not answer.
	alternates = 3
	// groupSize is the number of nodes of a group that matter to those below.
	groupSize = regionSlot + regionFan
)

// rank is a host's place in the order that every process agrees on, because
// it depends on the host alone: by region, data centre and name, each by hash.
type rank struct {
	region, centre, node          uint64
	regionName, centreName, label string
}

func rankOf(host *clemwire.Host) rank {
	return rank{
		region: xxhash.Sum64String(host.GetRegion()), regionName: host.GetRegion(),
		centre: xxhash.Sum64String(host.GetCentre()), centreName: host.GetCentre(),
		node: xxhash.Sum64String(host.GetName()), label: host.GetName(),
	}
}

func (a rank) compareRegion(b rank) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.regionName, b.regionName))
}

func (a rank) compareCentre(b rank) int {
	return cmp.Or(a.compareRegion(b), cmp.Compare(a.centre, b.centre), cmp.Compare(a.centreName, b.centreName))
}

func (a rank) compare(b rank) int {
	return cmp.Or(a.compareCentre(b), cmp.Compare(a.node, b.node), cmp.Compare(a.label, b.label))
}

// node is a host with its rank.
type node struct {
	rank
	host *clemwire.Host
}

// group holds the smallest nodes of a data centre or region.
type group struct {
	nodes []node
}

// tree is one process's view of its place. Every parent has a smaller rank
// than the process, so views that disagree cannot form a loop.
type tree struct {
	parents []*clemwire.Host
	// root is set for the first node of a data centre.
	root bool
	// poller is set for the nodes that read the table.
	poller bool
}

// newTree returns the place of self among the hosts. The view need not hold
// self. Parents are in the order to try: the ancestors from the nearest on,
// then other nodes of smaller rank.
func newTree(self *clemwire.Host, hosts []*clemwire.Host) *tree {
	own := rankOf(self)
	var centre []node
	centres, regions := map[string]*group{}, map[string]*group{}
	for _, host := range hosts {
		n := node{rankOf(host), host}
		switch {
		case n.compareCentre(own) == 0:
			if n.compare(own) < 0 {
				centre = append(centre, n)
			}
		case n.compareRegion(own) == 0:
			if n.compareCentre(own) < 0 {
				insert(centres, n.centreName, n)
			}
		case n.compareRegion(own) < 0:
			insert(regions, n.regionName, n)
		}
	}
	slices.SortFunc(centre, func(a, b node) int { return a.compare(b.rank) })
	t := &tree{root: len(centre) == 0, poller: len(centre) < pollers}
	for at := len(centre); at > 0; {
		at = (at - 1) / hostFan
		t.add(centre[at])
	}
	t.addGroup(&group{centre})
	t.addAbove(centres, centreFan, centreSlot)
	t.addAbove(regions, regionFan, regionSlot)
	return t
}

// insert adds the node to its group, which keeps the smallest nodes.
func insert(groups map[string]*group, key string, n node) {
	g := groups[key]
	if g == nil {
		g = &group{}
		groups[key] = g
	}
	at, _ := slices.BinarySearchFunc(g.nodes, n, func(a, b node) int { return a.compare(b.rank) })
	if at < groupSize {
		g.nodes = slices.Insert(g.nodes, at, n)
		g.nodes = g.nodes[:min(len(g.nodes), groupSize)]
	}
}

// addAbove adds the ancestors among the groups, all of which come before the
// process's own, with the alternates of each, and then the other groups.
func (t *tree) addAbove(groups map[string]*group, fan, slot int) {
	sorted := make([]*group, 0, len(groups))
	for _, g := range groups {
		sorted = append(sorted, g)
	}
	slices.SortFunc(sorted, func(a, b *group) int { return a.nodes[0].compare(b.nodes[0].rank) })
	for at := len(sorted); at > 0; {
		child := (at - 1) % fan
		at = (at - 1) / fan
		nodes := sorted[at].nodes
		t.add(nodes[min(slot+child, len(nodes)-1)])
		t.addGroup(sorted[at])
	}
	for _, g := range sorted {
		t.add(g.nodes[0])
	}
}

func (t *tree) addGroup(g *group) {
	for _, n := range g.nodes[:min(len(g.nodes), alternates)] {
		t.add(n)
	}
}

func (t *tree) add(n node) {
	if !slices.Contains(t.parents, n.host) {
		t.parents = append(t.parents, n.host)
	}
}
