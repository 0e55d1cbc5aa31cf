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

// linkFaults are the faults of the messages to and from one node. The times are
// those at which a fault ends.
type linkFaults struct {
	target           string
	cutToUntil       time.Time
	cutFromUntil     time.Time
	delayedUntil     time.Time
	loseAnswer       bool
	duplicateMessage bool
}

// nodeTable is the platform's table as seen by one node.
type nodeTable struct{ *node }

func (t *nodeTable) Get(ctx context.Context, key string) (clementineturn.Row, error) {
	if strings.HasPrefix(key, "config/") {
		t.reachStep(StepRead, t.host.GetName())
	}
	if !t.awaitThaw() || t.isIsolated(t.host.GetName()) {
		return clementineturn.Row{}, processDeadError()
	}
	row, err := t.table.Get(ctx, key)
	if !t.awaitThaw() {
		return clementineturn.Row{}, processDeadError()
	}
	return row, err
}

func (t *nodeTable) Put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	before, after := t.stepsOfWrite(key, value)
	t.reachStep(before, t.host.GetName())
	if !t.awaitThaw() {
		return clementineturn.Row{}, processDeadError()
	}
	row, err := t.table.Put(ctx, key, value, version)
	t.reachStep(after, t.host.GetName())
	if !t.awaitThaw() {
		return clementineturn.Row{}, processDeadError()
	}
	return row, err
}

