package clemmember

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemevent"
)

const (
	// listTimeout bounds one read of the list.
	listTimeout = 3 * time.Second
	// defaultRelayed is the default of Config.Relayed, in hosts.
	defaultRelayed = 1000
	// relayedFor is the time without a confirmation after which a process
	// reads the list itself, and relayedSpread the time over which the
	// processes that lack one spread their reads.
	relayedFor    = 10 * time.Second
	relayedSpread = 20 * time.Second
	// maxRetry bounds the time between reads of a long list that fails.
	maxRetry = 10 * time.Second
)

// readLoop reads the list once per interval, unless another process passes
// on what changes. While the list does not answer, the last one stays in use.
func (c *Controller) readLoop(ctx context.Context) {
	var version clementineturn.Version
	interval, failed := c.config.Interval, false
	for ctx.Err() == nil {
		if c.relayed(time.Now()) {
			version = ""
			pause(ctx, c.config.Interval)
			continue
		}
		next, err := c.read(ctx, version)
		if ctx.Err() != nil {
			return
		}
		if down := err != nil; down != failed {
			failed = down
			c.logList(err)
		}
		version = next
		interval = c.nextInterval(interval, failed)
		pause(ctx, interval)
	}
}

// nextInterval returns the time to the next read. It doubles while the list
// fails, if so many processes read it that they could keep it down.
func (c *Controller) nextInterval(last time.Duration, failed bool) time.Duration {
	list := c.config.Board.List().Get()
	if !failed || list == nil || list.Len() < c.config.Relayed {
		return c.config.Interval
	}
	return min(2*last, maxRetry)
}

// relayed reports whether the list is long and another process confirmed it
// lately. Short lists are read by each process itself, as that costs little.
func (c *Controller) relayed(now time.Time) bool {
	list, heard := c.config.Board.List().Get(), c.config.Board.Heard().Get()
	if list == nil || list.Len() < c.config.Relayed || !heard.Relayed() {
		return false
	}
	spread := time.Duration(xxhash.Sum64String(c.config.Self) % uint64(relayedSpread))
	return now.Sub(heard.Time()) < relayedFor+spread
}

func (c *Controller) logList(err error) {
	if err != nil {
		c.config.Events.Emit(clemevent.HostsFailed, zap.Error(err))
		return
	}
	c.config.Events.Emit(clemevent.HostsBack)
}

// read puts one answer of the list on the board and returns the version to ask with next.
func (c *Controller) read(ctx context.Context, version clementineturn.Version) (clementineturn.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, next, err := c.config.Hosts.List(ctx, version)
	if err != nil {
		return version, err
	}
	if next != version || version == "" {
		c.config.Board.List().Set(clemboard.NewList(hosts))
	}
	c.config.Board.Heard().Set(clemboard.NewHeard(time.Now(), false))
	return next, nil
}
