package clemclaim

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// LedgerConfig describes a Ledger to construct. Zero values take the defaults.
type LedgerConfig struct {
	Table clementineturn.Table
	// Buckets is the number of logs over which the claims are divided. Every
	// ledger on a table must have the same number.
	Buckets int
	// WriteInterval is the shortest time from the start of one write of a bucket to
	// the start of the next.
	WriteInterval time.Duration
	// Retention is how long a finished claim is stored, counted from its time.
	Retention time.Duration
	// SegmentBytes is the size from which a segment is sealed.
	SegmentBytes int
	// Workers is the number of buckets that are served concurrently.
	Workers int
	// TableTimeout bounds each call of the table.
	TableTimeout time.Duration
	Events       *clemevent.Logger
}

// Defaults of LedgerConfig.
const (
	DefaultBuckets       = 32
	DefaultWriteInterval = 100 * time.Millisecond
	DefaultRetention     = 24 * time.Hour
	DefaultSegmentBytes  = 64 << 10
	DefaultWorkers       = 16
	DefaultTableTimeout  = 5 * time.Second
)

// Ledger implements clementineturn.Ledger over the platform's table. Each claim
// belongs to one of the buckets, and a bucket is a log of rows. Every write is
// conditional on the state of the log that the decision is based on, so any
// number of ledgers may write to one table. Workers commit the operations that
// are queued for a bucket in one write (group commit).
//
// Locks: a bucket's mutex guards its queue and is never held together with
// another lock. Only the worker that serves a bucket uses its log.
type Ledger struct {
	config  LedgerConfig
	buckets []*bucket
	// due passes the buckets that are due to the workers.
	due chan *bucket
}

// NewLedger returns the ledger that the configuration describes.
func NewLedger(c LedgerConfig) *Ledger {
	c.Buckets = orDefault(c.Buckets, DefaultBuckets)
	c.WriteInterval = orDefault(c.WriteInterval, DefaultWriteInterval)
	c.Retention = orDefault(c.Retention, DefaultRetention)
	c.SegmentBytes = orDefault(c.SegmentBytes, DefaultSegmentBytes)
	c.Workers = orDefault(c.Workers, DefaultWorkers)
	c.TableTimeout = orDefault(c.TableTimeout, DefaultTableTimeout)
	l := &Ledger{config: c, due: make(chan *bucket, c.Buckets)}
	for i := range c.Buckets {
		l.buckets = append(l.buckets, newBucket(c, uint64(i), l.due))
	}
	return l
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Start runs the workers until the context ends; the channel then yields nil.
// Calls made before Start wait for it. Calls made after the end fail with
// KindUnavailable.
func (l *Ledger) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var workers sync.WaitGroup
	for range l.config.Workers {
		workers.Go(func() { l.work(ctx) })
	}
	go func() {
		workers.Wait()
		for _, b := range l.buckets {
			b.close()
		}
		done <- nil
	}()
	return done
}

func (l *Ledger) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-l.due:
			b.serve(ctx)
		}
	}
}

// Claim implements clementineturn.Ledger. A claim that is already in the ledger,
// for instance because the answer to an earlier write was lost, is returned as it
// is. The token of a voided claim gets the voided record.
func (l *Ledger) Claim(ctx context.Context, claim *clemwire.Claim) (*clemwire.Record, error) {
	return l.submit(ctx, &operation{kind: opClaim, record: &clemwire.Record{
		Claim: claim, State: clemwire.ClaimState_CLAIM_STATE_HELD,
	}})
}

// Advance implements clementineturn.Ledger. Only a record with an author, as an
// operator's has, can follow an unknown outcome.
func (l *Ledger) Advance(ctx context.Context, record *clemwire.Record) error {
	_, err := l.submit(ctx, &operation{kind: opAdvance, record: record})
	return err
}

// Lookup implements clementineturn.Ledger.
func (l *Ledger) Lookup(ctx context.Context, organisation, key string) (*clemwire.Record, error) {
	found, err := l.submit(ctx, &operation{kind: opLookup, record: &clemwire.Record{
		Claim: &clemwire.Claim{Organisation: organisation, Key: key},
	}})
	return found, lookupError(err)
}

// lookupError returns the error of a lookup, which is never KindUnknown: a lookup
// writes nothing.
func lookupError(err error) error {
	if clementineturn.IsKind(err, clementineturn.KindUnknown) {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "lookup: %w", err)
	}
	return err
}

// submit queues the operation at its bucket and waits for the result or the
// context's end.
func (l *Ledger) submit(ctx context.Context, op *operation) (*clemwire.Record, error) {
	claim := op.record.GetClaim()
	op.id = newClaimID(claim.GetOrganisation(), claim.GetKey())
	op.done = make(chan struct{})
	b := l.buckets[bucketOf(claim.GetOrganisation(), claim.GetKey(), len(l.buckets))]
	if err := b.enqueue(op); err != nil {
		return nil, err
	}
	select {
	case <-op.done:
		return op.result, op.err
	case <-ctx.Done():
		return b.cancel(op, ctx.Err())
	}
}

// bucketOf returns the number of the bucket that holds the claims of the key.
func bucketOf(organisation, key string, buckets int) uint64 {
	return xxhash.Sum64String(organisation+"\x00"+key) % uint64(buckets)
}

func bucketField(number uint64) zap.Field { return zap.Uint64("bucket", number) }
