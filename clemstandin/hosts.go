package clemstandin

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// hostListVersion is the list of hosts at one version.
type hostListVersion struct {
	version uint64
	hosts   []*clemwire.Host
}

// Hosts is an in-memory list of hosts with the faults of a Table. Reads can be
// made to return an outdated list.
type Hosts struct {
	faultInjector
	lag     time.Duration
	current map[string]*clemwire.Host
	version uint64
	history history[hostListVersion]
}

// NewHosts returns a list with the given hosts.
func NewHosts(hosts ...*clemwire.Host) *Hosts {
	h := &Hosts{current: map[string]*clemwire.Host{}}
	h.Replace(hosts)
	return h
}

// SetLag sets the age of the list that reads return, at most one minute.
func (h *Hosts) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = min(lag, maxLag)
}

// Replace replaces the whole list.
func (h *Hosts) Replace(hosts []*clemwire.Host) {
	h.change(func() {
		clear(h.current)
		for _, host := range hosts {
			h.current[host.GetName()] = proto.CloneOf(host)
		}
	})
}

// Set adds or replaces one host.
func (h *Hosts) Set(host *clemwire.Host) {
	h.change(func() { h.current[host.GetName()] = proto.CloneOf(host) })
}

// Remove removes a host from the list.
func (h *Hosts) Remove(name string) {
	h.change(func() { delete(h.current, name) })
}

// Drain marks a host as draining and reports whether it is in the list.
func (h *Hosts) Drain(name string) bool {
	found := false
	h.change(func() {
		host := h.current[name]
		if found = host != nil; !found {
			return
		}
		host = proto.CloneOf(host)
		host.Leaving = true
		h.current[name] = host
	})
	return found
}

func (h *Hosts) change(apply func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply()
	h.version++
	state := hostListVersion{version: h.version}
	for _, name := range slices.Sorted(maps.Keys(h.current)) {
		state.hosts = append(state.hosts, h.current[name])
	}
	h.history.add(state)
}

// List implements clementineturn.Hosts.
func (h *Hosts) List(ctx context.Context, since clementineturn.Version) ([]*clemwire.Host, clementineturn.Version, error) {
	if err := h.beginRead(ctx); err != nil {
		return nil, "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.history.at(h.lag)
	version := clementineturn.Version(strconv.FormatUint(state.version, 10))
	if version == since {
		return nil, version, nil
	}
	hosts := make([]*clemwire.Host, len(state.hosts))
	for i, host := range state.hosts {
		hosts[i] = proto.CloneOf(host)
	}
	return hosts, version, nil
}
