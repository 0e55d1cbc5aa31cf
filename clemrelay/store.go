package clemrelay

import (
	"context"
	"sync"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxRecentChanges is the number of latest changes that a process keeps for its
	// children. Up to twice as many are held between trims.
	maxRecentChanges = 1024
	// maxBackfill is the largest number of changes that are read from the table to
	// close a gap in the recent changes.
	maxBackfill = 64
)

// configStore holds the configuration and the latest changes that led to it. Its
// generation never decreases: it accepts only the change of the next generation
// or a state of a higher one.
type configStore struct {
	board *clemboard.Board
	log   *clemconfig.Log

	// mu guards the fields below and orders the writes of the configuration to the
	// board.
	mu    sync.Mutex
	state *clemconfig.State
	// recent holds consecutive changes up to the state's generation.
	recent  []*clemwire.Change
	changed chan struct{}
}

func newConfigStore(board *clemboard.Board, log *clemconfig.Log) *configStore {
	return &configStore{board: board, log: log, changed: make(chan struct{})}
}

// current returns the state, or nil, and a channel that closes when it changes.
func (s *configStore) current() (*clemconfig.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.changed
}

// generation returns the current generation and whether there is a configuration.
func (s *configStore) generation() (uint64, bool) {
	state, _ := s.current()
	if state == nil {
		return 0, false
	}
	return state.Generation(), true
}

// apply applies the changes that follow the state and ignores older ones.
// Errors: KindUnready without a configuration, KindConflict if a change is missing
// in between.
func (s *configStore) apply(changes []*clemwire.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return clementineturn.Errorf(clementineturn.KindUnready, "no configuration to apply changes to")
	}
	state := s.state
	defer func() { s.publish(state) }()
	for _, change := range changes {
		if change.GetGeneration() <= state.Generation() {
			continue
		}
		next, err := state.Apply(change)
		if err != nil {
			return err
		}
		state = next
		s.appendRecent(change)
	}
	return nil
}

// adopt replaces the state if the given one is newer, and reports whether it did.
// The changes in between are kept for other processes if the log still holds them:
// while the table is unavailable, only the process that committed a change can
// send it.
func (s *configStore) adopt(state *clemconfig.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != nil && state.Generation() <= s.state.Generation() {
		return false
	}
	if !s.appendFromLog(state.Generation()) {
		s.recent = nil
	}
	s.publish(state)
	return true
}

// appendFromLog appends the changes up to a generation to the recent ones and
// reports whether the log still held them.
func (s *configStore) appendFromLog(generation uint64) bool {
	if s.state == nil {
		return false
	}
	changes, ok := s.log.Recent(s.state.Generation(), generation)
	for _, change := range changes {
		s.appendRecent(change)
	}
	return ok
}

func (s *configStore) appendRecent(change *clemwire.Change) {
	if len(s.recent) >= 2*maxRecentChanges {
		s.recent = append([]*clemwire.Change(nil), s.recent[len(s.recent)-maxRecentChanges:]...)
	}
	s.recent = append(s.recent, change)
}

// publish stores the state, writes it to the board and wakes waiting pulls. The
// caller holds mu.
func (s *configStore) publish(state *clemconfig.State) {
	if state == s.state {
		return
	}
	s.state = state
	s.board.Config().Set(state)
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesAfter returns the changes after a generation, and false if they are not
// all held.
func (s *configStore) changesAfter(generation uint64) ([]*clemwire.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	behind := s.state.Generation() - generation
	if behind > uint64(len(s.recent)) {
		return nil, false
	}
	return s.recent[uint64(len(s.recent))-behind:], true
}

// backfill reads the changes between a generation and the first recent change from
// the table. Errors: KindNotFound if they are more than maxBackfill, and those of
// the table.
func (s *configStore) backfill(ctx context.Context, generation uint64) error {
	s.mu.Lock()
	first := s.state.Generation() - uint64(len(s.recent)) + 1
	s.mu.Unlock()
	if first <= generation+1 {
		// A concurrent pull of another child closed the gap.
		return nil
	}
	if first-generation > maxBackfill {
		return clementineturn.Errorf(clementineturn.KindNotFound, "%d changes are missing", first-generation)
	}
	var changes []*clemwire.Change
	for g := generation; g+1 < first; g++ {
		change, err := s.log.Next(ctx, g)
		if err != nil {
			return err
		}
		changes = append(changes, change)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if first == s.state.Generation()-uint64(len(s.recent))+1 {
		s.recent = append(changes, s.recent...)
	}
	return nil
}
