package clemspread

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// liveTimeout is how long a peer that does not answer still counts as live:
	// longer than a restart, since it may go on serving requests meanwhile.
	liveTimeout = 10 * time.Second
	// intervalPerPeer is added to the exchange interval for each peer, so that
	// the traffic of an entry grows less than the fleet. minIntervalPerPeer times
	// the number of peers is the shortest interval, which bounds the rate of an
	// entry's exchanges in a large fleet.
	intervalPerPeer    = 4 * time.Millisecond
	minIntervalPerPeer = 8 * time.Millisecond
	// activeTimeout is how long after its last message a peer keeps its position
	// in the order in which entries read the list of backend servers.
	activeTimeout = time.Second
	// rowExpiry is how long after its last message a peer's row is removed from
	// the store. After twice this time the peer is no longer called.
	rowExpiry = 5 * time.Minute
	// forgottenTime is how long after a peer was forgotten its address is not learned from
	// other peers. Those of other groups forget it up to seven minutes later, as they go by
	// its row.
	forgottenTime = 4 * rowExpiry
	// takeoverDelay is how long an entry waits for a call from a peer with a
	// lower address before it calls the peer itself.
	takeoverDelay = 400 * time.Millisecond
	// unreachableInterval is the interval of calls to a peer that does not answer.
	unreachableInterval = time.Second
	// failedTargetTime is how long after a failed call to an entry of another group the
	// next one there is called instead.
	failedTargetTime = 5 * time.Second
)

// peerTable holds the state of the other entries, the peers, by address.
type peerTable struct {
	ownAddress, ownCentre string

	mu        sync.Mutex
	byAddress map[string]*peer
	// addresses holds the addresses in the order in which they were added.
	addresses []string
	// forgottenAt is when each peer that was removed lately was.
	forgottenAt map[string]time.Time
	// listReadAt is when the rows of entries were last read.
	listReadAt time.Time
	// currentLayout holds the groups, if isLayoutCurrent is set.
	currentLayout   *layout
	isLayoutCurrent bool
}

// peerState is what a peer's last message said about the peer.
type peerState struct {
	version, storeVersion uint64
	// aheadSince is when the peer first reported a configuration version above this entry's,
	// if its version still is.
	aheadSince time.Time
	// clock is the last reading of its monotonic clock, which starts at 0.
	clock time.Duration
	// wantsDocument is set if the peer requested the configuration's document,
	// wantsRows if it requested the rows of backend servers that changed after
	// its store version, and wantsWholeList if these do not lead to this entry's list.
	wantsDocument, wantsRows, wantsWholeList bool
	// isLeaving is set if the peer drains before it stops.
	isLeaving bool
	// sendsChanges is set if the peer can send the changes of the list since this
	// entry's version, and not only the whole list.
	sendsChanges bool
	// findingsSeen is the number of the last finding of this entry that the peer has,
	// findingsApplied that of the last one of the peer that this entry has.
	findingsSeen, findingsApplied uint64
	// relayedSeen and relayedApplied are the same for findings of other entries.
	relayedSeen, relayedApplied uint64
	// hasSentAddresses is set if the peer has sent addresses of entries since its start.
	hasSentAddresses bool
	// isGrouped is set if the peer's fleet has several groups.
	isGrouped bool
}

// peer is another entry.
type peer struct {
	// lastSeenAt is when the last message came, addedAt when the peer was added or became
	// a member of the own group.
	lastSeenAt, addedAt time.Time
	// movedAt is when it became a member of the own group, or zero.
	movedAt time.Time
	// listedAt is when its row was last read, failedAt when a call to it last failed.
	listedAt, failedAt time.Time
	calledAt           time.Time
	isCalling          bool
	isUnreachable      bool
	peerState
	// cacheUpdatesSent is the sequence number up to which cache updates were sent
	// to the peer, addressesSent the number of peerTable.addresses sent to it.
	cacheUpdatesSent uint64
	addressesSent    int
	centre           string
	isCentreKnown    bool
	// sumSentAt is when a sum was last sent to the peer.
	sumSentAt time.Time
}

// isServing reports whether the peer is active, holds a configuration and is not leaving.
func (p *peer) isServing(now time.Time) bool {
	return p.version > 0 && !p.isLeaving && now.Sub(p.lastSeenAt) < activeTimeout
}

