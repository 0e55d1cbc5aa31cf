package clemrelay

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// generationsPerSnapshot is the number of generations between snapshots in the
	// object store.
	generationsPerSnapshot = 1000
	// snapshotDelay is the mean delay after which a poller other than the fleet's
	// root writes the snapshot itself.
	snapshotDelay = 30 * time.Second
	// maxSnapshotSize bounds the decompressed size of a snapshot, in bytes.
	maxSnapshotSize = 64 << 20
)

func snapshotName(generation uint64) string {
	return fmt.Sprintf("config/snapshot/%020d", generation)
}

// encodeSnapshot returns the compressed wire form of a state.
func encodeSnapshot(state *clemconfig.State) ([]byte, error) {
	value, err := proto.Marshal(state.Snapshot())
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "marshal snapshot: %w", err)
	}
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decodeSnapshot returns the state of a compressed snapshot. Errors: KindInternal.
func decodeSnapshot(value []byte) (*clemconfig.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "snapshot: %w", err)
	}
	value, err = io.ReadAll(io.LimitReader(r, maxSnapshotSize))
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "snapshot: %w", err)
	}
	snapshot := &clemwire.Snapshot{}
	if err := proto.Unmarshal(value, snapshot); err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "snapshot: %w", err)
	}
	return clemconfig.FromSnapshot(snapshot), nil
}

// readSnapshot returns the newest snapshot in the object store, or nil if it is
// not newer than the given state or cannot be read. Snapshots only save reads: the
// log holds every change.
func (r *Relay) readSnapshot(ctx context.Context, base *clemconfig.State) *clemconfig.State {
	if r.config.Objects == nil {
		return nil
	}
	generation, err := r.config.Log.SnapshotGeneration(ctx)
	if err != nil || generation == 0 || base != nil && generation <= base.Generation() {
		return nil
	}
	value, err := r.config.Objects.Get(ctx, snapshotName(generation))
	if err != nil {
		return nil
	}
	state, err := decodeSnapshot(value)
	if err != nil {
		r.config.Events.Emit(clemevent.ConfigRejected, zap.Error(err))
		return nil
	}
	return state
}

// snapshotWriter writes a snapshot to the object store once in
// generationsPerSnapshot generations.
type snapshotWriter struct {
	relay         *Relay
	newestWritten uint64
	dueAt         time.Time
}

// writeIfDue writes a snapshot if the newest one is too old. The fleet's root
// writes it at once, other pollers after a random delay.
func (w *snapshotWriter) writeIfDue(ctx context.Context) {
	state, _ := w.relay.store.current()
	if w.relay.config.Objects == nil || state.Generation() < w.newestWritten+generationsPerSnapshot {
		return
	}
	now := time.Now()
	if w.dueAt.IsZero() {
		w.dueAt = now
		if len(w.relay.tree.Load().parents) > 0 {
			w.dueAt = now.Add(w.relay.jitter(snapshotDelay))
		}
	}
	if now.Before(w.dueAt) {
		return
	}
	w.dueAt = time.Time{}
	if err := w.write(ctx, state); err != nil {
		w.dueAt = now.Add(w.relay.jitter(snapshotDelay))
		w.relay.config.Events.Emit(clemevent.SnapshotFailed, zap.Error(err))
	}
}

func (w *snapshotWriter) write(ctx context.Context, state *clemconfig.State) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	newest, err := w.relay.config.Log.SnapshotGeneration(ctx)
	if err != nil {
		return err
	}
	w.newestWritten = newest
	if newest+generationsPerSnapshot > state.Generation() {
		return nil
	}
	value, err := encodeSnapshot(state)
	if err != nil {
		return err
	}
	if err := w.relay.config.Objects.Put(ctx, snapshotName(state.Generation()), value); err != nil {
		return err
	}
	if err := w.relay.config.Log.SetSnapshotGeneration(ctx, state.Generation()); err != nil {
		return err
	}
	w.newestWritten = state.Generation()
	w.relay.config.Events.Emit(clemevent.SnapshotWritten, zap.Uint64("generation", state.Generation()))
	return nil
}
