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
	// backlogLimit bounds the records that wait for the table. Grants, which
	// are fewer, always fit; the rest is for claims without a known outcome.
	backlogLimit = 2 * grantLimit
	// backlogWorkers is the number of records that are written at once.
	backlogWorkers = 256
	backlogTimeout = 10 * time.Second
	backlogPause   = 100 * time.Millisecond
	backlogMost    = 5 * time.Second
)

// ending is the record that ends a claim. Without a grant the claim may not be
// in the ledger at all.
type ending struct {
	grant  *Grant
	record *clemwire.Record
}

// backlog holds the endings that the ledger does not hold yet.
type backlog struct {
	mu    sync.Mutex
	queue []*ending
	// without counts the endings without a grant, also while they are written.
	without int
	wake    chan struct{}
}

func newBacklog() backlog { return backlog{wake: make(chan struct{}, 1)} }

func (b *backlog) add(e *ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.grant == nil {
		if len(b.queue) >= backlogLimit {
			return
		}
		b.without++
	}
	b.queue = append(b.queue, e)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *backlog) take() []*ending {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.queue
	b.queue = nil
	return queue
}

// putBack has the endings of taken that failed wait again.
func (b *backlog) putBack(taken, failed []*ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(failed, b.queue...)
	b.without += loose(failed) - loose(taken)
}

func loose(endings []*ending) int {
	n := 0
	for _, e := range endings {
		if e.grant == nil {
			n++
		}
	}
	return n
}

// loose returns the number of endings without a grant.
func (b *backlog) loose() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.without
}

// Pending returns the number of calls that were claimed, or may have been, and
// whose end the ledger does not hold yet. A process that exits earlier leaves
// their keys to an operator, so that a graceful shutdown waits until it is 0.
func (k *Keeper) Pending() int {
	k.mu.Lock()
	grants := len(k.grants)
	k.mu.Unlock()
	return grants + k.backlog.loose()
}

// Start records what is pending until the context ends. The channel then
// yields nil, or a KindUnknown error if ends of calls are still pending.
func (k *Keeper) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- k.run(ctx) }()
	return done
}

func (k *Keeper) run(ctx context.Context) error {
	pause := backlogPause
	for {
		select {
		case <-ctx.Done():
			return k.left()
		case <-k.backlog.wake:
		}
		for pause = backlogPause; !k.drain(ctx) && ctx.Err() == nil; pause = min(2*pause, backlogMost) {
			wait(ctx, pause/2+rand.N(pause))
		}
	}
}

func (k *Keeper) left() error {
	if n := k.Pending(); n > 0 {
		return clementineturn.Errorf(clementineturn.KindUnknown, "the ends of %d calls are not recorded", n)
	}
	return nil
}

// drain tries to record everything that is pending and reports whether nothing is left.
func (k *Keeper) drain(ctx context.Context) bool {
	queue := k.backlog.take()
	failed := make([]*ending, len(queue))
	var group errgroup.Group
	group.SetLimit(backlogWorkers)
	for i, e := range queue {
		group.Go(func() error {
			if !k.retry(ctx, e) {
				failed[i] = e
			}
			return nil
		})
	}
	_ = group.Wait()
	var rest []*ending
	for _, e := range failed {
		if e != nil {
			rest = append(rest, e)
		}
	}
	k.backlog.putBack(queue, rest)
	return len(rest) == 0
}

func (k *Keeper) retry(ctx context.Context, e *ending) bool {
	ctx, cancel := context.WithTimeout(ctx, backlogTimeout)
	defer cancel()
	recorded, _ := k.advance(ctx, e)
	return recorded
}

// record writes the ending, or leaves it to the background if that fails.
func (k *Keeper) record(ctx context.Context, e *ending) error {
	recorded, err := k.advance(ctx, e)
	if !recorded {
		fields := append(claimFields(e.record.GetClaim()), zap.Error(err))
		k.config.Events.Emit(clemevent.ClaimOutcomePending, fields...)
		k.backlog.add(e)
	}
	return err
}

// advance writes the ending once. It reports whether the ledger holds it or
// refuses it for good.
func (k *Keeper) advance(ctx context.Context, e *ending) (bool, error) {
	err := k.config.Ledger.Advance(ctx, e.record)
	refused := clementineturn.IsKind(err, clementineturn.KindConflict) || clementineturn.IsKind(err, clementineturn.KindNotFound)
	if err != nil && !refused {
		return false, err
	}
	if e.grant == nil {
		return true, nil
	}
	k.remove(e.grant)
	if refused && e.record.GetState() != stateVoid {
		fields := append(claimFields(e.record.GetClaim()), zap.Stringer("state", e.record.GetState()), zap.Error(err))
		k.config.Events.Emit(clemevent.ClaimOutcomeRefused, fields...)
		return true, err
	}
	return true, nil
}
