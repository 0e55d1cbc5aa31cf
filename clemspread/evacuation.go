package clemspread

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// unknownCentreDelay is how long an evacuated data centre has to be without a listed
// server before it counts as unknown: several reads of the list.
const unknownCentreDelay = 2 * time.Second

// evacuationRecoveryGrace is how long at least an evacuation stays in force that a restored
// store lacks. The operator writes it again unless it was withdrawn meanwhile.
const evacuationRecoveryGrace = 10 * time.Second

// maxPeerCentres and maxCentreLength bound the data centres that are learned from peers and
// the bytes of their names: each message has all of them.
const (
	maxPeerCentres  = 256
	maxCentreLength = 512
)

// evacuation is the latest known state of the operator's row that evacuates a data
// centre.
type evacuation struct {
	// version is the store's version at which the row was written or removed.
	version     uint64
	isWithdrawn bool
	// since is when this entry learned that the data centre is evacuated.
	since time.Time
	// lostAt is when the evacuation was found missing in a restored store, or zero.
	lostAt time.Time
	// isReported is set once the data centre was logged as unknown.
	isReported bool
}

// evacuationTable holds the evacuations of data centres. Withdrawn ones are kept for
// the life of the process, so that a peer that missed the withdrawal learns of it.
type evacuationTable struct {
	events *clemevent.Logger
	// onChange is called with mu held, so that calls are in the order of the changes.
	onChange func(centres []string)

	// mu guards the fields below.
	mu       sync.Mutex
	byCentre map[string]evacuation
	// storeVersion is the version of the store up to which the operator's rows are known.
	storeVersion uint64
	// messages is the form of byCentre that is sent to peers.
	messages []*clemwire.Evacuation
	// areAllEvacuated is set while every listed server is in an evacuated data centre.
	areAllEvacuated bool
}

func newEvacuationTable(c Config) *evacuationTable {
	t := &evacuationTable{events: c.Events, onChange: c.OnEvacuated, byCentre: map[string]evacuation{}}
	if t.onChange == nil {
		t.onChange = func([]string) {}
	}
	return t
}

// Evacuated returns the evacuated data centres in order.
func (t *evacuationTable) Evacuated() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuatedLocked()
}

// evacuatedLocked is Evacuated for callers that hold mu. A row without a name
// evacuates nothing: "" is the data centre of servers that state none.
func (t *evacuationTable) evacuatedLocked() []string {
	centres := []string{}
	for _, centre := range slices.Sorted(maps.Keys(t.byCentre)) {
		if centre != "" && !t.byCentre[centre].isWithdrawn {
			centres = append(centres, centre)
		}
	}
	return centres
}

// StoreVersion returns the version of the store up to which the operator's rows are
// known, or 0.
func (t *evacuationTable) StoreVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeVersion
}

// Messages returns the evacuations as they are sent to peers. The result must not be
// modified.
func (t *evacuationTable) Messages() []*clemwire.Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.messages
}

// Apply applies rows of the operator's table. If isComplete is set, the batch holds
// every row: an evacuation without one was withdrawn, unless it is newer than the batch,
// since reads of the store may be stale. One of an earlier era of the store may have been
// lost with the restore, and stays in force until the store still lacks it after
// evacuationRecoveryGrace.
func (t *evacuationTable) Apply(batch clementineturn.Batch, isComplete bool, centreOf func(key string) (string, bool), now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	hasChanged := false
	for _, change := range batch.Changes() {
		if centre, ok := centreOf(change.Key()); ok {
			present[centre] = true
			hasChanged = t.update(centre, evacuation{version: change.Version(), isWithdrawn: change.Removed()}, "store", now) || hasChanged
		}
	}
	isRestored := isOfEarlierEra(t.storeVersion, batch.Version())
	for centre, e := range t.byCentre {
		isLost := isOfEarlierEra(e.version, batch.Version())
		switch {
		case present[centre] || e.isWithdrawn:
		case isLost && (isRestored || e.lostAt.IsZero()):
			e.lostAt = now
			t.byCentre[centre] = e
		case isLost && now.Sub(e.lostAt) < evacuationRecoveryGrace:
		case isLost || isComplete:
			hasChanged = t.update(centre, evacuation{version: batch.Version(), isWithdrawn: true}, "store", now) || hasChanged
		}
	}
	t.storeVersion = max(t.storeVersion, batch.Version())
	if hasChanged {
		t.changed()
	}
}

