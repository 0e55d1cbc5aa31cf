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

// nodePeers is one host's access to the in-memory network.
type nodePeers struct {
	fleet *fleet
	from  *clemwire.Host
}

func (p nodePeers) Peer(address string) clementineturn.Peer {
	return nodePeer{nodePeers: p, to: address}
}

// nodePeer is a connection to one relay. It serves only the calls of the relay tree.
type nodePeer struct {
	clementineturn.Peer
	nodePeers
	to string
}

func (p nodePeer) node() (n *testNode, hangs bool) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	own, n := f.nodes[p.from.GetName()], f.nodes[p.to]
	hangs = f.cutLinks[[2]string{p.from.GetName(), p.to}] || own != nil && own.isFrozen || n != nil && n.isFrozen
	return n, hangs
}

// call delivers a request and its reply with the network's delays.
func call[Q, A proto.Message](ctx context.Context, p nodePeer, request Q, serve func(*Relay) (A, error)) (reply A, err error) {
	n, err := p.deliver(ctx, request)
	if err != nil {
		return reply, err
	}
	reply, err = serve(n.relay)
	if err != nil {
		return reply, err
	}
	_, err = p.deliver(ctx, reply)
	return reply, err
}

// deliver delays a message by the one-way delay and returns the receiving node. It
// blocks until the context ends if a side is frozen or the link is cut.
func (p nodePeer) deliver(ctx context.Context, message proto.Message) (*testNode, error) {
	n, hangs := p.node()
	if n == nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "connection to %s refused", p.to)
	}
	if p.fleet.onMessage != nil {
		p.fleet.onMessage(p.from.GetName(), p.to, message)
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

func (p nodePeer) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	return call(ctx, p, pull, func(r *Relay) (*clemwire.Pulled, error) { return r.Pull(ctx, pull) })
}

func (p nodePeer) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	return call(ctx, p, beat, func(r *Relay) (*clemwire.BeatReply, error) { return r.Beat(ctx, beat) })
}

func (p nodePeer) Probe(ctx context.Context) (*clemwire.Probed, error) {
	return call(ctx, p, &clemwire.Probe{}, func(r *Relay) (*clemwire.Probed, error) {
		generation, ready := r.store.generation()
		return &clemwire.Probed{Node: r.config.Self.GetName(), Generation: generation, Ready: ready}, nil
	})
}
