package clementineturn

import (
	"context"
	"time"
)

// Section is a table of the platform's store that the system reads or writes.
type Section uint8

// The sections of the platform's store.
const (
	// SectionOperator holds what the operator decides: the configuration.
	SectionOperator Section = iota
	// SectionServers holds a row for each backend server, written by itself.
	SectionServers
	// SectionEntries holds a row for each entry, written by itself.
	SectionEntries
)

// ChangeConfig describes a Change to construct.
type ChangeConfig struct {
	// the row's key
	Key string
	// the row's bytes; they must not be changed
	Value []byte
	// the store's version at which the row was written or removed
	Version uint64
	// reports whether the row is gone
	Removed bool
}

// Change is one row of the store as a read or a feed returns it.
type Change struct{ config ChangeConfig }

// NewChange returns what the configuration describes.
func NewChange(c ChangeConfig) Change { return Change{config: c} }

// Key returns the row's key.
func (c Change) Key() string { return c.config.Key }

// Value returns the row's bytes; they must not be changed.
func (c Change) Value() []byte { return c.config.Value }

// Version returns the store's version at which the row was written or removed.
func (c Change) Version() uint64 { return c.config.Version }

// Removed reports whether the row is gone.
func (c Change) Removed() bool { return c.config.Removed }

// Batch is what one call to the store returned.
type Batch struct {
	changes []Change
	version uint64
}

// NewBatch returns a batch that shows the store as of the version.
func NewBatch(changes []Change, version uint64) Batch {
	return Batch{changes: changes, version: version}
}

// Changes returns the rows.
func (b Batch) Changes() []Change { return b.changes }

// Version returns the version of the store that the batch leads up to.
func (b Batch) Version() uint64 { return b.version }

// Store is the platform's store as the routers use it.
type Store interface {
	// Read returns every row of the section. Errors: KindUnavailable.
	Read(ctx context.Context, section Section) (Batch, error)
	// Follow returns the rows that changed after the version, as soon as there
	// is one or the wait is over. Errors: KindUnavailable; KindStale if the
	// store no longer has the history, so that the section must be read whole.
	Follow(ctx context.Context, section Section, after uint64, wait time.Duration) (Batch, error)
	// Write puts a row, whatever it held. Errors: KindUnavailable if it had no
	// effect, KindUnknown if it may have.
	Write(ctx context.Context, section Section, key string, value []byte) error
	// Remove drops a row. Errors as for Write.
	Remove(ctx context.Context, section Section, key string) error
}

// Inventory asks backend servers what they keep.
type Inventory interface {
	// Kept returns the parts of prompts that the server at the address keeps.
	// Errors: KindUnavailable.
	Kept(ctx context.Context, address string) ([]uint64, error)
}
