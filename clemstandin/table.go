// Package clemstandin provides stand-ins for the systems around the fleet, with
// injectable faults: the platform's services, the store that fronts use, model
// engines and other backend servers, and clients. Tests and the demo use them;
// no request in production passes through this package.
package clemstandin

import (
	"context"
	"strconv"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Table is an in-memory table with conditional writes and injectable faults.
type Table struct {
	faultInjector
	rows        map[string]clementineturn.Row
	lastVersion uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]clementineturn.Row{}}
}

// Get implements clementineturn.Table.
func (t *Table) Get(ctx context.Context, key string) (clementineturn.Row, error) {
	if err := t.beginRead(ctx); err != nil {
		return clementineturn.Row{}, err
	}
	return t.getWithoutFaults(key)
}

// getWithoutFaults reads a row without applying faults or counting the call.
func (t *Table) getWithoutFaults(key string) (clementineturn.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return clementineturn.Row{}, clementineturn.Errorf(clementineturn.KindNotFound, "no row %q", key)
	}
	return row, nil
}

// Put implements clementineturn.Table.
func (t *Table) Put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	return t.write(ctx, func() (clementineturn.Row, error) { return t.put(key, value, version) })
}

// Delete implements clementineturn.Table.
func (t *Table) Delete(ctx context.Context, key string, version clementineturn.Version) error {
	_, err := t.write(ctx, func() (clementineturn.Row, error) {
		if err := t.checkVersion(key, version); err != nil {
			return clementineturn.Row{}, err
		}
		delete(t.rows, key)
		return clementineturn.Row{}, nil
	})
	return err
}

func (t *Table) write(ctx context.Context, apply func() (clementineturn.Row, error)) (clementineturn.Row, error) {
	if err := t.beginWrite(ctx); err != nil {
		return clementineturn.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.LateWrites > 0 {
		t.faults.LateWrites--
		time.AfterFunc(t.faults.LateWriteDelay, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = apply()
		})
		return clementineturn.Row{}, newLostAnswerError()
	}
	row, err := apply()
	if t.faults.LostAnswers > 0 {
		t.faults.LostAnswers--
		return clementineturn.Row{}, newLostAnswerError()
	}
	return row, err
}

func (t *Table) put(key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	if err := t.checkVersion(key, version); err != nil {
		return clementineturn.Row{}, err
	}
	t.lastVersion++
	row := clementineturn.NewRow(key, append([]byte(nil), value...), clementineturn.Version(strconv.FormatUint(t.lastVersion, 10)))
	t.rows[key] = row
	return row, nil
}

func (t *Table) checkVersion(key string, version clementineturn.Version) error {
	if found := t.rows[key].Version(); found != version {
		return clementineturn.Errorf(clementineturn.KindConflict, "row %q has version %q, not %q", key, found, version)
	}
	return nil
}

func newLostAnswerError() error {
	return clementineturn.Errorf(clementineturn.KindUnknown, "the answer of the write was lost")
}
