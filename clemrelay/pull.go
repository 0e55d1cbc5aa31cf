package clemrelay

import (
	"context"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// pullTimeout bounds a pull, whose answer may be a snapshot.
	pullTimeout = 3 * time.Second
	// maxWait bounds the wait that a child may ask for.
	maxWait = 10 * time.Second
	// maxWaiters is the most pulls that wait at one process.
	maxWaiters = 256
	// maxSnapshots is the most snapshots that one process sends at once.
	maxSnapshots = 2
	// cutAfter is the time without contact after which a process sends its children elsewhere.
	cutAfter = 2500 * time.Millisecond
)

// Pull answers a child with the changes after its generation, and waits for
// one if there is none. Errors: KindUnready, KindOverloaded, and
// KindUnavailable if this process is cut off itself.
func (r *Relay) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	state, changed := r.store.current()
	if state == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "%s holds no configuration", r.config.Self.GetName())
	}
	if r.cut() {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "%s is cut off", r.config.Self.GetName())
	}
	if state.Generation() <= pull.GetGeneration() && pull.GetWait().AsDuration() > 0 {
		r.park(ctx, changed, pull.GetWait().AsDuration())
	}
	return r.pulled(ctx, pull.GetGeneration())
}

// park waits for a newer state if a waiter's slot is free.
func (r *Relay) park(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	select {
	case r.waiters <- struct{}{}:
		defer func() { <-r.waiters }()
	default:
		return
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pulled returns the changes after a generation, or a snapshot if they are not at hand.
func (r *Relay) pulled(ctx context.Context, generation uint64) (*clemwire.Pulled, error) {
	state, _ := r.store.current()
	if state.Generation() <= generation {
		return &clemwire.Pulled{Generation: state.Generation()}, nil
	}
	changes, ok := r.store.since(generation)
	if !ok && r.store.backfill(ctx, generation) == nil {
		changes, ok = r.store.since(generation)
	}
	if ok {
		return &clemwire.Pulled{Generation: generation + uint64(len(changes)), Changes: changes}, nil
	}
	select {
	case r.snapshots <- struct{}{}:
		defer func() { <-r.snapshots }()
	default:
		return nil, clementineturn.Refuse(clementineturn.KindOverloaded, "%d snapshots are under way", maxSnapshots)
	}
	return &clemwire.Pulled{Generation: state.Generation(), Snapshot: state.Snapshot()}, nil
}

// cut reports whether the process lost its parents and the table. The root of
// a data centre never does, because nobody below it knows more.
func (r *Relay) cut() bool {
	t := r.tree.Load()
	return !t.root && r.contact.lost(cutAfter)
}

// pullFrom asks the peer once and takes what it answers.
func (r *Relay) pullFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	generation, _ := r.store.generation()
	pulled, err := r.config.Peers.Peer(address).Pull(ctx, &clemwire.Pull{Generation: generation})
	if err != nil {
		return err
	}
	return r.take(pulled)
}

// take applies a peer's answer.
func (r *Relay) take(pulled *clemwire.Pulled) error {
	state, err := r.unpack(pulled)
	if err != nil {
		r.config.Events.Emit(clemevent.ConfigRejected, zap.Error(err))
		return err
	}
	if state != nil && r.store.adopt(state) {
		r.config.Events.Emit(clemevent.ConfigHeld, zap.Uint64("generation", state.Generation()), zap.String("source", "peer"))
		return nil
	}
	return r.applyAll(pulled.GetChanges())
}

// unpack returns the whole state that the answer describes, or nil if it
// holds changes to the state in force.
func (r *Relay) unpack(pulled *clemwire.Pulled) (*clemconfig.State, error) {
	state := clemconfig.Empty()
	if pulled.GetSnapshot() != nil {
		state = clemconfig.FromSnapshot(pulled.GetSnapshot())
	} else if r.Ready() {
		return nil, nil
	}
	for _, change := range pulled.GetChanges() {
		next, err := state.Apply(change)
		if err != nil {
			return nil, err
		}
		state = next
	}
	if state.Generation() != pulled.GetGeneration() {
		return nil, clementineturn.Errorf(clementineturn.KindMismatch, "the answer leads to generation %d, not %d", state.Generation(), pulled.GetGeneration())
	}
	return state, nil
}

// applyAll applies changes and logs the generation that they led to.
func (r *Relay) applyAll(changes []*clemwire.Change) error {
	before, _ := r.store.generation()
	err := r.store.apply(changes)
	if err != nil {
		r.config.Events.Emit(clemevent.ConfigRejected, zap.Error(err))
	}
	if after, _ := r.store.generation(); after > before {
		r.config.Events.Emit(clemevent.ConfigApplied, zap.Uint64("generation", after))
	}
	return err
}
