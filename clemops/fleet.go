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
	// maxConcurrentProbes bounds the hosts that are probed at the same time. It
	// leaves time to probe all other hosts if a region of 1,400 hosts does not
	// answer.
	maxConcurrentProbes = 256
	// maxConcurrentGathers bounds the entries whose counts are in memory at the
	// same time.
	maxConcurrentGathers = 32
	// hostTimeout bounds the call to one host.
	hostTimeout = 2 * time.Second
	// reportTimeout bounds a whole report; hosts that have not answered by then
	// count as silent.
	reportTimeout = 20 * time.Second
	// listTimeout bounds the read of the list of hosts.
	listTimeout = 3 * time.Second
	// newestTimeout bounds the read of the newest generation from the table.
	newestTimeout = 3 * time.Second
)

// Generations implements clemwire.OperatorsHandler. While the table is
// unavailable, the newest generation is the highest that any process holds.
func (h *Handler) Generations(ctx context.Context, _ *connect.Request[clemwire.GenerationsRequest]) (*connect.Response[clemwire.GenerationsResponse], error) {
	response := &clemwire.GenerationsResponse{}
	probe := func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Probed, error) { return peer.Probe(ctx) }
	response.Silent = queryHosts(ctx, h, maxConcurrentProbes, h.hostsToQuery(ctx, ""), probe, func(p *clemwire.Probed) {
		response.Processes = append(response.Processes, p)
		response.Generation = max(response.Generation, p.GetGeneration())
	})
	response.Generation = max(response.Generation, h.newestGeneration(ctx))
	slices.SortFunc(response.Processes, func(a, b *clemwire.Probed) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	return connect.NewResponse(response), nil
}

// newestGeneration returns the newest generation that this process can read, or
// 0 if there is none.
func (h *Handler) newestGeneration(ctx context.Context) uint64 {
	state, err := h.state(ctx)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	// On an error Advance returns the newest state that it reached.
	state, _ = h.log.Advance(ctx, state)
	h.publishState(state)
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
	silent := queryHosts(ctx, h, maxConcurrentGathers, h.hostsToQuery(ctx, clemsetting.RoleEntry), gather, sum.Add)
	return connect.NewResponse(&clemwire.BurnResponse{Lines: sum.Lines(state), Silent: silent}), nil
}

// listHosts returns the hosts of the platform's list, including those that are
// draining. Errors: KindUnavailable, KindUnready.
func (h *Handler) listHosts(ctx context.Context) ([]*clemwire.Host, error) {
	if h.hosts == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "there is no list of hosts")
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, _, err := h.hosts.List(ctx, "")
	return hosts, err
}

// hostsToQuery returns the hosts of the role, or of all roles for "", that a
// report queries: those of the platform's list, or the board's members if the
// list cannot be read, and this process's own host.
func (h *Handler) hostsToQuery(ctx context.Context, role string) []*clemwire.Host {
	hosts, err := h.listHosts(ctx)
	if members := h.board.Members().Get(); err != nil && members != nil {
		hosts = members.Hosts()
	}
	hosts = slices.Clone(hosts)
	isSelf := func(host *clemwire.Host) bool { return host.GetName() == h.self.GetName() }
	if h.self != nil && !slices.ContainsFunc(hosts, isSelf) {
		hosts = append(hosts, h.self)
	}
	return slices.DeleteFunc(hosts, func(host *clemwire.Host) bool { return role != "" && host.GetRole() != role })
}

// queryHosts calls every host, at most limit at a time, and passes each answer to
// collect. Calls of collect do not overlap. It returns the names of the hosts
// that did not answer.
func queryHosts[T any](ctx context.Context, h *Handler, limit int, hosts []*clemwire.Host, call func(context.Context, clementineturn.Peer) (*T, error), collect func(*T)) (silent []string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex // Guards silent and calls of collect.
	var group errgroup.Group
	group.SetLimit(limit)
	for _, host := range hosts {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, hostTimeout)
			defer cancel()
			answer, err := call(ctx, h.peers.Peer(host.GetAddress()))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				h.events.Emit(clemevent.MemberSilent, zap.String("host", host.GetName()), zap.String("address", host.GetAddress()), zap.Error(err))
				silent = append(silent, host.GetName())
				return nil
			}
			collect(answer)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	slices.Sort(silent)
	return silent
}
