package clemclaim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// LedgerConfig describes a Ledger to construct.
type LedgerConfig struct {
	Table clementineturn.Table
	// Buckets is the number of logs that share the claims. Every ledger on
	// a table must have the same number.
	Buckets int
	// Interval is the least time between two writes of one bucket.
	Interval time.Duration
	// Retention is how long a finished claim is kept.
	Retention time.Duration
	Events    *clemevent.Logger
}

// Defaults of LedgerConfig.
const (
	DefaultBuckets   = 16
	DefaultInterval  = 50 * time.Millisecond
	DefaultRetention = 24 * time.Hour
)

// Ledger implements clementineturn.Ledger over the platform's table.
type Ledger struct {
	config LedgerConfig
}

// NewLedger returns the ledger that the configuration describes.
func NewLedger(c LedgerConfig) *Ledger {
	if c.Buckets == 0 {
		c.Buckets = DefaultBuckets
	}
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	return &Ledger{config: c}
}

// Start runs the ledger until the context ends. Calls fail with
// KindUnavailable when the ledger does not run.
func (l *Ledger) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		done <- nil
	}()
	return done
}

// Claim implements clementineturn.Ledger.
func (l *Ledger) Claim(ctx context.Context, claim *clemwire.Claim) (*clemwire.Record, error) {
	for {
		segment, version, err := l.read(ctx, claim.GetOrganisation(), claim.GetKey())
		if err != nil {
			return nil, err
		}
		found := last(segment, claim.GetOrganisation(), claim.GetKey())
		if found != nil && found.GetState() != clemwire.ClaimState_CLAIM_STATE_VOID {
			return found, nil
		}
		record := &clemwire.Record{Claim: claim, State: clemwire.ClaimState_CLAIM_STATE_HELD}
		err = l.append(ctx, segment, version, record)
		if clementineturn.IsKind(err, clementineturn.KindConflict) {
			continue
		}
		return record, err
	}
}

// Advance implements clementineturn.Ledger.
func (l *Ledger) Advance(ctx context.Context, record *clemwire.Record) error {
	claim := record.GetClaim()
	for {
		segment, version, err := l.read(ctx, claim.GetOrganisation(), claim.GetKey())
		if err != nil {
			return err
		}
		found := last(segment, claim.GetOrganisation(), claim.GetKey())
		if found == nil {
			return clementineturn.Errorf(clementineturn.KindNotFound, "no claim of key %q", claim.GetKey())
		}
		if err := follows(found, record); err != nil {
			return err
		}
		if found.GetState() == record.GetState() {
			return nil
		}
		err = l.append(ctx, segment, version, record)
		if clementineturn.IsKind(err, clementineturn.KindConflict) {
			continue
		}
		return err
	}
}

// Lookup implements clementineturn.Ledger.
func (l *Ledger) Lookup(ctx context.Context, organisation, key string) (*clemwire.Record, error) {
	segment, _, err := l.read(ctx, organisation, key)
	if err != nil {
		return nil, err
	}
	if found := last(segment, organisation, key); found != nil {
		return found, nil
	}
	return nil, clementineturn.Errorf(clementineturn.KindNotFound, "no claim of key %q", key)
}

func (l *Ledger) bucket(organisation, key string) uint64 {
	return xxhash.Sum64String(organisation+"\x00"+key) % uint64(l.config.Buckets)
}

func (l *Ledger) read(ctx context.Context, organisation, key string) (*clemwire.Segment, clementineturn.Version, error) {
	segment := &clemwire.Segment{}
	row, err := l.config.Table.Get(ctx, segmentKey(l.bucket(organisation, key), 0))
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return segment, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	if err := proto.Unmarshal(row.Value(), segment); err != nil {
		return nil, "", clementineturn.Errorf(clementineturn.KindInternal, "row %s: %w", row.Key(), err)
	}
	return segment, row.Version(), nil
}

func (l *Ledger) append(ctx context.Context, segment *clemwire.Segment, version clementineturn.Version, record *clemwire.Record) error {
	segment.Records = append(segment.Records, record)
	value, err := proto.Marshal(segment)
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "marshal segment: %w", err)
	}
	claim := record.GetClaim()
	_, err = l.config.Table.Put(ctx, segmentKey(l.bucket(claim.GetOrganisation(), claim.GetKey()), 0), value, version)
	return err
}

func segmentKey(bucket, number uint64) string {
	return fmt.Sprintf("claim/%05d/%010d", bucket, number)
}

func last(segment *clemwire.Segment, organisation, key string) *clemwire.Record {
	for i := len(segment.GetRecords()) - 1; i >= 0; i-- {
		claim := segment.GetRecords()[i].GetClaim()
		if claim.GetOrganisation() == organisation && claim.GetKey() == key {
			return segment.GetRecords()[i]
		}
	}
	return nil
}

var errState = errors.New("the claim's state cannot follow the one in force")

// follows returns a KindConflict error if the record cannot follow the one in force.
func follows(found, next *clemwire.Record) error {
	if found.GetClaim().GetToken() != next.GetClaim().GetToken() {
		return clementineturn.Errorf(clementineturn.KindConflict, "another token holds key %q", next.GetClaim().GetKey())
	}
	if found.GetState() == next.GetState() {
		return nil
	}
	held := found.GetState() == clemwire.ClaimState_CLAIM_STATE_HELD
	resolved := found.GetState() == clemwire.ClaimState_CLAIM_STATE_UNKNOWN && next.GetAuthor() != ""
	if !held && !resolved || next.GetState() == clemwire.ClaimState_CLAIM_STATE_HELD {
		return clementineturn.Errorf(clementineturn.KindConflict, "%w: %s after %s", errState, next.GetState(), found.GetState())
	}
	return nil
}
