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
	// queueLimit bounds the operations that wait for one bucket.
	queueLimit = 8192
	// batchLimit bounds the bytes of the records of one write.
	batchLimit = 128 << 10
	// readShare is the part of the interval that passes after a batch that
	// needed no write. The table serves several times as many reads as writes.
	readShare = 4
	// idleTime is the time after which the index of an unused bucket is dropped,
	// unless it holds no more than idleClaims. Buckets move between sidecars
	// with the members, and each would otherwise gather all of them.
	idleTime   = 10 * time.Minute
	idleClaims = 10_000
)

// operation is one call of the ledger on its way through a bucket.
type operation struct {
	kind   opKind
	record *clemwire.Record
	id     id
	// maybe is set while a write that holds the record may still take effect.
	maybe  bool
	done   chan struct{}
	answer *clemwire.Record
	err    error
}

func (op *operation) finish(answer *clemwire.Record, err error) {
	op.answer, op.err = answer, err
	close(op.done)
}

// fail ends the operation with the error. If its record may be in the table
// or get there, the outcome is unknown.
func (op *operation) fail(err error) {
	if op.maybe {
		op.finish(nil, clementineturn.Errorf(clementineturn.KindUnknown, "the record may have been written: %w", err))
		return
	}
	if clementineturn.IsKind(err, clementineturn.KindInternal) {
		op.finish(nil, err)
		return
	}
	op.finish(nil, clementineturn.Refuse(clementineturn.KindUnavailable, "ledger: %w", err))
}

// bucket queues the operations of one log. At most one worker serves it.
type bucket struct {
	interval time.Duration
	due      chan<- *bucket
	log      *log

	mu     sync.Mutex
	queue  []*operation
	active bool
	closed bool
	// next is the earliest start of the next write.
	next time.Time
	// idle has the index dropped; operations stop it.
	idle *time.Timer
}

func newBucket(c LedgerConfig, number uint64, due chan<- *bucket) *bucket {
	return &bucket{interval: c.Interval, due: due, log: newLog(c, number)}
}

// enqueue adds the operation. An idle bucket becomes due at once, or as soon
// as the interval since its last write has passed.
func (b *bucket) enqueue(op *operation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "the ledger has stopped")
	}
	if len(b.queue) >= queueLimit {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "%d operations wait for the ledger", len(b.queue))
	}
	b.queue = append(b.queue, op)
	if !b.active {
		b.schedule()
	}
	return nil
}

// schedule makes the bucket due. A bucket is due at most once at a time, so
// that the channel, which has room for every bucket, never blocks.
func (b *bucket) schedule() {
	b.active = true
	if b.idle != nil {
		b.idle.Stop()
	}
	wait := time.Until(b.next)
	if wait <= 0 {
		b.due <- b
		return
	}
	time.AfterFunc(wait, func() { b.due <- b })
}

// withdraw takes back an operation whose caller does not wait any longer.
func (b *bucket) withdraw(op *operation, cause error) (*clemwire.Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.queue, op); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "ledger: %w", cause)
	}
	select {
	case <-op.done:
		return op.answer, op.err
	default:
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "the record may have been written: %w", cause)
	}
}

func (b *bucket) serve(ctx context.Context) {
	start := time.Now()
	pause := b.interval
	ops := b.take()
	if wrote := b.log.commit(ctx, ops); !wrote {
		pause /= readShare
	}
	b.log.maintain(ctx, start)
	if len(ops) == 0 {
		b.log.unload()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = false
	b.next = start.Add(pause)
	if len(b.queue) > 0 {
		b.schedule()
		return
	}
	if len(ops) > 0 {
		b.idle = time.AfterFunc(idleTime, b.rest)
	}
}

// rest has the bucket served without operations, unless some came meanwhile.
func (b *bucket) rest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active && !b.closed {
		b.schedule()
	}
}

// take removes the operations of the next write from the queue.
func (b *bucket) take() []*operation {
	b.mu.Lock()
	defer b.mu.Unlock()
	size, n := 0, 0
	for n < len(b.queue) {
		size += proto.Size(b.queue[n].record)
		if n > 0 && size > batchLimit {
			break
		}
		n++
	}
	ops := b.queue[:n:n]
	b.queue = slices.Clone(b.queue[n:])
	return ops
}

// close fails what waits and everything that comes later.
func (b *bucket) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.idle != nil {
		b.idle.Stop()
	}
	for _, op := range b.queue {
		op.fail(context.Canceled)
	}
	b.queue = nil
}
