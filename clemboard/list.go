package clemboard

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemwire"
)

// item is a host with the digest of its fields.
type item struct {
	host *clemwire.Host
	sum  uint64
}

// List is the platform's list of hosts at one moment.
type List struct {
	items  []item
	digest uint64
}

// NewList returns the list of the hosts, which must not be changed afterwards.
func NewList(hosts []*clemwire.Host) *List {
	items := make([]item, len(hosts))
	for i, host := range hosts {
		items[i] = newItem(host)
	}
	return newList(items)
}

func newItem(host *clemwire.Host) item {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(host)
	if err != nil {
		// Text that is not UTF-8; the name still tells the host from others.
		data = []byte(host.GetName())
	}
	return item{host: host, sum: xxhash.Sum64(data)}
}

func newList(items []item) *List {
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.host.GetName(), b.host.GetName()) })
	l := &List{items: items, digest: 1}
	for _, i := range items {
		l.digest += i.sum
	}
	return l
}

// Hosts returns the hosts, sorted by name.
func (l *List) Hosts() []*clemwire.Host {
	hosts := make([]*clemwire.Host, len(l.items))
	for i, item := range l.items {
		hosts[i] = item.host
	}
	return hosts
}

// Len returns the number of hosts.
func (l *List) Len() int { return len(l.items) }

// Digest identifies the content of the list: two processes with the same
// content have the same digest. A nil List has 0.
func (l *List) Digest() uint64 {
	if l == nil {
		return 0
	}
	return l.digest
}

// Since returns the hosts that are new or changed and the names of those that
// are gone, compared with an older list.
func (l *List) Since(old *List) (changed []*clemwire.Host, removed []string) {
	i, j := 0, 0
	for i < len(l.items) || j < len(old.items) {
		switch order := compareAt(l.items, i, old.items, j); {
		case order < 0:
			changed = append(changed, l.items[i].host)
			i++
		case order > 0:
			removed = append(removed, old.items[j].host.GetName())
			j++
		default:
			if l.items[i].sum != old.items[j].sum {
				changed = append(changed, l.items[i].host)
			}
			i, j = i+1, j+1
		}
	}
	return changed, removed
}

// compareAt compares the names at two places; past the end comes last.
func compareAt(a []item, i int, b []item, j int) int {
	switch {
	case i == len(a):
		return 1
	case j == len(b):
		return -1
	}
	return strings.Compare(a[i].host.GetName(), b[j].host.GetName())
}

// With returns the list after changes.
func (l *List) With(changed []*clemwire.Host, removed []string) *List {
	drop := make(map[string]bool, len(changed)+len(removed))
	for _, name := range removed {
		drop[name] = true
	}
	for _, host := range changed {
		drop[host.GetName()] = true
	}
	items := make([]item, 0, len(l.items)+len(changed))
	for _, i := range l.items {
		if !drop[i.host.GetName()] {
			items = append(items, i)
		}
	}
	for _, host := range changed {
		items = append(items, newItem(host))
	}
	return newList(items)
}

// Heard tells when the platform last confirmed the list, and from whom this
// process knows.
type Heard struct {
	time    time.Time
	relayed bool
}

// NewHeard returns a confirmation at the given time, relayed by another
// process or by the platform itself.
func NewHeard(at time.Time, relayed bool) *Heard { return &Heard{time: at, relayed: relayed} }

// Time returns when the platform confirmed the list, on this process's clock.
func (h *Heard) Time() time.Time { return h.time }

// Relayed reports whether another process passed the confirmation on.
func (h *Heard) Relayed() bool { return h != nil && h.relayed }
