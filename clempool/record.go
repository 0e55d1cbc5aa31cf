// Package clempool knows the backend servers that have no sidecar, chooses one
// for each request and judges them by the outcomes of its own requests.
package clempool

// RecordConfig describes a Record to construct.
type RecordConfig struct {
	// the server's id
	ID string
	// the service that it belongs to
	Service string
	// its IP address and port
	Address string
	// its data centre
	Centre string
	// the most requests that it runs at once
	Slots int
	// reports whether it takes no new work
	Leaving bool
	// tells two starts under one id apart
	Incarnation int64
}

// Record is what a backend server says of itself in the store.
type Record struct{ config RecordConfig }

// NewRecord returns what the configuration describes.
func NewRecord(c RecordConfig) Record { return Record{config: c} }

// ID returns the server's id.
func (r Record) ID() string { return r.config.ID }

// Service returns the service that it belongs to.
func (r Record) Service() string { return r.config.Service }

// Address returns its IP address and port.
func (r Record) Address() string { return r.config.Address }

// Centre returns its data centre.
func (r Record) Centre() string { return r.config.Centre }

// Slots returns the most requests that it runs at once.
func (r Record) Slots() int { return r.config.Slots }

// Leaving reports whether it takes no new work.
func (r Record) Leaving() bool { return r.config.Leaving }

// Incarnation returns tells two starts under one id apart.
func (r Record) Incarnation() int64 { return r.config.Incarnation }

// Outcome is how a request to a backend server ended.
type Outcome uint8

// The outcomes of a request to a backend server.
const (
	// OutcomeServed is a whole answer.
	OutcomeServed Outcome = iota
	// OutcomeFailed is an answer that is broken, late or a server's error.
	OutcomeFailed
	// OutcomeUnreached is no connection.
	OutcomeUnreached
	// OutcomeRefused is an answer that says that the request was not run.
	OutcomeRefused
	// OutcomeMisdirected is an answer by another server at the same address.
	OutcomeMisdirected
	// OutcomeAbandoned says nothing of the server: the client left.
	OutcomeAbandoned
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "unreached", "refused", "misdirected", "abandoned"}[o]
}
