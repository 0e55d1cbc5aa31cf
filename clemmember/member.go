// Package clemmember decides which hosts may get new work: from the platform's
// list, which lags, from the operators' drains, and from the results of offers to
// backend servers. It writes these members to the board, where the entry reads
// them to choose a server for a request.
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
	defaultReadInterval = time.Second
	// minWriteInterval is the shortest time between two writes of the members, so
	// that a burst of failures causes few of them.
	minWriteInterval = 100 * time.Millisecond
)

// Reasons for which this process drains, as written to the board.
const (
	ReasonList     = "list"
	ReasonOperator = "operator"
)

// Config describes a Controller to construct.
type Config struct {
	Hosts clementineturn.Hosts
	Board *clemboard.Board
	// Interval is the time between reads of the list. 0 means 1 s.
	Interval time.Duration
	// RelayThreshold is the number of hosts from which on the list is taken from
	// the parent in the relay tree, because a full answer for each change would
	// cost too much. 0 means 1000.
	RelayThreshold int
	Events         *clemevent.Logger
	// Self is the name of this process's host.
	Self string
}

// Controller keeps the members on the board up to date.
type Controller struct {
	config Config
	wakeup chan struct{}
	// drainReasons holds the reasons set on the board. Only writeLoop uses it.
	drainReasons map[string]bool

	// mu guards the fields below. It is never held while the board is written.
	mu      sync.Mutex
	list    *hostList
	hasList bool
	health  map[string]*serverHealth
}

// New returns a controller for the configuration.
func New(c Config) *Controller {
	if c.Interval == 0 {
		c.Interval = defaultReadInterval
	}
	if c.RelayThreshold == 0 {
		c.RelayThreshold = defaultRelayThreshold
	}
	return &Controller{config: c, wakeup: make(chan struct{}, 1), drainReasons: map[string]bool{}, list: newHostList(), health: map[string]*serverHealth{}}
}

// Start runs the controller until the context ends. The channel receives nil when
// the controller has stopped and is then closed.
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

// Refused records that a server refused work. After a draining refusal the server
// is held for a time that doubles with each further one.
func (c *Controller) Refused(server string, kind clementineturn.Kind, now time.Time) {
	if !isDrainRefusal(kind) {
		return
	}
	c.updateHealth(server, now, func(h *serverHealth) time.Duration { return h.onRefusal(now) })
}

// Failed records that a connection to a server failed. After three consecutive
// failures, each within five seconds of the one before, the server is held.
func (c *Controller) Failed(server string, now time.Time) {
	c.updateHealth(server, now, func(h *serverHealth) time.Duration { return h.onFailure(now) })
}

// Succeeded records that a server took work.
func (c *Controller) Succeeded(server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[server]
	if h == nil || h.isHeld(now) && h.isFixed {
		return
	}
	held := h.isHeld(now)
	h.onSuccess()
	if held {
		c.wake()
	}
}

// updateHealth applies the change to a server's health and logs the hold that it
// returns, if any.
func (c *Controller) updateHealth(server string, now time.Time, change func(*serverHealth) time.Duration) {
	c.mu.Lock()
	hold := change(c.healthOf(server, now))
	hasLeft := hold > 0 && c.list.confirmMissing(server)
	c.mu.Unlock()
	if hold == 0 {
		return
	}
	c.config.Events.Emit(clemevent.ServerHoldStarted, zap.String("host", server), zap.Duration("hold", hold))
	if hasLeft {
		c.config.Events.Emit(clemevent.HostLeft, zap.String("host", server))
	}
	c.wake()
}

// healthOf returns the server's health, which it creates if there is none. The
// caller holds mu.
func (c *Controller) healthOf(server string, now time.Time) *serverHealth {
	h := c.health[server]
	if h == nil {
		h = &serverHealth{decayedAt: now}
		c.health[server] = h
	}
	return h
}

// wake makes the write loop compute the members again.
func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// mergeList merges a new list from the board.
func (c *Controller) mergeList(list *clemboard.HostList) {
	now := time.Now()
	c.mu.Lock()
	change := c.list.merge(list.Hosts(), now)
	c.hasList = true
	for _, host := range change.left {
		c.healthOf(host.GetName(), now).addPenalty(now)
	}
	for _, host := range change.joined {
		if h := c.health[host.GetName()]; h != nil {
			h.onRejoin(now)
		}
	}
	c.mu.Unlock()
	c.logChange(change)
}

