package clemstandin

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// SettingsVariable is the environment variable with the path of a front's
// settings file.
const SettingsVariable = "CLEMENTINETURN_NODE_FILE"

// Route is a route in the operator's configuration.
type Route struct {
	Prefix, Type, Service      string
	MaxAttempts                int
	Resumable, SessionAffinity bool
	// TimeoutMS is the route's own timeout in milliseconds; 0 means that of all routes.
	TimeoutMS int
}

// ProviderConfiguration is the configuration that the operator writes.
type ProviderConfiguration struct {
	Version  int
	Host     string
	Routes   []Route
	Services []string
	// APIKeys holds the API key of each organisation by its name. With nil, requests need
	// none; with an empty map, no key is valid.
	APIKeys map[string]string
	// TimeoutMS and LatencyTargetMS are the timeout and the latency target of every
	// route without its own, in milliseconds.
	TimeoutMS, LatencyTargetMS int
	// ColdStartS is how many seconds the servers of every service are cold after their
	// start, and ColdPerS the number of requests a second that they tolerate meanwhile; 0
	// if they are never cold.
	ColdStartS, ColdPerS float64
}

// Configure writes the configuration to the store, as the operator does.
func (p *Provider) Configure(m ProviderConfiguration) error {
	var routes, services []map[string]any
	for _, r := range m.Routes {
		routes = append(routes, map[string]any{
			"name": "r" + r.Prefix, "host": m.Host, "prefix": r.Prefix, "route_type": r.Type, "service": r.Service,
			"timeout_ms": cmp.Or(r.TimeoutMS, m.TimeoutMS), "latency_target_ms": m.LatencyTargetMS, "gap_aim_ms": m.LatencyTargetMS,
			"attempts": max(r.MaxAttempts, 1), "resumable": r.Resumable, "session_affinity": r.SessionAffinity,
		})
	}
	for _, name := range m.Services {
		services = append(services, map[string]any{"name": name, "cold_start_s": m.ColdStartS, "cold_per_s": m.ColdPerS})
	}
	document := map[string]any{"version": m.Version, "routes": routes, "services": services}
	if m.APIKeys != nil {
		tenants := []map[string]any{}
		for name, key := range m.APIKeys {
			tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}})
		}
		document["tenants"] = tenants
	}
	return p.Put("op", "config", document)
}

// PutServer writes the row of a backend server that is ready or draining.
func (p *Provider) PutServer(b *Backend, address string, draining bool) error {
	state := "ready"
	if draining {
		state = "draining"
	}
	return p.Put("servers", b.ID(), b.Row(address, state))
}

// evacuationPrefix begins the keys of the operator's rows that evacuate a data centre.
const evacuationPrefix = "evacuate/"

// Evacuate writes the operator's row that evacuates a data centre.
func (p *Provider) Evacuate(centre string) error {
	return p.Put("op", evacuationPrefix+centre, map[string]any{})
}

// WithdrawEvacuation removes that row.
func (p *Provider) WithdrawEvacuation(centre string) { p.Delete("op", evacuationPrefix+centre) }

// DeleteServer removes the row of a backend server.
func (p *Provider) DeleteServer(id string) { p.Delete("servers", id) }

// FrontBounds are the bounds of the deployment in a front's settings. Suffixes
// are units: S seconds, MS milliseconds.
type FrontBounds struct {
	GracePeriodS, MaxLoadFactor, RetryRatio, RetryWindowS, RetrySlack float64
	DrainTimeoutMS                                                    float64
	// A cold server may get ColdFactor times the requests a second that it tolerates, and
	// ColdSlack more; a ColdFactor of 0 means no limit.
	ColdFactor, ColdSlack float64
}

// FrontSettings describes the settings file of a front.
type FrontSettings struct {
	Name, ListenAddress, ReadyAddress, ControlAddress, StoreAddress string
	IP                                                              string
	Seeds                                                           []string
	Bounds                                                          FrontBounds
	// Comment is written as a setting that fronts do not know.
	Comment string
}

// Text returns the content of the settings file.
func (s FrontSettings) Text() ([]byte, error) {
	text, err := json.Marshal(map[string]any{
		"node": s.Name, "ip": s.IP, "zone": defaultCentre, "heartbeat_ms": 1200, "seeds": s.Seeds, "comment": s.Comment,
		"listen":   map[string]string{"front": s.ListenAddress, "ready": s.ReadyAddress, "control": s.ControlAddress},
		"provider": map[string]string{"address": s.StoreAddress},
		"bounds": map[string]float64{
			"grace_s": s.Bounds.GracePeriodS, "cap_x": s.Bounds.MaxLoadFactor, "drain_timeout_ms": s.Bounds.DrainTimeoutMS,
			"retry_budget_ratio": s.Bounds.RetryRatio, "retry_window_s": s.Bounds.RetryWindowS, "retry_budget_slack": s.Bounds.RetrySlack,
			"cold_over": s.Bounds.ColdFactor, "cold_slack": s.Bounds.ColdSlack,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", s.Name, err)
	}
	return text, nil
}
