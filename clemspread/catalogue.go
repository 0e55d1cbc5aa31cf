// Package clemspread keeps an entry's configuration and list of backend
// servers up to date: from the platform's store, and from other entries, which
// also tell each other their running requests.
package clemspread

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// settleTime is how long after the end of an outage of the store a backend
	// server without a row is still used: rows that lapsed in the outage are
	// back about two seconds after it.
	settleTime = 2200 * time.Millisecond
	// outageGap is the time without news of the list, from the store or from
	// another entry, that counts as an outage: several turns of reading it.
	outageGap = 1500 * time.Millisecond
)

// catalogue holds the rows of backend servers, and enters them into the directory.
type catalogue struct {
	directory *clempool.Directory
	decode    func(id string, value []byte) (clempool.Record, error)
	events    *clemevent.Logger

	// mu guards everything below. The directory's lock is taken under it.
	mu   sync.Mutex
	rows map[string]row
	// view is the version of the store that the rows show, and seen is when
	// the store said so.
	view uint64
	seen time.Time
	// returned is when news of the list came after the last outage.
	returned time.Time
	// floor is the version from which on every removed row is known.
	floor uint64
	// lapsing are servers whose rows vanished around an outage, with the time
	// at which they count as gone.
	lapsing map[string]time.Time
}

// row is the last state of a backend server's row.
type row struct {
	change clementineturn.Change
	record clempool.Record
	// version is the store's version at which more than the heartbeat changed.
	version uint64
}

func newCatalogue(c Config) *catalogue {
	return &catalogue{
		directory: c.Directory, decode: c.DecodeServer, events: c.Events,
		rows: map[string]row{}, lapsing: map[string]time.Time{},
	}
}

// View returns the version of the store that the rows show and its age.
func (c *catalogue) View(now time.Time) (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == 0 {
		return 0, time.Hour
	}
	return c.view, now.Sub(c.seen)
}

// Apply enters rows that changed. If whole is set they are all there are.
// Batches older than the view are dropped: the store's reads may be behind.
func (c *catalogue) Apply(batch clementineturn.Batch, isWhole bool, seen, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if batch.Version() < c.view {
		return
	}
	if c.view > 0 && seen.Sub(c.seen) > outageGap {
		c.returned = seen
	}
	present := map[string]bool{}
	for _, change := range batch.Changes() {
		present[change.Key()] = true
		c.enter(change, now)
	}
	if isWhole {
		for _, id := range slices.Collect(maps.Keys(c.rows)) {
			if !present[id] && !c.rows[id].change.Removed() {
				c.enter(clementineturn.NewChange(clementineturn.ChangeConfig{Key: id, Version: batch.Version(), Removed: true}), now)
			}
		}
	}
	c.view = batch.Version()
	if isWhole {
		c.floor = batch.Version()
	}
	if seen.After(c.seen) {
		c.seen = seen
	}
}

func (c *catalogue) enter(change clementineturn.Change, now time.Time) {
	id := change.Key()
	old, known := c.rows[id]
	if known && old.change.Version() > change.Version() {
		return
	}
	if change.Removed() {
		if known && !old.change.Removed() {
			c.rows[id] = row{change: change, record: old.record, version: change.Version()}
			c.vanish(id, now)
		}
		return
	}
	record, err := c.decode(id, change.Value())
	if err != nil {
		if !known || !slices.Equal(old.change.Value(), change.Value()) {
			c.events.Emit(clemevent.ServerInvalid, zap.String("server", id), zap.Uint64("version", change.Version()), zap.Error(err))
		}
		c.rows[id] = row{change: change, version: change.Version()}
		c.vanish(id, now)
		return
	}
	delete(c.lapsing, id)
	version := change.Version()
	if known && old.record == record && !old.change.Removed() {
		version = old.version
	}
	c.rows[id] = row{change: change, record: record, version: version}
	if c.directory.Put(record) {
		c.events.Emit(clemevent.ServerListed, zap.String("server", id), zap.String("service", record.Service()),
			zap.String("address", record.Address()), zap.Bool("leaving", record.Leaving()), zap.Uint64("version", change.Version()))
	}
}

// vanish drops a server, soon after an outage of the store only after a while.
func (c *catalogue) vanish(id string, now time.Time) {
	if until := c.returned.Add(settleTime); now.Before(until) {
		c.lapsing[id] = until
		return
	}
	delete(c.lapsing, id)
	if c.directory.Remove(id) {
		c.events.Emit(clemevent.ServerUnlisted, zap.String("server", id), zap.Uint64("view", c.view))
	}
}

// Settle drops the servers whose rows did not come back after an outage.
func (c *catalogue) Settle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.lapsing {
		if now.After(at) {
			c.vanish(id, now)
		}
	}
}

// Since returns the rows that changed after the view, except for heartbeats.
func (c *catalogue) Since(view uint64) []*clemwire.ServerRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []*clemwire.ServerRow
	for id, r := range c.rows {
		if r.version <= view {
			continue
		}
		if view == 0 && r.change.Removed() {
			continue
		}
		rows = append(rows, &clemwire.ServerRow{
			Key: id, Value: r.change.Value(), Version: r.change.Version(),
			Removed: r.change.Removed(),
		})
	}
	return rows
}

// Told enters what another entry told of the rows at most the given time ago,
// and reports whether it was newer.
func (c *catalogue) Told(share *clemwire.Share, transit time.Duration, now time.Time) bool {
	view, _ := c.View(now)
	if share.GetBare() || share.GetView() == 0 || share.GetView() < view || view < share.GetSince() || view > 0 && view < share.GetFloor() {
		return false
	}
	if view == 0 {
		c.setFloor(share.GetView())
	}
	seen := now.Add(-share.GetAge().AsDuration() - transit)
	changes := make([]clementineturn.Change, len(share.GetRows()))
	for i, r := range share.GetRows() {
		changes[i] = clementineturn.NewChange(clementineturn.ChangeConfig{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	c.Apply(clementineturn.NewBatch(changes, share.GetView()), false, seen, now)
	return true
}

// Floor returns the version from which on every removed row is known.
func (c *catalogue) Floor() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.floor
}

func (c *catalogue) setFloor(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floor = max(c.floor, version)
}
