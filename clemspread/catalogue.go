// Package clemspread keeps an entry's configuration and list of backend servers
// up to date from the platform's store and from the other entries, its peers.
// Peers also exchange their counts of running requests and the prompt parts that
// engines have cached, on which the choice of a server for a request depends.
package clemspread

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// rowRecoveryGrace is how long after a store outage a backend server
	// without a row stays in use: rows that expired during the outage are
	// rewritten about two seconds after its end.
	rowRecoveryGrace = 2200 * time.Millisecond
	// outageThreshold is the time without an update of the list, from the store
	// or from a peer, that counts as an outage: several read intervals.
	outageThreshold = 1500 * time.Millisecond
)

// serverList holds the rows of backend servers and applies their changes to
// the directory.
type serverList struct {
	directory *clempool.Directory
	decode    func(id string, value []byte) (clempool.Record, error)
	events    *clemevent.Logger

	// mu guards the fields below. The directory's lock is taken while mu is held.
	mu   sync.Mutex
	rows map[string]serverRow
	// storeVersion is the version of the store that the rows reflect, and readAt
	// the latest time at which the store was known to be at it.
	storeVersion uint64
	readAt       time.Time
	// recoveredAt is the time of the first update after the last outage.
	recoveredAt time.Time
	// history is the versions that the list was at.
	history history
	// pendingRemovals holds the servers whose rows disappeared around an outage,
	// with the time at which they are removed from the directory.
	pendingRemovals map[string]time.Time
}

// serverRow is the last known state of a backend server's row.
type serverRow struct {
	change clementineturn.Change
	record clempool.Record
	// version is the store's version at the last change other than a heartbeat.
	version uint64
}

func newServerList(c Config) *serverList {
	return &serverList{
		directory: c.Directory, decode: c.DecodeServer, events: c.Events,
		rows: map[string]serverRow{}, pendingRemovals: map[string]time.Time{},
	}
}

// StoreVersion returns the version of the store that the rows reflect and how
// long ago the store was known to be at it. Before the first read the version
// is 0 and the age one hour.
func (l *serverList) StoreVersion(now time.Time) (uint64, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeVersion == 0 {
		return 0, time.Hour
	}
	return l.storeVersion, now.Sub(l.readAt)
}

// Apply applies changed rows. If isComplete is set, the batch holds every row
// and servers without one are removed. Batches older than the current version
// are dropped, since reads of the store may be stale.
func (l *serverList) Apply(batch clementineturn.Batch, isComplete bool, readAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLocked(batch, isComplete, !isComplete, readAt, now)
}

// applyLocked is Apply for a batch of the store or of a peer. If hasAllChanges is set, the
// batch holds every row that was written or removed since the list's version. The caller
// holds mu.
func (l *serverList) applyLocked(batch clementineturn.Batch, isComplete, hasAllChanges bool, readAt, now time.Time) {
	if batch.Version() < l.storeVersion {
		return
	}
	if l.storeVersion > 0 && readAt.Sub(l.readAt) > outageThreshold {
		l.recoveredAt = readAt
	}
	present := map[string]bool{}
	for _, change := range batch.Changes() {
		present[change.Key()] = true
		if isComplete {
			change = l.withListVersion(change, batch.Version())
		}
		l.applyChange(change, readAt, now)
	}
	if isComplete {
		for _, id := range slices.Collect(maps.Keys(l.rows)) {
			if !present[id] && !l.rows[id].change.Removed() {
				l.applyChange(clementineturn.NewChange(clementineturn.ChangeConfig{Key: id, Version: batch.Version(), Removed: true}), readAt, now)
			}
		}
	}
	l.history.add(batch.Version(), hasAllChanges)
	l.storeVersion = batch.Version()
	if readAt.After(l.readAt) {
		l.readAt = readAt
	}
	l.directory.ListRead(l.readAt)
}

// withListVersion returns the change of a row in the whole list at the version. The list may
// be a peer's, which does not get heartbeats, so that its version of the row may be older. If
// this entry knows a later state of the row, the row was written again since: the result then
// has the list's version.
func (l *serverList) withListVersion(change clementineturn.Change, version uint64) clementineturn.Change {
	old, known := l.rows[change.Key()]
	if !known || old.change.Version() <= change.Version() {
		return change
	}
	if !old.change.Removed() {
		record, err := l.decode(change.Key(), change.Value())
		if err == nil && clempool.EqualExceptCold(old.record, record) {
			return change
		}
	}
	return clementineturn.NewChange(clementineturn.ChangeConfig{Key: change.Key(), Value: change.Value(), Version: version})
}

