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
	// maxHeld is the number of latest changes that a process keeps for its children.
	maxHeld = 1024
	// maxBackfill is the most rows that are read to close a gap of held changes.
	maxBackfill = 64
)

// store holds the configuration and the latest changes that led to it. Only
// the change of the next generation, or a state of a higher one, is ever taken.
type store struct {
	board *clemboard.Board
	log   *clemconfig.Log

	// mu guards the fields below and orders writes to the board's slot.
	mu    sync.Mutex
	state *clemconfig.State
	// held ends with the change of the state's generation, without gaps.
	held []*clemwire.Change
	next chan struct{}
}

func newStore(board *clemboard.Board, log *clemconfig.Log) *store {
	return &store{board: board, log: log, next: make(chan struct{})}
}

// current returns the state, or nil, and a channel that closes when it changes.
func (s *store) current() (*clemconfig.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.next
}

// generation returns the generation held and whether there is one.
func (s *store) generation() (uint64, bool) {
	state, _ := s.current()
	if state == nil {
		return 0, false
	}
	return state.Generation(), true
}

// apply takes the changes that continue the state and ignores the others.
// Errors: KindConflict if a change is missing in between.
func (s *store) apply(changes []*clemwire.Change) error {
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
		s.hold(change)
	}
	return nil
}

// adopt takes a whole state if it is newer than the one held, and reports
// whether it did. The changes in between are kept for others if the log still
// has them: the process that committed a change is the only one that can tell
// it while the table is down.
func (s *store) adopt(state *clemconfig.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != nil && state.Generation() <= s.state.Generation() {
		return false
	}
	if !s.bridge(state.Generation()) {
		s.held = nil
	}
	s.publish(state)
	return true
}

// bridge holds the changes up to a generation if the log still has them.
func (s *store) bridge(generation uint64) bool {
	if s.state == nil {
		return false
	}
	changes, ok := s.log.Recent(s.state.Generation(), generation)
	for _, change := range changes {
		s.hold(change)
	}
	return ok
}

func (s *store) hold(change *clemwire.Change) {
	if len(s.held) >= 2*maxHeld {
		s.held = append([]*clemwire.Change(nil), s.held[len(s.held)-maxHeld:]...)
	}
	s.held = append(s.held, change)
}

// publish stores the state and wakes waiters. The caller holds mu.
func (s *store) publish(state *clemconfig.State) {
	if state == s.state {
		return
	}
	s.state = state
	s.board.Config().Set(state)
	close(s.next)
	s.next = make(chan struct{})
}

// since returns the changes after a generation, and false if they are not all held.
func (s *store) since(generation uint64) ([]*clemwire.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	behind := s.state.Generation() - generation
	if behind > uint64(len(s.held)) {
		return nil, false
	}
	return s.held[uint64(len(s.held))-behind:], true
}

// backfill reads the rows after a generation that precede the held changes.
func (s *store) backfill(ctx context.Context, generation uint64) error {
	s.mu.Lock()
	first := s.state.Generation() - uint64(len(s.held)) + 1
	s.mu.Unlock()
	if first <= generation+1 {
		// Another child's pull closed the gap meanwhile.
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
	if first == s.state.Generation()-uint64(len(s.held))+1 {
		s.held = append(changes, s.held...)
	}
	return nil
}
