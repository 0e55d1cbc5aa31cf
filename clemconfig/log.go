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
	Table clementineturn.Table
}

// Log is the generation log in the platform's table. Generation N is
// accepted exactly if row N exists, and a row is inserted only if absent and
// never written again. One conditional insert is the whole commit, so
// two operators cannot both make generation N and no generation can revert.
type Log struct {
	table   clementineturn.Table
	repeats *repeats
	recent  *recent
}

// NewLog returns the log that the configuration describes.
func NewLog(c LogConfig) *Log {
	return &Log{table: c.Table, repeats: newRepeats(), recent: newRecent()}
}

func rowKey(generation uint64) string { return fmt.Sprintf("config/%020d", generation) }

// Next returns the change that made the generation after the given one.
// Errors: KindNotFound if the given one is the newest, KindUnavailable.
func (l *Log) Next(ctx context.Context, generation uint64) (*clemwire.Change, error) {
	row, err := l.table.Get(ctx, rowKey(generation+1))
	if err != nil {
		return nil, err
	}
	change := &clemwire.Change{}
	if err := proto.Unmarshal(row.Value(), change); err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "row %s: %w", row.Key(), err)
	}
	l.repeats.add(change)
	l.recent.add(change)
	return change, nil
}

// Recent returns the changes after one generation up to another from memory,
// and false if this log did not read or make all of them lately. They must
// not be changed.
func (l *Log) Recent(after, last uint64) ([]*clemwire.Change, bool) {
	return l.recent.between(after, last)
}

// Advance returns the state after every change that the log holds beyond the
// given state. On an error it returns the newest state it reached.
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

// Commit checks the change against the newest state and appends it. It
// returns a state that holds the change and the generation that the change
// made. A change whose id is among the last Window generations is not
// appended again; its generation is returned. A change without an id gets a
// random one. A lost race is retried against the new state, so that only a
// change that rests on an outdated entity fails. Errors: those of
// State.Check, KindKeyReused, KindUnavailable, and KindUnknown if the write
// may have taken effect.
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
		if first, err := l.repeated(ctx, state.Generation(), change); err != nil || first > 0 {
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

// insert writes the change's row. A write whose answer was lost is settled by
// reading the row: it holds this change, another one, or nothing yet. The
// whole change is compared, since a concurrent repeat has the same id.
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

func asNotRun(err error) error {
	if err == nil {
		return nil
	}
	e := clementineturn.AsError(err)
	return clementineturn.NewError(clementineturn.ErrorConfig{Kind: e.Kind(), Field: e.Field(), Message: e.Message(), NotRun: true, Cause: err})
}
