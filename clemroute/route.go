// Package clemroute holds the routers' configuration: which requests go to which
// service, how often a request may be attempted, and which API keys may send it.
// A router looks up the route of each request here before it chooses a server.
package clemroute

import (
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Kind tells whether a route's requests may be retried and how they are answered.
type Kind uint8

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota
	// KindUnsafe requests run at most once.
	KindUnsafe
	// KindStream requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	KindStream
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindUnsafe:
		return "unsafe"
	case KindStream:
		return "stream"
	}
	return "unknown"
}

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	service string
	weight  int
}

// NewTarget returns a target with a weight relative to the route's other targets.
func NewTarget(service string, weight int) Target { return Target{service: service, weight: weight} }

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the weight relative to the route's other targets.
func (t Target) Weight() int { return t.weight }

// RouteConfig describes a Route to construct.
type RouteConfig struct {
	// Name is the route's name.
	Name string
	// Host is the host name that requests must have.
	Host string
	// Prefix is the path prefix that requests must have, with a slash at both
	// ends.
	Prefix string
	// Kind tells whether requests may be retried and how they are answered.
	Kind Kind
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// LatencyTarget is the time within which a response, or the first event of a
	// stream, is on time.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the longest gap between two events of a
	// stream.
	EventGapTarget time.Duration
	// Priority is the priority of requests, 0 the most urgent.
	Priority int
	// Targets are the services that requests are sent to.
	Targets []Target
	// MaxAttempts is the largest number of backend servers that one request may
	// be sent to. Values below 1 count as 1.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Affinity is set if requests with a common prompt prefix should go to the
	// same backend server.
	Affinity bool
	// Resumable is set if an interrupted stream may be resumed at another backend
	// server.
	Resumable bool
}

// Route is the rule for requests with one host name and path prefix.
type Route struct{ config RouteConfig }

// NewRoute returns a route for the configuration.
func NewRoute(c RouteConfig) *Route { return &Route{config: c} }

// Name returns the route's name.
func (r *Route) Name() string { return r.config.Name }

// Host returns the host name that requests must have.
func (r *Route) Host() string { return r.config.Host }

// Prefix returns the path prefix that requests must have, with a slash at both
// ends.
func (r *Route) Prefix() string { return r.config.Prefix }

// Kind returns the kind, which tells whether requests may be retried and how they
// are answered.
func (r *Route) Kind() Kind { return r.config.Kind }

// Timeout returns the longest time that a request may wait for its response.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// LatencyTarget returns the time within which a response, or the first event of a
// stream, is on time.
func (r *Route) LatencyTarget() time.Duration { return r.config.LatencyTarget }

// EventGapTarget returns the target for the longest gap between two events of a
// stream.
func (r *Route) EventGapTarget() time.Duration { return r.config.EventGapTarget }

// Priority returns the priority of requests, 0 the most urgent.
func (r *Route) Priority() int { return r.config.Priority }

// Targets returns the services that requests are sent to.
func (r *Route) Targets() []Target { return r.config.Targets }

// MaxAttempts returns the largest number of backend servers that one request may
// be sent to.
func (r *Route) MaxAttempts() int { return r.config.MaxAttempts }

// Public reports whether requests need no API key.
func (r *Route) Public() bool { return r.config.Public }

// Affinity reports whether requests with a common prompt prefix should go to the
// same backend server.
func (r *Route) Affinity() bool { return r.config.Affinity }

// Resumable reports whether an interrupted stream may be resumed at another
// backend server.
func (r *Route) Resumable() bool { return r.config.Resumable }

// IsIdempotent reports whether a request may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.config.Kind == KindSafe || r.config.Kind == KindStream && r.config.Resumable
}

// PickService returns the service for a request, chosen by weight with a number
// that is uniformly distributed over uint64.
func (r *Route) PickService(random uint64) string {
	targets, total := r.config.Targets, 0
	for _, t := range targets {
		total += t.weight
	}
	if total <= 0 {
		return targets[0].service
	}
	offset := int(random % uint64(total))
	for _, t := range targets {
		if offset < t.weight {
			return t.service
		}
		offset -= t.weight
	}
	return targets[len(targets)-1].service
}

// EngineConfig describes an Engine to construct.
type EngineConfig struct {
	// Slots is the largest number of requests in a batch.
	Slots int
	// KVTokens is the capacity of the KV cache in tokens, for running requests and
	// cached prompt parts.
	KVTokens int
}

// Engine describes the capacity of the inference engines of a model pool.
type Engine struct{ config EngineConfig }

// NewEngine returns an engine for the configuration.
func NewEngine(c EngineConfig) Engine { return Engine{config: c} }

