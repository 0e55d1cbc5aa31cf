package clemclaim

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

type opKind uint8

const (
	opClaim opKind = iota
	opAdvance
	opLookup
)

const (
	// maxQueueLength is the maximum number of operations that wait for a bucket.
	maxQueueLength = 8192
	// maxBatchBytes bounds the records of one write, unless it has only one.
	maxBatchBytes = 128 << 10
	// readIntervalDivisor shortens the write interval after a batch that needed
	// no write: the table serves several times as many reads as writes.
	readIntervalDivisor = 4
	// unloadDelay is how long a bucket is unused before its index is dropped, if
	// that has more than maxIdleKeys keys. Buckets move between sidecars when the
	// members change, so each sidecar would otherwise come to hold every index.
	unloadDelay = 10 * time.Minute
	maxIdleKeys = 10_000
)

// operation is a call of the ledger that a bucket carries out.
type operation struct {
	kind   opKind
	record *clemwire.Record
	id     claimID
	// mayBeWritten is set once a write of the record has an unknown outcome.
	mayBeWritten bool
	done         chan struct{}
	result       *clemwire.Record
	err          error
}

func (op *operation) complete(result *clemwire.Record, err error) {
	op.result, op.err = result, err
	close(op.done)
}

// fail completes the operation with an error: KindUnknown if its record may
// have been written or may still be.
func (op *operation) fail(err error) {
	if op.mayBeWritten {
		op.complete(nil, clementineturn.Errorf(clementineturn.KindUnknown, "the record may have been written: %w", err))
		return
	}
	if clementineturn.IsKind(err, clementineturn.KindInternal) {
		op.complete(nil, err)
		return
	}
	op.complete(nil, clementineturn.Refuse(clementineturn.KindUnavailable, "ledger: %w", err))
}

// bucket queues the operations of one log. At most one worker serves it at a
// time.
type bucket struct {
	interval time.Duration
	due      chan<- *bucket
	log      *bucketLog

	mu    sync.Mutex
	queue []*operation
	// scheduled is true from when the bucket is scheduled until it was served.
	scheduled bool
	closed    bool
	// nextStart is the earliest time at which the bucket is served next.
	nextStart time.Time
	// unloadTimer schedules the unused bucket for its index to be dropped; an
	// operation stops it.
	unloadTimer *time.Timer
}

func newBucket(c LedgerConfig, number uint64, due chan<- *bucket) *bucket {
	return &bucket{interval: c.WriteInterval, due: due, log: newBucketLog(c, number)}
}

// enqueue adds the operation. A bucket that is not scheduled becomes due
// immediately, or as soon as the interval since it was last served has passed.
// Errors: KindUnavailable once the bucket is closed, KindOverloaded.
func (b *bucket) enqueue(op *operation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "the ledger has stopped")
	}
	if len(b.queue) >= maxQueueLength {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%d operations wait for the ledger", len(b.queue))
	}
	b.queue = append(b.queue, op)
	if !b.scheduled {
		b.schedule()
	}
	return nil
}

// schedule makes the bucket due. It is called only for a bucket that is not
// scheduled, so the channel, which has room for every bucket, never blocks.
func (b *bucket) schedule() {
	b.scheduled = true
	if b.unloadTimer != nil {
		b.unloadTimer.Stop()
	}
	delay := time.Until(b.nextStart)
	if delay <= 0 {
		b.due <- b
		return
	}
	time.AfterFunc(delay, func() { b.due <- b })
}

// cancel removes an operation whose caller no longer waits. It returns the
// result if there is one, and a KindUnknown error if the operation is being
// carried out.
func (b *bucket) cancel(op *operation, cause error) (*clemwire.Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.queue, op); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "ledger: %w", cause)
	}
	select {
	case <-op.done:
		return op.result, op.err
	default:
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "the record may have been written: %w", cause)
	}
}

// serve carries out the next batch and the maintenance that is due. If there is
// no operation, it may unload the index.
func (b *bucket) serve(ctx context.Context) {
	start := time.Now()
	interval := b.interval
	ops := b.dequeueBatch()
	if wrote := b.log.commit(ctx, ops); !wrote {
		interval /= readIntervalDivisor
	}
	b.log.maintain(ctx, start)
	if len(ops) == 0 {
		b.log.unload()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduled = false
	b.nextStart = start.Add(interval)
	if len(b.queue) > 0 {
		b.schedule()
		return
	}
	if len(ops) > 0 {
		b.unloadTimer = time.AfterFunc(unloadDelay, b.scheduleUnload)
	}
}

// scheduleUnload schedules the bucket without operations, unless it has been
// scheduled or closed meanwhile.
func (b *bucket) scheduleUnload() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.scheduled && !b.closed {
		b.schedule()
	}
}

// dequeueBatch removes the operations of the next write from the queue.
func (b *bucket) dequeueBatch() []*operation {
	b.mu.Lock()
	defer b.mu.Unlock()
	size, n := 0, 0
	for n < len(b.queue) {
		size += proto.Size(b.queue[n].record)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	ops := b.queue[:n:n]
	b.queue = slices.Clone(b.queue[n:])
	return ops
}

// close fails the waiting operations and makes enqueue fail.
func (b *bucket) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.unloadTimer != nil {
		b.unloadTimer.Stop()
	}
	for _, op := range b.queue {
		op.fail(context.Canceled)
	}
	b.queue = nil
}
