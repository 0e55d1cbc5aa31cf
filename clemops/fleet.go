package clemops

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// probers bounds the hosts that are probed at the same time. A whole
	// silent region of 1,400 hosts then leaves time to ask all others.
	probers = 256
	// gatherers bounds the entries whose counts are in memory at the same time.
	gatherers = 32
	// answerTime is the longest that one host may take to answer.
	answerTime = 2 * time.Second
	// askTime bounds a whole report; hosts not reached by then count as silent.
	askTime = 20 * time.Second
	// listTime bounds the read of the list of hosts.
	listTime = 3 * time.Second
	// newestTime bounds the look for the table's newest generation.
	newestTime = 3 * time.Second
)

// Generations implements clemwire.OperatorsHandler. With the table down, the
// newest generation is the highest that any process holds.
func (h *Handler) Generations(ctx context.Context, _ *connect.Request[clemwire.GenerationsRequest]) (*connect.Response[clemwire.GenerationsResponse], error) {
	response := &clemwire.GenerationsResponse{}
	probe := func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Probed, error) { return peer.Probe(ctx) }
	response.Silent = ask(ctx, h, probers, h.asked(ctx, ""), probe, func(p *clemwire.Probed) {
		response.Processes = append(response.Processes, p)
		response.Generation = max(response.Generation, p.GetGeneration())
	})
	response.Generation = max(response.Generation, h.newest(ctx))
	slices.SortFunc(response.Processes, func(a, b *clemwire.Probed) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	return connect.NewResponse(response), nil
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
	var sum clemburn.Sum
	gather := func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Gathered, error) {
		return peer.Gather(ctx)
	}
	silent := ask(ctx, h, gatherers, h.asked(ctx, clemsetting.RoleEntry), gather, sum.Add)
	return connect.NewResponse(&clemwire.BurnResponse{Lines: sum.Lines(state), Silent: silent}), nil
}

// listed returns the hosts of the platform's list, also those that take no new
// work. Errors: KindUnavailable, KindUnready.
func (h *Handler) listed(ctx context.Context) ([]*clemwire.Host, error) {
	if h.hosts == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "there is no list of hosts")
	}
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	hosts, _, err := h.hosts.List(ctx, "")
	return hosts, err
}

// asked returns the hosts of the role, or of all for "", that a report asks:
// those of the platform's list, or the board's members if the list does not
// answer, and the own host.
func (h *Handler) asked(ctx context.Context, role string) []*clemwire.Host {
	hosts, err := h.listed(ctx)
	if members := h.board.Members().Get(); err != nil && members != nil {
		hosts = members.Hosts()
	}
	hosts = slices.Clone(hosts)
	own := func(host *clemwire.Host) bool { return host.GetName() == h.self.GetName() }
	if h.self != nil && !slices.ContainsFunc(hosts, own) {
		hosts = append(hosts, h.self)
	}
	return slices.DeleteFunc(hosts, func(host *clemwire.Host) bool { return role != "" && host.GetRole() != role })
}

// ask calls every host, a bounded number at a time, passes each answer on as
// it comes, one after another, and returns the names of those that gave none.
func ask[T any](ctx context.Context, h *Handler, limit int, hosts []*clemwire.Host, call func(context.Context, clementineturn.Peer) (*T, error), take func(*T)) (silent []string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var mu sync.Mutex // Guards silent and calls of take.
	var group errgroup.Group
	group.SetLimit(limit)
	for _, host := range hosts {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, answerTime)
			defer cancel()
			answer, err := call(ctx, h.peers.Peer(host.GetAddress()))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				h.events.Emit(clemevent.MemberSilent, zap.String("host", host.GetName()), zap.String("address", host.GetAddress()), zap.Error(err))
				silent = append(silent, host.GetName())
				return nil
			}
			take(answer)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	slices.Sort(silent)
	return silent
}
