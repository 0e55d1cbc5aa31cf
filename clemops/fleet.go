package clemops

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// askers bounds the hosts that one report asks at the same time.
	askers = 64
	// answerTime is the longest that one host may take to answer.
	answerTime = 2 * time.Second
	// askTime bounds a whole report; hosts not reached by then count as silent.
	askTime = 20 * time.Second
	// newestTime bounds the look for the table's newest generation.
	newestTime = 3 * time.Second
)

// Generations implements clemwire.OperatorsHandler. With the table down, the
// newest generation is the highest that any process holds.
func (h *Handler) Generations(ctx context.Context, _ *connect.Request[clemwire.GenerationsRequest]) (*connect.Response[clemwire.GenerationsResponse], error) {
	processes, silent := ask(ctx, h, h.hosts(""), func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Probed, error) {
		return peer.Probe(ctx)
	})
	newest := h.newest(ctx)
	for _, p := range processes {
		newest = max(newest, p.GetGeneration())
	}
	return connect.NewResponse(&clemwire.GenerationsResponse{Generation: newest, Processes: processes, Silent: silent}), nil
}

// newest returns the newest generation that this process can find.
func (h *Handler) newest(ctx context.Context) uint64 {
	state, err := h.state(ctx)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, newestTime)
	defer cancel()
	// On an error Advance returns the newest state it reached.
	state, _ = h.log.Advance(ctx, state)
	h.learned(state)
	return state.Generation()
}

// Burn implements clemwire.OperatorsHandler.
func (h *Handler) Burn(ctx context.Context, _ *connect.Request[clemwire.BurnRequest]) (*connect.Response[clemwire.BurnResponse], error) {
	state, err := h.state(ctx)
	if err != nil {
		return nil, err
	}
	gathered, silent := ask(ctx, h, h.hosts(clemsetting.RoleEntry), func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Gathered, error) {
		return peer.Gather(ctx)
	})
	return connect.NewResponse(&clemwire.BurnResponse{Lines: clemburn.Report(state, gathered), Silent: silent}), nil
}

// hosts returns the members of the role, or all for "", and the own host,
// sorted by name.
func (h *Handler) hosts(role string) []*clemwire.Host {
	members := h.board.Members().Get()
	if members == nil {
		members = clemboard.NewMembers(nil)
	}
	all := slices.Clone(members.Hosts())
	if h.self != nil && members.Host(h.self.GetName()) == nil {
		all = append(all, h.self)
	}
	all = slices.DeleteFunc(all, func(host *clemwire.Host) bool { return role != "" && host.GetRole() != role })
	slices.SortFunc(all, func(a, b *clemwire.Host) int { return strings.Compare(a.GetName(), b.GetName()) })
	return all
}

// ask calls every host, a bounded number at a time, and returns the answers
// in the order of the hosts and the names of those that gave none.
func ask[T any](ctx context.Context, h *Handler, hosts []*clemwire.Host, call func(context.Context, clementineturn.Peer) (*T, error)) (answers []*T, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	results := make([]*T, len(hosts))
	var group errgroup.Group
	group.SetLimit(askers)
	for i, host := range hosts {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, answerTime)
			defer cancel()
			answer, err := call(ctx, h.peers.Peer(host.GetAddress()))
			if err != nil {
				h.events.Emit(clemevent.MemberSilent, zap.String("host", host.GetName()), zap.String("address", host.GetAddress()), zap.Error(err))
				return nil
			}
			results[i] = answer
			return nil
		})
	}
	// The functions report through results.
	_ = group.Wait()
	for i, host := range hosts {
		if results[i] == nil {
			silent = append(silent, host.GetName())
			continue
		}
		answers = append(answers, results[i])
	}
	return answers, silent
}
