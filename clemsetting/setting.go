// Package clemsetting reads and validates the settings of an entry or a
// sidecar, a JSON file with one-word keys that is read once when the process
// starts. One table describes every key; the validation, the defaults and the
// generated page of settings are derived from it.
package clemsetting

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"
)

// Operator is an operator who may use the operators' interface.
type Operator struct {
	name   string
	digest []byte
}

// NewOperator returns an operator with the name and the SHA-256 digest of the
// operator's token.
func NewOperator(name string, digest []byte) Operator { return Operator{name: name, digest: digest} }

// Name returns the operator's name.
func (o Operator) Name() string { return o.name }

// Digest returns the SHA-256 digest of the operator's token.
func (o Operator) Digest() []byte { return bytes.Clone(o.digest) }

// TLS holds the paths of a process's TLS files and their contents.
type TLS struct {
	certFile, keyFile, caFile string
	certificate               tls.Certificate
	rootCAs                   *x509.CertPool
}

// CertFile returns the path of the PEM file with the certificate chain.
func (t *TLS) CertFile() string { return t.certFile }

// KeyFile returns the path of the PEM file with the private key.
func (t *TLS) KeyFile() string { return t.keyFile }

// CAFile returns the path of the PEM file with the certificates of the
// certificate authorities that other processes of the fleet use.
func (t *TLS) CAFile() string { return t.caFile }

// ServerConfig returns the configuration of a listener. It does not request
// client certificates.
func (t *TLS) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{t.certificate}}
}

// ClientConfig returns the configuration of connections to other processes of
// the fleet.
func (t *TLS) ClientConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{t.certificate}, RootCAs: t.rootCAs}
}

// Settings holds the validated settings of a process. The accessor of a key
// that the role does not have, or that has no default and is absent, returns
// the zero value.
type Settings struct {
	values    map[string]any
	operators []Operator
	tls       *TLS
}

// Role returns RoleEntry or RoleSidecar.
func (s *Settings) Role() string { return s.text("role") }

// Name returns the name of the host, as in the platform's list.
func (s *Settings) Name() string { return s.text("name") }

// Region returns the host's region.
func (s *Settings) Region() string { return s.text("region") }

// Centre returns the host's data centre.
func (s *Settings) Centre() string { return s.text("centre") }

// ListenAddress returns the IP address and port on which the process listens.
func (s *Settings) ListenAddress() string { return s.text("listen") }

// AdvertisedAddress returns the IP address and port at which other processes
// reach this one. The default is that of ListenAddress.
func (s *Settings) AdvertisedAddress() string { return s.text("address") }

// PlatformURL returns the base URL of the platform's services, without a
// trailing slash.
func (s *Settings) PlatformURL() string { return s.text("platform") }

// FleetKey returns the secret key shared by all processes of the fleet.
func (s *Settings) FleetKey() string { return s.text("fleet") }

// MemoryLimit returns the memory of the process in bytes; 0 means no limit.
func (s *Settings) MemoryLimit() int64 { return s.integer("memory") }

// MaxConnections returns the maximum number of open connections of a listener; 0 means
// no limit.
func (s *Settings) MaxConnections() int { return int(s.integer("connections")) }

// LogLevel returns the lowest level of the events that are logged: "debug",
// "info", "warn" or "error".
func (s *Settings) LogLevel() string { return s.text("level") }

// GracePeriod returns the maximum duration of a graceful shutdown; 0 means no
// limit.
func (s *Settings) GracePeriod() time.Duration { return s.duration("grace") }

// DrainDelay returns the time between failing readiness and refusing new work,
// in which the load balancer notices the change.
func (s *Settings) DrainDelay() time.Duration { return s.duration("settle") }

// TLS returns the TLS settings, or nil if the process does not use TLS.
func (s *Settings) TLS() *TLS { return s.tls }

// AdminAddress returns the IP address and port on which an entry's operators'
// interface listens, or "" if it has none.
func (s *Settings) AdminAddress() string { return s.text("admin") }

// Operators returns the operators who may use an entry's operators' interface.
func (s *Settings) Operators() []Operator { return append([]Operator(nil), s.operators...) }

