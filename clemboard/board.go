// Package clemboard holds the state that the components of a process share:
// configuration, hosts, loads and drain. Controllers replace its values, which
// are immutable, so requests read them without locking.
package clemboard

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Value holds a pointer to an immutable value and notifies watchers when it is
// replaced. The zero Value holds nil and is ready to use.
type Value[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Get returns the value, or nil if none has been set. The caller must not modify
// it.
func (v *Value[T]) Get() *T { return v.value.Load() }

// Set replaces the value and notifies watchers.
func (v *Value[T]) Set(value *T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.store(value)
}

// Update atomically replaces the value with the result of change, which gets the
// current value. If change returns nil, the value is not replaced.
func (v *Value[T]) Update(change func(old *T) *T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if value := change(v.value.Load()); value != nil {
		v.store(value)
	}
}

// Watch returns the value and a channel that is closed when the value is
// replaced.
func (v *Value[T]) Watch() (*T, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.value.Load(), v.changed
}

func (v *Value[T]) store(value *T) {
	v.value.Store(value)
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}

// Members is the set of active hosts, those that may get new work. It also
// knows inactive hosts, which exist but get no new work. A nil Members, which
// the board holds until the first list is read, has no hosts.
type Members struct {
	active         []*clemwire.Host
	activeByPool   map[string][]*clemwire.Host
	activeByName   map[string]*clemwire.Host
	inactiveByName map[string]*clemwire.Host
}

// NewMembers returns Members with the given hosts; draining ones are inactive.
// The hosts must not be modified afterwards.
func NewMembers(hosts []*clemwire.Host) *Members {
	m := &Members{activeByPool: map[string][]*clemwire.Host{}, activeByName: map[string]*clemwire.Host{}, inactiveByName: map[string]*clemwire.Host{}}
	for _, host := range hosts {
		if host.GetLeaving() {
			m.inactiveByName[host.GetName()] = host
			continue
		}
		m.active = append(m.active, host)
		m.activeByName[host.GetName()] = host
		if host.GetPool() != "" {
			m.activeByPool[host.GetPool()] = append(m.activeByPool[host.GetPool()], host)
		}
	}
	return m
}

// WithInactive returns a copy with further inactive hosts.
func (m *Members) WithInactive(hosts []*clemwire.Host) *Members {
	with := *m
	with.inactiveByName = maps.Clone(m.inactiveByName)
	for _, host := range hosts {
		with.inactiveByName[host.GetName()] = host
	}
	return &with
}

// AnyHost returns the host with the given name, active or inactive, or nil. An
// inactive host may still have running work, answers and claims.
func (m *Members) AnyHost(name string) *clemwire.Host {
	if m == nil {
		return nil
	}
	if host := m.activeByName[name]; host != nil {
		return host
	}
	return m.inactiveByName[name]
}

// Hosts returns all active hosts.
func (m *Members) Hosts() []*clemwire.Host {
	if m == nil {
		return nil
	}
	return m.active
}

// Pool returns the active backend servers of a pool.
func (m *Members) Pool(name string) []*clemwire.Host {
	if m == nil {
		return nil
	}
	return m.activeByPool[name]
}

// Host returns the active host with the given name, or nil.
func (m *Members) Host(name string) *clemwire.Host {
	if m == nil {
		return nil
	}
	return m.activeByName[name]
}

// Board holds the shared state of one process.
type Board struct {
	config           Value[clemconfig.State]
	members          Value[Members]
	loads            Value[Loads]
	hostList         Value[HostList]
	listConfirmation Value[ListConfirmation]
	drain            Value[Drain]
}

// New returns an empty board.
func New() *Board { return &Board{} }

// Config returns the Value of the current configuration, which clemrelay writes.
func (b *Board) Config() *Value[clemconfig.State] { return &b.config }

// Members returns the Value of the active and inactive hosts, which clemmember
// writes.
func (b *Board) Members() *Value[Members] { return &b.members }

// HostList returns the Value of the platform's host list as last read. clemmember
// writes it when it reads the platform, clemrelay when it applies a parent's
// changes.
func (b *Board) HostList() *Value[HostList] { return &b.hostList }

// ListConfirmation returns the Value of the list's last confirmation. It has
// the same writers as HostList.
func (b *Board) ListConfirmation() *Value[ListConfirmation] { return &b.listConfirmation }

// Loads returns the Value of the pools' loads, which the report loop of
// clemrelay writes.
func (b *Board) Loads() *Value[Loads] { return &b.loads }

// Drain returns the Value of the reasons for draining. They are set on
// shutdown, by the platform's list, by operators and when a newer incarnation
// exists.
func (b *Board) Drain() *Value[Drain] { return &b.drain }
