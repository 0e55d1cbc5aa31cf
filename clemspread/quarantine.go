package clemspread

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// quarantineWriteInterval is the interval at which an entry checks whether the store
	// lacks a quarantine. Each entry writes one later than the entry before it in the order,
	// by this and two exchanges, in which it learns of the quarantine and of the write.
	quarantineWriteInterval = 250 * time.Millisecond
	// quarantineRowTime is how long after the last request with the part the row of a
	// quarantine is removed from the store.
	quarantineRowTime = 4 * clemquarantine.DefaultTerm
	partBase          = 16
)

// quarantineRow is the row of a quarantine in the store. An operator ends the quarantine by
// setting lifted to the time of day in milliseconds since 1970.
type quarantineRow struct {
	Service string `json:"service"`
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
	At      int64  `json:"at"`
	Seen    int64  `json:"seen"`
	Lifted  int64  `json:"lifted,omitempty"`
}

// quarantineKey returns the key of the row of a quarantine.
func quarantineKey(p clemquarantine.Part) string {
	return fmt.Sprintf("%s/%016x", p.Service, p.ID)
}

// decodeQuarantine decodes a row and returns when it was lifted, or zero. Errors:
// KindInvalid, which names the field.
func decodeQuarantine(value []byte) (clemquarantine.Quarantine, time.Time, error) {
	var row quarantineRow
	if err := json.Unmarshal(value, &row); err != nil {
		return clemquarantine.Quarantine{}, time.Time{}, clementineturn.Invalid("value", "%v", err)
	}
	part, err := strconv.ParseUint(row.Part, partBase, 64)
	if err != nil {
		return clemquarantine.Quarantine{}, time.Time{}, clementineturn.Invalid("part", "%q is no hexadecimal number", row.Part)
	}
	if row.Service == "" {
		return clemquarantine.Quarantine{}, time.Time{}, clementineturn.Invalid("service", "it is missing")
	}
	var lifted time.Time
	if row.Lifted > 0 {
		lifted = time.UnixMilli(row.Lifted)
	}
	seen := time.UnixMilli(row.Seen)
	return clemquarantine.Quarantine{
		Part: clemquarantine.Part{Service: row.Service, ID: part}, Crashes: row.Crashes, At: time.UnixMilli(row.At), LastSeen: seen, StoredSeen: seen,
	}, lifted, nil
}

// StoredQuarantine is a quarantine in the store.
type StoredQuarantine struct {
	clemquarantine.Quarantine
	// IsLifted is set if an operator ended it.
	IsLifted bool
}

// ReadQuarantines returns the quarantines in the store. Errors: KindInvalid, which names the
// row and the field; those of Store.Read.
func ReadQuarantines(ctx context.Context, store clementineturn.Store) ([]StoredQuarantine, error) {
	batch, err := store.Read(ctx, clementineturn.SectionQuarantines)
	if err != nil {
		return nil, err
	}
	var quarantines []StoredQuarantine
	for _, change := range batch.Changes() {
		v, lifted, err := decodeQuarantine(change.Value())
		if err != nil {
			return nil, clementineturn.Errorf(clementineturn.KindInvalid, "row %s: %w", change.Key(), err)
		}
		quarantines = append(quarantines, StoredQuarantine{Quarantine: v, IsLifted: !lifted.IsZero()})
	}
	return quarantines, nil
}

// LiftQuarantine ends a quarantine for all entries, which read it within entryReadInterval.
// Errors: KindNotFound if the store holds none on the part; those of Store.Read and
// Store.Write.
func LiftQuarantine(ctx context.Context, store clementineturn.Store, part clemquarantine.Part, now time.Time) error {
	quarantines, err := ReadQuarantines(ctx, store)
	if err != nil {
		return err
	}
	for _, q := range quarantines {
		if q.Part == part {
			return writeQuarantine(ctx, store, q.Quarantine, now)
		}
	}
	return clementineturn.Errorf(clementineturn.KindNotFound, "part %x of service %q is not quarantined", part.ID, part.Service)
}

