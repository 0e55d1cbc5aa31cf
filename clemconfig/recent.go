package clemconfig

import (
	"sync"

	"github.com/clementineturn/clementineturn/clemwire"
)

// maxRecent is the number of newest changes that a log keeps in memory.
const maxRecent = 256

// recent holds the newest changes that a log read or made, by generation.
type recent struct {
	mu      sync.Mutex
	newest  uint64
	changes map[uint64]*clemwire.Change
}

func newRecent() *recent { return &recent{changes: map[uint64]*clemwire.Change{}} }

func (r *recent) add(change *clemwire.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := change.GetGeneration()
	if generation+maxRecent <= r.newest {
		return
	}
	r.changes[generation] = change
	for ; r.newest < generation; r.newest++ {
		if r.newest+1 > maxRecent {
			delete(r.changes, r.newest+1-maxRecent)
		}
	}
}

// between returns the changes after one generation up to another, and false
// if they are not all held.
func (r *recent) between(after, last uint64) ([]*clemwire.Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last < after || last-after > maxRecent {
		return nil, false
	}
	var changes []*clemwire.Change
	for g := after + 1; g <= last; g++ {
		change, ok := r.changes[g]
		if !ok {
			return nil, false
		}
		changes = append(changes, change)
	}
	return changes, true
}
