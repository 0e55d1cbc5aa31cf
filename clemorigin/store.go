package clemorigin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
)

const (
	// checkInterval is the interval at which changes of the versions in service are looked for.
	checkInterval = 50 * time.Millisecond
	// minWriteInterval is the shortest time between two writes of a process: streams that
	// began since the last one are lost with the process. writeIntervalPerEntry times the
	// number of entries is the same in a larger fleet, which so writes at most 100 rows a
	// second. minReadInterval and readIntervalPerEntry are those of reads.
	minWriteInterval      = 100 * time.Millisecond
	writeIntervalPerEntry = 10 * time.Millisecond
	minReadInterval       = 100 * time.Millisecond
	readIntervalPerEntry  = 5 * time.Millisecond
	// maxSettleTime bounds for how long the store is asked for the origin of a stream, and
	// maxReadWait how long one read is waited for.
	maxSettleTime = time.Second
	maxReadWait   = 700 * time.Millisecond
	// maxFailurePause bounds the pause after a failed call, which doubles from that after a
	// successful one. It is shorter than maxReadWait, so that each take-up has a read.
	maxFailurePause = 500 * time.Millisecond
	// rereadInterval is the interval at which the rows are read without a client that resumes
	// a stream, to remove old ones. refreshInterval is the interval at which a process writes
	// its row again, and rowExpiry the age at which others remove it.
	rereadInterval  = time.Minute
	refreshInterval = 2 * time.Minute
	rowExpiry       = 5 * time.Minute
)

// writtenRow describes this process's row in the store.
type writtenRow struct {
	at time.Time
	// isLost is set if the store has lost the row, hasUnwritten if there are streams that the
	// row does not have.
	isLost, hasUnwritten bool
}

// Start runs the loops that read and write the rows until the context ends. The channel
// receives the context's error once they have returned.
func (t *Tracker) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var running sync.WaitGroup
	running.Go(func() { t.readRows(ctx) })
	running.Go(func() { t.writeRow(ctx) })
	go func() {
		running.Wait()
		ended <- ctx.Err()
	}()
	return ended
}

// StoreRestored tells the tracker that the store may have lost its row.
func (t *Tracker) StoreRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.written.isLost = true
}

func (t *Tracker) entries() time.Duration {
	if t.config.Entries == nil {
		return 1
	}
	return time.Duration(max(t.config.Entries(), 1))
}

func (t *Tracker) writeInterval() time.Duration {
	return max(minWriteInterval, t.entries()*writeIntervalPerEntry)
}

func (t *Tracker) readInterval() time.Duration {
	return max(minReadInterval, t.entries()*readIntervalPerEntry)
}

// settleTime returns how long it takes at most until a stream that another entry has just
// begun is read from the store.
func (t *Tracker) settleTime() time.Duration {
	return min(t.writeInterval()+t.readInterval()+2*checkInterval, maxSettleTime)
}

