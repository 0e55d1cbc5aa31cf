// Package clemmember decides which hosts take part: from the platform's
// lagging list, from the operators' drains, and from what offers to backend
// servers meet. It writes the members to the board.
package clemmember

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	defaultInterval = time.Second
	// settle is the shortest time between two sets of members, so that a
	// burst of failures costs few of them.
	settle = 100 * time.Millisecond
)

// Reasons of the board's drain.
const (
	ReasonList     = "list"
	ReasonOperator = "operator"
)

// Config describes a Controller to construct.
type Config struct {
	Hosts clementineturn.Hosts
	Board *clemboard.Board
	// Interval is the time between reads of the list; 0 takes 1 s.
	Interval time.Duration
	// Relayed is the number of hosts from which the list is taken from the
	// parent in the relay tree, because a full answer for each change would
	// cost too much; 0 takes 1000.
	Relayed int
	Events  *clemevent.Logger
	// Self is the name of the process's own host.
	Self string
}

// Controller writes the board's members.
type Controller struct {
	config Config
	kick   chan struct{}
	// drained holds the reasons set on the board. It belongs to the write loop.
	drained map[string]bool

	// mu guards the fields below. It is never held while the board is written.
	mu      sync.Mutex
	list    *list
	merged  bool
	records map[string]*record
}

// New returns the controller that the configuration describes.
func New(c Config) *Controller {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.Relayed == 0 {
		c.Relayed = defaultRelayed
	}
	return &Controller{config: c, kick: make(chan struct{}, 1), drained: map[string]bool{}, list: newList(), records: map[string]*record{}}
}

// Start runs the controller until the context ends. The channel gets the
// error that ended it, or nil, and is then closed.
func (c *Controller) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	read := make(chan struct{})
	go func() {
		defer close(read)
		c.readLoop(ctx)
	}()
	go func() {
		defer close(ended)
		c.writeLoop(ctx)
		<-read
		ended <- nil
	}()
	return ended
}

// Refused notes that a server refused work. A draining refusal keeps new work
// from it for a time that doubles with each further one.
func (c *Controller) Refused(server string, kind clementineturn.Kind, now time.Time) {
	if !leaves(kind) {
		return
	}
	c.note(server, now, func(r *record) time.Duration { return r.refuse(now) })
}

// Failed notes that a connection to a server failed. Three in a row within
// five seconds keep new work from it.
func (c *Controller) Failed(server string, now time.Time) {
	c.note(server, now, func(r *record) time.Duration { return r.fail(now) })
}

// Succeeded notes that a server took work.
func (c *Controller) Succeeded(server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[server]
	if r == nil || r.held(now) && r.refused {
		return
	}
	held := r.held(now)
	r.succeed()
	if held {
		c.wake()
	}
}

// note changes a server's record and logs a hold.
func (c *Controller) note(server string, now time.Time, change func(*record) time.Duration) {
	c.mu.Lock()
	hold := change(c.record(server, now))
	gone := hold > 0 && c.list.confirm(server)
	c.mu.Unlock()
	if hold == 0 {
		return
	}
	c.config.Events.Emit(clemevent.ServerHeld, zap.String("host", server), zap.Duration("hold", hold))
	if gone {
		c.config.Events.Emit(clemevent.ServerGone, zap.String("host", server))
	}
	c.wake()
}

// record returns the server's record. The caller holds mu.
func (c *Controller) record(server string, now time.Time) *record {
	r := c.records[server]
	if r == nil {
		r = &record{decayed: now}
		c.records[server] = r
	}
	return r
}

func (c *Controller) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// merge takes a new list from the board.
func (c *Controller) merge(list *clemboard.List) {
	now := time.Now()
	c.mu.Lock()
	change := c.list.merge(list.Hosts(), now)
	c.merged = true
	for _, host := range change.gone {
		c.record(host.GetName(), now).flap(now)
	}
	for _, host := range change.joined {
		if r := c.records[host.GetName()]; r != nil {
			r.rejoin(now)
		}
	}
	c.mu.Unlock()
	c.logChange(change)
}

