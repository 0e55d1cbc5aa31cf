package clemops

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func newOperator(name, token string) Operator { return clemsetting.NewOperator(name, digest(token)) }

func eventField(e clemevent.Event) zapcore.Field { return zap.Int("event", int(e)) }

func setMembers(board *clemboard.Board) {
	board.Members().Set(clemboard.NewMembers([]*clemwire.Host{
		{Name: "entry-2", Address: "10.0.0.2:1", Role: "entry"},
		{Name: "entry-1", Address: "10.0.0.1:1", Role: "entry"},
		{Name: "srv-1", Address: "10.0.1.1:1", Role: "sidecar", Pool: "p"},
	}))
}

// newHandlerOverFakes returns a Handler with three members, of which entry-2 does
// not answer.
func newHandlerOverFakes() *Handler {
	board := clemboard.New()
	board.Config().Set(clemconfig.Empty())
	setMembers(board)
	return New(Config{
		Board: board, Log: clemconfig.NewLog(clemconfig.LogConfig{Table: clemstandin.NewTable()}),
		Peers: &fakePeers{
			probed: map[string]*clemwire.Probed{
				"10.0.0.1:1": {Node: "entry-1", Generation: 7},
				"10.0.1.1:1": {Node: "srv-1", Generation: 6},
			},
			gathered: map[string]*clemwire.Gathered{
				"10.0.0.1:1": {Node: "entry-1", Counts: []*clemwire.Count{{Organisation: "acme", Pool: "p", Window: durationpb.New(clemburn.ShortWindow), Total: 1000, Failed: 2}}},
			},
		},
	})
}

// A host that does not answer is listed as silent and delays the report by
// hostTimeout only.
func TestSilentHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandlerOverFakes()
		start := time.Now()
		answer, err := h.Generations(t.Context(), newRequest(&clemwire.GenerationsRequest{}))
		require.NoError(t, err)
		require.Equal(t, hostTimeout, time.Since(start))
		require.EqualValues(t, 7, answer.Msg.GetGeneration(), "the highest generation of any process")
		require.Equal(t, []string{"entry-2"}, answer.Msg.GetSilent())
		require.Equal(t, "entry-1", answer.Msg.GetProcesses()[0].GetNode())
		require.Equal(t, "srv-1", answer.Msg.GetProcesses()[1].GetNode())

		burn, err := h.Burn(t.Context(), newRequest(&clemwire.BurnRequest{}))
		require.NoError(t, err)
		require.Equal(t, []string{"entry-2"}, burn.Msg.GetSilent(), "only entries are queried")
		require.InDelta(t, 2, burn.Msg.GetLines()[0].GetBurn(), 1e-9)
	})
}

// If a tenth of the fleet does not answer, the report still has all other hosts.
// If no host answers, it takes no longer than reportTimeout.
func TestManySilentHosts(t *testing.T) {
	const total = 13_700
	for _, dead := range []int{total / 10, total} {
		synctest.Test(t, func(t *testing.T) {
			h := newHandlerOverFakes()
			hosts, probed := make([]*clemwire.Host, total), map[string]*clemwire.Probed{}
			for i := range hosts {
				hosts[i] = &clemwire.Host{Name: fmt.Sprint("h", i), Address: fmt.Sprint("a", i), Role: "sidecar"}
				if i >= dead {
					probed[hosts[i].Address] = &clemwire.Probed{Node: hosts[i].Name}
				}
			}
			h.peers = &fakePeers{probed: probed}
			h.board.Members().Set(clemboard.NewMembers(hosts))
			start := time.Now()
			answer, err := h.Generations(t.Context(), newRequest(&clemwire.GenerationsRequest{}))
			require.NoError(t, err)
			require.Len(t, answer.Msg.GetSilent(), dead)
			require.Len(t, answer.Msg.GetProcesses(), total-dead)
			require.LessOrEqual(t, time.Since(start), reportTimeout)
		})
	}
}

// Reports include the own entry even if the list of hosts lacks it, and hosts
// that are draining. If the list is unavailable, the members are queried.
func TestQueriedHosts(t *testing.T) {
	h := newHandlerOverFakes()
	h.self = &clemwire.Host{Name: "self", Role: "entry"}
	names := func(role string) (names []string) {
		for _, host := range h.hostsToQuery(t.Context(), role) {
			names = append(names, host.GetName())
		}
		return names
	}
	require.Equal(t, []string{"entry-2", "entry-1", "self"}, names("entry"), "members")
	list := &fakeHosts{}
	h.hosts = list
	require.Equal(t, []string{"entry-2", "entry-1", "self"}, names("entry"), "the list does not answer")
	list.list = []*clemwire.Host{{Name: "drained", Role: "sidecar"}, {Name: "leaving", Role: "entry", Leaving: true}}
	require.Equal(t, []string{"drained", "leaving", "self"}, names(""))
	require.Equal(t, []string{"leaving", "self"}, names("entry"))
	list.list = append(list.list, h.self)
	require.Equal(t, []string{"leaving", "self"}, names("entry"), "queried once")
	h.board.Members().Set(nil)
	h.hosts = nil
	require.Equal(t, []string{"self"}, names(""))
}
