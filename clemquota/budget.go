// Package clemquota bounds what the clients and servers of a process can make it hold. A
// Budget counts the memory of requests before they are forwarded and of responses while
// they arrive, and a Listener bounds the number of connections and the size and time of
// each request's head, below net/http.
package clemquota

import (
	"math"
	"sync"
	"sync/atomic"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// ordinarySize is the memory in bytes up to which a request is an ordinary one. A
	// usual head of 20 lines and a body of some kilobytes is a fifth of it.
	ordinarySize = 64 << 10
	// largeShare is the share of the budget that larger requests may hold together.
	// The rest is reserved for ordinary ones.
	largeShare = 0.75
	// maxLeavingShare is the share of the budget up to which the memory of evicted
	// requests that have not ended yet is left out of account.
	maxLeavingShare = 0.25
	// lineMemory is what a header line takes in addition to its bytes: at most 95 bytes
	// as parsed by net/http and 105 in the copy that is forwarded, measured with heads of
	// 0.5 to 16 KiB of short lines (go1.26, amd64).
	lineMemory = 200
)

// Budget bounds the memory of the requests of a process. A request charges memory
// before it takes it. If the budget is exceeded, the largest request that has not
// been forwarded is evicted, the newest of several, or the one that asks is refused.
// Nothing waits for memory, so that requests that hold parts of it cannot block each
// other. A Budget is safe for concurrent use.
type Budget struct {
	limit atomic.Int64

	mu sync.Mutex
	// holds are the holds with memory, in no order.
	holds []*Hold
	// used is the memory of all holds that are not evicted, large that of holds above
	// ordinarySize. leaving is the memory of evicted ones.
	used, large, leaving int64
	// responses are the responses that arrive and have memory, in no order, and arriving
	// is their memory. It is a part of used and large.
	responses []*Response
	arriving  int64
	// started numbers the holds in the order of their first charge.
	started uint64
}

// NewBudget returns a budget of the given size in bytes. With 0 nothing is bounded.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the size.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(max(limit, 0)) }

// Limit returns the size in bytes, or 0 if nothing is bounded.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Used returns the memory in bytes that requests hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.leaving
}

// Hold is the memory of one request. A nil Hold belongs to no budget and grants
// everything.
type Hold struct {
	budget *Budget
	// onEvict ends the request. It is called without locks of this package.
	onEvict func()
	evicted atomic.Bool

	// The fields below are guarded by budget.mu.
	size     int64
	isPinned bool
	// index is the position in budget.holds while size is positive.
	index  int
	number uint64
}

// NewHold returns a hold without memory. The function, which may be nil, is called if
// the hold is evicted.
func (b *Budget) NewHold(onEvict func()) *Hold { return &Hold{budget: b, onEvict: onEvict} }

// Charge takes memory for a request that has not been forwarded. Errors:
// KindOverloaded, not run, after which the request must end as if it was evicted.
func (h *Hold) Charge(n int64) error {
	if h == nil || n <= 0 || h.budget.Limit() == 0 {
		return nil
	}
	if !h.budget.charge(h, n, false) {
		return h.overMemory()
	}
	return nil
}

// Force takes memory for the response to a request that a server has run, which is
// delivered in any case. Other requests are evicted for it.
func (h *Hold) Force(n int64) {
	if h != nil && n > 0 && h.budget.Limit() > 0 {
		h.budget.charge(h, n, true)
	}
}

// Pin protects a request that is about to be forwarded from eviction. Errors:
// KindOverloaded, not run, if it was evicted before.
func (h *Hold) Pin() error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.evicted.Load() {
		return h.overMemory()
	}
	h.isPinned = true
	return nil
}

// Return gives a part of the memory back.
func (h *Hold) Return(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.resize(h, max(h.size-n, 0))
}

// Release gives all memory back at the end of a request. The hold can be used for
// another one unless it was evicted.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.isPinned = false
	h.budget.resize(h, 0)
}

// evict ends the request as if its memory was needed, unless it was forwarded.
func (h *Hold) evict() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.isPinned && !h.evicted.Load() {
		h.budget.evict(h)
	}
}

// IsEvicted reports whether the request was evicted.
func (h *Hold) IsEvicted() bool { return h != nil && h.evicted.Load() }

func (h *Hold) overMemory() error {
	return clementineturn.Refuse(clementineturn.KindOverloaded, "over memory: requests that were not forwarded hold the entry's budget of %d bytes", h.budget.Limit())
}

// charge adds to the hold and reports whether it may go on.
func (b *Budget) charge(h *Hold, n int64, force bool) bool {
	b.mu.Lock()
	if h.evicted.Load() {
		b.mu.Unlock()
		return false
	}
	if h.size == 0 {
		b.started++
		h.number = b.started
	}
	var victims []*Hold
	granted := true
	for !b.fits(h, n) {
		victim := b.largest()
		if victim == nil || !b.mayEvict() || !force && !victim.goesBefore(h, h.size+n) {
			granted = force
			break
		}
		b.evict(victim)
		victims = append(victims, victim)
		if victim == h {
			granted = false
			break
		}
	}
	switch {
	case granted:
		b.resize(h, h.size+n)
	case !h.evicted.Load():
		b.evict(h)
		victims = append(victims, h)
	}
	b.mu.Unlock()
	for _, victim := range victims {
		if victim.onEvict != nil {
			victim.onEvict()
		}
	}
	return granted
}

// fits reports whether the hold may take the memory. A large request that is the only
// one fits, so that one at a time is served whatever the configuration allows. Ordinary
// ones fit in the reserved part in any case.
func (b *Budget) fits(h *Hold, n int64) bool {
	limit := b.Limit()
	if limit == 0 {
		return true
	}
	reserve := limit - int64(largeShare*float64(limit))
	if h.size+n <= ordinarySize {
		return b.used+n <= limit || b.used-b.large+n <= reserve
	}
	others := b.large
	if h.size > ordinarySize {
		others -= h.size
	}
	return others == 0 || b.used+n <= limit && others+h.size+n <= limit-reserve
}

// largest returns the largest hold that may be evicted, the newest of several, or nil.
func (b *Budget) largest() *Hold {
	var found *Hold
	for _, h := range b.holds {
		if !h.isPinned && !h.evicted.Load() && (found == nil || h.goesBefore(found, found.size)) {
			found = h
		}
	}
	return found
}

// goesBefore reports whether the hold is evicted before another one of the size.
func (h *Hold) goesBefore(other *Hold, size int64) bool {
	return h.size > size || h.size == size && h.number > other.number
}

// evict leaves the hold out of account. Its memory is free once the request has ended.
func (b *Budget) evict(h *Hold) {
	size := h.size
	b.resize(h, 0)
	h.evicted.Store(true)
	b.resize(h, size)
}

// resize changes the size of a hold and the sums.
func (b *Budget) resize(h *Hold, size int64) {
	size = min(size, math.MaxInt64/4)
	if h.evicted.Load() {
		b.leaving += size - h.size
	} else {
		b.used += size - h.size
		b.large += largePart(size) - largePart(h.size)
	}
	switch {
	case h.size == 0 && size > 0:
		h.index = len(b.holds)
		b.holds = append(b.holds, h)
	case h.size > 0 && size == 0:
		last := b.holds[len(b.holds)-1]
		b.holds[h.index], last.index = last, h.index
		b.holds[len(b.holds)-1] = nil
		b.holds = b.holds[:len(b.holds)-1]
	}
	h.size = size
}

func largePart(size int64) int64 {
	if size > ordinarySize {
		return size
	}
	return 0
}
