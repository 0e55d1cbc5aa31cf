// Package clempool chooses a backend server for each request of an entry that
// runs without sidecars. It weighs the load of the servers, the prompt parts in
// their prefix caches and their health, and ejects servers that fail.
package clempool

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RecordConfig describes a Record to construct.
type RecordConfig struct {
	// ID is the server's id.
	ID string
	// Service is the service that the server belongs to.
	Service string
	// Address is the server's IP address and port.
	Address string
	// Centre is the server's data centre.
	Centre string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is set if the server takes no new work.
	Draining bool
	// Incarnation distinguishes two starts of a server under one id.
	Incarnation int64
	// SoftwareVersion is the version of the server's software, or "" if it is not known.
	// Streams of two versions do not fit together.
	SoftwareVersion string
	// SoftwareProblem describes a version that cannot be used, with the name of its field.
	SoftwareProblem string
	// Cold is what the row states of how long the server is cold.
	Cold ColdStatement
}

// ColdStatement is what a row states of how long the server is cold.
type ColdStatement struct {
	// IsStated is set if the row states it. Remaining is then how much longer the server is
	// cold, as of the time at which the row was written.
	IsStated  bool
	Remaining time.Duration
	// Problem describes a statement that cannot be used, with the name of its field. The
	// statement has no other effect.
	Problem string
}

// Record is a backend server's registration in the store.
type Record struct{ config RecordConfig }

// NewRecord returns the record that the configuration describes.
func NewRecord(c RecordConfig) Record { return Record{config: c} }

// ID returns the server's id.
func (r Record) ID() string { return r.config.ID }

// Service returns the service that the server belongs to.
func (r Record) Service() string { return r.config.Service }

// Address returns the server's IP address and port.
func (r Record) Address() string { return r.config.Address }

// Centre returns the server's data centre.
func (r Record) Centre() string { return r.config.Centre }

// Slots returns the number of requests that the server runs at once.
func (r Record) Slots() int { return r.config.Slots }

// IsDraining reports whether the server takes no new work.
func (r Record) IsDraining() bool { return r.config.Draining }

// Incarnation returns a number that distinguishes two starts of a server under
// one id.
func (r Record) Incarnation() int64 { return r.config.Incarnation }

// SoftwareVersion returns the version of the server's software, or "" if it is not known.
func (r Record) SoftwareVersion() string { return r.config.SoftwareVersion }

// SoftwareProblem describes a version that cannot be used, or is "".
func (r Record) SoftwareProblem() string { return r.config.SoftwareProblem }

// Cold returns what the row states of how long the server is cold.
func (r Record) Cold() ColdStatement { return r.config.Cold }

// withoutCold returns the record without the statement, which changes with each heartbeat.
func (r Record) withoutCold() Record {
	r.config.Cold = ColdStatement{}
	return r
}

// EqualExceptCold reports whether two records differ at most in how long the server is cold.
func EqualExceptCold(a, b Record) bool { return a.withoutCold() == b.withoutCold() }

// Digest returns a hash of the record without the statement of how long the server is cold.
// Entries of different versions compare it, so that it is part of their protocol: the version
// of the server's software, which entries of earlier versions do not know, is not in it.
func (r Record) Digest() uint64 {
	c := r.config
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %q %d %t %d", c.ID, c.Service, c.Address, c.Centre, c.Slots, c.Draining, c.Incarnation))
}

// Outcome is how a request to a backend server ended.
type Outcome uint8

// The outcomes of a request to a backend server.
const (
	// OutcomeServed is a complete response.
	OutcomeServed Outcome = iota
	// OutcomeFailed is a broken or late response or a server error.
	OutcomeFailed
	// OutcomeUnreached is a failure to connect.
	OutcomeUnreached
	// OutcomeRefused is a response which says that the request was not run.
	OutcomeRefused
	// OutcomeMisdirected is a response of another server at the same address.
	OutcomeMisdirected
	// OutcomeAbandoned is a request whose client disconnected; it says nothing
	// about the server.
	OutcomeAbandoned
	// OutcomeCrashed is a broken response of a server that has ended.
	OutcomeCrashed
	// OutcomeWithdrawn is a request that was not sent, since the server had stopped
	// taking requests or the place was not needed any more; it says nothing about the server.
	OutcomeWithdrawn
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "unreached", "refused", "misdirected", "abandoned", "crashed", "withdrawn"}[o]
}
