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
	// rowRecoveryGrace is how long after a store outage, or a restore of the
	// store, a backend server without a row stays in use: rows that expired
	// during the outage or were lost are rewritten about two seconds after its
	// end.
	rowRecoveryGrace = 2200 * time.Millisecond
	// outageThreshold is the time without an update of the list, from the store
	// or from a peer, that counts as an outage: several read intervals.
	outageThreshold = 1500 * time.Millisecond
	// emptyDigest is the digest of a list without servers. It is not 0, which stands for
	// no digest.
	emptyDigest = 1
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
	// recoveredAt is the time of the first update after the last outage or restore.
	recoveredAt time.Time
	// history is the range of versions whose removals are known.
	history history
	// digest is that of the servers in rows: two lists with the same servers have the same,
	// whatever versions of the rows they have.
	digest uint64
	// needsWholeList is set if the changes that a peer sent do not lead to the peer's list.
	needsWholeList bool
	// pendingRemovals holds the servers whose rows disappeared around an outage or restore,
	// with the time at which they are removed from the directory.
	pendingRemovals map[string]time.Time
}

// serverRow is the last known state of a backend server's row.
type serverRow struct {
	change clementineturn.Change
	record clempool.Record
	// version is the store's version at the last change other than a heartbeat.
	version uint64
	// digest is that of the record, or 0 if the row names no server.
	digest uint64
}

// listState is the version of the store that a list reflects and the digest of its servers.
type listState struct{ version, digest uint64 }

