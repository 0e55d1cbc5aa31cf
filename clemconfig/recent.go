package clemconfig

import (
	"sync"

	"github.com/clementineturn/clementineturn/clemwire"
)

// maxRecentChanges is the number of newest changes that a log caches in memory.
const maxRecentChanges = 256

// recentChanges caches the newest changes that a log read or committed, by
// generation. It is safe for concurrent use.
type recentChanges struct {
	mu      sync.Mutex
	newest  uint64
	changes map[uint64]*clemwire.Change
}

func newRecentChanges() *recentChanges { return &recentChanges{changes: map[uint64]*clemwire.Change{}} }

func (r *recentChanges) add(change *clemwire.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := change.GetGeneration()
	if generation+maxRecentChanges <= r.newest {
		return
	}
	r.changes[generation] = change
	for ; r.newest < generation; r.newest++ {
		if r.newest+1 > maxRecentChanges {
			delete(r.changes, r.newest+1-maxRecentChanges)
		}
	}
}

// between returns the changes after one generation up to and including another,
// and false if they are not all cached.
func (r *recentChanges) between(after, last uint64) ([]*clemwire.Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last < after || last-after > maxRecentChanges {
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
