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

// hostState is the list at one version.
type hostState struct {
	version uint64
	hosts   []*clemwire.Host
}

// Hosts is the platform's list of hosts. Its answers lag behind the truth by a settable time.
type Hosts struct {
	gate
	lag     time.Duration
	current map[string]*clemwire.Host
	version uint64
	past    history[hostState]
}

// NewHosts returns a list of the given hosts.
func NewHosts(hosts ...*clemwire.Host) *Hosts {
	h := &Hosts{current: map[string]*clemwire.Host{}}
	h.Replace(hosts)
	return h
}

// Lag sets the time by which answers lag behind the truth, at most a minute.
func (h *Hosts) Lag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = min(lag, maxLag)
}

// Replace sets the whole list.
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

// Remove takes a host off the list.
func (h *Hosts) Remove(name string) {
	h.change(func() { delete(h.current, name) })
}

// Leave marks a host as leaving and reports whether the list holds it.
func (h *Hosts) Leave(name string) bool {
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
	state := hostState{version: h.version}
	for _, name := range slices.Sorted(maps.Keys(h.current)) {
		state.hosts = append(state.hosts, h.current[name])
	}
	h.past.add(state)
}

// List implements clementineturn.Hosts.
func (h *Hosts) List(ctx context.Context, since clementineturn.Version) ([]*clemwire.Host, clementineturn.Version, error) {
	if err := h.enterRead(ctx); err != nil {
		return nil, "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.past.at(h.lag)
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
