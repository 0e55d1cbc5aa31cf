package clemrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemmember"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// startMember sets the node's members to the fleet's fixed ones or starts a
// clemmember.Controller that reads the list.
func (f *fleet) startMember(ctx context.Context, n *testNode) <-chan error {
	if f.list == nil {
		n.board.Members().Set(f.members)
		if f.fixedList != nil {
			n.board.HostList().Set(f.fixedList)
		}
		return nil
	}
	return clemmember.New(clemmember.Config{Hosts: f.list, Board: n.board, Self: n.host.GetName(), RelayThreshold: 50}).Start(ctx)
}

// listReads sleeps in virtual time and returns the reads of the list per second.
func (f *fleet) listReads(d time.Duration) float64 {
	before, _ := f.list.Counts()
	time.Sleep(d)
	after, _ := f.list.Counts()
	return float64(after-before) / d.Seconds()
}

// countWithoutHost returns the number of nodes that do not have the host as an active
// member.
func (f *fleet) countWithoutHost(name string) int {
	count := 0
	for _, n := range f.nodes {
		if n.board.Members().Get().Host(name) == nil {
			count++
		}
	}
	return count
}

// A long host list is read by few processes, and its changes reach all nodes
// through the tree, also after the root has stopped. An outage of the list removes
// no host.
func TestHostsThroughTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetOf(3))
		f.list = clemstandin.NewHosts(f.hosts...)
		f.startAll()
		defer f.stopAll()
		time.Sleep(6 * warmup)
		reads := f.listReads(20 * time.Second)
		t.Logf("%d nodes read the list %.1f times a second", len(f.hosts), reads)
		require.Less(t, reads, 10.0)

		order := sortedCopy(f.hosts)
		leave := func(host *clemwire.Host) {
			f.list.Drain(host.GetName())
			start := time.Now()
			for f.countWithoutHost(host.GetName()) < len(f.nodes) && time.Since(start) < maxPropagation {
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%s left after %v", host.GetName(), time.Since(start))
			require.Equal(t, len(f.nodes), f.countWithoutHost(host.GetName()))
		}
		leave(order[70])
		f.list.Remove(order[71].GetName())
		f.list.Set(proto.CloneOf(order[70]))
		time.Sleep(maxPropagation)
		require.Zero(t, f.countWithoutHost(order[70].GetName()))
		require.Equal(t, len(f.nodes), f.countWithoutHost(order[71].GetName()))

		f.list.Inject(clemstandin.TableFaults{Down: true})
		time.Sleep(time.Minute)
		require.Zero(t, f.countWithoutHost(order[80].GetName()))
		f.list.Inject(clemstandin.TableFaults{})
		time.Sleep(time.Minute)

		f.stop(order[0].GetName())
		time.Sleep(warmup)
		leave(order[90])
		reads = f.listReads(20 * time.Second)
		t.Logf("after the root's end they read it %.1f times a second", reads)
		require.Less(t, reads, 10.0)
	})
}

// Applying the difference between any two lists to the first yields the second.
func TestListDifference(t *testing.T) {
	drawList := func(t *rapid.T, label string) *clemboard.HostList {
		var hosts []*clemwire.Host
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			if kind := rapid.IntRange(0, 2).Draw(t, label+name); kind > 0 {
				hosts = append(hosts, &clemwire.Host{Name: name, Leaving: kind == 2})
			}
		}
		return clemboard.NewHostList(hosts)
	}
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawList(t, "from"), drawList(t, "to")
		changed, removed := to.Diff(from)
		require.Equal(t, to.Digest(), from.WithChanges(changed, removed).Digest())
		require.Equal(t, to.Digest() == from.Digest(), len(changed)+len(removed) == 0)
	})
}

// Host changes that do not result in the list with the digest that they state are
// not applied.
func TestApplyHostChangesChecks(t *testing.T) {
	r, _ := newStoppedRelay(t, 0)
	own := clemboard.NewHostList([]*clemwire.Host{{Name: "a"}})
	r.config.Board.HostList().Set(own)
	now := time.Now()
	for _, changes := range []*clemwire.HostChanges{
		nil, {}, {To: 5, From: own.Digest(), Removed: []string{"a"}}, {To: 5, From: 6}, {To: clemboard.NewHostList(nil).Digest(), From: 6, Removed: []string{"a"}},
	} {
		r.applyHostChanges(changes, now)
		require.Same(t, own, r.config.Board.HostList().Get())
		require.Nil(t, r.config.Board.ListConfirmation().Get())
	}
	r.applyHostChanges(&clemwire.HostChanges{To: clemboard.NewHostList(nil).Digest(), From: own.Digest(), Removed: []string{"a"}}, now)
	require.Zero(t, r.config.Board.HostList().Get().Len())
	require.True(t, r.config.Board.ListConfirmation().Get().Relayed())
}
