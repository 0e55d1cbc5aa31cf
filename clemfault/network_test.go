package clemfault

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// callTimeout bounds a call, as clemrpc does.
const callTimeout = 10 * time.Second

// network holds the faults on the way to and from one node.
type network struct {
	target    string
	there     time.Time
	back      time.Time
	slow      time.Time
	lose      bool
	duplicate bool
}

// nodeTable is the platform's table as one node reaches it.
type nodeTable struct{ *node }

func (t *nodeTable) Get(ctx context.Context, key string) (clementineturn.Row, error) {
	if strings.HasPrefix(key, "config/") {
		t.at(StepRead, t.host.GetName())
	}
	if !t.breathe() || t.isIsolated(t.host.GetName()) {
		return clementineturn.Row{}, errDead()
	}
	row, err := t.table.Get(ctx, key)
	if !t.breathe() {
		return clementineturn.Row{}, errDead()
	}
	return row, err
}

func (t *nodeTable) Put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	before, after := t.steps(key, value)
	t.at(before, t.host.GetName())
	if !t.breathe() {
		return clementineturn.Row{}, errDead()
	}
	row, err := t.table.Put(ctx, key, value, version)
	t.at(after, t.host.GetName())
	if !t.breathe() {
		return clementineturn.Row{}, errDead()
	}
	return row, err
}

// steps returns the steps that a write is, by what it writes.
func (t *nodeTable) steps(key string, value []byte) (before, after string) {
	switch {
	case strings.HasPrefix(key, "incarnation/"):
		return StepNumber, ""
	case strings.HasPrefix(key, "config/"):
		return StepWrite, StepWritten
	case !strings.HasPrefix(key, "claim/"):
		return "", ""
	}
	segment := &clemwire.Segment{}
	if proto.Unmarshal(value, segment) != nil || len(segment.GetRecords()) == 0 {
		return "", ""
	}
	last := segment.GetRecords()[len(segment.GetRecords())-1]
	if last.GetState() == clemwire.ClaimState_CLAIM_STATE_HELD {
		return StepClaim, StepClaimed
	}
	return StepWrite, StepWritten
}

func (t *nodeTable) Delete(ctx context.Context, key string, version clementineturn.Version) error {
	if !t.breathe() {
		return errDead()
	}
	return t.table.Delete(ctx, key, version)
}

func errDead() error {
	return clementineturn.Errorf(clementineturn.KindUnavailable, "the process is dead")
}

// nodePeers are the other processes as one node reaches them.
type nodePeers struct{ *node }

// Peer implements clementineturn.Peers.
func (p *nodePeers) Peer(address string) clementineturn.Peer { return &link{from: p.node, to: address} }

// link is the way from one node to another.
type link struct {
	from *node
	to   string
}

// send carries a message to the other process and its result back.
func send[T any](ctx context.Context, l *link, message bool, call func(ctx context.Context, peer clementineturn.Peer) (T, error)) (T, error) {
	var none T
	if message {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if !l.from.breathe() {
		return none, errReset(false)
	}
	target := l.from.node(l.to)
	if target == nil || target.ctx.Err() != nil {
		return none, errReset(true)
	}
	if !l.pass(ctx, func(n *network) time.Time { return n.there }) {
		return none, errReset(false)
	}
	if message && l.take(func(n *network) *bool { return &n.duplicate }) {
		_, _ = deliver(ctx, target, call)
	}
	result, err := deliver(ctx, target, call)
	if message && l.take(func(n *network) *bool { return &n.lose }) {
		<-ctx.Done()
		return none, errReset(false)
	}
	if !l.pass(ctx, func(n *network) time.Time { return n.back }) || !l.from.breathe() {
		return none, errReset(false)
	}
	return result, err
}

// deliver runs the call in the other process, until that process dies.
func deliver[T any](ctx context.Context, target *node, call func(ctx context.Context, peer clementineturn.Peer) (T, error)) (T, error) {
	type outcome struct {
		result T
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		if !target.breathe() {
			done <- outcome{err: errReset(false)}
			return
		}
		result, err := call(target.ctx, target.peer)
		target.breathe()
		done <- outcome{result, err}
	}()
	var none T
	select {
	case o := <-done:
		if target.ctx.Err() != nil {
			return none, errReset(false)
		}
		return o.result, o.err
	case <-target.ctx.Done():
		return none, errReset(false)
	case <-ctx.Done():
		return none, errReset(false)
	}
}

func errReset(notRun bool) error {
	if notRun {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
	}
	return clementineturn.Errorf(clementineturn.KindUnknown, "connection reset")
}

// pass waits out a delay and reports whether the direction is open. A cut
// loses the message: the caller notices only at its own timeout.
func (l *link) pass(ctx context.Context, until func(*network) time.Time) bool {
	l.from.mu.Lock()
	n := l.from.net
	l.from.mu.Unlock()
	if n.target != l.to && n.target != l.from.host.GetName() {
		return true
	}
	now := time.Now()
	if now.Before(n.slow) && !rest(ctx, 400*time.Millisecond) {
		return false
	}
	if now.Before(until(&n)) {
		rest(ctx, 10*time.Second)
		return false
	}
	return true
}

// isIsolated reports whether either end gets no news of the configuration.
func (l *link) isIsolated() bool {
	return l.from.isIsolated(l.from.host.GetName()) || l.from.isIsolated(l.to)
}

// news passes a reply that carries configuration, unless either end is
// isolated before the call or by its end.
func news[T any](l *link, call func() (T, error)) (T, error) {
	var none T
	if l.isIsolated() {
		return none, errReset(false)
	}
	reply, err := call()
	if l.isIsolated() {
		return none, errReset(false)
	}
	return reply, err
}

// take uses up a fault that strikes one message.
func (l *link) take(flag func(*network) *bool) bool {
	l.from.mu.Lock()
	defer l.from.mu.Unlock()
	f := flag(&l.from.net)
	if l.from.net.target != l.to || !*f {
		return false
	}
	*f = false
	return true
}

// Submit implements clementineturn.Peer.
func (l *link) Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error) {
	return send(ctx, l, true, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Submitted, error) {
		return peer.Submit(ctx, proto.CloneOf(submit))
	})
}

