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
	// listTimeout bounds a read of the list.
	listTimeout = 3 * time.Second
	// defaultRelayThreshold is the default of Config.RelayThreshold, in hosts.
	defaultRelayThreshold = 1000
	// relayTimeout is the time without a relayed confirmation after which a
	// process reads the list itself. Up to relayTimeoutSpread is added, so that
	// processes without a confirmation do not all read at once.
	relayTimeout       = 10 * time.Second
	relayTimeoutSpread = 20 * time.Second
	// maxRetryInterval bounds the time between failed reads of a long list.
	maxRetryInterval = 10 * time.Second
)

// readLoop reads the list once per interval, unless another process relays its
// changes. While reads fail, the last list stays in use.
func (c *Controller) readLoop(ctx context.Context) {
	var version clementineturn.Version
	interval, failed := c.config.Interval, false
	for ctx.Err() == nil {
		if c.isRelayed(time.Now()) {
			version = ""
			sleep(ctx, c.config.Interval)
			continue
		}
		next, err := c.readList(ctx, version)
		if ctx.Err() != nil {
			return
		}
		if down := err != nil; down != failed {
			failed = down
			c.logListState(err)
		}
		version = next
		interval = c.nextInterval(interval, failed)
		sleep(ctx, interval)
	}
}

// nextInterval returns the time until the next read. For a long list it doubles
// with each failed read, since the reads of many processes could keep the
// platform from recovering.
func (c *Controller) nextInterval(last time.Duration, failed bool) time.Duration {
	list := c.config.Board.HostList().Get()
	if !failed || list == nil || list.Len() < c.config.RelayThreshold {
		return c.config.Interval
	}
	return min(2*last, maxRetryInterval)
}

// isRelayed reports whether the list is long and another process recently relayed
// a confirmation of it. Short lists are read by each process itself, which costs
// little.
func (c *Controller) isRelayed(now time.Time) bool {
	list, confirmation := c.config.Board.HostList().Get(), c.config.Board.ListConfirmation().Get()
	if list == nil || list.Len() < c.config.RelayThreshold || !confirmation.Relayed() {
		return false
	}
	spread := time.Duration(xxhash.Sum64String(c.config.Self) % uint64(relayTimeoutSpread))
	return now.Sub(confirmation.Time()) < relayTimeout+spread
}

func (c *Controller) logListState(err error) {
	if err != nil {
		c.config.Events.Emit(clemevent.HostListUnavailable, zap.Error(err))
		return
	}
	c.config.Events.Emit(clemevent.HostListRecovered)
}

// readList reads the list once, writes it to the board if it changed, with the
// time of the read, and returns the version for the next read.
func (c *Controller) readList(ctx context.Context, version clementineturn.Version) (clementineturn.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, next, err := c.config.Hosts.List(ctx, version)
	if err != nil {
		return version, err
	}
	if next != version || version == "" {
		c.config.Board.HostList().Set(clemboard.NewHostList(hosts))
	}
	c.config.Board.ListConfirmation().Set(clemboard.NewListConfirmation(time.Now(), false))
	return next, nil
}