func (l *serverList) applyChange(change clementineturn.Change, readAt, now time.Time) {
	id := change.Key()
	old, known := l.rows[id]
	if known && old.change.Version() > change.Version() {
		return
	}
	if change.Removed() {
		// A peer may have the row although this list does not: the store returns only the
		// last change of a row that was written and removed since the last read.
		l.rows[id] = serverRow{change: change, record: old.record, version: change.Version()}
		if known && !old.change.Removed() {
			l.removeOrDefer(id, now)
		}
		return
	}
	record, err := l.decode(id, change.Value())
	if err != nil {
		if !known || !slices.Equal(old.change.Value(), change.Value()) {
			l.events.Emit(clemevent.ServerInvalid, zap.String("server", id), zap.Uint64("version", change.Version()), zap.Error(err))
		}
		l.rows[id] = serverRow{change: change, version: change.Version()}
		l.removeOrDefer(id, now)
		return
	}
	delete(l.pendingRemovals, id)
	if problem := record.Cold().Problem; problem != "" && (!known || old.record.Cold().Problem != problem) {
		l.events.Emit(clemevent.ServerColdInvalid, zap.String("server", id), zap.Uint64("version", change.Version()), zap.String("problem", problem))
	}
	version, isChanged, isColdMoved := change.Version(), false, false
	if known && old.change.Version() == version && !old.change.Removed() {
		// The same row as before: it counts from its first reading.
		isChanged = l.directory.Put(record)
	} else {
		isChanged, isColdMoved = l.directory.PutRow(record, readAt, now)
	}
	if known && clempool.EqualExceptCold(old.record, record) && !isColdMoved && !old.change.Removed() {
		version = old.version
	}
	l.rows[id] = serverRow{change: change, record: record, version: version}
	if isChanged {
		l.events.Emit(clemevent.ServerListed, zap.String("server", id), zap.String("service", record.Service()),
			zap.String("address", record.Address()), zap.Bool("leaving", record.IsDraining()), zap.Uint64("version", change.Version()))
	}
}

// removeOrDefer removes a server from the directory. During the grace period
// after an outage of the store it only schedules the removal.
func (l *serverList) removeOrDefer(id string, now time.Time) {
	if until := l.recoveredAt.Add(rowRecoveryGrace); now.Before(until) {
		l.pendingRemovals[id] = until
		return
	}
	delete(l.pendingRemovals, id)
	if l.directory.Remove(id) {
		l.events.Emit(clemevent.ServerUnlisted, zap.String("server", id), zap.Uint64("view", l.storeVersion))
	}
}

// RemoveExpired removes the servers whose rows were not rewritten within the
// grace period after an outage.
func (l *serverList) RemoveExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.pendingRemovals {
		if now.After(at) {
			l.removeOrDefer(id, now)
		}
	}
}

// RowsSince returns the rows that a peer with the given store version lacks, the
// version after which they changed and the one that they reflect. If these rows are
// not known, the first of the two is 0 and the rows are the whole list.
func (l *serverList) RowsSince(version uint64) (rows []*clemwire.ServerRow, since, view uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history.covers(version) {
		since = version
	}
	wasAtVersion := l.history.includes(version)
	for id, r := range l.rows {
		changedAt := r.version
		if !wasAtVersion {
			// What looks like a heartbeat may be a row that was removed at the peer's
			// version and written again.
			changedAt = r.change.Version()
		}
		if changedAt <= since || since == 0 && r.change.Removed() {
			continue
		}
		rows = append(rows, &clemwire.ServerRow{
			Key: id, Value: r.change.Value(), Version: r.change.Version(),
			Removed: r.change.Removed(),
		})
	}
	return rows, since, l.storeVersion
}

// ChangesBase returns the version after which RowsSince would return the changes:
// the given one, or 0 if it would return the whole list.
func (l *serverList) ChangesBase(version uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.history.covers(version) {
		return 0
	}
	return version
}

// ApplyShare applies the rows in a peer's report that was in transit for at most
// the given time. It returns false if the report is older than the list, or if its
// rows are those that changed after another version than the list's, so that it may
// leave out some that this entry lacks.
func (l *serverList) ApplyShare(share *clemwire.Share, transit time.Duration, now time.Time) bool {
	if share.GetBare() || share.GetView() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if share.GetView() < l.storeVersion {
		return false
	}
	isComplete := share.GetSince() == 0 && share.GetView() > l.storeVersion
	if !isComplete && l.storeVersion != share.GetSince() && l.storeVersion != share.GetView() {
		return false
	}
	readAt := now.Add(-decodeAge(share.GetAge()) - transit)
	changes := make([]clementineturn.Change, len(share.GetRows()))
	for i, r := range share.GetRows() {
		changes[i] = clementineturn.NewChange(clementineturn.ChangeConfig{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	// Peers leave out heartbeats, and rows that were written and removed in between.
	l.applyLocked(clementineturn.NewBatch(changes, share.GetView()), isComplete, false, readAt, now)
	return true
}