// awaitRead waits for a read of the rows that begins now or later, and reports whether it
// succeeded.
func (t *Tracker) awaitRead(ctx context.Context) bool {
	if t.config.Store == nil {
		return true
	}
	done := make(chan bool, 1)
	t.mu.Lock()
	t.readers = append(t.readers, done)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(maxReadWait)
	defer timer.Stop()
	select {
	case isRead := <-done:
		return isRead
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// readRows reads the rows of other processes at the start, whenever a client resumes a stream
// that this entry does not know, and at long intervals.
func (t *Tracker) readRows(ctx context.Context) {
	ticker := time.NewTicker(minReadInterval)
	defer ticker.Stop()
	var readAt, attemptedAt time.Time
	pause := t.readInterval()
	for {
		select {
		case <-ctx.Done():
			t.endReaders(false)
			return
		case <-ticker.C:
		case <-t.wake:
		}
		now := time.Now()
		if now.Sub(attemptedAt) < pause {
			continue
		}
		t.mu.Lock()
		isDue := len(t.readers) > 0 || t.readVersion == 0
		t.mu.Unlock()
		if !isDue && now.Sub(readAt) < rereadInterval {
			continue
		}
		attemptedAt, pause = now, max(t.readInterval(), min(2*pause, maxFailurePause))
		if t.readOnce(ctx) {
			readAt, pause = now, t.readInterval()
		}
		t.removeExpiredRows(ctx)
	}
}

// endReaders tells those that wait for a read whether it succeeded.
func (t *Tracker) endReaders(isRead bool) {
	t.mu.Lock()
	readers := t.readers
	t.readers = nil
	t.mu.Unlock()
	for _, done := range readers {
		done <- isRead
	}
}

// readOnce reads the rows that have changed, and reports whether that succeeded.
func (t *Tracker) readOnce(ctx context.Context) bool {
	t.mu.Lock()
	after, readers := t.readVersion, t.readers
	t.readers = nil
	t.mu.Unlock()
	var batch clementineturn.Batch
	err := error(clementineturn.Errorf(clementineturn.KindStale, "nothing was read"))
	if after > 0 {
		batch, err = t.config.Store.Follow(ctx, clementineturn.SectionOrigins, after, 0)
	}
	isComplete := clementineturn.IsKind(err, clementineturn.KindStale)
	if isComplete {
		batch, err = t.config.Store.Read(ctx, clementineturn.SectionOrigins)
	}
	if err == nil {
		t.apply(batch, isComplete, time.Now())
	}
	for _, done := range readers {
		done <- err == nil
	}
	return err == nil
}

// apply applies rows that were read. What a row that is gone has said stays true.
func (t *Tracker) apply(batch clementineturn.Batch, isComplete bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isOwnListed := false
	for _, change := range batch.Changes() {
		if change.Key() == t.rowKey {
			isOwnListed = true
			continue
		}
		known, isKnown := t.rows[change.Key()]
		if change.Removed() {
			if isKnown {
				known.isRemoved = true
				t.rows[change.Key()] = known
			}
			continue
		}
		if isKnown && change.Version() <= known.version {
			continue
		}
		r, err := decodeRow(change.Value())
		if err != nil {
			t.config.Events.Emit(clemevent.OriginInvalid, zap.String("row", change.Key()), zap.Error(err))
		}
		r.version, r.changedAt = change.Version(), now
		t.rows[change.Key()] = r
		for service, versions := range r.versions {
			for _, version := range versions {
				t.addVersion(service, version, now)
			}
		}
	}
	t.boundRows()
	if isComplete && !isOwnListed && !t.written.at.IsZero() {
		t.written.isLost = true
	}
	t.readVersion = max(t.readVersion, batch.Version())
}

// boundRows forgets the streams of the rows that were read longest ago while there are too
// many. The caller holds mu.
func (t *Tracker) boundRows() {
	known := 0
	for _, r := range t.rows {
		known += len(r.origins)
	}
	for known > maxKnownStreams {
		oldest := ""
		for key, r := range t.rows {
			if len(r.origins) > 0 && (oldest == "" || r.changedAt.Before(t.rows[oldest].changedAt)) {
				oldest = key
			}
		}
		r := t.rows[oldest]
		known -= len(r.origins)
		r.origins = nil
		t.rows[oldest] = r
	}
}

// removeExpiredRows removes the rows of processes that have long ended from the store, by one
// entry in the mean. The others forget a row once they have read that it was removed.
func (t *Tracker) removeExpiredRows(ctx context.Context) {
	now := time.Now()
	t.mu.Lock()
	var expired []string
	for key, r := range t.rows {
		switch {
		case now.Sub(r.changedAt) <= rowExpiry:
		case r.isRemoved:
			delete(t.rows, key)
		default:
			expired = append(expired, key)
		}
	}
	t.mu.Unlock()
	if len(expired) == 0 || t.config.Rand() > 1/float64(t.entries()) {
		return
	}
	slices.Sort(expired)
	for _, key := range expired {
		if err := t.config.Store.Remove(ctx, clementineturn.SectionOrigins, key); err != nil {
			return
		}
		t.mu.Lock()
		delete(t.rows, key)
		t.mu.Unlock()
	}
}

// writeRow writes the row of this process: when a version comes into service, and while a
// service has several versions also with the streams that began since the last write.
func (t *Tracker) writeRow(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var attemptedAt time.Time
	pause := t.writeInterval()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		t.scan(now)
		if !t.needsWrite(now) || now.Sub(attemptedAt) < pause {
			continue
		}
		attemptedAt, pause = now, max(t.writeInterval(), min(2*pause, maxFailurePause))
		if t.writeOnce(ctx, now) {
			pause = t.writeInterval()
		}
	}
}

// needsWrite reports whether the row in the store lacks something.
func (t *Tracker) needsWrite(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isMixed := false
	for service, versions := range t.services {
		for _, v := range versions {
			if v.isListed && !v.isInRow {
				return true
			}
		}
		isMixed = isMixed || t.isMixed(service)
	}
	w := t.written
	return !w.at.IsZero() && (w.isLost || now.Sub(w.at) > refreshInterval) || isMixed && w.hasUnwritten
}

// writeOnce writes the row, and reports whether that succeeded.
func (t *Tracker) writeOnce(ctx context.Context, now time.Time) bool {
	t.mu.Lock()
	versions, origins := t.ownVersions(now), t.ownOrigins(now)
	t.written.hasUnwritten, t.written.isLost = false, false
	t.mu.Unlock()
	value, err := encodeRow(versions, origins)
	if err == nil {
		err = t.config.Store.Write(ctx, clementineturn.SectionOrigins, t.rowKey, value)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.written.hasUnwritten, t.written.isLost = true, !t.written.at.IsZero()
		return false
	}
	t.written.at = now
	for service, names := range versions {
		for _, name := range names {
			if v := t.services[service][name]; v != nil {
				v.isInRow = true
			}
		}
	}
	return true
}

// ownVersions returns the versions that this process has seen in service. Those that it knows
// from rows are left out: entries would repeat them to each other for ever. The caller holds
// mu.
func (t *Tracker) ownVersions(now time.Time) map[string][]string {
	own := map[string][]string{}
	for service, versions := range t.services {
		for _, name := range slices.Sorted(maps.Keys(versions)) {
			if v := versions[name]; now.Sub(v.listedAt) <= memoryTime && len(own[service]) < maxRowVersions {
				own[service] = append(own[service], name)
			}
		}
	}
	return own
}

// ownOrigins returns the origins of the latest streams of the services with several versions
// that clients may still resume. Rows must be short: small entries read all of them over
// links of 10 Mbit/s. The caller holds mu.
func (t *Tracker) ownOrigins(now time.Time) map[Key]Origin {
	own := map[Key]Origin{}
	most := min(maxRowStreams, maxFleetStreams/int(t.entries()))
	for i := len(t.expiry) - 1; i >= 0 && len(own) < most && now.Sub(t.expiry[i].at) <= memoryTime; i-- {
		s := t.streams[t.expiry[i].key]
		if s == nil || s.hasEnded || s.server == "" && now.Sub(s.at) > reportedTime {
			continue
		}
		if t.isMixed(s.origin.Service) {
			own[t.expiry[i].key] = s.origin
		}
	}
	return own
}
