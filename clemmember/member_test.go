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

// promised is the time after a sign within which a leaving server gets no new work.
const promised = 3 * time.Second

// rig runs one controller against the stand-in of the list.
type rig struct {
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

// run starts a controller over so many servers, in virtual time.
func run(t *testing.T, count int, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, hosts: clemstandin.NewHosts(servers(count)...), board: clemboard.New()}
		r.Controller = New(Config{Hosts: r.hosts, Board: r.board, Self: "s0"})
		ctx, cancel := context.WithCancel(t.Context())
		ended := r.Start(ctx)
		time.Sleep(promised)
		r.has(count)
		test(r)
		cancel()
		require.NoError(t, <-ended)
	})
}

func (r *rig) member(i int) bool { return r.board.Members().Get().Host(server(i).GetName()) != nil }

func (r *rig) has(count int) {
	r.t.Helper()
	require.Len(r.t, r.board.Members().Get().Hosts(), count)
}

// fail reports so many failed connections to a server, a tenth of a second apart.
func (r *rig) fail(i, times int) {
	for range times {
		r.Failed(server(i).GetName(), time.Now())
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *rig) refuse(i int) {
	r.Refused(server(i).GetName(), clementineturn.KindDraining, time.Now())
	time.Sleep(2 * settle)
}

// absent passes time until the server is a member and returns how long it took.
func (r *rig) absent(i int, limit time.Duration) time.Duration {
	start := time.Now()
	for !r.member(i) && time.Since(start) < limit {
		time.Sleep(settle)
	}
	return time.Since(start)
}

func TestListLeaving(t *testing.T) {
	run(t, 6, func(r *rig) {
		r.hosts.Leave("s1")
		r.hosts.Remove("s2")
		time.Sleep(promised)
		require.False(t, r.member(1))
		require.False(t, r.member(2))
		require.NotNil(t, r.board.Members().Get().Known("s1"), "its running work can be reached")
		require.Nil(t, r.board.Members().Get().Known("s2"))
		r.has(4)
	})
}

func TestRefusal(t *testing.T) {
	run(t, 6, func(r *rig) {
		r.Refused("s1", clementineturn.KindOverloaded, time.Now())
		time.Sleep(2 * settle)
		require.True(t, r.member(1), "an overloaded server does not leave")
		r.refuse(1)
		require.False(t, r.member(1))
		require.NotNil(t, r.board.Members().Get().Known("s1"))
		r.Succeeded("s1", time.Now())
		time.Sleep(2 * settle)
		require.False(t, r.member(1), "an answer under way does not end a drain")
		require.InDelta(t, firstHold, r.absent(1, time.Minute), float64(time.Second))
	})
}

func TestConnectionFailures(t *testing.T) {
	run(t, 6, func(r *rig) {
		r.fail(1, failureLimit-1)
		require.True(t, r.member(1))
		time.Sleep(2 * failureWindow)
		r.fail(1, failureLimit-1)
		require.True(t, r.member(1), "failures far apart do not add up")
		r.Succeeded("s1", time.Now())
		r.fail(1, failureLimit)
		time.Sleep(2 * settle)
		require.False(t, r.member(1))
		r.absent(1, time.Minute)
		r.fail(1, 1)
		time.Sleep(2 * settle)
		require.False(t, r.member(1), "a server that failed lately is held at the first failure")
		r.absent(1, time.Minute)
		r.Succeeded("s1", time.Now())
		r.fail(1, failureLimit-1)
		require.True(t, r.member(1))
	})
}

// A server that goes on refusing is asked ever more rarely, and serves again
// soon after it ceases to.
func TestFlapDamping(t *testing.T) {
	run(t, 6, func(r *rig) {
		asked, last := 0, time.Duration(0)
		for start := time.Now(); time.Since(start) < 10*time.Minute; {
			last = r.absent(1, 2*maxHold)
			require.LessOrEqual(t, last, maxHold+time.Second)
			asked++
			r.refuse(1)
		}
		require.Less(t, asked, 30)
		require.Greater(t, last, 10*firstHold)
		require.LessOrEqual(t, r.absent(1, time.Hour), maxHold+time.Second)
		time.Sleep(10 * halfLife)
		r.refuse(1)
		require.InDelta(t, firstHold, r.absent(1, time.Minute), float64(time.Second), "the penalty decays")
	})
}

// A plain restart is a member as soon as the list shows it; one that comes and
// goes is held ever longer, and still comes back.
func TestListFlap(t *testing.T) {
	run(t, 6, func(r *rig) {
		var waits []time.Duration
		for range 6 {
			r.hosts.Remove("s1")
			time.Sleep(promised)
			require.False(t, r.member(1))
			r.hosts.Set(server(1))
			waits = append(waits, r.absent(1, 10*time.Minute))
		}
		require.Less(t, waits[0], 2*time.Second)
		require.Greater(t, waits[5], 5*waits[0])
		require.LessOrEqual(t, waits[5], maxHold+time.Second)
	})
}

func TestListLeavingFlap(t *testing.T) {
	run(t, 6, func(r *rig) {
		for range 5 {
			r.hosts.Leave("s1")
			time.Sleep(promised)
			require.False(t, r.member(1))
			r.hosts.Set(server(1))
			time.Sleep(promised)
		}
		require.False(t, r.member(1))
		require.LessOrEqual(t, r.absent(1, time.Hour), maxHold+time.Second)
	})
}

func TestListDown(t *testing.T) {
	run(t, 6, func(r *rig) {
		r.hosts.Inject(clemstandin.TableFaults{Down: true})
		time.Sleep(time.Hour)
		r.has(6)
		r.refuse(1)
		require.False(t, r.member(1), "refusals still count")
		r.hosts.Inject(clemstandin.TableFaults{})
		r.hosts.Remove("s2")
		time.Sleep(promised)
		require.False(t, r.member(2))
	})
}

// A long list that another process confirms is not read. Without a
// confirmation each process reads it after a while, and ever more rarely while it fails.
func TestLongListRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts, board := clemstandin.NewHosts(servers(20)...), clemboard.New()
		ctx, cancel := context.WithCancel(t.Context())
		ended := New(Config{Hosts: hosts, Board: board, Self: "s0", Relayed: 20}).Start(ctx)
		reads := func(d time.Duration) uint64 {
			before, _ := hosts.Counts()
			time.Sleep(d)
			after, _ := hosts.Counts()
			return after - before
		}
		// Half a second keeps what follows apart from the reads.
		require.GreaterOrEqual(t, reads(10*time.Second+500*time.Millisecond), uint64(10))
		board.Heard().Set(clemboard.NewHeard(time.Now(), true))
		require.LessOrEqual(t, reads(relayedFor-2*time.Second), uint64(1))
		next := board.List().Get().With(nil, []string{"s7"})
		board.List().Set(next)
		time.Sleep(2 * settle)
		require.Nil(t, board.Members().Get().Host("s7"))
		time.Sleep(relayedSpread + 3*time.Second)
		require.NotNil(t, board.Members().Get().Host("s7"), "the platform's own list counts again")
		hosts.Inject(clemstandin.TableFaults{Down: true})
		time.Sleep(time.Minute)
		before := board.Heard().Get().Time()
		time.Sleep(time.Minute)
		require.Equal(t, before, board.Heard().Get().Time())
		hosts.Inject(clemstandin.TableFaults{})
		require.LessOrEqual(t, reads(maxRetry), uint64(maxRetry/time.Second))
		cancel()
		require.NoError(t, <-ended)
	})
}