// MaxBodyBytes returns the maximum size of a request body at an entry, in
// bytes.
func (s *Settings) MaxBodyBytes() int64 { return s.integer("body") }

// ReadHeaderTimeout returns the timeout for reading a request's header at an
// entry.
func (s *Settings) ReadHeaderTimeout() time.Duration { return s.duration("header") }

// ReadTimeout returns the timeout for reading a request's body at an entry.
func (s *Settings) ReadTimeout() time.Duration { return s.duration("read") }

// DefaultTimeout returns the timeout of a chat, and of a call whose rule sets
// none.
func (s *Settings) DefaultTimeout() time.Duration { return s.duration("deadline") }

// Pool returns the name of the pool of a sidecar's backend server.
func (s *Settings) Pool() string { return s.text("pool") }

// BackendURL returns the base URL of a sidecar's backend server, without a
// trailing slash.
func (s *Settings) BackendURL() string { return s.text("backend") }

// AnswerBufferBytes returns the maximum number of bytes of ended answers that a
// sidecar buffers, which is also the maximum size of one answer.
func (s *Settings) AnswerBufferBytes() int64 { return s.integer("buffer") }

// Linger returns how long a sidecar buffers an answer that has ended or that
// has no reader.
func (s *Settings) Linger() time.Duration { return s.duration("linger") }

// ClaimBuckets returns the number of buckets of the claim ledger.
func (s *Settings) ClaimBuckets() int { return int(s.integer("claims.buckets")) }

// ClaimInterval returns the time for which the claim ledger collects the claims
// of a bucket before it writes them.
func (s *Settings) ClaimInterval() time.Duration { return s.duration("claims.interval") }

// ClaimRetention returns how long the claim ledger retains a completed call.
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

// crossCheck validates conditions on more than one key and sets the defaults
// that depend on other keys.
func (v *validator) crossCheck(s *Settings, role string) {
	listen, err := netip.ParseAddrPort(s.ListenAddress())
	if s.AdvertisedAddress() == "" && err == nil {
		if listen.Addr().IsUnspecified() {
			v.addError("address", "found nothing, required since listen has the unspecified IP address %s", listen.Addr())
		}
		s.values["address"] = s.ListenAddress()
	}
	if s.AdminAddress() != "" && s.AdminAddress() == s.ListenAddress() && listen.Port() != 0 {
		v.addError("admin", "found %q, allowed is an address other than listen", s.AdminAddress())
	}
	if role == RoleEntry && s.AdminAddress() != "" && len(s.operators) == 0 {
		v.addError("operators", "found none, required with admin: at least one operator")
	}
	if role == RoleEntry && s.AdminAddress() == "" && len(s.operators) > 0 {
		v.addError("admin", "found nothing, required with operators")
	}
	s.tls = v.loadTLS(s)
}

// loadTLS loads the TLS files. Either all three keys are set or none.
func (v *validator) loadTLS(s *Settings) *TLS {
	t := &TLS{certFile: s.text("tls.cert"), keyFile: s.text("tls.key"), caFile: s.text("tls.authority")}
	if t.certFile == "" && t.keyFile == "" && t.caFile == "" {
		return nil
	}
	for _, file := range []struct{ path, value string }{
		{"tls.cert", t.certFile},
		{"tls.key", t.keyFile},
		{"tls.authority", t.caFile},
	} {
		if file.value == "" && !v.hasError(file.path) {
			v.addError(file.path, "found nothing, required since other keys of tls are given")
		}
	}
	var err error
	if t.certFile != "" && t.keyFile != "" {
		if t.certificate, err = tls.LoadX509KeyPair(t.certFile, t.keyFile); err != nil {
			v.addError("tls.cert", "found files that do not load (%v), allowed is a certificate with its private key in PEM form", err)
		}
	}
	if t.caFile != "" {
		data, err := os.ReadFile(t.caFile)
		t.rootCAs = x509.NewCertPool()
		if err != nil || !t.rootCAs.AppendCertsFromPEM(data) {
			v.addError("tls.authority", "found no certificate in %q, allowed are certificates in PEM form", t.caFile)
		}
	}
	return t
}

func (v *validator) hasError(path string) bool {
	for _, err := range v.errs {
		if err.Field() == path {
			return true
		}
	}
	return false
}
