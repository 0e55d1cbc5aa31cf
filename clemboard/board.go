// Package clemboard is the blackboard of a process: controllers write what
// they learned into its slots and read what others wrote. A slot holds an
// immutable value, so readers take no lock.
package clemboard

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Slot holds one value of the board and tells readers when it changes. The
// zero slot is empty and ready to use.
type Slot[T any] struct {
	value atomic.Pointer[T]
	mu    sync.Mutex
	next  chan struct{}
}

// Get returns the value, or nil if the slot is empty. The value must not be changed.
func (s *Slot[T]) Get() *T { return s.value.Load() }

// Set replaces the value and wakes watchers.
func (s *Slot[T]) Set(value *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(value)
}

// Update replaces the value by what change makes of it, with no other writer
// in between. A change that returns nil leaves the slot as it is.
func (s *Slot[T]) Update(change func(old *T) *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value := change(s.value.Load()); value != nil {
		s.store(value)
	}
}

// Watch returns the value and a channel that is closed when it is replaced.
func (s *Slot[T]) Watch() (*T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.value.Load(), s.next
}

func (s *Slot[T]) store(value *T) {
	s.value.Store(value)
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// Members is the set of hosts that take part, without the leaving ones. A nil
// Members, as the board holds before the first list, has none.
type Members struct {
	hosts []*clemwire.Host
	pools map[string][]*clemwire.Host
	names map[string]*clemwire.Host
	known map[string]*clemwire.Host
}

// NewMembers returns the members among the hosts. Hosts must not be changed afterwards.
func NewMembers(hosts []*clemwire.Host) *Members {
	m := &Members{pools: map[string][]*clemwire.Host{}, names: map[string]*clemwire.Host{}, known: map[string]*clemwire.Host{}}
	for _, host := range hosts {
		if host.GetLeaving() {
			m.known[host.GetName()] = host
			continue
		}
		m.hosts = append(m.hosts, host)
		m.names[host.GetName()] = host
		if host.GetPool() != "" {
			m.pools[host.GetPool()] = append(m.pools[host.GetPool()], host)
		}
	}
	return m
}

// WithKnown returns the members with further hosts that exist but take no new
// work, such as drained ones.
func (m *Members) WithKnown(hosts []*clemwire.Host) *Members {
	with := *m
	with.known = maps.Clone(m.known)
	for _, host := range hosts {
		with.known[host.GetName()] = host
	}
	return &with
}

// Known returns the host of the name if the list holds it, member or not, or
// nil. Running work, answers and claims of a host that leaves are still there.
func (m *Members) Known(name string) *clemwire.Host {
	if m == nil {
		return nil
	}
	if host := m.names[name]; host != nil {
		return host
	}
	return m.known[name]
}

// Hosts returns every member.
func (m *Members) Hosts() []*clemwire.Host {
	if m == nil {
		return nil
	}
	return m.hosts
}

// Pool returns the backend servers of a pool.
func (m *Members) Pool(name string) []*clemwire.Host {
	if m == nil {
		return nil
	}
	return m.pools[name]
}

// Host returns the member of the name, or nil.
func (m *Members) Host(name string) *clemwire.Host {
	if m == nil {
		return nil
	}
	return m.names[name]
}

// Board is the blackboard of one process.
type Board struct {
	config  Slot[clemconfig.State]
	members Slot[Members]
	loads   Slot[Loads]
	list    Slot[List]
	heard   Slot[Heard]
	drain   Slot[Drain]
}

// New returns an empty board.
func New() *Board { return &Board{} }

// Config holds the configuration in force. Its controller is the follower of clemrelay.
func (b *Board) Config() *Slot[clemconfig.State] { return &b.config }

// Members holds the hosts of the platform's list after damping. Its
// controller is clemmember.
func (b *Board) Members() *Slot[Members] { return &b.members }

// List holds the platform's list of hosts as it was last read. Its writers are
// clemmember, which reads the platform, and clemrelay, which takes the
// parent's differences.
func (b *Board) List() *Slot[List] { return &b.list }

// Heard holds when the list was last confirmed. Its writers are those of List.
func (b *Board) Heard() *Slot[Heard] { return &b.heard }

// Loads holds the sums per pool. Its controller is the beat loop of clemrelay.
func (b *Board) Loads() *Slot[Loads] { return &b.loads }

// Drain holds why the process takes no new work. Its writers are shutdown,
// the platform's list and the operators' drains.
func (b *Board) Drain() *Slot[Drain] { return &b.drain }
