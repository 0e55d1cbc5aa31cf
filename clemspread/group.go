package clemspread

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxGroupSize is the largest mean size of the groups of a data centre. As their
	// number is a power of two, a group has 11 to 22 members in the mean.
	maxGroupSize = 22
	// groupIntervalPerGroup is the interval of calls between two delegates for each other
	// group, which bounds the rate of a delegate's calls; exchangeInterval is the least.
	groupIntervalPerGroup = 16 * time.Millisecond
	// maxSentAddresses bounds the addresses in a message of a fleet of several groups.
	maxSentAddresses = 32
	// hashBits is the length of the hash that assigns entries to groups.
	hashBits = 32
)

// groupID identifies a group of entries: those of a data centre whose hashed addresses
// begin with the given bits. Entries may disagree about the number of bits for a time.
type groupID struct {
	centre      string
	bits, index uint32
}

// contains reports whether all members of the other group belong to this one.
func (g groupID) contains(other groupID) bool {
	return g.centre == other.centre && g.bits <= other.bits && other.index>>(other.bits-g.bits) == g.index
}

// overlaps reports whether the groups may have members in common.
func (g groupID) overlaps(other groupID) bool { return g.contains(other) || other.contains(g) }

func (g groupID) compare(other groupID) int {
	return cmp.Or(cmp.Compare(g.centre, other.centre), cmp.Compare(g.bits, other.bits), cmp.Compare(g.index, other.index))
}

// groupOf returns the group of an entry in a data centre with the given number of entries.
func groupOf(address, centre string, entries int) groupID {
	bits := uint32(0)
	for entries > maxGroupSize<<bits {
		bits++
	}
	return groupID{centre, bits, uint32(xxhash.Sum64String(address)>>hashBits) >> (hashBits - bits)}
}

// sumGroup returns the group that a sum names, and false if it names none.
func sumGroup(sum *clemwire.Sum) (groupID, bool) {
	if sum.GetBits() > hashBits {
		return groupID{}, false
	}
	return groupID{sum.GetCentre(), sum.GetBits(), sum.GetIndex()}, true
}

// layout assigns the entries to groups. It is not changed once it is made.
type layout struct {
	own groupID
	// members holds the addresses of each group in order, this entry's among them.
	members map[groupID][]string
	// order holds the groups in order.
	order []groupID
	// groupOf holds the group of each address.
	groupOf map[string]groupID
}

// newLayout returns the layout of a fleet with the given addresses and data centres, or
// nil if it is one group.
func newLayout(ownAddress string, centres map[string]string) *layout {
	if len(centres) <= clempool.LargeFleetSize {
		return nil
	}
	sizes := map[string]int{}
	for _, centre := range centres {
		sizes[centre]++
	}
	l := &layout{members: map[groupID][]string{}, groupOf: make(map[string]groupID, len(centres))}
	for address, centre := range centres {
		group := groupOf(address, centre, sizes[centre])
		l.groupOf[address] = group
		l.members[group] = append(l.members[group], address)
	}
	for group, members := range l.members {
		slices.Sort(members)
		l.order = append(l.order, group)
	}
	slices.SortFunc(l.order, groupID.compare)
	l.own = l.groupOf[ownAddress]
	return l
}

// isMember reports whether the address belongs to this entry's group.
func (l *layout) isMember(address string) bool {
	group, isKnown := l.groupOf[address]
	return isKnown && group == l.own
}

// groupInterval returns the interval of calls between two delegates, or 0 in a fleet of
// one group.
func (l *layout) groupInterval() time.Duration {
	if l == nil {
		return 0
	}
	return max(exchangeInterval, time.Duration(len(l.order)-1)*groupIntervalPerGroup)
}

// pairInterval returns the interval of calls between two members of the own group.
func (l *layout) pairInterval() time.Duration { return pairInterval(len(l.members[l.own]) - 1) }

// sumTTL returns how long after its oldest report a sum of other groups is used: three
// times what a count takes to arrive, from a member to its delegate, to another one and to
// a member there.
func (l *layout) sumTTL() time.Duration {
	return max(minCountTTL, countTTLExchanges*(l.groupInterval()+2*l.pairInterval()))
}

// layout returns the groups of the known entries, or nil if the fleet is one group.
func (t *peerTable) layout() *layout {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.layoutLocked()
}

// layoutLocked is layout for callers that hold mu.
func (t *peerTable) layoutLocked() *layout {
	if t.isLayoutCurrent {
		return t.currentLayout
	}
	before := t.currentLayout
	t.isLayoutCurrent, t.currentLayout = true, nil
	if len(t.byAddress) >= clempool.LargeFleetSize {
		centres := make(map[string]string, len(t.byAddress)+1)
		centres[t.ownAddress] = t.ownCentre
		for address, p := range t.byAddress {
			centres[address] = p.centre
		}
		t.currentLayout = newLayout(t.ownAddress, centres)
	}
	t.renewMoved(before, t.currentLayout, time.Now())
	return t.currentLayout
}

// renewMoved counts entries of other groups that have become members as just added. They
// sent this entry nothing before, and would otherwise be forgotten at once and their rows
// removed from the store. The caller holds mu.
func (t *peerTable) renewMoved(before, after *layout, now time.Time) {
	if before == nil {
		return
	}
	for address, p := range t.byAddress {
		_, wasKnown := before.groupOf[address]
		if wasKnown && !before.isMember(address) && (after == nil || after.isMember(address)) {
			p.addedAt, p.movedAt = now, now
		}
	}
}

// setCentre records the data centre of an entry.
func (t *peerTable) setCentre(address, centre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddress[address]; p != nil {
		if p.centre != centre {
			p.centre, t.isLayoutCurrent = centre, false
		}
		p.isCentreKnown = true
	}
}

// lacksCentres reports whether the fleet has several groups and the data centre of an
// entry is not known.
func (t *peerTable) lacksCentres() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.layoutLocked() == nil {
		return false
	}
	for _, p := range t.byAddress {
		if !p.isCentreKnown {
			return true
		}
	}
	return false
}

// centres returns the data centres of the addresses.
func (t *peerTable) centres(addresses []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	centres := make([]string, len(addresses))
	for i, address := range addresses {
		if p := t.byAddress[address]; p != nil {
			centres[i] = p.centre
		}
	}
	return centres
}

// delegate returns the address of the own group's delegate: its first active entry. One
// that was added lately counts as active until the takeover delay has passed.
func (t *peerTable) delegate(l *layout, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range l.members[l.own] {
		p := t.byAddress[address]
		if address == t.ownAddress || p != nil && !p.isLeaving && now.Sub(p.lastSeen()) < takeoverDelay {
			return address
		}
	}
	return t.ownAddress
}

// groupCounts returns the numbers of live entries of the own group and of those of them
// that serve requests, without this one.
func (t *peerTable) groupCounts(l *layout, now time.Time) (live, serving int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range l.members[l.own] {
		p := t.byAddress[address]
		if p == nil {
			continue
		}
		if p.isLive(now) {
			live++
		}
		if p.isServing(now) {
			serving++
		}
	}
	return live, serving
}

// firstReachable returns the first address to which no call has failed lately, or else
// that to which the last call failed longest ago.
func (t *peerTable) firstReachable(addresses []string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := ""
	var bestFailedAt time.Time
	for _, address := range addresses {
		p := t.byAddress[address]
		if p == nil {
			continue
		}
		if now.Sub(p.failedAt) > failedTargetTime {
			return address
		}
		if best == "" || p.failedAt.Before(bestFailedAt) {
			best, bestFailedAt = address, p.failedAt
		}
	}
	return best
}
