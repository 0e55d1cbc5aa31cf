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
	// pullTimeout bounds a pull, whose reply may be a snapshot.
	pullTimeout = 3 * time.Second
	// maxPullWait bounds the wait that a child may request.
	maxPullWait = 10 * time.Second
	// maxWaitingPulls is the largest number of pulls that wait at one process.
	maxWaitingPulls = 256
	// maxConcurrentSnapshots is the largest number of snapshots that one process
	// sends at once.
	maxConcurrentSnapshots = 2
	// contactTimeout is the time without contact after which a process directs its
	// children to other parents.
	contactTimeout = 2500 * time.Millisecond
)

// Pull implements the method of clementineturn.Peer: it returns the changes after
// the child's generation and, if there are none yet, waits for one up to the
// requested time. Errors: KindUnready, KindOverloaded, and KindUnavailable if this
// process itself is cut off.
func (r *Relay) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	state, changed := r.store.current()
	if state == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "%s holds no configuration", r.config.Self.GetName())
	}
	if r.isCutOff() {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "%s is cut off", r.config.Self.GetName())
	}
	if state.Generation() <= pull.GetGeneration() && pull.GetWait().AsDuration() > 0 {
		r.waitForChange(ctx, changed, pull.GetWait().AsDuration())
	}
	return r.pullReply(ctx, pull.GetGeneration())
}

// waitForChange waits for a newer state. It returns at once if maxWaitingPulls
// already wait.
func (r *Relay) waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	select {
	case r.pullWaitSlots <- struct{}{}:
		defer func() { <-r.pullWaitSlots }()
	default:
		return
	}
	timer := time.NewTimer(min(wait, maxPullWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pullReply returns the changes after a generation, or a snapshot if they are not
// held and cannot be read in time.
func (r *Relay) pullReply(ctx context.Context, generation uint64) (*clemwire.Pulled, error) {
	state, _ := r.store.current()
	if state.Generation() <= generation {
		return &clemwire.Pulled{Generation: state.Generation()}, nil
	}
	changes, ok := r.store.changesAfter(generation)
	if !ok && r.store.backfill(ctx, generation) == nil {
		changes, ok = r.store.changesAfter(generation)
	}
	if ok {
		return &clemwire.Pulled{Generation: generation + uint64(len(changes)), Changes: changes}, nil
	}
	select {
	case r.snapshotSlots <- struct{}{}:
		defer func() { <-r.snapshotSlots }()
	default:
		return nil, clementineturn.Refuse(clementineturn.KindOverloaded, "%d snapshots are under way", maxConcurrentSnapshots)
	}
	return &clemwire.Pulled{Generation: state.Generation(), Snapshot: state.Snapshot()}, nil
}

// isCutOff reports whether the process reaches neither its parents nor the table.
// It is false for the root of a data centre, because no node below it has a newer
// configuration.
func (r *Relay) isCutOff() bool {
	t := r.tree.Load()
	return !t.isCentreRoot && r.contact.isLost(contactTimeout)
}

// pullFrom sends one pull to the peer and applies the reply.
func (r *Relay) pullFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	generation, _ := r.store.generation()
	pulled, err := r.config.Peers.Peer(address).Pull(ctx, &clemwire.Pull{Generation: generation})
	if err != nil {
		return err
	}
	return r.applyPulled(pulled)
}

// applyPulled applies the reply to a pull.
func (r *Relay) applyPulled(pulled *clemwire.Pulled) error {
	state, err := r.decodePulled(pulled)
	if err != nil {
		r.config.Events.Emit(clemevent.ConfigRejected, zap.Error(err))
		return err
	}
	if state != nil && r.store.adopt(state) {
		r.config.Events.Emit(clemevent.ConfigLoaded, zap.Uint64("generation", state.Generation()), zap.String("source", "peer"))
		return nil
	}
	return r.applyAndLog(pulled.GetChanges())
}

// decodePulled returns the complete state that a reply to a pull describes, or nil
// if the reply holds changes to this process's state.
func (r *Relay) decodePulled(pulled *clemwire.Pulled) (*clemconfig.State, error) {
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

// applyAndLog applies changes and logs the resulting generation.
func (r *Relay) applyAndLog(changes []*clemwire.Change) error {
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
