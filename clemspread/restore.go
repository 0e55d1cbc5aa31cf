package clemspread

import (
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
)

// isOfEarlierEra reports whether the version is of an earlier era of the store than the
// other one.
func isOfEarlierEra(version, other uint64) bool {
	return clementineturn.VersionEra(version) < clementineturn.VersionEra(other)
}

// recordEra records the store's era, as of a version that this entry or a peer has read.
// If it has risen, what the system wrote to the store may be lost: this entry's row and
// quarantines are written again. A long poll from a version of an earlier era is ended,
// since the store may never answer it.
func (s *Syncer) recordEra(version uint64) {
	if version == 0 {
		return
	}
	s.mu.Lock()
	era, before := clementineturn.VersionEra(version), s.era
	isRestored := s.isEraKnown && era > before
	s.isEraKnown, s.era = true, max(before, era)
	cancel := s.cancelLongPoll
	s.mu.Unlock()
	if !isRestored {
		return
	}
	s.config.Events.Emit(clemevent.StoreRestored, zap.Uint64("era", era), zap.Uint64("before", before))
	s.config.Quarantine.ForgetStored()
	if s.config.OnStoreRestored != nil {
		s.config.OnStoreRestored()
	}
	select {
	case s.storeRestored <- struct{}{}:
	default:
	}
	if cancel != nil {
		s.operator.setRenewing(true)
		cancel()
	}
}

// isBeforeRestore reports whether a version is of an earlier era than the store's.
func (s *Syncer) isBeforeRestore(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clementineturn.VersionEra(version) < s.era
}

// withKnownState returns the change of a row in the whole list. In a restored store the row
// may be from before the server was known to be draining, gone or started again. The result
// then has that state, which stays until the server writes the row again.
func (l *serverList) withKnownState(change clementineturn.Change) clementineturn.Change {
	old, isKnown := l.rows[change.Key()]
	if !isKnown || !isOfEarlierEra(old.change.Version(), change.Version()) {
		return change
	}
	record, err := l.decode(change.Key(), change.Value())
	if err != nil || record.Incarnation() > old.record.Incarnation() {
		return change
	}
	_, isPending := l.pendingRemovals[change.Key()]
	isGone := old.change.Removed() && !isPending
	if !isGone && !old.record.IsDraining() && record.Incarnation() == old.record.Incarnation() {
		return change
	}
	return clementineturn.NewChange(clementineturn.ChangeConfig{
		Key: change.Key(), Value: old.change.Value(), Version: change.Version(), Removed: isGone,
	})
}

// deferPendingRemovals gives the servers that are about to be removed until the end of the
// grace period, since the restored store may have lost their rows once more.
func (l *serverList) deferPendingRemovals() {
	for id := range l.pendingRemovals {
		l.pendingRemovals[id] = l.recoveredAt.Add(rowRecoveryGrace)
	}
}
