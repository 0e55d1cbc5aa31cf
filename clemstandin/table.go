// Package clemstandin holds small stand-ins for the systems around the fleet:
// the platform's services, model engines and plain services. They serve the
// tests and the demo; nothing in production uses them.
package clemstandin

import (
	"context"
	"strconv"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Table is an in-memory table with conditional writes and injectable faults.
type Table struct {
	gate
	rows  map[string]clementineturn.Row
	count uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]clementineturn.Row{}}
}

// Get implements clementineturn.Table.
func (t *Table) Get(ctx context.Context, key string) (clementineturn.Row, error) {
	if err := t.enterRead(ctx); err != nil {
		return clementineturn.Row{}, err
	}
	return t.peek(key)
}

// peek reads a row past the faults.
func (t *Table) peek(key string) (clementineturn.Row, error) {
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
		if err := t.match(key, version); err != nil {
			return clementineturn.Row{}, err
		}
		delete(t.rows, key)
		return clementineturn.Row{}, nil
	})
	return err
}

func (t *Table) write(ctx context.Context, apply func() (clementineturn.Row, error)) (clementineturn.Row, error) {
	if err := t.enterWrite(ctx); err != nil {
		return clementineturn.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.LateWrites > 0 {
		t.faults.LateWrites--
		time.AfterFunc(t.faults.Late, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = apply()
		})
		return clementineturn.Row{}, errLost()
	}
	row, err := apply()
	if t.faults.LostAnswers > 0 {
		t.faults.LostAnswers--
		return clementineturn.Row{}, errLost()
	}
	return row, err
}

func (t *Table) put(key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	if err := t.match(key, version); err != nil {
		return clementineturn.Row{}, err
	}
	t.count++
	row := clementineturn.NewRow(key, append([]byte(nil), value...), clementineturn.Version(strconv.FormatUint(t.count, 10)))
	t.rows[key] = row
	return row, nil
}

func (t *Table) match(key string, version clementineturn.Version) error {
	if found := t.rows[key].Version(); found != version {
		return clementineturn.Errorf(clementineturn.KindConflict, "row %q has version %q, not %q", key, found, version)
	}
	return nil
}

func errLost() error {
	return clementineturn.Errorf(clementineturn.KindUnknown, "the answer of the write was lost")
}
