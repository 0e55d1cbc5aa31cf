package clemsetting

import (
	"math"
	"time"
)

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Kind is the type of a setting's value.
type Kind string

// The types of values. Each has one check in checkers.
const (
	KindName      Kind = "name"
	KindChoice    Kind = "choice"
	KindListen    Kind = "IP address and port"
	KindAddress   Kind = "reachable IP address and port"
	KindURL       Kind = "URL"
	KindSecret    Kind = "secret"
	KindDigest    Kind = "digest"
	KindFile      Kind = "file"
	KindDuration  Kind = "duration"
	KindInteger   Kind = "integer"
	KindOperators Kind = "list"
	KindGroup     Kind = "group"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

const minSecret = 16

// Key describes one setting.
type Key struct {
	path     string
	kind     Kind
	role     string
	required bool
	initial  any
	low, top int64
	choices  []string
	doc      string
}

// Path returns the key's path, with "[]" for the elements of a list.
func (k Key) Path() string { return k.path }

// Kind returns the type of the value.
func (k Key) Kind() Kind { return k.kind }

// Role returns the only role that has the key, or "" if every role has it.
func (k Key) Role() string { return k.role }

// Required reports whether the key must be given.
func (k Key) Required() bool { return k.required }

// Default returns the value in force if the key is not given, or nil.
func (k Key) Default() any { return k.initial }

// Doc returns the explanation for the catalogue page.
func (k Key) Doc() string { return k.doc }

// Keys returns the table of all settings in the order of the catalogue page.
func Keys() []Key { return append([]Key(nil), table...) }

// table drives checks, defaults and the catalogue page.
var table = []Key{
	{path: "role", kind: KindChoice, required: true, choices: []string{RoleEntry, RoleSidecar}, doc: "What the process does: an entry speaks with callers, a sidecar admits work for the backend server beside it."},
	{path: "name", kind: KindName, required: true, doc: "Name of the host, as the platform's list shows it."},
	{path: "region", kind: KindName, required: true, doc: "Region of the host."},
	{path: "centre", kind: KindName, required: true, doc: "Data centre of the host."},
	{path: "listen", kind: KindListen, required: true, doc: "Where the process listens. Port 0 takes a free port."},
	{path: "address", kind: KindAddress, doc: "Where other processes reach this one; the value of listen if absent. Required if listen has the unspecified IP address."},
	{path: "platform", kind: KindURL, required: true, doc: "Base URL of the platform's services."},
	{path: "fleet", kind: KindSecret, required: true, low: minSecret, top: 1024, doc: "Key shared by all processes of the fleet. Sidecars take work and orders only from its holders."},
	{path: "level", kind: KindChoice, initial: "info", choices: []string{"debug", "info", "warn", "error"}, doc: "Lowest level of the events that are logged."},
	{path: "grace", kind: KindDuration, initial: 10 * time.Minute, top: int64(24 * time.Hour), doc: "Longest time a graceful shutdown waits for running work; 0s waits without limit."},
	{path: "settle", kind: KindDuration, initial: 2 * time.Second, top: int64(5 * time.Minute), doc: "Time between failing readiness and refusing new work, for the balancer to notice. Sidecars have no balancer before them and do not use it."},
	{path: "tls", kind: KindGroup, doc: "TLS of all listeners and between processes. All three keys or none."},
	{path: "tls.cert", kind: KindFile, doc: "PEM file with the certificate chain of the process."},
	{path: "tls.key", kind: KindFile, doc: "PEM file with the private key of the certificate."},
	{path: "tls.authority", kind: KindFile, doc: "PEM file with the certificates that sign those of other processes."},
	{path: "admin", kind: KindListen, role: RoleEntry, doc: "Where the operators' interface listens; no interface if absent. Needs operators."},
	{path: "operators", kind: KindOperators, role: RoleEntry, doc: "Operators that may use the operators' interface."},
	{path: "operators[].name", kind: KindName, role: RoleEntry, required: true, doc: "Name of the operator, recorded with each change."},
	{path: "operators[].digest", kind: KindDigest, role: RoleEntry, required: true, doc: "SHA-256 digest of the operator's token."},
	{path: "body", kind: KindInteger, role: RoleEntry, initial: int64(4 * mib), low: kib, top: 24 * mib, doc: "Largest request body in bytes. Processes send each other messages of at most 32 MiB."},
	{path: "header", kind: KindDuration, role: RoleEntry, initial: 10 * time.Second, low: int64(100 * time.Millisecond), top: int64(5 * time.Minute), doc: "Longest time to read a request's header."},
	{path: "read", kind: KindDuration, role: RoleEntry, initial: 30 * time.Second, low: int64(100 * time.Millisecond), top: int64(time.Hour), doc: "Longest time to read a request's body."},
	{path: "deadline", kind: KindDuration, role: RoleEntry, initial: 2 * time.Minute, low: int64(time.Second), top: int64(time.Hour), doc: "Deadline of a chat, and of a call whose rule sets no timeout."},
	{path: "pool", kind: KindName, role: RoleSidecar, required: true, doc: "Pool of the backend server."},
	{path: "backend", kind: KindURL, role: RoleSidecar, required: true, doc: "Base URL of the backend server."},
	{path: "buffer", kind: KindInteger, role: RoleSidecar, initial: int64(16 * mib), low: 64 * kib, top: 16 * gib, doc: "Bytes of ended answers kept for callers that resume, and the most that one answer may have."},
	{path: "linger", kind: KindDuration, role: RoleSidecar, initial: 30 * time.Second, low: int64(time.Second), top: int64(time.Hour), doc: "How long an answer that ended or that nobody reads is kept."},
	{path: "claims", kind: KindGroup, doc: "Ledger of at-most-once calls."},
	{path: "claims.buckets", kind: KindInteger, initial: int64(32), low: 1, top: 65536, doc: "Number of logs that claims are spread over. Equal on all processes; it cannot change while claims are kept."},
	{path: "claims.interval", kind: KindDuration, initial: 100 * time.Millisecond, low: int64(time.Millisecond), top: int64(10 * time.Second), doc: "Time for which claims of a bucket are gathered into one write."},
	{path: "claims.retention", kind: KindDuration, initial: 24 * time.Hour, low: int64(time.Minute), top: math.MaxInt64, doc: "How long a finished call is remembered. A repeat after this time can run again, so it must exceed the longest time over which callers repeat."},
}
