package clemspread

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
)

const (
	// learnPoll is the pace at which an entry that starts looks whether it is ready.
	learnPoll = 10 * time.Millisecond
	// learnDelay is how long it then waits for the others: some exchanges.
	learnDelay = 60 * time.Millisecond
	// elderTime is the time that another entry has run from which on it knows
	// what engines keep and tells it.
	elderTime = 5 * time.Second
)

// learn asks the engines what they keep when all entries have started anew:
// otherwise those that run on tell it. Each entry asks some engines and tells
// the others.
func (s *Spread) learn(ctx context.Context) {
	if s.config.Inventory == nil {
		return
	}
	for !s.IsReady() {
		if !sleep(ctx, learnPoll) {
			return
		}
	}
	if !sleep(ctx, learnDelay) || !s.roster.mustLearn() {
		return
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	configuration := s.config.Table.Current()
	for _, record := range s.config.Directory.Records() {
		service := configuration.Service(record.Service())
		if service == nil || service.Engine() == nil || record.Leaving() || !s.roster.isFirst(record.ID()) {
			continue
		}
		calls.Go(func() {
			parts, err := s.config.Inventory.Kept(ctx, record.Address())
			if err != nil {
				s.config.Events.Emit(clemevent.KeptUnknown, zap.String("server", record.ID()), zap.Error(err))
				return
			}
			s.config.Directory.Learn(record.ID(), parts, time.Now())
			s.config.Events.Emit(clemevent.KeptLearnt, zap.String("server", record.ID()), zap.Int("parts", len(parts)))
		})
	}
}

// mustLearn reports whether no other entry has run long enough to tell what
// engines keep, and the fleet is small enough to tell it all.
func (r *roster) mustLearn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.clock > elderTime {
			return false
		}
	}
	return len(r.entries) < clempool.Crowd
}

// isFirst reports whether this entry is the first of all in the order that
// belongs to the id.
func (r *roster) isFirst(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := xxhash.Sum64String(r.own + id)
	for address := range r.entries {
		if xxhash.Sum64String(address+id) > own {
			return false
		}
	}
	return true
}