// Slots returns the largest number of requests in a batch.
func (e Engine) Slots() int { return e.config.Slots }

// KVTokens returns the capacity of the KV cache in tokens, for running requests
// and cached prompt parts.
func (e Engine) KVTokens() int { return e.config.KVTokens }

// ServiceConfig describes a Service to construct.
type ServiceConfig struct {
	// Name is the service's name.
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the largest number of connections that one backend server
	// accepts from all entries together.
	MaxConnections int
	// Engine describes the service's engines. It is nil for a plain service.
	Engine *Engine
	// ColdStart is how long a backend server is cold after its start, and ColdRate the
	// number of requests a second that it tolerates meanwhile; 0 if servers are never cold.
	ColdStart time.Duration
	ColdRate  float64
}

// Service is a set of backend servers that serve the same requests.
type Service struct{ config ServiceConfig }

// NewService returns a service for the configuration.
func NewService(c ServiceConfig) *Service { return &Service{config: c} }

// Name returns the service's name.
func (s *Service) Name() string { return s.config.Name }

// HealthPath returns the path of the health check.
func (s *Service) HealthPath() string { return s.config.HealthPath }

// MaxConnections returns the largest number of connections that one backend
// server accepts from all entries together.
func (s *Service) MaxConnections() int { return s.config.MaxConnections }

// Engine returns the description of the service's engines, or nil for a plain
// service.
func (s *Service) Engine() *Engine { return s.config.Engine }

// ColdStart returns how long a backend server is cold after its start.
func (s *Service) ColdStart() time.Duration { return s.config.ColdStart }

// ColdRate returns the number of requests a second that a cold backend server tolerates, or
// 0 if servers are never cold.
func (s *Service) ColdRate() float64 { return s.config.ColdRate }

// LimitsConfig describes Limits to construct.
type LimitsConfig struct {
	// MaxHeaderBytes is the largest size of a request's header in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest size of a request's body in bytes.
	MaxBodyBytes int
	// HeaderTimeout is the longest time that a client may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a client's connection may be idle.
	IdleTimeout time.Duration
}

// validate returns an error for a negative limit; 0 means that none is stated.
// Errors: KindInvalid, which names the field.
func (c LimitsConfig) validate() error {
	for _, limit := range []struct {
		field string
		value int64
	}{
		{"max_header_bytes", int64(c.MaxHeaderBytes)},
		{"max_body_bytes", int64(c.MaxBodyBytes)},
		{"header_timeout_ms", int64(c.HeaderTimeout)},
		{"idle_timeout_ms", int64(c.IdleTimeout)},
	} {
		if limit.value < 0 {
			return clementineturn.Invalid("limits."+limit.field, "it is negative")
		}
	}
	return nil
}

// Limits are the limits on requests of clients.
type Limits struct{ config LimitsConfig }

// NewLimits returns limits for the configuration.
func NewLimits(c LimitsConfig) Limits { return Limits{config: c} }

// MaxHeaderBytes returns the largest size of a request's header in bytes.
func (l Limits) MaxHeaderBytes() int { return l.config.MaxHeaderBytes }

// MaxBodyBytes returns the largest size of a request's body in bytes.
func (l Limits) MaxBodyBytes() int { return l.config.MaxBodyBytes }

// HeaderTimeout returns the longest time that a client may take to send a header.
func (l Limits) HeaderTimeout() time.Duration { return l.config.HeaderTimeout }

// IdleTimeout returns the longest time that a client's connection may be idle.
func (l Limits) IdleTimeout() time.Duration { return l.config.IdleTimeout }

// OrganisationConfig describes an Organisation to construct.
type OrganisationConfig struct {
	// Name is the organisation's name.
	Name string
	// Keys are the organisation's API keys.
	Keys []string
	// Priority is the priority of the organisation's requests, 0 the most
	// urgent. It is used only if HasPriority is set.
	Priority int
	// HasPriority is set if Priority takes precedence over that of the route.
	HasPriority bool
}

// Organisation is a customer that shares the fleet with other customers.
type Organisation struct{ config OrganisationConfig }

// NewOrganisation returns an organisation for the configuration.
func NewOrganisation(c OrganisationConfig) *Organisation { return &Organisation{config: c} }

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.config.Name }

// Keys returns the organisation's API keys.
func (o *Organisation) Keys() []string { return o.config.Keys }

// Priority returns the priority of the organisation's requests, 0 the most urgent.
func (o *Organisation) Priority() int { return o.config.Priority }

// HasPriority reports whether Priority takes precedence over that of the route.
func (o *Organisation) HasPriority() bool { return o.config.HasPriority }
