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
	// snapshotEvery is the number of generations between snapshots in the object store.
	snapshotEvery = 1000
	// snapshotDelay is the mean time by which pollers other than the fleet's
	// root wait for it to write the snapshot.
	snapshotDelay = 30 * time.Second
	// maxSnapshotSize bounds the decompressed size of a snapshot, in bytes.
	maxSnapshotSize = 64 << 20
)

func snapshotName(generation uint64) string {
	return fmt.Sprintf("config/snapshot/%020d", generation)
}

// pack returns the compressed wire form of a state.
func pack(state *clemconfig.State) ([]byte, error) {
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

// unpackSnapshot returns the state of a compressed snapshot. Errors: KindInternal.
func unpackSnapshot(value []byte) (*clemconfig.State, error) {
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

// readSnapshot returns the newest state in the object store, or nil if there
// is none beyond the given state or it cannot be read; the log is complete without it.
func (r *Relay) readSnapshot(ctx context.Context, base *clemconfig.State) *clemconfig.State {
	if r.config.Objects == nil {
		return nil
	}
	generation, err := r.config.Log.Snapshot(ctx)
	if err != nil || generation == 0 || base != nil && generation <= base.Generation() {
		return nil
	}
	value, err := r.config.Objects.Get(ctx, snapshotName(generation))
	if err != nil {
		return nil
	}
	state, err := unpackSnapshot(value)
	if err != nil {
		r.config.Events.Emit(clemevent.ConfigRejected, zap.Error(err))
		return nil
	}
	return state
}

// snapshotWriter writes snapshots to the object store as generations pass.
type snapshotWriter struct {
	relay   *Relay
	written uint64
	due     time.Time
}

// tick writes a snapshot if the newest one is too far behind. The fleet's
// root does so at once, other pollers after a random time.
func (w *snapshotWriter) tick(ctx context.Context) {
	state, _ := w.relay.store.current()
	if w.relay.config.Objects == nil || state.Generation() < w.written+snapshotEvery {
		return
	}
	now := time.Now()
	if w.due.IsZero() {
		w.due = now
		if len(w.relay.tree.Load().parents) > 0 {
			w.due = now.Add(w.relay.jitter(snapshotDelay))
		}
	}
	if now.Before(w.due) {
		return
	}
	w.due = time.Time{}
	if err := w.write(ctx, state); err != nil {
		w.due = now.Add(w.relay.jitter(snapshotDelay))
		w.relay.config.Events.Emit(clemevent.SnapshotFailed, zap.Error(err))
	}
}

func (w *snapshotWriter) write(ctx context.Context, state *clemconfig.State) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	newest, err := w.relay.config.Log.Snapshot(ctx)
	if err != nil {
		return err
	}
	w.written = newest
	if newest+snapshotEvery > state.Generation() {
		return nil
	}
	value, err := pack(state)
	if err != nil {
		return err
	}
	if err := w.relay.config.Objects.Put(ctx, snapshotName(state.Generation()), value); err != nil {
		return err
	}
	if err := w.relay.config.Log.SetSnapshot(ctx, state.Generation()); err != nil {
		return err
	}
	w.written = state.Generation()
	w.relay.config.Events.Emit(clemevent.SnapshotWritten, zap.Uint64("generation", state.Generation()))
	return nil
}