func newServerList(c Config) *serverList {
	return &serverList{
		directory: c.Directory, decode: c.DecodeServer, events: c.Events,
		rows: map[string]serverRow{}, pendingRemovals: map[string]time.Time{}, digest: emptyDigest,
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
// are dropped, since reads of the store may be stale; Apply then returns false.
func (l *serverList) Apply(batch clementineturn.Batch, isComplete bool, readAt, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applyLocked(batch, isComplete, readAt, now)
}

// applyLocked is Apply for callers that hold mu.
func (l *serverList) applyLocked(batch clementineturn.Batch, isComplete bool, readAt, now time.Time) bool {
	if batch.Version() < l.storeVersion {
		return false
	}
	isRestored := l.storeVersion > 0 && isOfEarlierEra(l.storeVersion, batch.Version())
	if isRestored || l.storeVersion > 0 && readAt.Sub(l.readAt) > outageThreshold {
		l.recoveredAt = readAt
	}
	if isRestored {
		l.deferPendingRemovals()
	}
	present := map[string]bool{}
	for _, change := range batch.Changes() {
		present[change.Key()] = true
		if isComplete {
			change = l.withKnownState(l.withListVersion(change, batch.Version()))
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
	switch {
	case isRestored:
		l.history = history{start: batch.Version()}
	case isComplete:
		l.history.skip(l.storeVersion, batch.Version())
	}
	if batch.Version() > l.storeVersion {
		l.needsWholeList = false
	}
	l.storeVersion = batch.Version()
	if readAt.After(l.readAt) {
		l.readAt = readAt
	}
	l.directory.ListRead(l.readAt)
	return true
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
	// At the version of a leaving server's row, a restored store may have an earlier state of
	// it: see withKnownState.
	isLeaving := old.change.Removed() || old.record.IsDraining()
	if known && (old.change.Version() > change.Version() || old.change.Version() == change.Version() && isLeaving) {
		return
	}
	if change.Removed() {
		// A peer may have the row although this list does not: the store returns only the
		// last change of a row that was written and removed since the last read.
		l.setRow(id, serverRow{change: change, record: old.record, version: change.Version()})
		if known && !old.change.Removed() {
			l.removeOrDefer(id, now)
		}
		return
	}
	record, err := l.decode(id, change.Value())
	if err != nil {
		if !known || !slices.Equal(old.change.Value(), change.Value()) {
			l.events.Emit(clemevent.ServerInvalid, zap.String("server", id), zap.Uint64("version", clementineturn.VersionNumber(change.Version())), zap.Error(err))
		}
		l.setRow(id, serverRow{change: change, version: change.Version()})
		l.removeOrDefer(id, now)
		return
	}
	delete(l.pendingRemovals, id)
	if problem := record.Cold().Problem; problem != "" && (!known || old.record.Cold().Problem != problem) {
		l.events.Emit(clemevent.ServerColdInvalid, zap.String("server", id), zap.Uint64("version", clementineturn.VersionNumber(change.Version())), zap.String("problem", problem))
	}
	if problem := record.SoftwareProblem(); problem != "" && (!known || old.record.SoftwareProblem() != problem) {
		l.events.Emit(clemevent.ServerVersionInvalid, zap.String("server", id), zap.Uint64("version", clementineturn.VersionNumber(change.Version())), zap.String("problem", problem))
	}
	version, isChanged, isColdMoved := change.Version(), false, false
	isSameRow := old.change.Version() == version || isOfEarlierEra(old.change.Version(), version) && old.record.Incarnation() == record.Incarnation()
	if known && isSameRow && !old.change.Removed() {
		// The same row as before, or an earlier one of a restored store: it counts from
		// its first reading.
		isChanged = l.directory.Put(record)
	} else {
		isChanged, isColdMoved = l.directory.PutRow(record, readAt, now)
	}
	digest, isSame := old.digest, known && !old.change.Removed() && clempool.EqualExceptCold(old.record, record)
	if !isSame {
		digest = record.Digest()
	}
	if isSame && !isColdMoved {
		version = old.version
	}
	l.setRow(id, serverRow{change: change, record: record, version: version, digest: digest})
	if isChanged {
		l.events.Emit(clemevent.ServerListed, zap.String("server", id), zap.String("service", record.Service()),
			zap.String("address", record.Address()), zap.String("software", record.SoftwareVersion()), zap.Bool("leaving", record.IsDraining()), zap.Uint64("version", clementineturn.VersionNumber(change.Version())))
	}
}

// setRow sets the state of a row, and with it the digest of the list.
func (l *serverList) setRow(id string, row serverRow) {
	l.digest ^= l.rows[id].digest ^ row.digest
	l.rows[id] = row
}

// digestAfter returns the digest that the list would have with the changes.
func (l *serverList) digestAfter(changes []clementineturn.Change) uint64 {
	digest := l.digest
	for _, change := range changes {
		old := l.rows[change.Key()]
		if old.change.Version() > change.Version() {
			continue
		}
		digest ^= old.digest
		if change.Removed() {
			continue
		}
		if record, err := l.decode(change.Key(), change.Value()); err == nil {
			digest ^= record.Digest()
		}
	}
	return digest
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
		l.events.Emit(clemevent.ServerUnlisted, zap.String("server", id), zap.Uint64("view", clementineturn.VersionNumber(l.storeVersion)))
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
// version after which they changed and the list's state. Rows with a new heartbeat
// only are left out. If removals after the peer's version are not known, the version
// is 0 and the rows are the whole list.
//
// Rows may be missing if the peer's version is one that this list never was at: of a
// row that was removed at that version and is as before again, the list knows only a
// heartbeat. The digest shows it.
func (l *serverList) RowsSince(version uint64) (rows []*clemwire.ServerRow, since uint64, state listState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history.covers(version) {
		since = version
	}
	for id, r := range l.rows {
		if r.version <= since {
			continue
		}
		if since == 0 && r.change.Removed() {
			continue
		}
		rows = append(rows, &clemwire.ServerRow{
			Key: id, Value: r.change.Value(), Version: r.change.Version(),
			Removed: r.change.Removed(),
		})
	}
	return rows, since, listState{l.storeVersion, l.digest}
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
// the given time. It returns false if the report is older than the list or, as its
// digest shows, leaves out changes that this entry lacks.
func (l *serverList) ApplyShare(share *clemwire.Share, transit time.Duration, now time.Time) bool {
	if share.GetBare() || share.GetView() == 0 {
		return false
	}
	changes := make([]clementineturn.Change, len(share.GetRows()))
	for i, r := range share.GetRows() {
		changes[i] = clementineturn.NewChange(clementineturn.ChangeConfig{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if share.GetView() < l.storeVersion {
		return false
	}
	isNewer := share.GetView() > l.storeVersion
	isComplete := isNewer && share.GetSince() == 0
	if isNewer && !isComplete && !l.areAllChanges(share, changes) {
		return false
	}
	readAt := now.Add(-decodeAge(share.GetAge()) - transit)
	l.applyLocked(clementineturn.NewBatch(changes, share.GetView()), isComplete, readAt, now)
	return true
}

// areAllChanges reports whether the changes in a peer's report lead from this list to the
// peer's. The caller holds mu.
func (l *serverList) areAllChanges(share *clemwire.Share, changes []clementineturn.Change) bool {
	if share.GetDigest() == 0 {
		// Only entries of earlier versions send changes without a digest.
		return l.storeVersion >= share.GetSince() && (l.storeVersion >= share.GetFloor() || l.storeVersion == share.GetSince())
	}
	if l.digestAfter(changes) == share.GetDigest() {
		return true
	}
	if l.storeVersion == share.GetSince() && !l.needsWholeList {
		l.needsWholeList = true
		l.events.Emit(clemevent.ServerListDiverged, zap.String("entry", share.GetName()), zap.Uint64("version", clementineturn.VersionNumber(l.storeVersion)), zap.Uint64("view", clementineturn.VersionNumber(share.GetView())))
	}
	return false
}

// NeedsWholeList reports whether changes did not lead to a peer's list, so that this entry
// has to read the store or get a whole list.
func (l *serverList) NeedsWholeList() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.needsWholeList
}

// HistoryStart returns the version after which every removal is known.
func (l *serverList) HistoryStart() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history.end()
}
