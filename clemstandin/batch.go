package clemstandin

import (
	"context"
	"slices"
	"sync"
)

// waiter is a request that waits for a slot of the batch.
type waiter struct {
	priority int
	// ready closes when the waiter has a slot.
	ready chan struct{}
}

// usage is what the engine reports of its load.
type usage struct {
	running int
	waiting int
	tokens  int
}

// batch holds the requests that run together. Free slots go to the lowest
// priority number first and then in order of arrival.
type batch struct {
	mu      sync.Mutex
	slots   int
	usage   usage
	waiting []*waiter
	past    history[usage]
}

func newBatch(slots int) *batch {
	b := &batch{slots: slots}
	b.past.add(usage{})
	return b
}

// enter waits for a slot or the context's end.
func (b *batch) enter(ctx context.Context, priority, tokens int) error {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	b.mu.Lock()
	at, _ := slices.BinarySearchFunc(b.waiting, priority, behind)
	b.waiting = slices.Insert(b.waiting, at, w)
	b.admit()
	b.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
		return b.withdraw(ctx, w)
	}
	b.grow(tokens)
	return nil
}

// behind orders a new arrival after the waiters of its priority.
func behind(w *waiter, priority int) int {
	if w.priority <= priority {
		return -1
	}
	return 1
}

// withdraw takes a waiter whose context ended out of the queue, or gives back
// the slot that it got meanwhile.
func (b *batch) withdraw(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	} else {
		b.usage.running--
	}
	b.admit()
	return ctx.Err()
}

// leave frees a slot and the tokens of its request.
func (b *batch) leave(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.running--
	b.usage.tokens -= tokens
	b.admit()
}

// grow adds tokens to the running requests.
func (b *batch) grow(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.tokens += tokens
	b.note()
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && b.usage.running < b.slots {
		close(b.waiting[0].ready)
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.usage.running++
	}
	b.note()
}

func (b *batch) note() {
	b.usage.waiting = len(b.waiting)
	b.past.add(b.usage)
}

// running returns the size of the batch.
func (b *batch) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage.running
}
