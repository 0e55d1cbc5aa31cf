package clementry

import (
	"net/http"
	"sync"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// rationBytes is the memory in bytes that requests in progress may hold
	// together, unless rationBodies bodies of the largest size need more.
	rationBytes  = 256 << 20
	rationBodies = 64
	// rationShare is the part of it that one organisation may hold, so that one
	// that surges leaves room for the others.
	rationShare = 4
	// requestBytes is about what a request holds besides its body: goroutines,
	// buffers of both connections and the part of the answer on its way.
	requestBytes = 32 << 10
)

// ration bounds the memory that requests in progress hold.
type ration struct {
	limit int64

	mu            sync.Mutex
	held          int64
	organisations map[string]int64
}

func newRation(body int64) *ration {
	return &ration{limit: max(rationBytes, rationBodies*body), organisations: map[string]int64{}}
}

// cost returns what a request takes from the ration. A body without a length
// may have any up to the limit.
func cost(r *http.Request, body int64) int64 {
	if r.ContentLength < 0 {
		return requestBytes + body
	}
	return requestBytes + min(r.ContentLength, body)
}

// take takes bytes for a request of the organisation. Errors: KindOverloaded.
func (r *ration) take(organisation string, bytes int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.organisations[organisation]; own+bytes > r.limit/rationShare {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "requests in progress of the organisation hold %d bytes here", own)
	}
	if r.held+bytes > r.limit {
		return clementineturn.Refuse(clementineturn.KindOverloaded, "requests in progress hold %d bytes here", r.held)
	}
	r.held += bytes
	r.organisations[organisation] += bytes
	return nil
}

// give returns what take took.
func (r *ration) give(organisation string, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= bytes
	if r.organisations[organisation] -= bytes; r.organisations[organisation] == 0 {
		delete(r.organisations, organisation)
	}
}
