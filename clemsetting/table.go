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

// Kind is the type of a setting's value. Its text appears on the generated page
// of settings.
type Kind string

// The types of values. All but KindOperators and KindGroup have a function in
// valueChecks.
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

// minSecretLength is the minimum length of the fleet key in characters.
const minSecretLength = 16

// Key describes one key of a settings file.
type Key struct {
	path               string
	kind               Kind
	role               string
	required           bool
	defaultValue       any
	minValue, maxValue int64
	choices            []string
	doc                string
}

// Path returns the path of the key, in which "[]" stands for any element of a
// list.
func (k Key) Path() string { return k.path }

// Kind returns the type of the value.
func (k Key) Kind() Kind { return k.kind }

// Role returns the role to which the key is limited, or "" if all roles have
// it.
func (k Key) Role() string { return k.role }

// Required reports whether the key must be present.
func (k Key) Required() bool { return k.required }

// Default returns the value of an absent key, or nil if there is none. It is a
// string, an int64 or a time.Duration.
func (k Key) Default() any { return k.defaultValue }

// Doc returns the description for the generated page of settings.
func (k Key) Doc() string { return k.doc }

// Keys returns the descriptions of all keys, in the order of the generated page
// of settings.
func Keys() []Key { return append([]Key(nil), keyTable...) }

// keyTable describes all keys. The limits minValue and maxValue are counted in
// the unit of the value: characters of a secret, nanoseconds of a duration.
var keyTable = []Key{
	{path: "role", kind: KindChoice, required: true, choices: []string{RoleEntry, RoleSidecar}, doc: "What the process does: an entry speaks with callers, a sidecar admits work for the backend server beside it."},
	{path: "name", kind: KindName, required: true, doc: "Name of the host, as the platform's list shows it."},
	{path: "region", kind: KindName, required: true, doc: "Region of the host."},
	{path: "centre", kind: KindName, required: true, doc: "Data centre of the host."},
	{path: "listen", kind: KindListen, required: true, doc: "Where the process listens. Port 0 takes a free port."},
	{path: "address", kind: KindAddress, doc: "Where other processes reach this one; the value of listen if absent. Required if listen has the unspecified IP address."},
	{path: "platform", kind: KindURL, required: true, doc: "Base URL of the platform's services."},
	{path: "fleet", kind: KindSecret, required: true, minValue: minSecretLength, maxValue: 1024, doc: "Key shared by all processes of the fleet. Sidecars take work and orders only from its holders."},
	{path: "memory", kind: KindInteger, defaultValue: int64(0), maxValue: 16 * 1024 * gib, doc: "Memory of the process in bytes. Requests that have not been dispatched, with answers that an entry buffers, hold at most three eighths of it, and the answers of a sidecar as much; 0 bounds nothing."},
	{path: "connections", kind: KindInteger, defaultValue: int64(0), maxValue: 1 << 24, doc: "Largest number of open connections of a listener; beyond it the one that waited longest without a request is closed. 0 bounds nothing."},
	{path: "level", kind: KindChoice, defaultValue: "info", choices: []string{"debug", "info", "warn", "error"}, doc: "Lowest level of the events that are logged."},
	{path: "grace", kind: KindDuration, defaultValue: 10 * time.Minute, maxValue: int64(24 * time.Hour), doc: "Longest time a graceful shutdown waits for running work; 0s waits without limit."},
	{path: "settle", kind: KindDuration, defaultValue: 2 * time.Second, maxValue: int64(5 * time.Minute), doc: "Time between failing readiness and refusing new work, for the balancer to notice. Sidecars have no balancer before them and do not use it."},
	{path: "tls", kind: KindGroup, doc: "TLS of all listeners and between processes. All three keys or none."},
	{path: "tls.cert", kind: KindFile, doc: "PEM file with the certificate chain of the process."},
	{path: "tls.key", kind: KindFile, doc: "PEM file with the private key of the certificate."},
	{path: "tls.authority", kind: KindFile, doc: "PEM file with the certificates that sign those of other processes."},
	{path: "admin", kind: KindListen, role: RoleEntry, doc: "Where the operators' interface listens; no interface if absent. Needs operators."},
	{path: "operators", kind: KindOperators, role: RoleEntry, doc: "Operators that may use the operators' interface."},
	{path: "operators[].name", kind: KindName, role: RoleEntry, required: true, doc: "Name of the operator, recorded with each change."},
	{path: "operators[].digest", kind: KindDigest, role: RoleEntry, required: true, doc: "SHA-256 digest of the operator's token."},
	{path: "body", kind: KindInteger, role: RoleEntry, defaultValue: int64(4 * mib), minValue: kib, maxValue: 24 * mib, doc: "Largest request body in bytes. Processes send each other messages of at most 32 MiB."},
	{path: "header", kind: KindDuration, role: RoleEntry, defaultValue: 10 * time.Second, minValue: int64(100 * time.Millisecond), maxValue: int64(5 * time.Minute), doc: "Longest time to read a request's header."},
	{path: "read", kind: KindDuration, role: RoleEntry, defaultValue: 30 * time.Second, minValue: int64(100 * time.Millisecond), maxValue: int64(time.Hour), doc: "Longest time to read a request's body."},
	{path: "deadline", kind: KindDuration, role: RoleEntry, defaultValue: 2 * time.Minute, minValue: int64(time.Second), maxValue: int64(time.Hour), doc: "Deadline of a chat, and of a call whose rule sets no timeout."},
	{path: "pool", kind: KindName, role: RoleSidecar, required: true, doc: "Pool of the backend server."},
	{path: "backend", kind: KindURL, role: RoleSidecar, required: true, doc: "Base URL of the backend server."},
	{path: "buffer", kind: KindInteger, role: RoleSidecar, defaultValue: int64(16 * mib), minValue: 64 * kib, maxValue: 16 * gib, doc: "Bytes of ended answers kept for callers that resume, and the most that one answer may have."},
	{path: "linger", kind: KindDuration, role: RoleSidecar, defaultValue: 30 * time.Second, minValue: int64(time.Second), maxValue: int64(time.Hour), doc: "How long an answer that ended or that nobody reads is kept."},
	{path: "claims", kind: KindGroup, doc: "Ledger of at-most-once calls."},
	{path: "claims.buckets", kind: KindInteger, defaultValue: int64(32), minValue: 1, maxValue: 65536, doc: "Number of logs that claims are spread over. Equal on all processes; it cannot change while claims are kept."},
	{path: "claims.interval", kind: KindDuration, defaultValue: 100 * time.Millisecond, minValue: int64(time.Millisecond), maxValue: int64(10 * time.Second), doc: "Time for which claims of a bucket are gathered into one write."},
	{path: "claims.retention", kind: KindDuration, defaultValue: 24 * time.Hour, minValue: int64(time.Minute), maxValue: math.MaxInt64, doc: "How long a finished call is remembered. A repeat after this time can run again, so it must exceed the longest time over which callers repeat."},
}
