package clemrelay

import (
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxHostLists is the number of host lists kept, the latest ones. A child that
	// holds one of them is sent the difference.
	maxHostLists = 16
	// maxHostChanges is the largest number of changed hosts in a reply. A child
	// that lacks more reads the platform's list itself.
	maxHostChanges = 32
)

// hostListHistory holds the latest host lists, the newest last.
type hostListHistory struct {
	mu     sync.Mutex
	recent []*clemboard.HostList
}

// addAndFind adds the list if it is new and returns the list with the given
// digest, or nil if it is not held.
func (l *hostListHistory) addAndFind(list *clemboard.HostList, digest uint64) *clemboard.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.recent); n == 0 || l.recent[n-1].Digest() != list.Digest() {
		l.recent = append(l.recent[max(0, n+1-maxHostLists):], list)
	}
	for _, old := range l.recent {
		if old.Digest() == digest {
			return old
		}
	}
	return nil
}

// hostChangesSince returns the changes from the list with the given digest, which
// a child holds, to this process's list, or nil if this process has none.
func (r *Relay) hostChangesSince(digest uint64, now time.Time) *clemwire.HostChanges {
	list, confirmation := r.config.Board.HostList().Get(), r.config.Board.ListConfirmation().Get()
	if list == nil || confirmation == nil {
		return nil
	}
	changes := &clemwire.HostChanges{To: list.Digest(), Age: durationpb.New(roundUpAge(now.Sub(confirmation.Time())))}
	old := r.hostLists.addAndFind(list, digest)
	if old == nil || digest == list.Digest() {
		return changes
	}
	changed, removed := list.Diff(old)
	if len(changed)+len(removed) <= maxHostChanges {
		changes.From, changes.Hosts, changes.Removed = digest, changed, removed
	}
	return changes
}

// applyHostChanges updates the host list to the parent's. If the digests do not
// match, the list is not confirmed, and clemmember reads the platform's list after
// a while.
func (r *Relay) applyHostChanges(changes *clemwire.HostChanges, now time.Time) {
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
	confirmedAt := now.Add(-changes.GetAge().AsDuration() - r.maxTransit)
	r.config.Board.ListConfirmation().Update(func(old *clemboard.ListConfirmation) *clemboard.ListConfirmation {
		if old != nil && old.Time().After(confirmedAt) {
			return clemboard.NewListConfirmation(old.Time(), true)
		}
		return clemboard.NewListConfirmation(confirmedAt, true)
	})
}

// requestListRead marks the list as not relayed, so that clemmember reads it from
// the platform, as a process without a parent must.
func (r *Relay) requestListRead() {
	r.config.Board.ListConfirmation().Update(func(old *clemboard.ListConfirmation) *clemboard.ListConfirmation {
		if !old.Relayed() {
			return nil
		}
		return clemboard.NewListConfirmation(old.Time(), false)
	})
}
