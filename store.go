package clementineturn

import (
	"context"
	"time"
)

// Section is one of the tables of the platform's store that the system uses.
type Section uint8

// The sections of the platform's store.
const (
	// SectionOperator holds the configuration, which operators write.
	SectionOperator Section = iota
	// SectionServers holds a row for each backend server, which the server
	// itself writes.
	SectionServers
	// SectionEntries holds a row for each entry, which the entry itself writes.
	SectionEntries
	// SectionQuarantines holds a row for each prompt part that crashes backend
	// servers, which entries write.
	SectionQuarantines
	// SectionOrigins holds a row for each process of an entry, which the process writes, with
	// the versions of the backend servers' software that began streams.
	SectionOrigins
)

// ChangeConfig describes a Change to construct.
type ChangeConfig struct {
	// Key is the row's key.
	Key string
	// Value is the row's value. It must not be modified afterwards.
	Value []byte
	// Version is the version of the store at which the row was written or
	// removed, as NewVersion returns it.
	Version uint64
	// Removed is set if the row was removed.
	Removed bool
}

// Change is a row of the store, or the removal of one, as Store.Read and
// Store.Follow return it.
type Change struct{ config ChangeConfig }

// NewChange returns a Change for the configuration.
func NewChange(c ChangeConfig) Change { return Change{config: c} }

// Key returns the row's key.
func (c Change) Key() string { return c.config.Key }

// Value returns the row's value. The caller must not modify it.
func (c Change) Value() []byte { return c.config.Value }

// Version returns the version of the store at which the row was written or
// removed.
func (c Change) Version() uint64 { return c.config.Version }

// Removed reports whether the row was removed.
func (c Change) Removed() bool { return c.config.Removed }

// Batch is the result of one call of Store.Read or Store.Follow.
type Batch struct {
	changes []Change
	version uint64
}

// NewBatch returns a batch that brings its reader up to the version of the
// store.
func NewBatch(changes []Change, version uint64) Batch {
	return Batch{changes: changes, version: version}
}

// Changes returns the rows and removals.
func (b Batch) Changes() []Change { return b.changes }

// Version returns the version of the store that a reader has after it applied
// the batch. It is the argument of the next Store.Follow.
func (b Batch) Version() uint64 { return b.version }

// Store is the platform's store as a front uses it: it reads the configuration,
// the backend servers and the entries, and writes its own row. The store's
// version grows with each write. A store that is restored from a copy loses
// writes and is in the next era, in which every version is higher than before.
type Store interface {
	// Read returns every row of the section. Errors: KindUnavailable.
	Read(ctx context.Context, section Section) (Batch, error)
	// Follow returns the rows that changed after the version. It blocks until
	// there is one, or until the wait is over, and then returns none. Errors:
	// KindUnavailable; KindStale if the store no longer has the history since
	// the version or is in a later era, so that the caller has to call Read.
	Follow(ctx context.Context, section Section, after uint64, wait time.Duration) (Batch, error)
	// Write inserts or replaces a row unconditionally. Errors: KindUnavailable
	// if the write had no effect, KindUnknown if it may have taken effect.
	Write(ctx context.Context, section Section, key string, value []byte) error
	// Remove deletes a row. Errors: as for Write.
	Remove(ctx context.Context, section Section, key string) error
}

// Inventory lists the prompt parts that backend servers have in their prefix
// caches.
type Inventory interface {
	// CachedParts returns the ids of the prompt parts that the server at the
	// address has cached. Errors: KindUnavailable.
	CachedParts(ctx context.Context, address string) ([]uint64, error)
}