// A list that lacks everything or most of a pool is not believed alone.
func TestListShrinks(t *testing.T) {
	for _, left := range []int{0, 1, 4} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			run(t, 10, func(r *rig) {
				r.hosts.Replace(servers(left))
				time.Sleep(10 * time.Minute)
				r.has(10)
				r.fail(9, failureLimit)
				time.Sleep(time.Hour)
				require.False(t, r.member(9), "the list and failed connections agree")
				r.refuse(8)
				time.Sleep(time.Hour)
				require.False(t, r.member(8), "the list and a refusal agree")
				r.hosts.Replace(servers(10))
				time.Sleep(promised)
				r.has(10)
			})
		})
	}
}

// A few hosts at a time go on the list's word, but not more than half of a pool within the window.
func TestListShrinksInSteps(t *testing.T) {
	run(t, 10, func(r *rig) {
		for left := 9; left >= 0; left-- {
			r.hosts.Replace(servers(left))
			time.Sleep(promised)
		}
		require.GreaterOrEqual(t, len(r.board.Members().Get().Hosts()), 5)
	})
	run(t, 10, func(r *rig) {
		for left := 9; left >= 2; left-- {
			r.hosts.Replace(servers(left))
			time.Sleep(2 * shrinkWindow)
			r.has(left)
		}
	})
}

// A pool whose every host is marked as leaving is believed.
func TestAllLeaving(t *testing.T) {
	run(t, 4, func(r *rig) {
		for i := range 4 {
			r.hosts.Leave(server(i).GetName())
		}
		time.Sleep(promised)
		r.has(0)
		for i := range 4 {
			r.hosts.Remove(server(i).GetName())
		}
		time.Sleep(promised)
		r.has(0)
	})
}

// If every server of a pool fails, they stay members: the fault may be here.
func TestAllFail(t *testing.T) {
	run(t, 3, func(r *rig) {
		for i := range 3 {
			r.fail(i, failureLimit)
		}
		time.Sleep(2 * settle)
		r.has(3)
		r.Succeeded("s1", time.Now())
		time.Sleep(2 * settle)
		r.has(1)
		for i := range 3 {
			r.refuse(i)
		}
		r.has(0)
	})
}

func TestOperatorDrain(t *testing.T) {
	run(t, 4, func(r *rig) {
		drain := func(generation uint64, action clemwire.Action, server string) {
			state := r.board.Config().Get()
			if state == nil {
				state = clemconfig.Empty()
			}
			state, err := state.Apply(&clemwire.Change{Generation: generation, Action: action, Entity: &clemwire.Entity{
				Kind: &clemwire.Entity_Drain{Drain: &clemwire.Drain{Server: server}},
			}})
			require.NoError(t, err)
			r.board.Config().Set(state)
			time.Sleep(2 * settle)
		}
		drain(1, clemwire.Action_ACTION_CREATE, "s1")
		require.False(t, r.member(1))
		require.False(t, r.board.Drain().Get().Active())
		drain(2, clemwire.Action_ACTION_CREATE, "s0")
		require.True(t, r.board.Drain().Get().Active())
		drain(3, clemwire.Action_ACTION_DELETE, "s0")
		require.False(t, r.board.Drain().Get().Active())
		drain(4, clemwire.Action_ACTION_DELETE, "s1")
		r.has(4)
	})
}

func TestOwnHostLeaves(t *testing.T) {
	run(t, 4, func(r *rig) {
		r.hosts.Leave("s0")
		time.Sleep(promised)
		require.True(t, r.board.Drain().Get().Active())
		r.hosts.Remove("s0")
		time.Sleep(promised)
		require.True(t, r.board.Drain().Get().Active(), "a host that left stays drained")
		r.hosts.Set(server(0))
		time.Sleep(promised)
		require.False(t, r.board.Drain().Get().Active())
	})
}
