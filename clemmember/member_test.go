package clemmember

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// maxDrainDelay is the time after the first sign that a server leaves within
// which it must stop getting new work.
const maxDrainDelay = 3 * time.Second

// fixture runs one controller against a simulated host list.
type fixture struct {
	*Controller
	t     *testing.T
	hosts *clemstandin.Hosts
	board *clemboard.Board
}

func server(i int) *clemwire.Host {
	n := fmt.Sprintf("s%d", i)
	return &clemwire.Host{Name: n, Address: n + ":1", Region: "r", Centre: "c", Role: "sidecar", Pool: "p"}
}

func servers(count int) []*clemwire.Host {
	hosts := make([]*clemwire.Host, count)
	for i := range hosts {
		hosts[i] = server(i)
	}
	return hosts
}

// runTest starts a controller with the given number of servers in virtual time.
func runTest(t *testing.T, count int, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, hosts: clemstandin.NewHosts(servers(count)...), board: clemboard.New()}
		f.Controller = New(Config{Hosts: f.hosts, Board: f.board, Self: "s0"})
		ctx, cancel := context.WithCancel(t.Context())
		ended := f.Start(ctx)
		time.Sleep(maxDrainDelay)
		f.requireMembers(count)
		test(f)
		cancel()
		require.NoError(t, <-ended)
	})
}

func (f *fixture) isMember(i int) bool {
	return f.board.Members().Get().Host(server(i).GetName()) != nil
}

func (f *fixture) requireMembers(count int) {
	f.t.Helper()
	require.Len(f.t, f.board.Members().Get().Hosts(), count)
}

