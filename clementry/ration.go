package clementry

import (
	"net/http"
	"sync"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// minMemoryBudget is the memory in bytes that all requests in progress may
	// hold together. It is larger if minLargestBodies bodies of the largest
	// allowed size need more.
	minMemoryBudget  = 256 << 20
	minLargestBodies = 64
	// organisationDivisor limits one organisation to the budget divided by it, so
	// that a surge of one leaves memory for the others.
	organisationDivisor = 4
	// requestOverhead is an estimate of the bytes that a request holds besides
	// its body: goroutines, buffers of both connections and buffered answer data.
	requestOverhead = 32 << 10
)

// memoryBudget bounds the memory that requests in progress hold, in total and
// for each organisation.
type memoryBudget struct {
	limit int64

	mu     sync.Mutex
	used   int64
	usedBy map[string]int64
}

func newMemoryBudget(maxBody int64) *memoryBudget {
	return &memoryBudget{limit: max(minMemoryBudget, minLargestBodies*maxBody), usedBy: map[string]int64{}}
}

// requestMemory returns the bytes that a request takes from the budget. A body
// of unknown length counts with the largest allowed size.
func requestMemory(r *http.Request, maxBody int64) int64 {
	if r.ContentLength < 0 {
		return requestOverhead + maxBody
	}
	return requestOverhead + min(r.ContentLength, maxBody)
}

// acquire reserves bytes for a request of the organisation. Errors:
// KindOverloaded.
func (b *memoryBudget) acquire(organisation string, bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if own := b.usedBy[organisation]; own+bytes > b.limit/organisationDivisor {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "requests in progress of the organisation hold %d bytes here", own)
	}
	if b.used+bytes > b.limit {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "requests in progress hold %d bytes here", b.used)
	}
	b.used += bytes
	b.usedBy[organisation] += bytes
	return nil
}

// release returns bytes that acquire reserved.
func (b *memoryBudget) release(organisation string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	if b.usedBy[organisation] -= bytes; b.usedBy[organisation] == 0 {
		delete(b.usedBy, organisation)
	}
}
