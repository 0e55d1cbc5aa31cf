package clemstandin

import (
	"bytes"
	"context"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Objects is an in-memory object store with the faults of a Table.
type Objects struct {
	table *Table
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{table: NewTable()} }

// Inject replaces the faults.
func (o *Objects) Inject(faults TableFaults) { o.table.Inject(faults) }

// Counts returns how many reads and writes passed the faults.
func (o *Objects) Counts() (reads, writes uint64) { return o.table.Counts() }

// Get implements clementineturn.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	row, err := o.table.Get(ctx, name)
	return row.Value(), err
}

// Put implements clementineturn.Objects. A repeat with the same content has
// no effect; other content under the same name is KindConflict.
func (o *Objects) Put(ctx context.Context, name string, value []byte) error {
	_, err := o.table.Put(ctx, name, value, "")
	if !clementineturn.IsKind(err, clementineturn.KindConflict) {
		return err
	}
	row, readErr := o.table.peek(name)
	if readErr == nil && bytes.Equal(row.Value(), value) {
		return nil
	}
	return err
}
