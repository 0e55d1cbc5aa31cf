package clemclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxBacklog is the maximum number of records that wait to be written.
	// Those of grants, at most maxGrants, are always added; the remaining room
	// is left to claims whose write has an unknown outcome.
	maxBacklog = 2 * maxGrants
	// backlogWorkers is the maximum number of records that are written at once.
	backlogWorkers = 256
	// backlogTimeout bounds the write of one record.
	backlogTimeout = 10 * time.Second
	// minBacklogDelay is the mean delay before failed records are written again.
	// It doubles up to maxBacklogDelay.
	minBacklogDelay = 100 * time.Millisecond
	maxBacklogDelay = 5 * time.Second
)

// completion is the record that completes or voids a claim. It has no grant if
// the write of the claim has an unknown outcome; the claim may then not be in
// the ledger at all.
type completion struct {
	grant  *Grant
	record *clemwire.Record
}

// backlog holds the completions that are not in the ledger yet.
type backlog struct {
	mu    sync.Mutex
	queue []*completion
	// ungranted counts the completions without a grant, including those that are
	// being written.
	ungranted int
	wake      chan struct{}
}

func newBacklog() backlog { return backlog{wake: make(chan struct{}, 1)} }

// add adds the completion. One without a grant is dropped if the backlog is full.
func (b *backlog) add(c *completion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.grant == nil {
		if len(b.queue) >= maxBacklog {
			return
		}
		b.ungranted++
	}
	b.queue = append(b.queue, c)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// removeAll empties the queue and returns what it held.
func (b *backlog) removeAll() []*completion {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.queue
	b.queue = nil
	return queue
}

// requeue adds the completions of removed that failed to the queue again.
func (b *backlog) requeue(removed, failed []*completion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(failed, b.queue...)
	b.ungranted += countUngranted(failed) - countUngranted(removed)
}

func countUngranted(completions []*completion) int {
	n := 0
	for _, c := range completions {
		if c.grant == nil {
			n++
		}
	}
	return n
}

// ungrantedCount returns the number of completions without a grant.
func (b *backlog) ungrantedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ungranted
}

// Pending returns the number of calls that were claimed, or may have been, and
// whose completion is not in the ledger yet. If the process exits before it is
// 0, an operator has to resolve the remaining keys; a graceful shutdown waits.
func (k *Claimer) Pending() int {
	k.mu.Lock()
	grants := len(k.grants)
	k.mu.Unlock()
	return grants + k.backlog.ungrantedCount()
}

// Start writes the completions that are pending until the context ends. The
// channel then yields nil, or a KindUnknown error if some are still pending.
func (k *Claimer) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- k.recordPending(ctx) }()
	return done
}

func (k *Claimer) recordPending(ctx context.Context) error {
	delay := minBacklogDelay
	for {
		select {
		case <-ctx.Done():
			return k.pendingError()
		case <-k.backlog.wake:
		}
		for delay = minBacklogDelay; !k.flushBacklog(ctx) && ctx.Err() == nil; delay = min(2*delay, maxBacklogDelay) {
			sleep(ctx, delay/2+rand.N(delay))
		}
	}
}

func (k *Claimer) pendingError() error {
	if n := k.Pending(); n > 0 {
		return clementineturn.Errorf(clementineturn.KindUnknown, "the ends of %d calls are not recorded", n)
	}
	return nil
}

// flushBacklog tries to write every completion in the backlog, and reports
// whether none is left.
func (k *Claimer) flushBacklog(ctx context.Context) bool {
	queue := k.backlog.removeAll()
	failed := make([]*completion, len(queue))
	var group errgroup.Group
	group.SetLimit(backlogWorkers)
	for i, c := range queue {
		group.Go(func() error {
			if !k.retryRecord(ctx, c) {
				failed[i] = c
			}
			return nil
		})
	}
	_ = group.Wait()
	var remaining []*completion
	for _, c := range failed {
		if c != nil {
			remaining = append(remaining, c)
		}
	}
	k.backlog.requeue(queue, remaining)
	return len(remaining) == 0
}

// retryRecord writes the completion within backlogTimeout and reports whether it
// is done.
func (k *Claimer) retryRecord(ctx context.Context, c *completion) bool {
	ctx, cancel := context.WithTimeout(ctx, backlogTimeout)
	defer cancel()
	recorded, _ := k.tryRecord(ctx, c)
	return recorded
}

// recordOrQueue writes the completion, or adds it to the backlog if that fails.
// Errors as for Grant.Complete.
func (k *Claimer) recordOrQueue(ctx context.Context, c *completion) error {
	recorded, err := k.tryRecord(ctx, c)
	if !recorded {
		fields := append(claimFields(c.record.GetClaim()), zap.Error(err))
		k.config.Events.Emit(clemevent.ClaimOutcomePending, fields...)
		k.backlog.add(c)
	}
	return err
}

// tryRecord writes the completion once. It reports whether the ledger holds it
// or refuses it permanently.
func (k *Claimer) tryRecord(ctx context.Context, c *completion) (bool, error) {
	err := k.config.Ledger.Advance(ctx, c.record)
	refused := clementineturn.IsKind(err, clementineturn.KindConflict) || clementineturn.IsKind(err, clementineturn.KindNotFound)
	if err != nil && !refused {
		return false, err
	}
	if c.grant == nil {
		return true, nil
	}
	k.endGrant(c.grant)
	if refused && c.record.GetState() != stateVoid {
		fields := append(claimFields(c.record.GetClaim()), zap.Stringer("state", c.record.GetState()), zap.Error(err))
		k.config.Events.Emit(clemevent.ClaimOutcomeRefused, fields...)
		return true, err
	}
	return true, nil
}
