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

// Every node draws a view of its own of the fleet. Whatever the views, each
// parent has a smaller rank than its child, so that no choice of parents forms a loop.
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

// With one view, the preferred parents make one tree of the designed fan-out and depth.
func TestTreeShape(t *testing.T) {
	hosts := regions(10, 4, 22)[:39*22]
	children, parent := map[*clemwire.Host]int{}, map[*clemwire.Host]*clemwire.Host{}
	roots, pollers := 0, 0
	for _, self := range hosts {
		tree := newTree(self, hosts)
		if tree.poller {
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
	most, deepest := 0, 0
	for _, host := range hosts {
		most = max(most, children[host])
		depth := 0
		for at := parent[host]; at != nil; at = parent[at] {
			depth++
		}
		deepest = max(deepest, depth)
	}
	require.LessOrEqual(t, most, hostFan+1)
	// Four levels within the data centre, and three for each level above: one
	// of data centres and two of regions.
	require.LessOrEqual(t, deepest, 4+3+2*3)
}

func TestTreeAlone(t *testing.T) {
	self := &clemwire.Host{Name: "a", Region: "r", Centre: "c"}
	for _, view := range [][]*clemwire.Host{nil, {self}} {
		tree := newTree(self, view)
		require.Empty(t, tree.parents)
		require.True(t, tree.root)
		require.True(t, tree.poller)
	}
}

// Processes whose settings name another data centre than the list take their
// place by the list, as the others see it: none reports to itself or in a circle.
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
			age, missing := f.watch("pool-1", 10*time.Second)
			require.Zero(t, missing)
			require.Less(t, age, fallback)
			for name, n := range f.nodes {
				load, _ := n.board.Loads().Get().Pool("pool-1")
				require.Equal(t, 3, load.Servers(), name)
			}
		})
	}
}