// stepsOfWrite returns the steps before and after a write, which depend on what is
// written.
func (t *nodeTable) stepsOfWrite(key string, value []byte) (before, after string) {
	switch {
	case strings.HasPrefix(key, "incarnation/"):
		return StepIncarnation, ""
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
	if !t.awaitThaw() {
		return processDeadError()
	}
	return t.table.Delete(ctx, key, version)
}

func processDeadError() error {
	return clementineturn.Errorf(clementineturn.KindUnavailable, "the process is dead")
}

// nodePeers are the other processes as seen by one node.
type nodePeers struct{ *node }

// Peer implements clementineturn.Peers.
func (p *nodePeers) Peer(address string) clementineturn.Peer { return &link{from: p.node, to: address} }

// link is the connection from one node to another.
type link struct {
	from *node
	to   string
}

// send makes a call in the other process, subject to the link's faults. Faults of
// single messages and the call timeout apply only if message is set.
func send[T any](ctx context.Context, l *link, message bool, call func(ctx context.Context, peer clementineturn.Peer) (T, error)) (T, error) {
	var zero T
	if message {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if !l.from.awaitThaw() {
		return zero, connectionError(false)
	}
	target := l.from.node(l.to)
	if target == nil || target.ctx.Err() != nil {
		return zero, connectionError(true)
	}
	if !l.transmit(ctx, func(n *linkFaults) time.Time { return n.cutToUntil }) {
		return zero, connectionError(false)
	}
	if message && l.takeFault(func(n *linkFaults) *bool { return &n.duplicateMessage }) {
		_, _ = deliver(ctx, target, call)
	}
	result, err := deliver(ctx, target, call)
	if message && l.takeFault(func(n *linkFaults) *bool { return &n.loseAnswer }) {
		<-ctx.Done()
		return zero, connectionError(false)
	}
	if !l.transmit(ctx, func(n *linkFaults) time.Time { return n.cutFromUntil }) || !l.from.awaitThaw() {
		return zero, connectionError(false)
	}
	return result, err
}

// deliver runs the call in the other process and fails if that process dies.
func deliver[T any](ctx context.Context, target *node, call func(ctx context.Context, peer clementineturn.Peer) (T, error)) (T, error) {
	type outcome struct {
		result T
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		if !target.awaitThaw() {
			done <- outcome{err: connectionError(false)}
			return
		}
		result, err := call(target.ctx, target.peer)
		target.awaitThaw()
		done <- outcome{result, err}
	}()
	var zero T
	select {
	case o := <-done:
		if target.ctx.Err() != nil {
			return zero, connectionError(false)
		}
		return o.result, o.err
	case <-target.ctx.Done():
		return zero, connectionError(false)
	case <-ctx.Done():
		return zero, connectionError(false)
	}
}

func connectionError(notRun bool) error {
	if notRun {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
	}
	return clementineturn.Errorf(clementineturn.KindUnknown, "connection reset")
}

// transmit waits for the link's delay and reports whether the direction is open. A
// cut loses the message, which the caller only notices at its own timeout.
func (l *link) transmit(ctx context.Context, until func(*linkFaults) time.Time) bool {
	l.from.mu.Lock()
	n := l.from.linkFaults
	l.from.mu.Unlock()
	if n.target != l.to && n.target != l.from.host.GetName() {
		return true
	}
	now := time.Now()
	if now.Before(n.delayedUntil) && !sleep(ctx, 400*time.Millisecond) {
		return false
	}
	if now.Before(until(&n)) {
		sleep(ctx, 10*time.Second)
		return false
	}
	return true
}

// isIsolated reports whether either end is isolated from the configuration.
func (l *link) isIsolated() bool {
	return l.from.isIsolated(l.from.host.GetName()) || l.from.isIsolated(l.to)
}

// unlessIsolated makes a call whose result carries configuration. It fails if either
// end is isolated before or after the call.
func unlessIsolated[T any](l *link, call func() (T, error)) (T, error) {
	var zero T
	if l.isIsolated() {
		return zero, connectionError(false)
	}
	result, err := call()
	if l.isIsolated() {
		return zero, connectionError(false)
	}
	return result, err
}

// takeFault reports whether a fault of a single message is set, and clears it.
func (l *link) takeFault(flag func(*linkFaults) *bool) bool {
	l.from.mu.Lock()
	defer l.from.mu.Unlock()
	f := flag(&l.from.linkFaults)
	if l.from.linkFaults.target != l.to || !*f {
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
	l.from.setServingServer(l.to)
	l.from.reachStep(StepOffer, l.to)
	if *removedMechanism == removeGeneration {
		offer = proto.CloneOf(offer)
		offer.Generation = l.from.node(l.to).generation()
	}
	verdict, err := send(ctx, l, true, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Verdict, error) {
		verdict, err := peer.Offer(ctx, proto.CloneOf(offer))
		l.from.reachStep(StepVerdict, l.to)
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
	if answer, ok := forgedVoided(l.to); ok {
		return answer, nil
	}
	return send(ctx, l, true, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Voided, error) {
		return peer.Void(ctx, void)
	})
}

// Pull implements clementineturn.Peer.
func (l *link) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	l.from.reachStep(StepPull, l.from.host.GetName())
	if l.isIsolated() {
		return nil, connectionError(false)
	}
	return send(ctx, l, false, func(ctx context.Context, peer clementineturn.Peer) (*clemwire.Pulled, error) {
		return peer.Pull(ctx, pull)
	})
}

// Beat implements clementineturn.Peer.
func (l *link) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	l.from.reachStep(StepPull, l.from.host.GetName())
	if l.isIsolated() {
		return nil, connectionError(false)
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

// Fetch implements clementineturn.Peer. The link's faults apply to each frame
// separately.
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
	forger := newEndForger()
	for {
		select {
		case frame := <-frames:
			forger.add(frame)
			if !l.transmit(ctx, func(n *linkFaults) time.Time { return n.cutFromUntil }) || !l.from.awaitThaw() {
				return clementineturn.Errorf(clementineturn.KindCut, "connection reset")
			}
			if err := handler(proto.CloneOf(frame)); err != nil || frame.GetEnd() != nil {
				return err
			}
		case err := <-ended:
			if ctx.Err() != nil {
				return clementineturn.AsError(ctx.Err())
			}
			if end := forger.forgedEnd(); end != nil {
				return handler(end)
			}
			if clementineturn.IsKind(err, clementineturn.KindUnknown) || clementineturn.IsNotRun(err) || err == nil {
				return clementineturn.Errorf(clementineturn.KindCut, "connection reset")
			}
			return err
		}
	}
}
