package clemspread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
)

const (
	// operatorReadInterval is the interval at which one entry reads the changes of the
	// operator's rows in addition to its long poll, which may have become unresponsive
	// without a reset. With the time until peers have the changes it stays below the
	// 2 s within which a configuration has to be in force.
	operatorReadInterval = time.Second
	// listReaderTime is how long after its last read of the list of backend servers an
	// entry reads the changes of the operator's rows. It spans a failed read of the list
	// with its retry, and ends the reads soon after another entry reads the list or the
	// store becomes unavailable.
	listReaderTime = 3 * time.Second
	// maxListReadGap is the longest time between two reads of the list by the entry that
	// reads it for all: the interval of the last entry in order, and a failed read.
	maxListReadGap = 2 * time.Second
)

// operatorReader is the state of the second reader of the operator's rows.
type operatorReader struct {
	// documentVersion is the version of the configuration's row that was read last.
	documentVersion atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// listReadAt is when this entry last read the list of backend servers itself, and
	// listReadGap the time between that read and the one before it.
	listReadAt  time.Time
	listReadGap time.Duration
	// polledVersion is the store's version that the long poll has reached, readVersion
	// that of the last change that the second reader found.
	polledVersion, readVersion uint64
	// isRenewing is set while the long poll is ended to begin another one.
	isRenewing bool
}

// recordListRead records that this entry has read the list of backend servers.
func (o *operatorReader) recordListRead(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.listReadAt.IsZero() {
		o.listReadAt = now.Add(-listReaderTime)
	}
	o.listReadAt, o.listReadGap = now, now.Sub(o.listReadAt)
}

// isListReader reports whether this entry reads the list of backend servers for all at
// present. An entry whose report from the reader was late now and then reads it too, but
// not twice in a row.
func (o *operatorReader) isListReader(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.listReadAt.IsZero() && now.Sub(o.listReadAt) < listReaderTime && o.listReadGap <= maxListReadGap
}

// recordPoll records the version that the long poll has reached.
func (o *operatorReader) recordPoll(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.polledVersion = version
}

// recordRead records the changes that the second reader found.
func (o *operatorReader) recordRead(batch clementineturn.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, change := range batch.Changes() {
		o.readVersion = max(o.readVersion, change.Version())
	}
}

// missedChange returns the version of a change that the second reader found and the
// long poll has not delivered, and whether there is one.
func (o *operatorReader) missedChange() (version, polled uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readVersion, o.polledVersion, o.polledVersion > 0 && o.readVersion > o.polledVersion
}

// setRenewing sets whether the long poll is ended to begin another one, and returns
// whether it was.
func (o *operatorReader) setRenewing(isRenewing bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.isRenewing
	o.isRenewing = isRenewing
	return was
}

// readOperatorChanges reads the changes of the operator's rows at intervals, beside the
// long poll and on other connections, while this entry reads the list of backend servers
// for all. Usually one entry does.
func (s *Syncer) readOperatorChanges(ctx context.Context) {
	for sleep(ctx, operatorReadInterval) {
		now := time.Now()
		s.checkEvacuations(now)
		s.checkConfiguration(now)
		s.renewLongPoll()
		after := s.evacuations.StoreVersion()
		if after == 0 || !s.operator.isListReader(now) {
			continue
		}
		isComplete := false
		batch, err := s.config.OnNewConnections.Follow(ctx, clementineturn.SectionOperator, after, 0)
		if clementineturn.IsKind(err, clementineturn.KindStale) {
			isComplete = true
			batch, err = s.config.OnNewConnections.Read(ctx, clementineturn.SectionOperator)
		}
		// The other loops record failures of the store.
		if err == nil {
			s.recordEra(batch.Version())
			s.applyOperatorRows(batch, isComplete)
			s.operator.recordRead(batch)
		}
	}
}

// renewLongPoll ends the long poll if it has not delivered a change that the second
// reader found an interval ago.
func (s *Syncer) renewLongPoll() {
	version, polled, ok := s.operator.missedChange()
	if !ok {
		return
	}
	s.operator.setRenewing(true)
	s.mu.Lock()
	cancel := s.cancelLongPoll
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	s.config.Events.Emit(clemevent.LongPollRenewed, zap.Uint64("version", clementineturn.VersionNumber(version)), zap.Uint64("polled", clementineturn.VersionNumber(polled)))
}
