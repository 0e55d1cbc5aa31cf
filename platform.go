package clementineturn

import (
	"context"

	"github.com/clementineturn/clementineturn/clemwire"
)

// Version identifies one state of a table row or of the host list. It is opaque
// and can only be compared for equality. For a row, the empty version means
// that the row does not exist.
type Version string

// Row is a row of the platform's table as of one version.
type Row struct {
	key     string
	value   []byte
	version Version
}

// NewRow returns a row. It does not copy the value.
func NewRow(key string, value []byte, version Version) Row {
	return Row{key: key, value: value, version: version}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's value. The caller must not modify it.
func (r Row) Value() []byte { return r.value }

// Version returns the row's version.
func (r Row) Version() Version { return r.version }

// Table is the platform's transactional table service. A transaction covers a
// single row.
type Table interface {
	// Get returns the row. Errors: KindNotFound, KindUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Put writes the row if its current version equals the given one; with the
	// empty version it inserts the row if there is none. It returns the row as
	// written. Errors: KindConflict if the versions differ, KindUnavailable if
	// the write had no effect, KindUnknown if it may have taken effect or may
	// still do so.
	Put(ctx context.Context, key string, value []byte, version Version) (Row, error)
	// Delete removes the row if its current version equals the given one.
	// Errors: as for Put.
	Delete(ctx context.Context, key string, version Version) error
}

// ObjectStore is the platform's object store. Objects are immutable: each is
// written once.
type ObjectStore interface {
	// Get returns the object. Errors: KindNotFound, KindUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores the object. Errors: KindUnavailable, KindUnknown.
	Put(ctx context.Context, name string, value []byte) error
}

// Hosts is the platform's list of hosts. The list is eventually consistent: it
// may still name hosts that are gone and lack new ones.
type Hosts interface {
	// List returns the hosts and the list's version. If the list still has the
	// version passed as since, it returns no hosts. Errors: KindUnavailable.
	List(ctx context.Context, since Version) ([]*clemwire.Host, Version, error)
}

// Backend is the client of the backend server beside a sidecar.
type Backend interface {
	// Run sends the work to the backend server and passes the response to the
	// sink as it arrives. It never sends the work twice. An error with NotRun
	// means that no byte of the work was sent.
	Run(ctx context.Context, offer *clemwire.Offer, sink Sink) error
	// Order makes the backend server load the model version and the adapters of
	// the pool. The fence is the sidecar's incarnation number. An engine that
	// checks fencing tokens refuses one below the highest it has seen, with
	// KindConflict.
	Order(ctx context.Context, pool *clemwire.Pool, fence uint64) error
}

// LoadReporter is a Backend whose server reports its own load. The report may
// be out of date.
type LoadReporter interface {
	// Load returns the number of running requests and the number of tokens that
	// they occupy. Errors: KindUnavailable.
	Load(ctx context.Context) (running int, tokens uint64, err error)
}

// Sink receives a response as it arrives from a backend server. An error that
// it returns ends the response.
type Sink interface {
	// Start receives status and media type. It is called once, before Data.
	Start(start *clemwire.Start) error
	// Data receives the next bytes of the body. It must not retain the slice.
	Data(data []byte) error
}
