package clemrelay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/clementineturn/clementineturn/clemwire"
)

// Each node has its own random subset of the fleet as its host list. Whatever the
// lists, each parent has a lower rank than its child, so that no choice of parents
// forms a loop.
func TestTreeNoLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]*clemwire.Host, rapid.IntRange(1, 60).Draw(t, "hosts"))
		for i := range all {
			r := rapid.IntRange(0, 3).Draw(t, "region")
			all[i] = &clemwire.Host{
				Name: fmt.Sprint(i), Region: fmt.Sprint(r), Centre: fmt.Sprintf("%d-%d", r, rapid.IntRange(0, 3).Draw(t, "centre")),
			}
		}
		next := map[*clemwire.Host]*clemwire.Host{}
		for _, self := range all {
			var view []*clemwire.Host
			for _, host := range all {
				if rapid.Bool().Draw(t, "seen") {
					view = append(view, host)
				}
			}
			parents := newTree(self, view).parents
			for _, parent := range parents {
				require.Negative(t, rankOf(parent).compare(rankOf(self)))
			}
			if len(parents) > 0 {
				next[self] = rapid.SampledFrom(parents).Draw(t, "choice")
			}
		}
		for _, start := range all {
			steps := 0
			for at := start; at != nil; at = next[at] {
				require.LessOrEqual(t, steps, len(all))
				steps++
			}
		}
	})
}

// If all nodes have the same host list, the preferred parents form one tree of the
// intended fan-out and depth.
func TestTreeShape(t *testing.T) {
	hosts := regions(10, 4, 22)[:39*22]
	children, parent := map[*clemwire.Host]int{}, map[*clemwire.Host]*clemwire.Host{}
	roots, pollers := 0, 0
	for _, self := range hosts {
		tree := newTree(self, hosts)
		if tree.isPoller {
			pollers++
		}
		if len(tree.parents) == 0 {
			roots++
			continue
		}
		parent[self] = tree.parents[0]
		children[tree.parents[0]]++
	}
	require.Equal(t, 1, roots)
	require.Equal(t, 39*3, pollers)
	maxChildren, maxDepth := 0, 0
	for _, host := range hosts {
		maxChildren = max(maxChildren, children[host])
		depth := 0
		for at := parent[host]; at != nil; at = parent[at] {
			depth++
		}
		maxDepth = max(maxDepth, depth)
	}
	require.LessOrEqual(t, maxChildren, maxHostChildren+1)
	// Four levels within the data centre, and three for each level above: one
	// of data centres and two of regions.
	require.LessOrEqual(t, maxDepth, 4+3+2*3)
}

func TestTreeAlone(t *testing.T) {
	self := &clemwire.Host{Name: "a", Region: "r", Centre: "c"}
	for _, view := range [][]*clemwire.Host{nil, {self}} {
		tree := newTree(self, view)
		require.Empty(t, tree.parents)
		require.True(t, tree.isCentreRoot)
		require.True(t, tree.isPoller)
	}
}

// Processes whose settings name another data centre than the host list take their
// place according to the list. Guards against nodes that report to themselves or in
// a loop.
func TestTreeSettingsContradictList(t *testing.T) {
	for _, centre := range []string{"r-0", "r-1", "r-2"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, region("r", 3, 4))
			for _, host := range f.hosts {
				misplaced := proto.CloneOf(host)
				misplaced.Centre = centre
				f.start(misplaced)
			}
			defer f.stopAll()
			time.Sleep(warmup)
			for name, n := range f.nodes {
				for _, parent := range n.relay.tree.Load().parents {
					require.NotEqual(t, name, parent.GetName(), "a parent of itself")
				}
			}
			age, missing := f.watchSumAge("pool-1", 10*time.Second)
			require.Zero(t, missing)
			require.Less(t, age, maxSumAge)
			for name, n := range f.nodes {
				load, _ := n.board.Loads().Get().Pool("pool-1")
				require.Equal(t, 3, load.Servers(), name)
			}
		})
	}
}
