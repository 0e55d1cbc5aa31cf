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
	// Window is the number of newest generations in which a repeated request
	// id is recognised: half an hour at 53,000 changes a day.
	Window = 1024
	// readers bounds the concurrent reads that fill the window.
	readers = 16
)

// repeats remembers the request ids of the newest generations. Rows of the
// log never change, so what it remembers stays true.
type repeats struct {
	mu  sync.Mutex
	ids map[string]uint64
	// generations holds the id of each generation that was read.
	generations map[uint64]string
}

func newRepeats() *repeats {
	return &repeats{ids: map[string]uint64{}, generations: map[uint64]string{}}
}

func (r *repeats) add(change *clemwire.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An id may be used again after its window, and rows are read in any order.
	r.ids[change.GetId()] = max(r.ids[change.GetId()], change.GetGeneration())
	r.generations[change.GetGeneration()] = change.GetId()
	if len(r.generations) > 2*Window {
		r.prune()
	}
}

// prune forgets generations below the window. The caller holds the lock.
func (r *repeats) prune() {
	newest := uint64(0)
	for generation := range r.generations {
		newest = max(newest, generation)
	}
	for generation, id := range r.generations {
		if generation+Window <= newest {
			delete(r.generations, generation)
			if r.ids[id] == generation {
				delete(r.ids, id)
			}
		}
	}
}

// missing returns the generations of the window that were not read.
func (r *repeats) missing(newest uint64) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var generations []uint64
	for generation := oldest(newest); generation <= newest; generation++ {
		if _, ok := r.generations[generation]; !ok {
			generations = append(generations, generation)
		}
	}
	return generations
}

func (r *repeats) find(id string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// oldest returns the first generation of the window.
func oldest(newest uint64) uint64 {
	if newest < Window {
		return 1
	}
	return newest - Window + 1
}

// Find returns the change that the request of the id made within the last
// Window generations up to the newest, or nil. A process reads the rows of
// the window that it has not read before, so its first call is the dearest.
// Errors: KindUnavailable.
func (l *Log) Find(ctx context.Context, id string, newest uint64) (*clemwire.Change, error) {
	group, ctx2 := errgroup.WithContext(ctx)
	group.SetLimit(readers)
	for _, generation := range l.repeats.missing(newest) {
		group.Go(func() error {
			_, err := l.Next(ctx2, generation-1)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, asNotRun(err)
	}
	generation := l.repeats.find(id)
	if generation == 0 {
		return nil, nil
	}
	change, err := l.Next(ctx, generation-1)
	return change, asNotRun(err)
}

// repeated returns the generation that the change's request made, or 0 if it
// made none. Errors: KindKeyReused if the id stands for another change,
// KindUnavailable.
func (l *Log) repeated(ctx context.Context, newest uint64, change *clemwire.Change) (uint64, error) {
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