// reportFailures reports failed connections to a server, 100 ms apart.
func (f *fixture) reportFailures(i, times int) {
	for range times {
		f.Failed(server(i).GetName(), time.Now())
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *fixture) reportRefusal(i int) {
	f.Refused(server(i).GetName(), clementineturn.KindDraining, time.Now())
	time.Sleep(2 * minWriteInterval)
}

// waitForMember waits until the server is a member, at most for the limit, and
// returns how long it took.
func (f *fixture) waitForMember(i int, limit time.Duration) time.Duration {
	start := time.Now()
	for !f.isMember(i) && time.Since(start) < limit {
		time.Sleep(minWriteInterval)
	}
	return time.Since(start)
}

func TestLeavingAndRemovedHostsAreNotMembers(t *testing.T) {
	runTest(t, 6, func(f *fixture) {
		f.hosts.Drain("s1")
		f.hosts.Remove("s2")
		time.Sleep(maxDrainDelay)
		require.False(t, f.isMember(1))
		require.False(t, f.isMember(2))
		require.NotNil(t, f.board.Members().Get().AnyHost("s1"), "its running work can be reached")
		require.Nil(t, f.board.Members().Get().AnyHost("s2"))
		f.requireMembers(4)
	})
}

func TestDrainingRefusalHoldsServer(t *testing.T) {
	runTest(t, 6, func(f *fixture) {
		f.Refused("s1", clementineturn.KindOverloaded, time.Now())
		time.Sleep(2 * minWriteInterval)
		require.True(t, f.isMember(1), "an overloaded server does not leave")
		f.reportRefusal(1)
		require.False(t, f.isMember(1))
		require.NotNil(t, f.board.Members().Get().AnyHost("s1"))
		f.Succeeded("s1", time.Now())
		time.Sleep(2 * minWriteInterval)
		require.False(t, f.isMember(1), "an answer under way does not end a drain")
		require.InDelta(t, initialHold, f.waitForMember(1, time.Minute), float64(time.Second))
	})
}

func TestConnectionFailuresHoldServer(t *testing.T) {
	runTest(t, 6, func(f *fixture) {
		f.reportFailures(1, failureLimit-1)
		require.True(t, f.isMember(1))
		time.Sleep(2 * failureWindow)
		f.reportFailures(1, failureLimit-1)
		require.True(t, f.isMember(1), "failures far apart do not add up")
		f.Succeeded("s1", time.Now())
		f.reportFailures(1, failureLimit)
		time.Sleep(2 * minWriteInterval)
		require.False(t, f.isMember(1))
		f.waitForMember(1, time.Minute)
		f.reportFailures(1, 1)
		time.Sleep(2 * minWriteInterval)
		require.False(t, f.isMember(1), "a server that failed lately is held at the first failure")
		f.waitForMember(1, time.Minute)
		f.Succeeded("s1", time.Now())
		f.reportFailures(1, failureLimit-1)
		require.True(t, f.isMember(1))
	})
}

// A server that keeps refusing is offered work ever more rarely, and becomes a
// member again within maxHold after it stops refusing.
func TestFlapDamping(t *testing.T) {
	runTest(t, 6, func(f *fixture) {
		offers, last := 0, time.Duration(0)
		for start := time.Now(); time.Since(start) < 10*time.Minute; {
			last = f.waitForMember(1, 2*maxHold)
			require.LessOrEqual(t, last, maxHold+time.Second)
			offers++
			f.reportRefusal(1)
		}
		require.Less(t, offers, 30)
		require.Greater(t, last, 10*initialHold)
		require.LessOrEqual(t, f.waitForMember(1, time.Hour), maxHold+time.Second)
		time.Sleep(10 * penaltyHalfLife)
		f.reportRefusal(1)
		require.InDelta(t, initialHold, f.waitForMember(1, time.Minute), float64(time.Second), "the penalty decays")
	})
}

// After a single restart a host is a member as soon as it is listed. One that
// leaves and returns repeatedly is held ever longer, up to maxHold.
func TestHostThatRejoinsRepeatedlyIsHeld(t *testing.T) {
	runTest(t, 6, func(f *fixture) {
		var waits []time.Duration
		for range 6 {
			f.hosts.Remove("s1")
			time.Sleep(maxDrainDelay)
			require.False(t, f.isMember(1))
			f.hosts.Set(server(1))
			waits = append(waits, f.waitForMember(1, 10*time.Minute))
		}
		require.Less(t, waits[0], 2*time.Second)
		require.Greater(t, waits[5], 5*waits[0])
		require.LessOrEqual(t, waits[5], maxHold+time.Second)
	})
}

func TestHostThatLeavesRepeatedlyIsHeld(t *testing.T) {
	runTest(t, 6, func(f *fixture) {
		for range 5 {
			f.hosts.Drain("s1")
			time.Sleep(maxDrainDelay)
			require.False(t, f.isMember(1))
			f.hosts.Set(server(1))
			time.Sleep(maxDrainDelay)
		}
		require.False(t, f.isMember(1))
		require.LessOrEqual(t, f.waitForMember(1, time.Hour), maxHold+time.Second)
	})
}

func TestUnavailableListKeepsMembers(t *testing.T) {
	runTest(t, 6, func(f *fixture) {
		f.hosts.Inject(clemstandin.TableFaults{Down: true})
		time.Sleep(time.Hour)
		f.requireMembers(6)
		f.reportRefusal(1)
		require.False(t, f.isMember(1), "refusals still count")
		f.hosts.Inject(clemstandin.TableFaults{})
		f.hosts.Remove("s2")
		time.Sleep(maxDrainDelay)
		require.False(t, f.isMember(2))
	})
}

// A long list that another process confirms is not read. Without a confirmation
// each process reads it after relayTimeout, and ever more rarely while reads
// fail.
func TestLongListRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts, board := clemstandin.NewHosts(servers(20)...), clemboard.New()
		ctx, cancel := context.WithCancel(t.Context())
		ended := New(Config{Hosts: hosts, Board: board, Self: "s0", RelayThreshold: 20}).Start(ctx)
		reads := func(d time.Duration) uint64 {
			before, _ := hosts.Counts()
			time.Sleep(d)
			after, _ := hosts.Counts()
			return after - before
		}
		// The additional half second keeps the following steps apart from the reads.
		require.GreaterOrEqual(t, reads(10*time.Second+500*time.Millisecond), uint64(10))
		board.ListConfirmation().Set(clemboard.NewListConfirmation(time.Now(), true))
		require.LessOrEqual(t, reads(relayTimeout-2*time.Second), uint64(1))
		next := board.HostList().Get().WithChanges(nil, []string{"s7"})
		board.HostList().Set(next)
		time.Sleep(2 * minWriteInterval)
		require.Nil(t, board.Members().Get().Host("s7"))
		time.Sleep(relayTimeoutSpread + 3*time.Second)
		require.NotNil(t, board.Members().Get().Host("s7"), "the platform's own list counts again")
		hosts.Inject(clemstandin.TableFaults{Down: true})
		time.Sleep(time.Minute)
		before := board.ListConfirmation().Get().Time()
		time.Sleep(time.Minute)
		require.Equal(t, before, board.ListConfirmation().Get().Time())
		hosts.Inject(clemstandin.TableFaults{})
		require.LessOrEqual(t, reads(maxRetryInterval), uint64(maxRetryInterval/time.Second))
		cancel()
		require.NoError(t, <-ended)
	})
}

