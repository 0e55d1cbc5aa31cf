package clemstandin

import (
	"context"
	"slices"
	"sync"
)

// waiter is a request that waits for a slot in the batch.
type waiter struct {
	priority int
	// ready is closed when the waiter gets a slot.
	ready chan struct{}
}

// batchLoad is the load that the engine reports: running and waiting requests,
// and the tokens of the running ones.
type batchLoad struct {
	running int
	waiting int
	tokens  int
}

// batch schedules the requests that are decoded together. Free slots go to the
// waiting request with the lowest priority number, and in order of arrival among
// equals.
type batch struct {
	mu      sync.Mutex
	slots   int
	load    batchLoad
	waiting []*waiter
	history history[batchLoad]
}

func newBatch(slots int) *batch {
	b := &batch{slots: slots}
	b.history.add(batchLoad{})
	return b
}

// acquire waits for a slot. It returns the context's error if the context ends
// first.
func (b *batch) acquire(ctx context.Context, priority, tokens int) error {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	b.mu.Lock()
	position, _ := slices.BinarySearchFunc(b.waiting, priority, comparePriority)
	b.waiting = slices.Insert(b.waiting, position, w)
	b.admitWaiting()
	b.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
		return b.cancel(ctx, w)
	}
	b.addTokens(tokens)
	return nil
}

// comparePriority places a new request after the waiters of the same priority.
func comparePriority(w *waiter, priority int) int {
	if w.priority <= priority {
		return -1
	}
	return 1
}

// cancel removes a waiter whose context ended from the queue, or releases the
// slot that it got in the meantime.
func (b *batch) cancel(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	} else {
		b.load.running--
	}
	b.admitWaiting()
	return ctx.Err()
}

// release frees a slot and subtracts the tokens of its request.
func (b *batch) release(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.running--
	b.load.tokens -= tokens
	b.admitWaiting()
}

// addTokens adds to the token count of the running requests.
func (b *batch) addTokens(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.tokens += tokens
	b.recordLoad()
}

func (b *batch) admitWaiting() {
	for len(b.waiting) > 0 && b.load.running < b.slots {
		close(b.waiting[0].ready)
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.load.running++
	}
	b.recordLoad()
}

func (b *batch) recordLoad() {
	b.load.waiting = len(b.waiting)
	b.history.add(b.load)
}

// running returns the number of running requests.
func (b *batch) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load.running
}
