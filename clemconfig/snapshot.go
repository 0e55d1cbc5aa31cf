package clemconfig

import (
	"context"
	"strconv"

	clementineturn "github.com/clementineturn/clementineturn"
)

// snapshotKey is the key of the row with the generation of the newest snapshot.
const snapshotKey = "config/snapshot"

// SnapshotGeneration returns the generation of the newest snapshot in the
// object store, or 0 if there is none. Errors: KindUnavailable.
func (l *Log) SnapshotGeneration(ctx context.Context) (uint64, error) {
	generation, _, err := l.readSnapshotRow(ctx)
	return generation, err
}

func (l *Log) readSnapshotRow(ctx context.Context) (uint64, clementineturn.Version, error) {
	row, err := l.table.Get(ctx, snapshotKey)
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", err
	}
	generation, err := strconv.ParseUint(string(row.Value()), 10, 64)
	if err != nil {
		return 0, "", clementineturn.Errorf(clementineturn.KindInternal, "row %s: %w", snapshotKey, err)
	}
	return generation, row.Version(), nil
}

// SetSnapshotGeneration records that the object store contains a snapshot of
// the generation. It does nothing if a newer one is recorded. Errors:
// KindConflict if another process changed the record meanwhile,
// KindUnavailable, KindUnknown.
func (l *Log) SetSnapshotGeneration(ctx context.Context, generation uint64) error {
	newest, version, err := l.readSnapshotRow(ctx)
	if err != nil || newest >= generation {
		return err
	}
	_, err = l.table.Put(ctx, snapshotKey, []byte(strconv.FormatUint(generation, 10)), version)
	return err
}