func (c *Controller) logChange(change change) {
	for _, host := range change.joined {
		c.config.Events.Emit(clemevent.ServerJoined, zap.String("host", host.GetName()))
	}
	for _, host := range change.gone {
		c.config.Events.Emit(clemevent.ServerGone, zap.String("host", host.GetName()))
	}
	if change.doubted > 0 {
		c.config.Events.Emit(clemevent.HostsShrunk, zap.Int("hosts", change.doubted))
	}
}

// writeLoop writes the members whenever the list, a record, a hold or the
// operators' drains change.
func (c *Controller) writeLoop(ctx context.Context) {
	var written *composition
	var merged *clemboard.List
	for {
		config, changed := c.config.Board.Config().Watch()
		list, listed := c.config.Board.List().Watch()
		if list != merged {
			merged = list
			c.merge(list)
		}
		if config == nil {
			config = clemconfig.Empty()
		}
		composed, expiry := c.compose(time.Now(), config.Drained)
		if composed != nil && !composed.equal(written) {
			written = composed
			c.config.Board.Members().Set(clemboard.NewMembers(composed.open).WithKnown(composed.closed))
		}
		c.drainSelf(config.Drained(c.config.Self))
		if !pause(ctx, settle) {
			return
		}
		timer := time.NewTimer(expiry)
		select {
		case <-changed:
		case <-listed:
		case <-c.kick:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// composition is the hosts that may take new work and those that may not,
// sorted by name.
type composition struct {
	open, closed []*clemwire.Host
}

func (a *composition) equal(b *composition) bool {
	return b != nil && slices.Equal(a.open, b.open) && slices.Equal(a.closed, b.closed)
}

// compose returns the hosts, or nil before the first list, and the time to
// the next end of a hold.
func (c *Controller) compose(now time.Time, drained func(string) bool) (*composition, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	expiry := maxHold
	if !c.merged {
		return nil, expiry
	}
	composed := &composition{}
	counts := map[group]int{}
	var failing []*clemwire.Host
	for name, e := range c.list.entries {
		r := c.records[name]
		if r.held(now) {
			expiry = min(expiry, r.until.Sub(now))
		}
		switch {
		case e.host.GetLeaving() || drained(name) || r.held(now) && r.refused:
			composed.closed = append(composed.closed, e.host)
		case r.held(now):
			failing = append(failing, e.host)
		default:
			composed.open = append(composed.open, e.host)
			counts[groupOf(e.host)]++
		}
	}
	// If every server of a group fails, the fault may be this process's own
	// connection, and there is nothing to lose by trying them.
	for _, host := range failing {
		if counts[groupOf(host)] == 0 {
			composed.open = append(composed.open, host)
		} else {
			composed.closed = append(composed.closed, host)
		}
	}
	for _, hosts := range [][]*clemwire.Host{composed.open, composed.closed} {
		slices.SortFunc(hosts, func(a, b *clemwire.Host) int { return strings.Compare(a.GetName(), b.GetName()) })
	}
	return composed, expiry
}

// forget drops the records that say nothing any more. The caller holds mu.
func (c *Controller) forget(now time.Time) {
	for server, r := range c.records {
		if r.idle(now) {
			delete(c.records, server)
		}
	}
}

// drainSelf sets or clears the reasons for which this process takes no new work.
func (c *Controller) drainSelf(operator bool) {
	c.mu.Lock()
	e := c.list.entries[c.config.Self]
	c.mu.Unlock()
	reasons := map[string]bool{ReasonOperator: operator}
	if e != nil {
		// A host that the list lacks stays as it is: it may be new, or about to end.
		reasons[ReasonList] = e.host.GetLeaving()
	}
	for reason, on := range reasons {
		if c.drained[reason] == on {
			continue
		}
		c.drained[reason] = on
		c.config.Board.Drain().Update(func(old *clemboard.Drain) *clemboard.Drain { return old.With(reason, on) })
		event := clemevent.SelfRemaining
		if on {
			event = clemevent.SelfLeaving
		}
		c.config.Events.Emit(event, zap.String("reason", reason))
	}
}
