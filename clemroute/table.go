package clemroute

import "sync/atomic"

// Table holds the configuration in force. Versions never fall.
type Table struct {
	current atomic.Pointer[Configuration]
}

// Current returns the configuration in force, or nil before the first one.
func (t *Table) Current() *Configuration { return t.current.Load() }

// Version returns the version in force, or 0 before the first one.
func (t *Table) Version() uint64 {
	if c := t.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// Apply puts the configuration in force if it is newer, and reports whether it was.
func (t *Table) Apply(c *Configuration) bool {
	for {
		old := t.current.Load()
		if old != nil && old.Version() >= c.Version() {
			return false
		}
		if t.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