// ApplyPeer applies what a peer reports. An evacuation that is older than the rows that
// this entry has read, and is not among them, was withdrawn meanwhile. If it is of an
// earlier era of the store, it may instead have been lost, as in Apply.
func (t *evacuationTable) ApplyPeer(reported []*clemwire.Evacuation, peer string, now time.Time) {
	if len(reported) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	hasChanged := false
	for _, r := range reported {
		if _, isKnown := t.byCentre[r.GetCentre()]; !isKnown && (len(t.byCentre) >= maxPeerCentres || len(r.GetCentre()) > maxCentreLength) {
			continue
		}
		e := evacuation{version: r.GetVersion(), isWithdrawn: r.GetWithdrawn()}
		switch {
		case e.version <= t.byCentre[r.GetCentre()].version || e.version > t.storeVersion:
		case !isOfEarlierEra(e.version, t.storeVersion):
			e = evacuation{version: t.storeVersion, isWithdrawn: true}
		case !e.isWithdrawn:
			e.lostAt = now
		}
		hasChanged = t.update(r.GetCentre(), e, peer, now) || hasChanged
	}
	if hasChanged {
		t.changed()
	}
}

// update records a state of a data centre if it is newer than the known one, and
// reports whether it was. The caller holds mu.
func (t *evacuationTable) update(centre string, e evacuation, source string, now time.Time) bool {
	old, isKnown := t.byCentre[centre]
	if isKnown && e.version <= old.version {
		return false
	}
	wasInForce := isKnown && !old.isWithdrawn
	e.since, e.isReported = old.since, old.isReported
	fields := []zap.Field{zap.String("centre", centre), zap.Uint64("version", clementineturn.VersionNumber(e.version)), zap.String("source", source)}
	switch {
	case !e.isWithdrawn && !wasInForce:
		e.since, e.isReported = now, false
		t.events.Emit(clemevent.CentreEvacuated, fields...)
	case e.isWithdrawn && wasInForce:
		t.events.Emit(clemevent.EvacuationWithdrawn, append(fields, zap.Duration("lasted", now.Sub(old.since)))...)
	}
	t.byCentre[centre] = e
	return true
}

// changed passes the evacuations on after a change. The caller holds mu.
func (t *evacuationTable) changed() {
	t.messages = make([]*clemwire.Evacuation, 0, len(t.byCentre))
	for _, centre := range slices.Sorted(maps.Keys(t.byCentre)) {
		e := t.byCentre[centre]
		t.messages = append(t.messages, &clemwire.Evacuation{Centre: centre, Version: e.version, Withdrawn: e.isWithdrawn})
	}
	t.onChange(t.evacuatedLocked())
}

// Check logs evacuated data centres in which no server is listed, once each, and the
// time from which every listed server is in an evacuated one.
func (t *evacuationTable) Check(listed []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for centre, e := range t.byCentre {
		if e.isWithdrawn || e.isReported || now.Sub(e.since) < unknownCentreDelay || centre != "" && slices.Contains(listed, centre) {
			continue
		}
		e.isReported = true
		t.byCentre[centre] = e
		t.events.Emit(clemevent.EvacuationUnknown, zap.String("centre", centre), zap.Uint64("version", clementineturn.VersionNumber(e.version)), zap.Strings("listed", listed))
	}
	evacuated := t.evacuatedLocked()
	areAllEvacuated := len(listed) > 0 && !slices.ContainsFunc(listed, func(centre string) bool { return !slices.Contains(evacuated, centre) })
	if areAllEvacuated && !t.areAllEvacuated {
		t.events.Emit(clemevent.AllCentresEvacuated, zap.Strings("centres", listed))
	}
	t.areAllEvacuated = areAllEvacuated
}

// Evacuated returns the evacuated data centres in order.
func (s *Syncer) Evacuated() []string { return s.evacuations.Evacuated() }

// checkEvacuations compares the evacuations with the data centres of listed servers.
func (s *Syncer) checkEvacuations(now time.Time) {
	version, _ := s.servers.StoreVersion(now)
	if version == 0 || len(s.evacuations.Messages()) == 0 {
		return
	}
	centres := map[string]bool{}
	for _, record := range s.config.Directory.Records() {
		centres[record.Centre()] = true
	}
	s.evacuations.Check(slices.Sorted(maps.Keys(centres)), now)
}

// applyOperatorRows applies rows of the operator's table. Evacuations come first: an
// entry is ready once it has a configuration.
func (s *Syncer) applyOperatorRows(batch clementineturn.Batch, isComplete bool) {
	if s.config.EvacuatedCentre != nil {
		s.evacuations.Apply(batch, isComplete, s.config.EvacuatedCentre, time.Now())
	}
	for _, change := range batch.Changes() {
		if change.Key() != s.config.ConfigurationKey || change.Removed() {
			continue
		}
		// The long poll and the second reader deliver the same row.
		if s.operator.documentVersion.Swap(change.Version()) != change.Version() {
			s.applyDocument(change.Value(), "store")
		}
	}
}
