package clemstandin

import (
	"bytes"
	"context"

	clementineturn "github.com/clementineturn/clementineturn"
)

// ObjectStore is an in-memory object store with the faults of a Table.
type ObjectStore struct {
	table *Table
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{table: NewTable()} }

// Inject replaces the faults.
func (s *ObjectStore) Inject(faults TableFaults) { s.table.Inject(faults) }

// Counts returns the numbers of accepted reads and writes.
func (s *ObjectStore) Counts() (reads, writes uint64) { return s.table.Counts() }

// Get implements clementineturn.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	row, err := s.table.Get(ctx, name)
	return row.Value(), err
}

// Put implements clementineturn.ObjectStore. Writing the same content again has
// no effect; other content under the same name is refused with KindConflict.
func (s *ObjectStore) Put(ctx context.Context, name string, value []byte) error {
	_, err := s.table.Put(ctx, name, value, "")
	if !clementineturn.IsKind(err, clementineturn.KindConflict) {
		return err
	}
	row, readErr := s.table.getWithoutFaults(name)
	if readErr == nil && bytes.Equal(row.Value(), value) {
		return nil
	}
	return err
}
