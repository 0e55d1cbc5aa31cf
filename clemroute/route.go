// Package clemroute holds the routers' configuration: which requests go to
// which service, how often they may run, and who may send them.
package clemroute

import (
	"time"
)

// Kind says what of a route's requests may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota
	// KindUnsafe requests run at most once.
	KindUnsafe
	// KindStream requests are answered by events and run at most once, unless
	// they are resumable.
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

// Target is a service that takes a share of a route's requests.
type Target struct {
	service string
	weight  int
}

// NewTarget returns a target with its weight, relative to the route's others.
func NewTarget(service string, weight int) Target { return Target{service: service, weight: weight} }

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the target's weight relative to the route's others.
func (t Target) Weight() int { return t.weight }

// RouteConfig describes a Route to construct.
type RouteConfig struct {
	// the route's name
	Name string
	// the host name of the requests
	Host string
	// the beginning of the requests' paths, with a slash at both ends
	Prefix string
	// what may be repeated
	Kind Kind
	// the longest time that a request is kept waiting
	Timeout time.Duration
	// the time within which an answer is on time; for streams, its first event
	Objective time.Duration
	// the longest pause between events for which a stream is on time
	Pause time.Duration
	// the rank, 0 the most urgent
	Priority int
	// the services that take the requests
	Targets []Target
	// the most backend servers that one request may be sent to
	Attempts int
	// reports whether no API key is needed
	Public bool
	// reports whether requests with the same prompt parts belong together
	Affinity bool
	// reports whether a stream may go on at another backend server
	Resumable bool
}

// Route decides for the requests of one host and path prefix.
type Route struct{ config RouteConfig }

// NewRoute returns what the configuration describes.
func NewRoute(c RouteConfig) *Route { return &Route{config: c} }

// Name returns the route's name.
func (r *Route) Name() string { return r.config.Name }

// Host returns the host name of the requests.
func (r *Route) Host() string { return r.config.Host }

// Prefix returns the beginning of the requests' paths, with a slash at both ends.
func (r *Route) Prefix() string { return r.config.Prefix }

// Kind returns what may be repeated.
func (r *Route) Kind() Kind { return r.config.Kind }

// Timeout returns the longest time that a request is kept waiting.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// Objective returns the time within which an answer is on time; for streams, its first event.
func (r *Route) Objective() time.Duration { return r.config.Objective }

// Pause returns the longest pause between events for which a stream is on time.
func (r *Route) Pause() time.Duration { return r.config.Pause }

// Priority returns the rank, 0 the most urgent.
func (r *Route) Priority() int { return r.config.Priority }

// Targets returns the services that take the requests.
func (r *Route) Targets() []Target { return r.config.Targets }

// Attempts returns the most backend servers that one request may be sent to.
func (r *Route) Attempts() int { return r.config.Attempts }

// Public reports whether no API key is needed.
func (r *Route) Public() bool { return r.config.Public }

// Affinity reports whether requests with the same prompt parts belong together.
func (r *Route) Affinity() bool { return r.config.Affinity }

// Resumable reports whether a stream may go on at another backend server.
func (r *Route) Resumable() bool { return r.config.Resumable }

// IsIdempotent reports whether requests of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.config.Kind == KindSafe || r.config.Kind == KindStream && r.config.Resumable
}

// Target returns the service for a request; the draw is uniform over uint64.
func (r *Route) Target(draw uint64) string {
	targets, total := r.config.Targets, 0
	for _, t := range targets {
		total += t.weight
	}
	if total <= 0 {
		return targets[0].service
	}
	at := int(draw % uint64(total))
	for _, t := range targets {
		if at < t.weight {
			return t.service
		}
		at -= t.weight
	}
	return targets[len(targets)-1].service
}

// EngineConfig describes an Engine to construct.
type EngineConfig struct {
	// the most requests that run in one batch
	Slots int
	// the tokens that running requests and cached parts may hold
	Memory int
}

// Engine is what the servers of a model pool can hold.
type Engine struct{ config EngineConfig }

// NewEngine returns what the configuration describes.
func NewEngine(c EngineConfig) Engine { return Engine{config: c} }

// Slots returns the most requests that run in one batch.
func (e Engine) Slots() int { return e.config.Slots }

// Memory returns the tokens that running requests and cached parts may hold.
func (e Engine) Memory() int { return e.config.Memory }

// ServiceConfig describes a Service to construct.
type ServiceConfig struct {
	// the service's name
	Name string
	// the path of the health check
	Health string
	// the most connections that one backend server takes from all entries
	Connections int
	// the engine, or nil for a plain service
	Engine *Engine
}

// Service is a set of backend servers that serve the same requests.
type Service struct{ config ServiceConfig }

// NewService returns what the configuration describes.
func NewService(c ServiceConfig) *Service { return &Service{config: c} }

// Name returns the service's name.
func (s *Service) Name() string { return s.config.Name }

// Health returns the path of the health check.
func (s *Service) Health() string { return s.config.Health }

// Connections returns the most connections that one backend server takes from all entries.
func (s *Service) Connections() int { return s.config.Connections }

// Engine returns the engine, or nil for a plain service.
func (s *Service) Engine() *Engine { return s.config.Engine }

// LimitsConfig describes Limits to construct.
type LimitsConfig struct {
	// the largest header that a client may send, in bytes
	Header int
	// the largest body that a client may send, in bytes
	Body int
	// the longest time that a client may take for a header
	HeaderTimeout time.Duration
	// the longest time that a client's connection may be idle
	IdleTimeout time.Duration
}

// Limits bounds what clients may send.
type Limits struct{ config LimitsConfig }

// NewLimits returns what the configuration describes.
func NewLimits(c LimitsConfig) Limits { return Limits{config: c} }

// Header returns the largest header that a client may send, in bytes.
func (l Limits) Header() int { return l.config.Header }

// Body returns the largest body that a client may send, in bytes.
func (l Limits) Body() int { return l.config.Body }

// HeaderTimeout returns the longest time that a client may take for a header.
func (l Limits) HeaderTimeout() time.Duration { return l.config.HeaderTimeout }

// IdleTimeout returns the longest time that a client's connection may be idle.
func (l Limits) IdleTimeout() time.Duration { return l.config.IdleTimeout }

// OrganisationConfig describes an Organisation to construct.
type OrganisationConfig struct {
	// the organisation's name
	Name string
	// the API keys
	Keys []string
	// the rank, 0 the most urgent
	Priority int
	// reports whether the rank takes precedence over a route's
	Ranked bool
}

// Organisation is a customer whose clients share the fleet with others.
type Organisation struct{ config OrganisationConfig }

// NewOrganisation returns what the configuration describes.
func NewOrganisation(c OrganisationConfig) *Organisation { return &Organisation{config: c} }

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.config.Name }

// Keys returns the API keys.
func (o *Organisation) Keys() []string { return o.config.Keys }

// Priority returns the rank, 0 the most urgent.
func (o *Organisation) Priority() int { return o.config.Priority }

// Ranked reports whether the rank takes precedence over a route's.
func (o *Organisation) Ranked() bool { return o.config.Ranked }
