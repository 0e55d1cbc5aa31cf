// Package clemsite holds the settings of a front: an entry whose addresses and
// bounds the platform provides.
package clemsite

import (
	"reflect"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// BoundsConfig describes Bounds to construct.
type BoundsConfig struct {
	// DrainTimeout is the time within which a draining backend server must get no
	// more requests.
	DrainTimeout time.Duration
	// GracePeriod is the time between the stop signal and the kill.
	GracePeriod time.Duration
	// MaxLoadFactor is the largest load of a backend server as a multiple of its
	// service's mean load.
	MaxLoadFactor float64
	// RetryRatio is the allowed number of retries as a ratio to a service's
	// requests.
	RetryRatio float64
	// RetrySlack is the number of retries that are allowed in addition to the
	// ratio.
	RetrySlack float64
	// RetryWindow is the time over which requests and retries are counted.
	RetryWindow time.Duration
	// ColdFactor is the number of requests that a cold backend server may get in any
	// second, as a multiple of those that it tolerates; 0 means no limit. ColdSlack is the
	// number that it may get in addition.
	ColdFactor, ColdSlack float64
}

// Bounds are the limits that the operators set for the deployment.
type Bounds struct{ config BoundsConfig }

// NewBounds returns the Bounds that the configuration describes.
func NewBounds(c BoundsConfig) Bounds { return Bounds{config: c} }

// DrainTimeout returns the time within which a draining backend server must get
// no more requests.
func (b Bounds) DrainTimeout() time.Duration { return b.config.DrainTimeout }

// GracePeriod returns the time between the stop signal and the kill.
func (b Bounds) GracePeriod() time.Duration { return b.config.GracePeriod }

// MaxLoadFactor returns the largest load of a backend server as a multiple of its
// service's mean load.
func (b Bounds) MaxLoadFactor() float64 { return b.config.MaxLoadFactor }

// RetryRatio returns the allowed number of retries as a ratio to a service's
// requests.
func (b Bounds) RetryRatio() float64 { return b.config.RetryRatio }

// RetrySlack returns the number of retries that are allowed in addition to the
// ratio.
func (b Bounds) RetrySlack() float64 { return b.config.RetrySlack }

// RetryWindow returns the time over which requests and retries are counted.
func (b Bounds) RetryWindow() time.Duration { return b.config.RetryWindow }

// ColdFactor returns the number of requests that a cold backend server may get in any
// second, as a multiple of those that it tolerates. 0 means no limit.
func (b Bounds) ColdFactor() float64 { return b.config.ColdFactor }

// ColdSlack returns the number of requests that a cold backend server may get in any second
// in addition.
func (b Bounds) ColdSlack() float64 { return b.config.ColdSlack }

// SettingsConfig describes Settings to construct.
type SettingsConfig struct {
	// Name is the name of the process, unique in the fleet.
	Name string
	// Centre is the data centre.
	Centre string
	// ListenAddress is the address on which clients connect.
	ListenAddress string
	// ReadyAddress is the address of the readiness check.
	ReadyAddress string
	// ControlAddress is the address on which peers connect.
	ControlAddress string
	// MetricsAddress is the address of the metrics endpoint.
	MetricsAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// Seeds are the addresses of some peers, which may be outdated.
	Seeds []string
	// HeartbeatInterval is the interval at which backend servers write their rows.
	HeartbeatInterval time.Duration
	// MemoryLimit is the memory in bytes that the process may use, 0 if none is stated.
	MemoryLimit int64
	// MaxDescriptors is the number of descriptors that the process may have open, 0 if
	// none is stated.
	MaxDescriptors int
	// Bounds are the bounds of the deployment.
	Bounds Bounds
}

// Settings are the settings that the platform gives a front.
type Settings struct{ config SettingsConfig }

// NewSettings returns the Settings that the configuration describes.
func NewSettings(c SettingsConfig) *Settings { return &Settings{config: c} }

// Name returns the name of the process, unique in the fleet.
func (s *Settings) Name() string { return s.config.Name }

// Centre returns the data centre.
func (s *Settings) Centre() string { return s.config.Centre }

// ListenAddress returns the address on which clients connect.
func (s *Settings) ListenAddress() string { return s.config.ListenAddress }

// ReadyAddress returns the address of the readiness check.
func (s *Settings) ReadyAddress() string { return s.config.ReadyAddress }

// ControlAddress returns the address on which peers connect.
func (s *Settings) ControlAddress() string { return s.config.ControlAddress }

// MetricsAddress returns the address of the metrics endpoint.
func (s *Settings) MetricsAddress() string { return s.config.MetricsAddress }

// StoreAddress returns the address of the platform's store.
func (s *Settings) StoreAddress() string { return s.config.StoreAddress }

// Seeds returns the addresses of some peers, which may be outdated.
func (s *Settings) Seeds() []string { return s.config.Seeds }

// HeartbeatInterval returns the interval at which backend servers write their
// rows.
func (s *Settings) HeartbeatInterval() time.Duration { return s.config.HeartbeatInterval }

// MemoryLimit returns the memory in bytes that the process may use, 0 if none is
// stated.
func (s *Settings) MemoryLimit() int64 { return s.config.MemoryLimit }

// MaxDescriptors returns the number of descriptors that the process may have open, 0
// if none is stated.
func (s *Settings) MaxDescriptors() int { return s.config.MaxDescriptors }

// Bounds returns the bounds of the deployment.
func (s *Settings) Bounds() Bounds { return s.config.Bounds }

// Validate returns an error for the first missing setting. Errors: KindInvalid,
// which names the field.
func (s *Settings) Validate() error {
	for _, field := range []struct{ name, value string }{
		{"name", s.Name()},
		{"listen", s.ListenAddress()},
		{"ready", s.ReadyAddress()},
		{"control", s.ControlAddress()},
		{"store", s.StoreAddress()},
	} {
		if field.value == "" {
			return clementineturn.Invalid(field.name, "is missing")
		}
	}
	return nil
}

// Equal reports whether two settings are the same.
func Equal(a, b *Settings) bool { return reflect.DeepEqual(a, b) }
