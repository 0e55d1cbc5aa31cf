package clemstandin

import (
	"encoding/json"
	"fmt"
)

// SettingsVariable is the environment variable with the path of a front's
// settings file.
const SettingsVariable = "CLEMENTINETURN_NODE_FILE"

// Route is a route in the operator's configuration.
type Route struct {
	Prefix, Kind, Service string
	Attempts              int
	Resumable, Affinity   bool
}

// ProviderConfiguration is the configuration that the operator writes.
type ProviderConfiguration struct {
	Version  int
	Host     string
	Routes   []Route
	Services []string
	// Keys holds the API key of each organisation by its name.
	Keys map[string]string
	// TimeoutMS and ObjectiveMS are the timeout and the latency target of every
	// route, in milliseconds.
	TimeoutMS, ObjectiveMS int
}

// Configure writes the configuration to the store, as the operator does.
func (p *Provider) Configure(m ProviderConfiguration) error {
	var routes, services, tenants []map[string]any
	for _, r := range m.Routes {
		routes = append(routes, map[string]any{
			"name": "r" + r.Prefix, "host": m.Host, "prefix": r.Prefix, "route_type": r.Kind, "service": r.Service,
			"timeout_ms": m.TimeoutMS, "latency_target_ms": m.ObjectiveMS, "gap_aim_ms": m.ObjectiveMS,
			"attempts": max(r.Attempts, 1), "resumable": r.Resumable, "session_affinity": r.Affinity,
		})
	}
	for _, name := range m.Services {
		services = append(services, map[string]any{"name": name})
	}
	for name, key := range m.Keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}})
	}
	return p.Put("op", "config", map[string]any{"version": m.Version, "routes": routes, "services": services, "tenants": tenants})
}

// List writes the row of a backend server that is ready or draining.
func (p *Provider) List(b *Backend, address string, draining bool) error {
	state := "ready"
	if draining {
		state = "draining"
	}
	return p.Put("servers", b.ID(), b.Row(address, state))
}

// Unlist removes the row of a backend server.
func (p *Provider) Unlist(id string) { p.Drop("servers", id) }

// Promises are the bounds of the deployment in a front's settings. Suffixes are
// units: S seconds, MS milliseconds.
type Promises struct {
	GraceS, Multiple, RetryShare, RetryWindowS, RetrySlack float64
	DrainMS                                                float64
}

// FrontSettings describes the settings file of a front.
type FrontSettings struct {
	Name, Listen, Ready, Control, Store string
	IP                                  string
	Seeds                               []string
	Promises                            Promises
	// Comment is written as a setting that fronts do not know.
	Comment string
}

// Text returns the content of the settings file.
func (s FrontSettings) Text() ([]byte, error) {
	text, err := json.Marshal(map[string]any{
		"node": s.Name, "ip": s.IP, "zone": "z", "heartbeat_ms": 1200, "seeds": s.Seeds, "comment": s.Comment,
		"listen":   map[string]string{"front": s.Listen, "ready": s.Ready, "control": s.Control},
		"provider": map[string]string{"address": s.Store},
		"bounds": map[string]float64{
			"grace_s": s.Promises.GraceS, "cap_x": s.Promises.Multiple, "drain_timeout_ms": s.Promises.DrainMS,
			"retry_budget_ratio": s.Promises.RetryShare, "retry_window_s": s.Promises.RetryWindowS, "retry_budget_slack": s.Promises.RetrySlack,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", s.Name, err)
	}
	return text, nil
}
