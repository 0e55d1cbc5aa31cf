package clemrelay

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

func sortHosts(hosts []*clemwire.Host) {
	slices.SortFunc(hosts, func(a, b *clemwire.Host) int { return rankOf(a).compare(rankOf(b)) })
}

func sortedCopy(hosts []*clemwire.Host) []*clemwire.Host {
	sorted := slices.Clone(hosts)
	sortHosts(sorted)
	return sorted
}

// peers is the network as one host sees it.
type peers struct {
	fleet *fleet
	from  *clemwire.Host
}

func (p peers) Peer(address string) clementineturn.Peer { return peer{peers: p, to: address} }

// peer reaches one relay. Only the calls of the relay tree are served.
type peer struct {
	clementineturn.Peer
	peers
	to string
}

func (p peer) node() (n *testNode, hangs bool) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	own, n := f.nodes[p.from.GetName()], f.nodes[p.to]
	hangs = f.cut[[2]string{p.from.GetName(), p.to}] || own != nil && own.frozen || n != nil && n.frozen
	return n, hangs
}

// call passes one message and its answer with their delays.
func call[Q, A proto.Message](ctx context.Context, p peer, request Q, serve func(*Relay) (A, error)) (answer A, err error) {
	n, err := p.pass(ctx, request)
	if err != nil {
		return answer, err
	}
	answer, err = serve(n.relay)
	if err != nil {
		return answer, err
	}
	_, err = p.pass(ctx, answer)
	return answer, err
}

// pass takes a message one way.
func (p peer) pass(ctx context.Context, message proto.Message) (*testNode, error) {
	n, hangs := p.node()
	if n == nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "connection to %s refused", p.to)
	}
	if p.fleet.counter != nil {
		p.fleet.counter(p.from.GetName(), p.to, message)
	}
	if !hangs && !sleep(ctx, p.fleet.delay(p.from, n.host)) {
		return nil, ctx.Err()
	}
	if n, hangs = p.node(); hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if n == nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "connection to %s reset", p.to)
	}
	return n, nil
}

func (p peer) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	return call(ctx, p, pull, func(r *Relay) (*clemwire.Pulled, error) { return r.Pull(ctx, pull) })
}

func (p peer) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	return call(ctx, p, beat, func(r *Relay) (*clemwire.BeatReply, error) { return r.Beat(ctx, beat) })
}

func (p peer) Probe(ctx context.Context) (*clemwire.Probed, error) {
	return call(ctx, p, &clemwire.Probe{}, func(r *Relay) (*clemwire.Probed, error) {
		generation, ready := r.store.generation()
		return &clemwire.Probed{Node: r.config.Self.GetName(), Generation: generation, Ready: ready}, nil
	})
}