// Offer implements clementineturn.Peer.
func (l *link) Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	l.from.serve(l.to)
	l.from.at(StepOffer, l.to)
	if *removed == removeGeneration {
		offer = proto.CloneOf(offer)
		offer.Generation = l.from.node(l.to).generation()
	}
	verdict, err := send(ctx, l, true, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Verdict, error) {
		verdict, err := peer.Offer(ctx, proto.CloneOf(offer))
		l.from.at(StepVerdict, l.to)
		return verdict, err
	})
	return verdict, err
}

// Cancel implements clementineturn.Peer.
func (l *link) Cancel(ctx context.Context, cancel *clemwire.Cancel) (*clemwire.Cancelled, error) {
	return send(ctx, l, true, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Cancelled, error) {
		return peer.Cancel(ctx, cancel)
	})
}

// Void implements clementineturn.Peer.
func (l *link) Void(ctx context.Context, void *clemwire.Void) (*clemwire.Voided, error) {
	if answer, ok := voided(l.to); ok {
		return answer, nil
	}
	return send(ctx, l, true, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Voided, error) {
		return peer.Void(ctx, void)
	})
}

// Pull implements clementineturn.Peer.
func (l *link) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	l.from.at(StepPull, l.from.host.GetName())
	if l.isIsolated() {
		return nil, errReset(false)
	}
	return send(ctx, l, false, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Pulled, error) {
		return peer.Pull(ctx, pull)
	})
}

// Beat implements clementineturn.Peer.
func (l *link) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	l.from.at(StepPull, l.from.host.GetName())
	if l.isIsolated() {
		return nil, errReset(false)
	}
	return send(ctx, l, false, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.BeatReply, error) {
		return peer.Beat(ctx, beat)
	})
}

// Probe implements clementineturn.Peer.
func (l *link) Probe(ctx context.Context) (*clemwire.Probed, error) {
	return send(ctx, l, false, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Probed, error) { return peer.Probe(ctx) })
}

// Gather implements clementineturn.Peer.
func (l *link) Gather(ctx context.Context) (*clemwire.Gathered, error) {
	return send(ctx, l, false, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Gathered, error) {
		return peer.Gather(ctx)
	})
}

// Share implements clementineturn.Peer.
func (l *link) Share(ctx context.Context, share *clemwire.Share) (*clemwire.Share, error) {
	return send(ctx, l, true, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Share, error) {
		return peer.Share(ctx, share)
	})
}

// Fetch implements clementineturn.Peer. Each frame passes the network on its own.
func (l *link) Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan *clemwire.Frame)
	ended := make(chan error, 1)
	go func() {
		_, err := send(ctx, l, false, func(_ context.Context, peer clementineturn.Peer) (struct{}, error) {
			return struct{}{}, peer.Fetch(ctx, fetch, func(frame *clemwire.Frame) error {
				select {
				case frames <- frame:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			})
		})
		ended <- err
	}()
	passed := newEndOf()
	for {
		select {
		case frame := <-frames:
			passed.add(frame)
			if !l.pass(ctx, func(n *network) time.Time { return n.back }) || !l.from.breathe() {
				return clementineturn.Errorf(clementineturn.KindCut, "connection reset")
			}
			if err := handler(proto.CloneOf(frame)); err != nil || frame.GetEnd() != nil {
				return err
			}
		case err := <-ended:
			if ctx.Err() != nil {
				return clementineturn.AsError(ctx.Err())
			}
			if end := passed.frame(); end != nil {
				return handler(end)
			}
			if clementineturn.IsKind(err, clementineturn.KindUnknown) || clementineturn.IsNotRun(err) || err == nil {
				return clementineturn.Errorf(clementineturn.KindCut, "connection reset")
			}
			return err
		}
	}
}