func newPeerTable(address, centre string) *peerTable {
	return &peerTable{ownAddress: address, ownCentre: centre, byAddress: map[string]*peer{}, forgottenAt: map[string]time.Time{}}
}

// add adds the peer at the address unless it is known.
func (t *peerTable) add(address string, now time.Time) {
	if address == "" || address == t.ownAddress {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress[address] == nil {
		delete(t.forgottenAt, address)
		t.byAddress[address] = &peer{addedAt: now}
		t.addresses = append(t.addresses, address)
		t.isLayoutCurrent = false
	}
}

// learn adds the peer at an address that another peer sent, unless it is known or was
// forgotten lately: peers forget an entry that is gone at different times, and would learn
// it from each other again and again.
func (t *peerTable) learn(address string, now time.Time) {
	t.mu.Lock()
	at, wasKnown := t.forgottenAt[address]
	t.mu.Unlock()
	if !wasKnown || now.Sub(at) > forgottenTime {
		t.add(address, now)
	}
}

// addAndCheckExpired adds the peer of a row in the store, and reports whether it
// has not answered for so long that the row may be removed. A live entry writes
// its row again when it starts, and its peers know it until then. An entry of another
// group is judged by its own group, or if none of that is left by the time for which its
// sum is missing.
func (t *peerTable) addAndCheckExpired(address, centre string, isGroupLost func(groupID) bool, now time.Time) bool {
	t.add(address, now)
	t.setCentre(address, centre)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byAddress[address]
	if p == nil {
		return false
	}
	p.listedAt = now
	if l := t.layoutLocked(); l != nil && !l.isMember(address) && !isGroupLost(l.groupOf[address]) {
		return false
	}
	return now.Sub(p.lastSeen()) > rowExpiry
}

// setListRead records that the rows of entries were read.
func (t *peerTable) setListRead(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listReadAt = now
}

// isExpired reports whether the peer is no longer called. One of another group, which
// sends this entry nothing, is kept while its row is listed or rows cannot be read.
func (t *peerTable) isExpired(p *peer, isOutside bool, now time.Time) bool {
	if !isOutside {
		return now.Sub(p.lastSeen()) > 2*rowExpiry
	}
	last := p.lastSeen()
	if p.listedAt.After(last) {
		last = p.listedAt
	}
	return t.listReadAt.Sub(last) > 2*rowExpiry
}

// lastSeen returns when the last message came, or when the peer was added.
func (p *peer) lastSeen() time.Time {
	if p.addedAt.After(p.lastSeenAt) {
		return p.addedAt
	}
	return p.lastSeenAt
}

// recordShare records the state in a peer's message to an entry with the given version of
// the configuration, and reports whether the peer was new or unreachable before.
func (t *peerTable) recordShare(share *clemwire.Share, ownVersion uint64, now time.Time) (isNewlyReachable bool) {
	t.add(share.GetAddress(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byAddress[share.GetAddress()]
	if p == nil {
		return false
	}
	isNewlyReachable = p.isUnreachable || p.lastSeenAt.IsZero()
	p.lastSeenAt, p.isUnreachable = now, false
	if p.version <= ownVersion && share.GetVersion() > ownVersion {
		p.aheadSince = now
	}
	clock := share.GetClock().AsDuration()
	if clock < p.clock {
		// The peer restarted and knows neither addresses nor cached parts. In a
		// large fleet sending it all cached parts would take too much traffic.
		p.addressesSent, p.findingsApplied, p.relayedApplied, p.hasSentAddresses = 0, 0, 0, false
		if len(t.byAddress) < clempool.LargeFleetSize {
			p.cacheUpdatesSent = 0
		}
	}
	p.version, p.storeVersion, p.wantsDocument, p.wantsRows, p.clock = share.GetVersion(), share.GetView(), share.GetAsks(), share.GetLacks(), clock
	p.isLeaving, p.wantsWholeList = share.GetLeaving(), share.GetWhole()
	p.hasSentAddresses = p.hasSentAddresses || len(share.GetEntries()) > 0
	p.sendsChanges, p.findingsSeen = share.GetSince() > 0, share.GetSeen()
	p.isGrouped, p.relayedSeen, p.failedAt = share.GetGrouped(), share.GetRelayedSeen(), time.Time{}
	if p.isGrouped {
		if p.centre != share.GetCentre() {
			p.centre, t.isLayoutCurrent = share.GetCentre(), false
		}
		p.isCentreKnown = true
	}
	return isNewlyReachable
}

// state returns the last known state of the peer at the address.
func (t *peerTable) state(address string) peerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddress[address]; p != nil {
		return p.peerState
	}
	return peerState{}
}

// cacheUpdatesSent returns the sequence number up to which cache updates were
// sent to the peer.
func (t *peerTable) cacheUpdatesSent(address string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddress[address]; p != nil {
		return p.cacheUpdatesSent
	}
	return 0
}

// setCacheUpdatesSent records the sequence number up to which cache updates were
// sent to the peer. A lost message costs at most some repeated prefill.
func (t *peerTable) setCacheUpdatesSent(address string, number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddress[address]; p != nil {
		p.cacheUpdatesSent = number
	}
}

// recordFailure records a failed call, and reports whether the peer was
// reachable before.
func (t *peerTable) recordFailure(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byAddress[address]
	if p == nil {
		return false
	}
	p.failedAt = time.Now()
	if t.layoutLocked() == nil {
		p.addressesSent = 0
	} else if p.addressesSent > 0 {
		// The last addresses may not have arrived.
		p.addressesSent = max(p.addressesSent-maxSentAddresses, 0)
	}
	if p.isUnreachable || p.lastSeenAt.IsZero() {
		return false
	}
	p.isUnreachable = true
	return true
}

// takeDue returns the peers to call now and marks them as being called. Of two
// entries the one with the lower address calls; the other one calls only if it
// has received nothing from the first for takeoverDelay. In a fleet of several groups
// only the own one is called, by the one with the higher address: what the delegate
// knows then comes in replies, whose transit time is known best.
func (t *peerTable) takeDue(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	maps.DeleteFunc(t.forgottenAt, func(_ string, at time.Time) bool { return now.Sub(at) > forgottenTime })
	l := t.layoutLocked()
	for address, p := range t.byAddress {
		isOutside := l != nil && !l.isMember(address)
		if t.isExpired(p, isOutside, now) {
			t.remove(address)
			t.forgottenAt[address] = now
			continue
		}
		if isOutside {
			continue
		}
		interval := t.intervalLocked()
		if p.isUnreachable {
			interval = unreachableInterval
		}
		isCaller := (t.ownAddress < address) == (l == nil) || now.Sub(p.lastSeenAt) > takeoverDelay
		if !isCaller || p.isCalling || now.Sub(p.calledAt) < interval {
			continue
		}
		p.isCalling, p.calledAt = true, now
		due = append(due, address)
	}
	return due
}

// remove removes a peer, and corrects the number of addresses sent to the rest
// if the removed one was among them. The caller holds mu.
func (t *peerTable) remove(address string) {
	delete(t.byAddress, address)
	t.isLayoutCurrent = false
	at := slices.Index(t.addresses, address)
	if at < 0 {
		return
	}
	t.addresses = slices.Delete(t.addresses, at, at+1)
	for _, p := range t.byAddress {
		if at < p.addressesSent {
			p.addressesSent--
		}
	}
}

// endCall records that the call to the peer has ended.
func (t *peerTable) endCall(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddress[address]; p != nil {
		p.isCalling = false
	}
}

// takeUnsentAddresses returns the addresses that were not yet sent to the peer,
// and marks them as sent. In a fleet of several groups a message has few of them: entries
// that start together read different rows, and would disagree about the groups. One that
// requests the list of backend servers and has none, as it cannot reach the store, is sent
// all.
func (t *peerTable) takeUnsentAddresses(address string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	isLarge := len(t.byAddress) >= clempool.LargeFleetSize
	p := t.byAddress[address]
	if p == nil {
		if isLarge {
			return nil
		}
		return slices.Clone(t.addresses)
	}
	from, to := p.addressesSent, len(t.addresses)
	switch {
	case p.wantsRows && p.storeVersion == 0:
		from = 0
	case isLarge:
		to = min(to, from+maxSentAddresses)
	}
	p.addressesSent = to
	return slices.Clone(t.addresses[from:to])
}
