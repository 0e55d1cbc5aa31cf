package clemrelay

import (
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxLists is the number of latest host lists that children may differ from.
	maxLists = 16
	// maxHostChanges is the most hosts whose changes a reply carries. A child
	// that lacks more reads the platform's list itself.
	maxHostChanges = 32
)

// lists remembers the latest host lists, the newest last.
type lists struct {
	mu   sync.Mutex
	past []*clemboard.HostList
}

// see adds the list if it is new, and returns the one of the digest, or nil.
func (l *lists) see(list *clemboard.HostList, digest uint64) *clemboard.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.past); n == 0 || l.past[n-1].Digest() != list.Digest() {
		l.past = append(l.past[max(0, n+1-maxLists):], list)
	}
	for _, old := range l.past {
		if old.Digest() == digest {
			return old
		}
	}
	return nil
}

// hostChanges returns what leads from a child's list to this process's, or
// nil if this process has none.
func (r *Relay) hostChanges(digest uint64, now time.Time) *clemwire.HostChanges {
	list, confirmation := r.config.Board.HostList().Get(), r.config.Board.ListConfirmation().Get()
	if list == nil || confirmation == nil {
		return nil
	}
	changes := &clemwire.HostChanges{To: list.Digest(), Age: durationpb.New(roundAge(now.Sub(confirmation.Time())))}
	old := r.lists.see(list, digest)
	if old == nil || digest == list.Digest() {
		return changes
	}
	changed, removed := list.Diff(old)
	if len(changed)+len(removed) <= maxHostChanges {
		changes.From, changes.Hosts, changes.Removed = digest, changed, removed
	}
	return changes
}

// takeHosts brings the list up to the parent's. Without a match the list
// stays unconfirmed, and clemmember reads the platform's after a while.
func (r *Relay) takeHosts(changes *clemwire.HostChanges, now time.Time) {
	if changes == nil {
		return
	}
	list := r.config.Board.HostList()
	list.Update(func(old *clemboard.HostList) *clemboard.HostList {
		if old == nil || changes.GetFrom() != old.Digest() {
			return nil
		}
		next := old.WithChanges(changes.GetHosts(), changes.GetRemoved())
		if next.Digest() != changes.GetTo() {
			return nil
		}
		return next
	})
	if list.Get().Digest() != changes.GetTo() {
		return
	}
	at := now.Add(-changes.GetAge().AsDuration() - r.transit)
	r.config.Board.ListConfirmation().Update(func(old *clemboard.ListConfirmation) *clemboard.ListConfirmation {
		if old != nil && old.Time().After(at) {
			return clemboard.NewListConfirmation(old.Time(), true)
		}
		return clemboard.NewListConfirmation(at, true)
	})
}

// readHosts makes clemmember read the platform's list, as a process without
// a parent must.
func (r *Relay) readHosts() {
	r.config.Board.ListConfirmation().Update(func(old *clemboard.ListConfirmation) *clemboard.ListConfirmation {
		if !old.Relayed() {
			return nil
		}
		return clemboard.NewListConfirmation(old.Time(), false)
	})
}
