package clemconfig

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// LogConfig describes a Log to construct.
type LogConfig struct {
	// Table is the platform's table that stores the log.
	Table clementineturn.Table
}

// Log is the log of configuration changes in the platform's table. Each change
// is stored in the row of its generation. A change is committed if and only if
// its row exists. A row is inserted only if it does not exist, and is never
// changed. Since one conditional insert is the whole commit, two operators
// cannot both create a generation, and none can be undone. A Log is safe for
// concurrent use.
type Log struct {
	table    clementineturn.Table
	requests *requestIndex
	recent   *recentChanges
}

// NewLog returns a Log for the configuration.
func NewLog(c LogConfig) *Log {
	return &Log{table: c.Table, requests: newRequestIndex(), recent: newRecentChanges()}
}

func rowKey(generation uint64) string { return fmt.Sprintf("config/%020d", generation) }

// Next returns the change that follows the generation. Errors: KindNotFound if
// the generation is the newest, KindInternal if the row cannot be decoded,
// KindUnavailable.
func (l *Log) Next(ctx context.Context, generation uint64) (*clemwire.Change, error) {
	row, err := l.table.Get(ctx, rowKey(generation+1))
	if err != nil {
		return nil, err
	}
	change := &clemwire.Change{}
	if err := proto.Unmarshal(row.Value(), change); err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "row %s: %w", row.Key(), err)
	}
	l.requests.add(change)
	l.recent.add(change)
	return change, nil
}

// Recent returns the changes after one generation up to and including another
// from memory. It returns false unless all of them are among those that this
// log recently read or committed. The caller must not modify the changes.
func (l *Log) Recent(after, last uint64) ([]*clemwire.Change, bool) {
	return l.recent.between(after, last)
}

// Advance applies all later changes of the log to the state and returns the
// result. On an error it returns the newest state that it reached. Errors:
// those of Next except KindNotFound, and those of State.Apply.
func (l *Log) Advance(ctx context.Context, state *State) (*State, error) {
	for {
		change, err := l.Next(ctx, state.Generation())
		if clementineturn.IsKind(err, clementineturn.KindNotFound) {
			return state, nil
		}
		if err != nil {
			return state, err
		}
		next, err := state.Apply(change)
		if err != nil {
			return state, err
		}
		state = next
	}
}

// Commit validates the change against the newest state and appends it to the
// log. It returns a state that contains the change, and the generation of the
// change. A change whose id is found in the last DeduplicationWindow
// generations is not appended again; Commit returns its generation. A change
// without an id gets a random one. If another change takes the generation
// first, Commit retries against the new state, so that only a change based on
// an outdated entity fails. Errors: those of State.Check, KindKeyReused,
// KindUnavailable, and KindUnknown if the write may have taken effect.
func (l *Log) Commit(ctx context.Context, state *State, change *clemwire.Change) (*State, uint64, error) {
	change = proto.CloneOf(change)
	change.Time = timestamppb.New(time.Now())
	if change.GetId() == "" {
		change.Id = NewID()
	}
	for {
		next, err := l.Advance(ctx, state)
		if err != nil {
			return next, 0, asNotRun(err)
		}
		state = next
		if first, err := l.findDuplicate(ctx, state.Generation(), change); err != nil || first > 0 {
			return state, first, err
		}
		if err := state.Check(change); err != nil {
			return state, 0, err
		}
		change.Generation = state.Generation() + 1
		err = l.insert(ctx, change)
		if clementineturn.IsKind(err, clementineturn.KindConflict) {
			continue
		}
		if err != nil {
			return state, 0, err
		}
		l.recent.add(change)
		next, err = state.Apply(change)
		return next, change.GetGeneration(), err
	}
}

// insert writes the change's row. If the outcome of the write is unknown, it
// reads the row, which contains this change, another one, or nothing yet. It
// compares the whole change, since a concurrent retry has the same id.
func (l *Log) insert(ctx context.Context, change *clemwire.Change) error {
	value, err := proto.Marshal(change)
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "marshal change: %w", err)
	}
	_, err = l.table.Put(ctx, rowKey(change.GetGeneration()), value, "")
	if err == nil || clementineturn.IsKind(err, clementineturn.KindUnavailable) {
		return asNotRun(err)
	}
	found, readErr := l.Next(ctx, change.GetGeneration()-1)
	if readErr != nil {
		return clementineturn.Errorf(clementineturn.KindUnknown, "the write of generation %d has no known outcome: %w", change.GetGeneration(), err)
	}
	if proto.Equal(found, change) {
		return nil
	}
	return clementineturn.Errorf(clementineturn.KindConflict, "generation %d is taken", change.GetGeneration())
}

// asNotRun returns the error with NotRun set. It is for failures that leave the
// log unchanged.
func asNotRun(err error) error {
	if err == nil {
		return nil
	}
	e := clementineturn.AsError(err)
	return clementineturn.NewError(clementineturn.ErrorConfig{Kind: e.Kind(), Field: e.Field(), Message: e.Message(), NotRun: true, Cause: err})
}
