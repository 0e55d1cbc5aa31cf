// Package clemsite holds the settings of an entry that runs on a platform
// which gives it its addresses and bounds.
package clemsite

import (
	"reflect"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// BoundsConfig describes Bounds to construct.
type BoundsConfig struct {
	// the time within which a leaving backend server gets no new work
	Drain time.Duration
	// the time between the request to stop and the kill
	Grace time.Duration
	// the multiple of its service's mean load that a backend server may carry
	Multiple float64
	// the share of a service's requests that may be sent again
	RetryShare float64
	// the number of requests that may be sent again beside the share
	RetrySlack float64
	// the time over which requests that are sent again are counted
	RetryWindow time.Duration
}

// Bounds are the promises that the operators set for the deployment.
type Bounds struct{ config BoundsConfig }

// NewBounds returns what the configuration describes.
func NewBounds(c BoundsConfig) Bounds { return Bounds{config: c} }

// Drain returns the time within which a leaving backend server gets no new work.
func (b Bounds) Drain() time.Duration { return b.config.Drain }

// Grace returns the time between the request to stop and the kill.
func (b Bounds) Grace() time.Duration { return b.config.Grace }

// Multiple returns the multiple of its service's mean load that a backend server may carry.
func (b Bounds) Multiple() float64 { return b.config.Multiple }

// RetryShare returns the share of a service's requests that may be sent again.
func (b Bounds) RetryShare() float64 { return b.config.RetryShare }

// RetrySlack returns the number of requests that may be sent again beside the share.
func (b Bounds) RetrySlack() float64 { return b.config.RetrySlack }

// RetryWindow returns the time over which requests that are sent again are counted.
func (b Bounds) RetryWindow() time.Duration { return b.config.RetryWindow }

// SettingsConfig describes Settings to construct.
type SettingsConfig struct {
	// the process's name, unique among all
	Name string
	// the data centre
	Centre string
	// the address on which clients connect
	Listen string
	// the address of the readiness check
	Ready string
	// the address on which other entries call
	Control string
	// the address of the metrics
	Metrics string
	// the address of the platform's store
	Store string
	// the addresses of a few entries, some of which may be gone
	Seeds []string
	// the pace at which backend servers write their rows
	Heartbeat time.Duration
	// the promises of the deployment
	Bounds Bounds
}

// Settings are what a process learns from the platform when it starts.
type Settings struct{ config SettingsConfig }

// NewSettings returns what the configuration describes.
func NewSettings(c SettingsConfig) *Settings { return &Settings{config: c} }

// Name returns the process's name, unique among all.
func (s *Settings) Name() string { return s.config.Name }

// Centre returns the data centre.
func (s *Settings) Centre() string { return s.config.Centre }

// Listen returns the address on which clients connect.
func (s *Settings) Listen() string { return s.config.Listen }

// Ready returns the address of the readiness check.
func (s *Settings) Ready() string { return s.config.Ready }

// Control returns the address on which other entries call.
func (s *Settings) Control() string { return s.config.Control }

// Metrics returns the address of the metrics.
func (s *Settings) Metrics() string { return s.config.Metrics }

// Store returns the address of the platform's store.
func (s *Settings) Store() string { return s.config.Store }

// Seeds returns the addresses of a few entries, some of which may be gone.
func (s *Settings) Seeds() []string { return s.config.Seeds }

// Heartbeat returns the pace at which backend servers write their rows.
func (s *Settings) Heartbeat() time.Duration { return s.config.Heartbeat }

// Bounds returns the promises of the deployment.
func (s *Settings) Bounds() Bounds { return s.config.Bounds }

// Validate reports the first setting that is missing. Errors: KindInvalid, which names the field.
func (s *Settings) Validate() error {
	for _, field := range []struct{ name, value string }{
		{"name", s.Name()},
		{"listen", s.Listen()},
		{"ready", s.Ready()},
		{"control", s.Control()},
		{"store", s.Store()},
	} {
		if field.value == "" {
			return clementineturn.Invalid(field.name, "is missing")
		}
	}
	return nil
}

// Equal reports whether two settings are the same.
func Equal(a, b *Settings) bool { return reflect.DeepEqual(a, b) }