// readQuarantines applies the quarantines in the store.
func (s *Syncer) readQuarantines(ctx context.Context) error {
	batch, err := s.config.Store.Read(ctx, clementineturn.SectionQuarantines)
	if err != nil {
		return err
	}
	s.recordEra(batch.Version())
	for _, change := range batch.Changes() {
		v, lifted, err := decodeQuarantine(change.Value())
		now := time.Now()
		switch {
		case err != nil:
			s.config.Events.Emit(clemevent.QuarantineInvalid, zap.String("key", change.Key()), zap.Error(err))
		case now.Sub(v.LastSeen) > quarantineRowTime:
			if err := s.config.Store.Remove(ctx, clementineturn.SectionQuarantines, change.Key()); err != nil {
				return err
			}
		case !lifted.IsZero():
			s.config.Quarantine.Lift(v.Part, lifted, now)
		case s.config.Quarantine.IsRefuted(v):
			// A restored store may hold the row as it was before it was lifted.
			if s.readPosition(now) > 0 {
				continue
			}
			if err := writeQuarantine(ctx, s.config.Store, v, now); err != nil {
				return err
			}
		default:
			s.config.Quarantine.Adopt(onMonotonicClock(v, now), now)
		}
	}
	s.knowsQuarantines.Store(true)
	return nil
}

// onMonotonicClock returns the quarantine with times that later changes of the time of day
// do not affect, none of them in the future.
func onMonotonicClock(v clemquarantine.Quarantine, now time.Time) clemquarantine.Quarantine {
	for _, at := range []*time.Time{&v.At, &v.LastSeen, &v.StoredSeen} {
		*at = now.Add(-max(now.Sub(*at), 0))
	}
	return v
}

// storeQuarantines writes quarantines to the store, so that they outlast a restart of all
// entries. Entries write in the order in which they read the list of servers, and the
// others learn that it is done.
func (s *Syncer) storeQuarantines(ctx context.Context) {
	lacking := map[clemquarantine.Part]time.Time{}
	ticker := time.NewTicker(quarantineWriteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.config.Quarantine.Quarantined():
		}
		now := time.Now()
		if err := s.liftRefuted(ctx, now); err != nil {
			s.config.Events.Emit(clemevent.QuarantineNotLifted, zap.Error(err))
		}
		quarantines := s.config.Quarantine.Unstored(now)
		if len(quarantines) == 0 {
			clear(lacking)
			continue
		}
		delay := time.Duration(s.readPosition(now)) * (quarantineWriteInterval + 2*(s.peers.interval()+s.peers.layout().groupInterval()))
		for _, v := range quarantines {
			since, known := lacking[v.Part]
			if !known {
				since = now
				lacking[v.Part] = now
			}
			if now.Sub(since) < delay {
				continue
			}
			err := writeQuarantine(ctx, s.config.Store, v, time.Time{})
			s.recordStoreResult(err)
			if err != nil {
				var retry backoff
				if !s.waitForStore(ctx, &retry) {
					return
				}
				break
			}
			s.config.Quarantine.SetStored(v.Part, v.LastSeen)
			delete(lacking, v.Part)
		}
	}
}

// liftRefuted marks the rows of quarantines as lifted that new evidence ended, so that no
// entry reads them when it starts. The first entry in order does it.
func (s *Syncer) liftRefuted(ctx context.Context, now time.Time) error {
	refuted := s.config.Quarantine.TakeRefuted()
	if s.readPosition(now) > 0 {
		return nil
	}
	var failed error
	for _, v := range refuted {
		failed = errors.Join(failed, writeQuarantine(ctx, s.config.Store, v, now))
	}
	return failed
}

// writeQuarantine writes the row of a quarantine, which is lifted unless the time is zero.
func writeQuarantine(ctx context.Context, store clementineturn.Store, v clemquarantine.Quarantine, lifted time.Time) error {
	row := quarantineRow{
		Service: v.Service, Part: strconv.FormatUint(v.ID, partBase), Crashes: v.Crashes, At: v.At.UnixMilli(), Seen: v.LastSeen.UnixMilli(),
	}
	if !lifted.IsZero() {
		row.Lifted = lifted.UnixMilli()
	}
	value, err := json.Marshal(row)
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "encoding a quarantine: %w", err)
	}
	return store.Write(ctx, clementineturn.SectionQuarantines, quarantineKey(v.Part), value)
}

