package clemrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxHostChildren is the largest number of children of a node within its data
	// centre.
	maxHostChildren = 2
	// maxCentreChildren is the largest number of child data centres of a data
	// centre within its region.
	maxCentreChildren = 3
	// maxRegionChildren is the largest number of child regions of a region.
	maxRegionChildren = 3
	// firstCentreLink is the rank, within a data centre, of the parent of the root
	// of the first child data centre. The next node is the parent of the second
	// one's root, and so on, so that a node has at most one child outside its data
	// centre.
	firstCentreLink = 1
	// firstRegionLink is the same for child regions.
	firstRegionLink = firstCentreLink + maxCentreChildren
	// pollersPerCentre is the number of nodes of each data centre that read the
	// table.
	pollersPerCentre = 3
	// maxAlternates is the number of further nodes of a group that are listed as
	// parents, in case the preferred one does not reply.
	maxAlternates = 3
	// maxGroupNodes is the number of nodes of a group that can be parents of nodes in
	// child groups.
	maxGroupNodes = firstRegionLink + maxRegionChildren
)

// rank is a host's position in the order by region, data centre and name, each
// compared by hash. It depends on the host alone, so all processes agree on it.
type rank struct {
	regionHash, centreHash, nameHash uint64
	regionName, centreName, name     string
}

func rankOf(host *clemwire.Host) rank {
	return rank{
		regionHash: xxhash.Sum64String(host.GetRegion()), regionName: host.GetRegion(),
		centreHash: xxhash.Sum64String(host.GetCentre()), centreName: host.GetCentre(),
		nameHash: xxhash.Sum64String(host.GetName()), name: host.GetName(),
	}
}

func (a rank) compareRegion(b rank) int {
	return cmp.Or(cmp.Compare(a.regionHash, b.regionHash), cmp.Compare(a.regionName, b.regionName))
}

func (a rank) compareCentre(b rank) int {
	return cmp.Or(a.compareRegion(b), cmp.Compare(a.centreHash, b.centreHash), cmp.Compare(a.centreName, b.centreName))
}

func (a rank) compare(b rank) int {
	return cmp.Or(a.compareCentre(b), cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.name, b.name))
}

// node is a host with its rank.
type node struct {
	rank
	host *clemwire.Host
}

// group holds the nodes of lowest rank of a data centre or region.
type group struct {
	nodes []node
}

// tree is a process's place in the relay tree according to its own host list.
// Every parent has a lower rank than the process, so that no loop can form, even
// if the host lists of processes differ.
type tree struct {
	parents []*clemwire.Host
	// isCentreRoot is set for the first node of a data centre.
	isCentreRoot bool
	// isPoller is set for the nodes that read the table.
	isPoller bool
}

// newTree returns the place of self among the hosts, which need not contain self.
// Parents are in order of preference: the ancestors from the nearest on, each with
// alternates, then other nodes of lower rank.
func newTree(self *clemwire.Host, hosts []*clemwire.Host) *tree {
	own := rankOf(self)
	var ownCentre []node
	centres, regions := map[string]*group{}, map[string]*group{}
	for _, host := range hosts {
		n := node{rankOf(host), host}
		switch {
		case n.compareCentre(own) == 0:
			if n.compare(own) < 0 {
				ownCentre = append(ownCentre, n)
			}
		case n.compareRegion(own) == 0:
			if n.compareCentre(own) < 0 {
				insertNode(centres, n.centreName, n)
			}
		case n.compareRegion(own) < 0:
			insertNode(regions, n.regionName, n)
		}
	}
	slices.SortFunc(ownCentre, func(a, b node) int { return a.compare(b.rank) })
	t := &tree{isCentreRoot: len(ownCentre) == 0, isPoller: len(ownCentre) < pollersPerCentre}
	for i := len(ownCentre); i > 0; {
		i = (i - 1) / maxHostChildren
		t.add(ownCentre[i])
	}
	t.addGroup(&group{ownCentre})
	t.addAncestors(centres, maxCentreChildren, firstCentreLink)
	t.addAncestors(regions, maxRegionChildren, firstRegionLink)
	return t
}

// insertNode adds the node to its group, which keeps the nodes of lowest rank.
func insertNode(groups map[string]*group, key string, n node) {
	g := groups[key]
	if g == nil {
		g = &group{}
		groups[key] = g
	}
	i, _ := slices.BinarySearchFunc(g.nodes, n, func(a, b node) int { return a.compare(b.rank) })
	if i < maxGroupNodes {
		g.nodes = slices.Insert(g.nodes, i, n)
		g.nodes = g.nodes[:min(len(g.nodes), maxGroupNodes)]
	}
}

// addAncestors adds the ancestors among the groups, all of which precede the
// process's own group, with alternates for each, and then the first nodes of all
// groups.
func (t *tree) addAncestors(groups map[string]*group, maxChildren, firstLink int) {
	sorted := make([]*group, 0, len(groups))
	for _, g := range groups {
		sorted = append(sorted, g)
	}
	slices.SortFunc(sorted, func(a, b *group) int { return a.nodes[0].compare(b.nodes[0].rank) })
	for i := len(sorted); i > 0; {
		child := (i - 1) % maxChildren
		i = (i - 1) / maxChildren
		nodes := sorted[i].nodes
		t.add(nodes[min(firstLink+child, len(nodes)-1)])
		t.addGroup(sorted[i])
	}
	for _, g := range sorted {
		t.add(g.nodes[0])
	}
}

func (t *tree) addGroup(g *group) {
	for _, n := range g.nodes[:min(len(g.nodes), maxAlternates)] {
		t.add(n)
	}
}

func (t *tree) add(n node) {
	if !slices.Contains(t.parents, n.host) {
		t.parents = append(t.parents, n.host)
	}
}