func (c *Controller) logChange(change listChange) {
	for _, host := range change.joined {
		c.config.Events.Emit(clemevent.HostJoined, zap.String("host", host.GetName()))
	}
	for _, host := range change.left {
		c.config.Events.Emit(clemevent.HostLeft, zap.String("host", host.GetName()))
	}
	if change.newlyMissing > 0 {
		c.config.Events.Emit(clemevent.HostListShrank, zap.Int("hosts", change.newlyMissing))
	}
}

// writeLoop writes the members whenever the list, a server's health or the
// operators' drains change, or a hold ends.
func (c *Controller) writeLoop(ctx context.Context) {
	var written *memberSet
	var lastMerged *clemboard.HostList
	for {
		config, changed := c.config.Board.Config().Watch()
		list, listed := c.config.Board.HostList().Watch()
		if list != lastMerged {
			lastMerged = list
			c.mergeList(list)
		}
		if config == nil {
			config = clemconfig.Empty()
		}
		members, expiry := c.computeMembers(time.Now(), config.IsDraining)
		if members != nil && !members.equal(written) {
			written = members
			c.config.Board.Members().Set(clemboard.NewMembers(members.active).WithInactive(members.inactive))
		}
		c.drainSelf(config.IsDraining(c.config.Self))
		if !sleep(ctx, minWriteInterval) {
			return
		}
		timer := time.NewTimer(expiry)
		select {
		case <-changed:
		case <-listed:
		case <-c.wakeup:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// memberSet holds the hosts that may get new work and those that may not, each
// sorted by name.
type memberSet struct {
	active, inactive []*clemwire.Host
}

func (a *memberSet) equal(b *memberSet) bool {
	return b != nil && slices.Equal(a.active, b.active) && slices.Equal(a.inactive, b.inactive)
}

// computeMembers returns the members, or nil before the first list, and the time
// until the next hold ends.
func (c *Controller) computeMembers(now time.Time, drained func(string) bool) (*memberSet, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pruneHealth(now)
	expiry := maxHold
	if !c.hasList {
		return nil, expiry
	}
	members := &memberSet{}
	counts := map[group]int{}
	var failing []*clemwire.Host
	for name, listed := range c.list.hosts {
		h := c.health[name]
		if h.isHeld(now) {
			expiry = min(expiry, h.heldUntil.Sub(now))
		}
		switch {
		case listed.host.GetLeaving() || drained(name) || h.isHeld(now) && h.isFixed:
			members.inactive = append(members.inactive, listed.host)
		case h.isHeld(now):
			failing = append(failing, listed.host)
		default:
			members.active = append(members.active, listed.host)
			counts[groupOf(listed.host)]++
		}
	}
	// If every server of a group fails, the cause may be this process's own
	// connection, and nothing is lost by trying them.
	for _, host := range failing {
		if counts[groupOf(host)] == 0 {
			members.active = append(members.active, host)
		} else {
			members.inactive = append(members.inactive, host)
		}
	}
	for _, hosts := range [][]*clemwire.Host{members.active, members.inactive} {
		slices.SortFunc(hosts, func(a, b *clemwire.Host) int { return strings.Compare(a.GetName(), b.GetName()) })
	}
	return members, expiry
}

// pruneHealth drops records that no longer affect the members. The caller holds
// mu.
func (c *Controller) pruneHealth(now time.Time) {
	for server, h := range c.health {
		if h.isNegligible(now) {
			delete(c.health, server)
		}
	}
}

// drainSelf sets or clears the reasons for which this process drains.
func (c *Controller) drainSelf(isDrainedByOperator bool) {
	c.mu.Lock()
	listed := c.list.hosts[c.config.Self]
	c.mu.Unlock()
	reasons := map[string]bool{ReasonOperator: isDrainedByOperator}
	if listed != nil {
		// The reason stays as it is while the list lacks this host, which may be
		// new or about to stop.
		reasons[ReasonList] = listed.host.GetLeaving()
	}
	for reason, isSet := range reasons {
		if c.drainReasons[reason] == isSet {
			continue
		}
		c.drainReasons[reason] = isSet
		c.config.Board.Drain().Update(func(old *clemboard.Drain) *clemboard.Drain { return old.WithReason(reason, isSet) })
		event := clemevent.SelfUndrained
		if isSet {
			event = clemevent.SelfDraining
		}
		c.config.Events.Emit(event, zap.String("reason", reason))
	}
}
