package clemboard

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemwire"
)

// listedHost is a host with the digest of its fields.
type listedHost struct {
	host   *clemwire.Host
	digest uint64
}

// HostList is a snapshot of the platform's list of hosts.
type HostList struct {
	hosts  []listedHost
	digest uint64
}

// NewHostList returns the list of the hosts, which must not be modified
// afterwards.
func NewHostList(hosts []*clemwire.Host) *HostList {
	listed := make([]listedHost, len(hosts))
	for i, host := range hosts {
		listed[i] = newListedHost(host)
	}
	return newList(listed)
}

func newListedHost(host *clemwire.Host) listedHost {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(host)
	if err != nil {
		// A field is not valid UTF-8. The digest of the name alone still tells
		// hosts apart, but not versions of one host.
		data = []byte(host.GetName())
	}
	return listedHost{host: host, digest: xxhash.Sum64(data)}
}

func newList(listed []listedHost) *HostList {
	slices.SortFunc(listed, func(a, b listedHost) int { return strings.Compare(a.host.GetName(), b.host.GetName()) })
	l := &HostList{hosts: listed, digest: 1}
	for _, h := range listed {
		l.digest += h.digest
	}
	return l
}

// Hosts returns the hosts, sorted by name.
func (l *HostList) Hosts() []*clemwire.Host {
	hosts := make([]*clemwire.Host, len(l.hosts))
	for i, h := range l.hosts {
		hosts[i] = h.host
	}
	return hosts
}

// Len returns the number of hosts.
func (l *HostList) Len() int { return len(l.hosts) }

// Digest identifies the content of the list: two processes with the same
// content have the same digest. A nil HostList has 0.
func (l *HostList) Digest() uint64 {
	if l == nil {
		return 0
	}
	return l.digest
}

// Diff returns the difference from an older list: the hosts that are new or
// changed, and the names of those removed.
func (l *HostList) Diff(old *HostList) (changed []*clemwire.Host, removed []string) {
	i, j := 0, 0
	for i < len(l.hosts) || j < len(old.hosts) {
		switch order := compareAt(l.hosts, i, old.hosts, j); {
		case order < 0:
			changed = append(changed, l.hosts[i].host)
			i++
		case order > 0:
			removed = append(removed, old.hosts[j].host.GetName())
			j++
		default:
			if l.hosts[i].digest != old.hosts[j].digest {
				changed = append(changed, l.hosts[i].host)
			}
			i, j = i+1, j+1
		}
	}
	return changed, removed
}

// compareAt compares the names at two positions. The position after the last
// element sorts last.
func compareAt(a []listedHost, i int, b []listedHost, j int) int {
	switch {
	case i == len(a):
		return 1
	case j == len(b):
		return -1
	}
	return strings.Compare(a[i].host.GetName(), b[j].host.GetName())
}

// WithChanges returns a copy of the list with the given changes applied.
func (l *HostList) WithChanges(changed []*clemwire.Host, removed []string) *HostList {
	drop := make(map[string]bool, len(changed)+len(removed))
	for _, name := range removed {
		drop[name] = true
	}
	for _, host := range changed {
		drop[host.GetName()] = true
	}
	listed := make([]listedHost, 0, len(l.hosts)+len(changed))
	for _, h := range l.hosts {
		if !drop[h.host.GetName()] {
			listed = append(listed, h)
		}
	}
	for _, host := range changed {
		listed = append(listed, newListedHost(host))
	}
	return newList(listed)
}

// ListConfirmation is the time of the platform's latest confirmation of the
// list, and whether this process got it through another process.
type ListConfirmation struct {
	confirmed time.Time
	relayed   bool
}

// NewListConfirmation returns a confirmation at the given time. relayed tells
// whether it came through another process or from the platform itself.
func NewListConfirmation(confirmed time.Time, relayed bool) *ListConfirmation {
	return &ListConfirmation{confirmed: confirmed, relayed: relayed}
}

// Time returns when the platform confirmed the list, on this process's clock.
func (h *ListConfirmation) Time() time.Time { return h.confirmed }

// Relayed reports whether the confirmation came through another process.
func (h *ListConfirmation) Relayed() bool { return h != nil && h.relayed }