// addQuarantine adds to a message what the peer lacks of this entry's findings, and the
// quarantines in force.
func (s *Syncer) addQuarantine(share *clemwire.Share, peer peerState, now time.Time) {
	findings, last := s.config.Quarantine.Findings(peer.findingsSeen)
	share.Last, share.Seen, share.Synced = last, peer.findingsApplied, s.knowsQuarantines.Load()
	share.Findings = encodeFindings(findings, now)
	for _, v := range s.config.Quarantine.Quarantines(now) {
		quarantine := &clemwire.Quarantine{
			Service: v.Service, Part: v.ID, Crashes: uint32(v.Crashes), Age: durationpb.New(now.Sub(v.At)), Idle: durationpb.New(now.Sub(v.LastSeen)),
		}
		if !v.StoredSeen.IsZero() {
			quarantine.Stored = durationpb.New(now.Sub(v.StoredSeen))
		}
		share.Quarantines = append(share.Quarantines, quarantine)
	}
}

// applyQuarantine applies a peer's findings and quarantines.
func (s *Syncer) applyQuarantine(share *clemwire.Share, now time.Time) {
	findings, relayed := decodeFindings(share.GetFindings(), now), decodeFindings(share.GetRelayed(), now)
	s.config.Quarantine.AddPeerFindings(findings, now)
	s.config.Quarantine.AddPeerFindings(relayed, now)
	if l := s.peers.layout(); l != nil && len(findings)+len(relayed) > 0 {
		s.sums.relayFindings(l.isMember(share.GetAddress()), findings, relayed, now)
	}
	s.peers.setFindingsApplied(share.GetAddress(), share.GetLast(), share.GetRelayedLast())
	for _, q := range share.GetQuarantines() {
		v := clemquarantine.Quarantine{
			Part: clemquarantine.Part{Service: q.GetService(), ID: q.GetPart()}, Crashes: int(q.GetCrashes()),
			At: now.Add(-decodeAge(q.GetAge())), LastSeen: now.Add(-decodeAge(q.GetIdle())),
		}
		if q.GetStored() != nil && !s.isBeforeRestore(share.GetView()) {
			v.StoredSeen = now.Add(-decodeAge(q.GetStored()))
		}
		s.config.Quarantine.Adopt(v, now)
	}
	if share.GetSynced() {
		s.knowsQuarantines.Store(true)
	}
}

func encodeFindings(findings []clemquarantine.Finding, now time.Time) []*clemwire.Finding {
	var encoded []*clemwire.Finding
	for _, f := range findings {
		encoded = append(encoded, &clemwire.Finding{
			Service: f.Service, Parts: f.Parts, Age: durationpb.New(now.Sub(f.At)), Server: f.Server, Born: f.Incarnation, Begun: f.HasBegun,
		})
	}
	return encoded
}

func decodeFindings(encoded []*clemwire.Finding, now time.Time) []clemquarantine.Finding {
	findings := make([]clemquarantine.Finding, len(encoded))
	for i, f := range encoded {
		findings[i] = clemquarantine.Finding{
			Service: f.GetService(), Parts: f.GetParts(), At: now.Add(-decodeAge(f.GetAge())), IsServed: f.GetServer() == "",
			Server: f.GetServer(), Incarnation: f.GetBorn(), HasBegun: f.GetBegun(),
		}
	}
	return findings
}

// setFindingsApplied records the numbers up to which the findings that the peer sent were
// applied, its own and those that it passed on. The latter start from a lower number when
// the peer becomes a member of the group or leaves it.
func (t *peerTable) setFindingsApplied(address string, number, relayed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddress[address]; p != nil {
		p.findingsApplied, p.relayedApplied = max(p.findingsApplied, number), relayed
	}
}
