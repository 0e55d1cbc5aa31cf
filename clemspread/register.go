package clemspread

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
)

const (
	// entryReadInterval is the interval at which the rows of entries are read
	// again, in case no peer sent the address of a new one.
	entryReadInterval = time.Minute
	// minCentreWait is the first interval of the same while the data centre of an entry is
	// not known: while a fleet of one group grows, addresses come without.
	minCentreWait = time.Second
	// minRewriteTime is the time over which the entries write their rows again once the store
	// was restored, and rewriteTimePerEntry times their number the same in a large fleet:
	// each of them reads all rows too.
	minRewriteTime      = time.Second
	rewriteTimePerEntry = 10 * time.Millisecond
)

// entryRow is an entry's row in the store.
type entryRow struct {
	Address string `json:"address"`
	// Centre is absent in the rows of older versions.
	Centre string `json:"centre,omitempty"`
}

// registerAndDiscover writes this entry's row to the store and reads those of
// its peers at intervals and after the store was restored.
func (s *Syncer) registerAndDiscover(ctx context.Context) {
	for _, seed := range s.config.Seeds() {
		s.peers.add(seed, time.Now())
	}
	var retry backoff
	isWritten, centreWait := false, minCentreWait
	for ctx.Err() == nil {
		// The row is written before those of peers are read, so that of two entries
		// that start at once at least one sees the other.
		err := s.readQuarantines(ctx)
		if err == nil && !isWritten {
			err = s.writeEntry(ctx)
			isWritten = err == nil
		}
		if err == nil {
			var isListed bool
			isListed, err = s.readEntries(ctx)
			// A restored store may have lost the row.
			isWritten = err != nil || isListed
		}
		s.recordStoreResult(err)
		if err != nil {
			if !s.waitForStore(ctx, &retry) {
				return
			}
			continue
		}
		retry = backoff{}
		isRestored, ok := s.waitForEntryRead(ctx, &centreWait)
		if !ok {
			return
		}
		isWritten = isWritten && !isRestored
	}
}

// waitForEntryRead waits until the rows of entries are to be read again: until the store was
// restored, or for the given time, which then doubles, if the data centre of an entry is not
// known. It returns false when the context ends.
func (s *Syncer) waitForEntryRead(ctx context.Context, centreWait *time.Duration) (isRestored, ok bool) {
	end := time.Now().Add(entryReadInterval)
	for time.Now().Before(end) {
		timer := time.NewTimer(min(*centreWait, time.Until(end)))
		select {
		case <-timer.C:
		case <-s.storeRestored:
			timer.Stop()
			// Entries learn of it from each other at about the same time.
			spread := max(minRewriteTime, time.Duration(s.EntryCount())*rewriteTimePerEntry)
			return true, sleep(ctx, time.Duration(s.config.Rand()*float64(spread)))
		case <-ctx.Done():
			timer.Stop()
			return false, false
		}
		if s.peers.lacksCentres() {
			*centreWait = min(2**centreWait, entryReadInterval)
			return false, true
		}
	}
	return false, true
}

// readEntries reads the rows of entries, and reports whether that of this entry is among
// them.
func (s *Syncer) readEntries(ctx context.Context) (isListed bool, err error) {
	batch, err := s.config.Store.Read(ctx, clementineturn.SectionEntries)
	if err != nil {
		return false, err
	}
	s.recordEra(batch.Version())
	for _, change := range batch.Changes() {
		var r entryRow
		if err := json.Unmarshal(change.Value(), &r); err != nil {
			s.config.Events.Emit(clemevent.EntryInvalid, zap.String("entry", change.Key()), zap.Error(err))
			continue
		}
		isListed = isListed || change.Key() == s.config.Name && r.Address == s.config.Address
		if s.peers.addAndCheckExpired(r.Address, r.Centre, s.sums.isLost, time.Now()) {
			if err := s.config.Store.Remove(ctx, clementineturn.SectionEntries, change.Key()); err != nil {
				return isListed, err
			}
			s.config.Events.Emit(clemevent.EntryRemoved, zap.String("entry", r.Address), zap.String("name", change.Key()))
		}
	}
	s.knowsEntries.Store(true)
	s.peers.setListRead(time.Now())
	return isListed, nil
}

func (s *Syncer) writeEntry(ctx context.Context) error {
	value, err := json.Marshal(entryRow{Address: s.config.Address, Centre: s.config.Centre})
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "encoding the entry's row: %w", err)
	}
	return s.config.Store.Write(ctx, clementineturn.SectionEntries, s.config.Name, value)
}
