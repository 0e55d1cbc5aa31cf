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
// If it has risen, the long poll in progress is ended: it is from a version of an earlier
// era, and the store may never answer it.
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