// Hosts that disappear from the list together with most of their pool stay
// members until a failed connection or a refusal confirms their loss.
func TestMissingMajorityNeedsConfirmation(t *testing.T) {
	for _, left := range []int{0, 1, 4} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			runTest(t, 10, func(f *fixture) {
				f.hosts.Replace(servers(left))
				time.Sleep(10 * time.Minute)
				f.requireMembers(10)
				f.reportFailures(9, failureLimit)
				time.Sleep(time.Hour)
				require.False(t, f.isMember(9), "the list and failed connections agree")
				f.reportRefusal(8)
				time.Sleep(time.Hour)
				require.False(t, f.isMember(8), "the list and a refusal agree")
				f.hosts.Replace(servers(10))
				time.Sleep(maxDrainDelay)
				f.requireMembers(10)
			})
		})
	}
}

// Hosts that disappear a few at a time are removed without confirmation, but not
// more than half of a pool within lossWindow.
func TestLossInStepsIsBoundedByWindow(t *testing.T) {
	runTest(t, 10, func(f *fixture) {
		for left := 9; left >= 0; left-- {
			f.hosts.Replace(servers(left))
			time.Sleep(maxDrainDelay)
		}
		require.GreaterOrEqual(t, len(f.board.Members().Get().Hosts()), 5)
	})
	runTest(t, 10, func(f *fixture) {
		for left := 9; left >= 2; left-- {
			f.hosts.Replace(servers(left))
			time.Sleep(2 * lossWindow)
			f.requireMembers(left)
		}
	})
}

// A pool may lose all members if the list marks each of its hosts as leaving.
func TestWholePoolMayLeave(t *testing.T) {
	runTest(t, 4, func(f *fixture) {
		for i := range 4 {
			f.hosts.Drain(server(i).GetName())
		}
		time.Sleep(maxDrainDelay)
		f.requireMembers(0)
		for i := range 4 {
			f.hosts.Remove(server(i).GetName())
		}
		time.Sleep(maxDrainDelay)
		f.requireMembers(0)
	})
}

// If every server of a pool fails, they stay members, since the cause may be this
// process's own connection.
func TestFailureOfWholePoolKeepsMembers(t *testing.T) {
	runTest(t, 3, func(f *fixture) {
		for i := range 3 {
			f.reportFailures(i, failureLimit)
		}
		time.Sleep(2 * minWriteInterval)
		f.requireMembers(3)
		f.Succeeded("s1", time.Now())
		time.Sleep(2 * minWriteInterval)
		f.requireMembers(1)
		for i := range 3 {
			f.reportRefusal(i)
		}
		f.requireMembers(0)
	})
}

func TestOperatorDrain(t *testing.T) {
	runTest(t, 4, func(f *fixture) {
		drain := func(generation uint64, action clemwire.Action, server string) {
			state := f.board.Config().Get()
			if state == nil {
				state = clemconfig.Empty()
			}
			state, err := state.Apply(&clemwire.Change{Generation: generation, Action: action, Entity: &clemwire.Entity{
				Kind: &clemwire.Entity_Drain{Drain: &clemwire.Drain{Server: server}},
			}})
			require.NoError(t, err)
			f.board.Config().Set(state)
			time.Sleep(2 * minWriteInterval)
		}
		drain(1, clemwire.Action_ACTION_CREATE, "s1")
		require.False(t, f.isMember(1))
		require.False(t, f.board.Drain().Get().Active())
		drain(2, clemwire.Action_ACTION_CREATE, "s0")
		require.True(t, f.board.Drain().Get().Active())
		drain(3, clemwire.Action_ACTION_DELETE, "s0")
		require.False(t, f.board.Drain().Get().Active())
		drain(4, clemwire.Action_ACTION_DELETE, "s1")
		f.requireMembers(4)
	})
}

func TestOwnHostLeaves(t *testing.T) {
	runTest(t, 4, func(f *fixture) {
		f.hosts.Drain("s0")
		time.Sleep(maxDrainDelay)
		require.True(t, f.board.Drain().Get().Active())
		f.hosts.Remove("s0")
		time.Sleep(maxDrainDelay)
		require.True(t, f.board.Drain().Get().Active(), "a host that left stays drained")
		f.hosts.Set(server(0))
		time.Sleep(maxDrainDelay)
		require.False(t, f.board.Drain().Get().Active())
	})
}
