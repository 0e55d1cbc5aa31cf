package clemconfig

import (
	"context"
	"crypto/rand"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// DeduplicationWindow is the number of newest generations among which a
	// retried request is recognised by its id. It corresponds to half an hour
	// at 53,000 changes a day.
	DeduplicationWindow = 1024
	// maxConcurrentReads limits the concurrent reads of the window's rows.
	maxConcurrentReads = 16
)

// requestIndex maps the request ids of the newest generations to generations.
// Its entries never become outdated, since rows of the log do not change. It is
// safe for concurrent use.
type requestIndex struct {
	mu             sync.Mutex
	generationByID map[string]uint64
	// idByGeneration holds the request id of each generation that was read.
	idByGeneration map[uint64]string
}

func newRequestIndex() *requestIndex {
	return &requestIndex{generationByID: map[string]uint64{}, idByGeneration: map[uint64]string{}}
}

func (r *requestIndex) add(change *clemwire.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An id may be reused after the window, and rows are read in any order: the
	// newest generation counts.
	r.generationByID[change.GetId()] = max(r.generationByID[change.GetId()], change.GetGeneration())
	r.idByGeneration[change.GetGeneration()] = change.GetId()
	if len(r.idByGeneration) > 2*DeduplicationWindow {
		r.prune()
	}
}

// prune deletes the generations below the window. The caller holds the lock.
func (r *requestIndex) prune() {
	newest := uint64(0)
	for generation := range r.idByGeneration {
		newest = max(newest, generation)
	}
	for generation, id := range r.idByGeneration {
		if generation+DeduplicationWindow <= newest {
			delete(r.idByGeneration, generation)
			if r.generationByID[id] == generation {
				delete(r.generationByID, id)
			}
		}
	}
}

// unread returns the generations of the window that have not been read.
func (r *requestIndex) unread(newest uint64) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var generations []uint64
	for generation := windowStart(newest); generation <= newest; generation++ {
		if _, ok := r.idByGeneration[generation]; !ok {
			generations = append(generations, generation)
		}
	}
	return generations
}

func (r *requestIndex) generation(id string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generationByID[id]
}

// windowStart returns the first generation of the window that ends at newest.
func windowStart(newest uint64) uint64 {
	if newest < DeduplicationWindow {
		return 1
	}
	return newest - DeduplicationWindow + 1
}

// Find returns the change with the request id among the last
// DeduplicationWindow generations up to newest, or nil. It reads the rows of
// the window that this Log has not read before, so the first call of a process
// is the slowest. Errors: KindUnavailable.
func (l *Log) Find(ctx context.Context, id string, newest uint64) (*clemwire.Change, error) {
	group, ctx2 := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, generation := range l.requests.unread(newest) {
		group.Go(func() error {
			_, err := l.Next(ctx2, generation-1)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, asNotRun(err)
	}
	generation := l.requests.generation(id)
	if generation == 0 {
		return nil, nil
	}
	change, err := l.Next(ctx, generation-1)
	return change, asNotRun(err)
}

// findDuplicate returns the generation at which the change was committed before
// under the same id, or 0 if it was not. Errors: KindKeyReused if the id
// belongs to a different change, KindUnavailable.
func (l *Log) findDuplicate(ctx context.Context, newest uint64, change *clemwire.Change) (uint64, error) {
	found, err := l.Find(ctx, change.GetId(), newest)
	if err != nil || found == nil {
		return 0, err
	}
	if found.GetAction() != change.GetAction() || !proto.Equal(found.GetEntity(), change.GetEntity()) {
		return 0, clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindKeyReused, Field: "id", NotRun: true,
			Message: "another change was made under the id",
		})
	}
	return found.GetGeneration(), nil
}

// NewID returns a random request id.
func NewID() string { return rand.Text() }
