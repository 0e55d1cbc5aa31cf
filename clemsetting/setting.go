// Package clemsetting reads and checks the settings of a process: one JSON
// file with one-word keys. One table describes every key and drives the
// checks, the defaults and the operators' catalogue page.
package clemsetting

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"
)

// Operator is one operator that may use the operators' interface.
type Operator struct {
	name   string
	digest []byte
}

// NewOperator returns an operator.
func NewOperator(name string, digest []byte) Operator { return Operator{name: name, digest: digest} }

// Name returns the operator's name.
func (o Operator) Name() string { return o.name }

// Digest returns the SHA-256 digest of the operator's token.
func (o Operator) Digest() []byte { return bytes.Clone(o.digest) }

// TLS names the files of TLS and holds what they contain.
type TLS struct {
	cert, key, authority string
	certificate          tls.Certificate
	pool                 *x509.CertPool
}

// Cert returns the path of the certificate chain.
func (t *TLS) Cert() string { return t.cert }

// Key returns the path of the private key.
func (t *TLS) Key() string { return t.key }

// Authority returns the path of the authorities' certificates.
func (t *TLS) Authority() string { return t.authority }

// Server returns a server's configuration. Callers need no certificate.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{t.certificate}}
}

// Client returns a configuration for reaching other processes of the fleet.
func (t *TLS) Client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{t.certificate}, RootCAs: t.pool}
}

// Settings are the checked settings of a process. Accessors return zero
// values for keys that the role does not have.
type Settings struct {
	values    map[string]any
	operators []Operator
	tls       *TLS
}

// Role returns "entry" or "sidecar".
func (s *Settings) Role() string { return s.text("role") }

// Name returns the host's name.
func (s *Settings) Name() string { return s.text("name") }

// Region returns the host's region.
func (s *Settings) Region() string { return s.text("region") }

// Centre returns the host's data centre.
func (s *Settings) Centre() string { return s.text("centre") }

// Listen returns the IP address and port to listen on.
func (s *Settings) Listen() string { return s.text("listen") }

// Address returns the IP address and port at which others reach the process.
func (s *Settings) Address() string { return s.text("address") }

// Platform returns the base URL of the platform's services, without a final slash.
func (s *Settings) Platform() string { return s.text("platform") }

// Fleet returns the key shared by all processes of the fleet.
func (s *Settings) Fleet() string { return s.text("fleet") }

// Level returns the lowest level that is logged.
func (s *Settings) Level() string { return s.text("level") }

// Grace returns the limit of a graceful shutdown; 0 means no limit.
func (s *Settings) Grace() time.Duration { return s.duration("grace") }

// Settle returns the time between failing readiness and refusing new work.
func (s *Settings) Settle() time.Duration { return s.duration("settle") }

// TLS returns the TLS settings, or nil if the process uses none.
func (s *Settings) TLS() *TLS { return s.tls }

// Admin returns the operators' listener of an entry, or "".
func (s *Settings) Admin() string { return s.text("admin") }

// Operators returns the operators of an entry.
func (s *Settings) Operators() []Operator { return append([]Operator(nil), s.operators...) }

// Body returns the largest request body of an entry in bytes.
func (s *Settings) Body() int64 { return s.integer("body") }

// Header returns the header read timeout of an entry.
func (s *Settings) Header() time.Duration { return s.duration("header") }

// Read returns the body read timeout of an entry.
func (s *Settings) Read() time.Duration { return s.duration("read") }

// Deadline returns the deadline of a request whose caller names none.
func (s *Settings) Deadline() time.Duration { return s.duration("deadline") }

// Pool returns the pool of a sidecar's backend server.
func (s *Settings) Pool() string { return s.text("pool") }

// Backend returns the base URL of a sidecar's backend server, without a final slash.
func (s *Settings) Backend() string { return s.text("backend") }

// Buffer returns how many bytes of answers a sidecar keeps.
func (s *Settings) Buffer() int64 { return s.integer("buffer") }

// Linger returns how long a sidecar keeps an answer that ended or that nobody reads.
func (s *Settings) Linger() time.Duration { return s.duration("linger") }

// ClaimBuckets returns the number of the ledger's buckets.
func (s *Settings) ClaimBuckets() int { return int(s.integer("claims.buckets")) }

// ClaimInterval returns the ledger's batch interval.
func (s *Settings) ClaimInterval() time.Duration { return s.duration("claims.interval") }

// ClaimRetention returns how long a finished call is remembered.
func (s *Settings) ClaimRetention() time.Duration { return s.duration("claims.retention") }

func (s *Settings) text(path string) string {
	text, _ := s.values[path].(string)
	return text
}

func (s *Settings) duration(path string) time.Duration {
	d, _ := s.values[path].(time.Duration)
	return d
}

func (s *Settings) integer(path string) int64 {
	n, _ := s.values[path].(int64)
	return n
}

// crossCheck checks what concerns more than one key and sets the defaults
// that follow from other keys.
func (c *checker) crossCheck(s *Settings, role string) {
	listen, err := netip.ParseAddrPort(s.Listen())
	if s.Address() == "" && err == nil {
		if listen.Addr().IsUnspecified() {
			c.fault("address", "found nothing, required since listen has the unspecified IP address %s", listen.Addr())
		}
		s.values["address"] = s.Listen()
	}
	if s.Admin() != "" && s.Admin() == s.Listen() && listen.Port() != 0 {
		c.fault("admin", "found %q, allowed is an address other than listen", s.Admin())
	}
	if role == RoleEntry && s.Admin() != "" && len(s.operators) == 0 {
		c.fault("operators", "found none, required with admin: at least one operator")
	}
	if role == RoleEntry && s.Admin() == "" && len(s.operators) > 0 {
		c.fault("admin", "found nothing, required with operators")
	}
	s.tls = c.tlsFiles(s)
}

// tlsFiles loads the files of TLS, which come all or none.
func (c *checker) tlsFiles(s *Settings) *TLS {
	t := &TLS{cert: s.text("tls.cert"), key: s.text("tls.key"), authority: s.text("tls.authority")}
	if t.cert == "" && t.key == "" && t.authority == "" {
		return nil
	}
	for _, file := range []struct{ path, value string }{
		{"tls.cert", t.cert},
		{"tls.key", t.key},
		{"tls.authority", t.authority},
	} {
		if file.value == "" && !c.faulty(file.path) {
			c.fault(file.path, "found nothing, required since other keys of tls are given")
		}
	}
	var err error
	if t.cert != "" && t.key != "" {
		if t.certificate, err = tls.LoadX509KeyPair(t.cert, t.key); err != nil {
			c.fault("tls.cert", "found files that do not load (%v), allowed is a certificate with its private key in PEM form", err)
		}
	}
	if t.authority != "" {
		data, err := os.ReadFile(t.authority)
		t.pool = x509.NewCertPool()
		if err != nil || !t.pool.AppendCertsFromPEM(data) {
			c.fault("tls.authority", "found no certificate in %q, allowed are certificates in PEM form", t.authority)
		}
	}
	return t
}

func (c *checker) faulty(path string) bool {
	for _, fault := range c.faults {
		if fault.Field() == path {
			return true
		}
	}
	return false
}
