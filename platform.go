package clementineturn

import (
	"context"

	"github.com/clementineturn/clementineturn/clemwire"
)

// Version identifies one state of a table row. The empty version stands for an absent row.
type Version string

// Row is one row of the platform's table.
type Row struct {
	key     string
	value   []byte
	version Version
}

// NewRow returns a row.
func NewRow(key string, value []byte, version Version) Row {
	return Row{key: key, value: value, version: version}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's value. It must not be changed.
func (r Row) Value() []byte { return r.value }

// Version returns the row's version.
func (r Row) Version() Version { return r.version }

// Table is the platform's transactional table service. Every row is read and
// written on its own.
type Table interface {
	// Get returns the row. Errors: KindNotFound, KindUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Put writes the row if its version is the given one; the empty version
	// inserts an absent row. Errors: KindConflict if the version differs,
	// KindUnavailable if the write had no effect, KindUnknown if it may have
	// taken effect or may still do so.
	Put(ctx context.Context, key string, value []byte, version Version) (Row, error)
	// Delete removes the row if its version is the given one. Errors as for Put.
	Delete(ctx context.Context, key string, version Version) error
}

// Objects is the platform's object store. An object is written once and never changes.
type Objects interface {
	// Get returns the object. Errors: KindNotFound, KindUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores the object. Errors: KindUnavailable, KindUnknown.
	Put(ctx context.Context, name string, value []byte) error
}

// Hosts is the platform's list of hosts. The list lags behind the truth.
type Hosts interface {
	// List returns the hosts and the list's version. With the version of an
	// earlier answer it returns no hosts if nothing changed since.
	// Errors: KindUnavailable.
	List(ctx context.Context, since Version) ([]*clemwire.Host, Version, error)
}

// Backend is the backend server beside a sidecar.
type Backend interface {
	// Run hands the work to the backend server and passes the answer to the
	// sink piece by piece. It never sends the work twice. An error with
	// NotRun means that no byte of the work was sent.
	Run(ctx context.Context, offer *clemwire.Offer, sink Sink) error
	// Order makes the backend server load what the pool asks for. An engine
	// that checks fencing refuses a number below the highest it has seen
	// with KindConflict.
	Order(ctx context.Context, pool *clemwire.Pool, fence uint64) error
}

// LoadReporter is a backend server that tells its own load. The report lags.
type LoadReporter interface {
	// Load returns the number of running requests and the tokens that they
	// hold. Errors: KindUnavailable.
	Load(ctx context.Context) (running int, tokens uint64, err error)
}

// Sink takes the pieces of an answer.
type Sink interface {
	// Start passes status and media type, once, before any data.
	Start(start *clemwire.Start) error
	// Data passes the next bytes. The slice is not kept.
	Data(data []byte) error
}
