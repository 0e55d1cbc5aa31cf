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
	// Buckets is the number of logs that share the claims. Every ledger on
	// a table must have the same number.
	Buckets int
	// Interval is the least time between the starts of two writes of one bucket.
	Interval time.Duration
	// Retention is how long a finished claim is kept, counted from the claim's time.
	Retention time.Duration
	// Limit is the size in bytes from which a segment is sealed.
	Limit int
	// Workers is the number of buckets that are written at once.
	Workers int
	// Timeout bounds one call of the table.
	Timeout time.Duration
	Events  *clemevent.Logger
}

// Defaults of LedgerConfig.
const (
	DefaultBuckets   = 32
	DefaultInterval  = 100 * time.Millisecond
	DefaultRetention = 24 * time.Hour
	DefaultLimit     = 64 << 10
	DefaultWorkers   = 16
	DefaultTimeout   = 5 * time.Second
)

// Ledger implements clementineturn.Ledger over the platform's table. Each
// claim belongs to one of the buckets, and a bucket is a log of rows. Every
// write is conditional on the state of the log that the decision rests on, so
// any number of ledgers may write to one table. Workers commit what is queued
// for a bucket in one write.
//
// Locks: a bucket's mutex guards its queue and is never held together with
// another lock. The log of a bucket belongs to the worker that serves it.
type Ledger struct {
	config  LedgerConfig
	buckets []*bucket
	due     chan *bucket
}

// NewLedger returns the ledger that the configuration describes.
func NewLedger(c LedgerConfig) *Ledger {
	c.Buckets = orDefault(c.Buckets, DefaultBuckets)
	c.Interval = orDefault(c.Interval, DefaultInterval)
	c.Retention = orDefault(c.Retention, DefaultRetention)
	c.Limit = orDefault(c.Limit, DefaultLimit)
	c.Workers = orDefault(c.Workers, DefaultWorkers)
	c.Timeout = orDefault(c.Timeout, DefaultTimeout)
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
// Calls made earlier wait for it, and calls made later fail with KindUnavailable.
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

// Claim implements clementineturn.Ledger. A claim that is in the ledger
// already, for instance because the answer of an earlier write was lost, is
// returned as it stands. The token of a voided claim gets the voided record.
func (l *Ledger) Claim(ctx context.Context, claim *clemwire.Claim) (*clemwire.Record, error) {
	return l.submit(ctx, &operation{kind: opClaim, record: &clemwire.Record{
		Claim: claim, State: clemwire.ClaimState_CLAIM_STATE_HELD,
	}})
}

// Advance implements clementineturn.Ledger. Only a record with an author
// follows an unknown outcome.
func (l *Ledger) Advance(ctx context.Context, record *clemwire.Record) error {
	_, err := l.submit(ctx, &operation{kind: opAdvance, record: record})
	return err
}

// Lookup implements clementineturn.Ledger.
func (l *Ledger) Lookup(ctx context.Context, organisation, key string) (*clemwire.Record, error) {
	found, err := l.submit(ctx, &operation{kind: opLookup, record: &clemwire.Record{
		Claim: &clemwire.Claim{Organisation: organisation, Key: key},
	}})
	return found, unread(err)
}

// unread returns the error of a lookup. It writes nothing that could be in doubt.
func unread(err error) error {
	if clementineturn.IsKind(err, clementineturn.KindUnknown) {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "lookup: %w", err)
	}
	return err
}

func (l *Ledger) submit(ctx context.Context, op *operation) (*clemwire.Record, error) {
	claim := op.record.GetClaim()
	op.id = newID(claim.GetOrganisation(), claim.GetKey())
	op.done = make(chan struct{})
	b := l.buckets[bucketOf(claim.GetOrganisation(), claim.GetKey(), len(l.buckets))]
	if err := b.enqueue(op); err != nil {
		return nil, err
	}
	select {
	case <-op.done:
		return op.answer, op.err
	case <-ctx.Done():
		return b.withdraw(op, ctx.Err())
	}
}

// bucketOf returns the number of the bucket that holds the claims of the key.
func bucketOf(organisation, key string, buckets int) uint64 {
	return xxhash.Sum64String(organisation+"\x00"+key) % uint64(buckets)
}

func bucketField(number uint64) zap.Field { return zap.Uint64("bucket", number) }
