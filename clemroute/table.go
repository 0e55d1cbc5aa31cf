package clemroute

import "sync/atomic"

// Table holds the current configuration, whose version never decreases. It is
// safe for concurrent use.
type Table struct {
	current atomic.Pointer[Configuration]
}

// Current returns the current configuration, or nil before the first one.
func (t *Table) Current() *Configuration { return t.current.Load() }

// Version returns the current configuration's version, or 0 before the first one.
func (t *Table) Version() uint64 {
	if c := t.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// Apply makes the configuration the current one if it is newer, and reports
// whether it was.
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
