package clemquota

import (
	"io"
	"sync/atomic"

	clementineturn "github.com/clementineturn/clementineturn"
)

// responseShare is the share of the budget that responses may hold while they arrive. The
// rest stays for requests, also while all servers of a service send bytes without end.
const responseShare = 0.5

// SmallResponse is the size in bytes up to which the memory of a response is not counted: a
// usual head and some events of a stream.
const SmallResponse = 16 << 10

// Response is the memory of a response while it arrives from a server. A nil Response
// belongs to no budget and grants everything.
type Response struct {
	budget *Budget
	// onEvict ends the arrival. It is called without locks of this package.
	onEvict func()
	evicted atomic.Bool
	// isCounted is set once the response was larger than SmallResponse. It belongs to the
	// goroutine that reads the response.
	isCounted bool

	// The fields below are guarded by budget.mu.
	size int64
	// index is the position in budget.responses while size is positive.
	index  int
	number uint64
}

// NewResponse returns a response without memory, in the budget of the request. The
// function, which may be nil, is called if the response is evicted.
func (h *Hold) NewResponse(onEvict func()) *Response {
	if h == nil {
		return nil
	}
	return &Response{budget: h.budget, onEvict: onEvict}
}

// Resize sets the memory that the response takes, before it takes it. If the responses
// would hold more than their share of the budget, the largest is evicted, the newest of
// several. Requests that have not been forwarded are evicted for a response. Errors:
// KindOverloaded, after which the arrival must end.
func (r *Response) Resize(size int64) error {
	if r == nil || r.budget.Limit() == 0 {
		return nil
	}
	if size <= SmallResponse && !r.isCounted {
		return nil
	}
	r.isCounted = true
	victims, granted := r.budget.resizeResponse(r, size)
	for _, onEvict := range victims {
		if onEvict != nil {
			onEvict()
		}
	}
	if !granted {
		return r.Err()
	}
	return nil
}

// Release gives all memory back. Further calls have no effect.
func (r *Response) Release() {
	if r == nil || !r.isCounted {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.setResponse(r, 0)
}

// Err returns the error of KindOverloaded with which the response was evicted, or nil.
func (r *Response) Err() error {
	if r == nil || !r.evicted.Load() {
		return nil
	}
	return clementineturn.Errorf(clementineturn.KindOverloaded, "over memory: responses that arrive hold their share of the entry's budget of %d bytes", r.budget.Limit())
}

// ReadAll reads to the end in addition to the memory in use, and charges the memory before
// it is read. The length is the expected one, or -1 if unknown, and the limit the one above
// which the reader ends or returns an error. It returns what was read with an error too.
// Errors: those of Resize and of the reader.
func (r *Response) ReadAll(from io.Reader, inUse, length, limit int64) ([]byte, error) {
	return readAll(from, length, limit, func(size int64) error { return r.Resize(inUse + size) })
}

// resizeResponse changes the size of the response and reports whether it may go on. It
// returns the functions to call for those that were evicted.
func (b *Budget) resizeResponse(r *Response, size int64) (victims []func(), granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted.Load() {
		return nil, false
	}
	if r.size == 0 && size > 0 {
		b.started++
		r.number = b.started
	}
	for !b.hasShare(r, size) {
		victim := r
		if b.mayEvict() {
			victim = b.largestResponse(r, size)
		}
		b.evictResponse(victim)
		victims = append(victims, victim.onEvict)
		if victim == r {
			return victims, false
		}
	}
	for size > r.size && b.used+size-r.size > b.Limit() && b.mayEvict() {
		h := b.largest()
		if h == nil {
			break
		}
		b.evict(h)
		victims = append(victims, h.onEvict)
	}
	b.setResponse(r, size)
	return victims, true
}

// hasShare reports whether the response may have the size within the share of responses. A
// single one may have any.
func (b *Budget) hasShare(r *Response, size int64) bool {
	isOnlyOne := len(b.responses) == 0 || len(b.responses) == 1 && r.size > 0
	return size <= r.size || isOnlyOne || b.arriving+size-r.size <= int64(responseShare*float64(b.Limit()))
}

// mayEvict reports whether the memory of those that were evicted and have not ended is small
// enough to evict another one.
func (b *Budget) mayEvict() bool { return b.leaving <= int64(maxLeavingShare*float64(b.Limit())) }

// largestResponse returns the largest response, the newest of several, where the size is
// that of the given one.
func (b *Budget) largestResponse(r *Response, size int64) *Response {
	found, foundSize := r, size
	for _, other := range b.responses {
		if other != r && (other.size > foundSize || other.size == foundSize && other.number > found.number) {
			found, foundSize = other, other.size
		}
	}
	return found
}

// evictResponse leaves the response out of account. Its memory is free once the arrival has
// ended.
func (b *Budget) evictResponse(r *Response) {
	size := r.size
	b.setResponse(r, 0)
	r.evicted.Store(true)
	b.setResponse(r, size)
}

// setResponse changes the size of the response and the sums.
func (b *Budget) setResponse(r *Response, size int64) {
	grown := size - r.size
	r.size = size
	if r.evicted.Load() {
		b.leaving += grown
		return
	}
	b.used += grown
	b.large += grown
	b.arriving += grown
	switch {
	case grown > 0 && size == grown:
		r.index = len(b.responses)
		b.responses = append(b.responses, r)
	case grown < 0 && size == 0:
		last := b.responses[len(b.responses)-1]
		b.responses[r.index], last.index = last, r.index
		b.responses[len(b.responses)-1] = nil
		b.responses = b.responses[:len(b.responses)-1]
	}
}
