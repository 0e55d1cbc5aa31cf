package clemspread

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// mergeInterval is how long the sum over the other groups is reused.
	mergeInterval = 50 * time.Millisecond
	// fullRateSize is the size of the sum over the other groups up to which each message
	// to a member has it. A larger one is sent less often, in proportion.
	fullRateSize = 2048
	// sumGapMargin is the part of an interval by which an exchange may be early and still
	// carries a sum.
	sumGapMargin = 0.5
	// maxRelayedFindings bounds the findings kept for other entries, maxSentRelayed those
	// in a message. relayTime is how long a finding is passed on: longer than a takeover.
	maxRelayedFindings = 1024
	maxSentRelayed     = 128
	relayTime          = 30 * time.Second
)

// sumTable holds the reports of this entry's group and the sums of the other groups.
type sumTable struct {
	ownAddress string

	// mu guards the fields below. No other lock is taken while it is held.
	mu sync.Mutex
	// reports holds the last report of each member of the group, by address.
	reports map[string]memberReport
	// names holds the names of the members that have reported, by address, also of those
	// whose reports have expired.
	names  map[string]string
	groups map[groupID]*groupState
	// own is the sum of the group as of ownAt, and merged that of the other groups as
	// of mergedAt.
	own, merged     *clemwire.Sum
	ownAt, mergedAt time.Time
	// delegateSince is zero unless this entry is its group's delegate.
	delegateSince time.Time
	// rest is the last sum over the other groups that was applied, with its sender.
	rest     *clemwire.Sum
	restFrom string
	// restAt is when it came, restOldest the time of its oldest report.
	restAt, restOldest time.Time
	// isFailing holds the servers at which other groups have failures.
	isFailing map[string]bool
	// outward holds the findings of the group for other groups, inward the other way round.
	outward, inward findingRelay
}

// memberReport is the report of a member of the group.
type memberReport struct {
	running []*clemwire.Running
	at      time.Time
}

// groupState is what is known of another group.
type groupState struct {
	// sum is the last one, which came at receivedAt and whose oldest report is of
	// reportedAt.
	sum                    *clemwire.Sum
	receivedAt, reportedAt time.Time
	calledAt               time.Time
	isCalling              bool
}

func newSumTable(address string) *sumTable {
	return &sumTable{ownAddress: address, reports: map[string]memberReport{}, names: map[string]string{}, groups: map[groupID]*groupState{}}
}

// setReport records the report of a member.
func (t *sumTable) setReport(share *clemwire.Share, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[share.GetAddress()] = memberReport{share.GetRunning(), now}
	t.names[share.GetAddress()] = share.GetName()
}

// memberNames returns the names of the members that have reported.
func (t *sumTable) memberNames(l *layout) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make(map[string]bool, len(t.names))
	for address, name := range t.names {
		if !l.isMember(address) {
			delete(t.names, address)
			continue
		}
		names[name] = true
	}
	return names
}

// setSum records the sum of another group in place of those that it overlaps: a group is
// never counted twice while entries disagree about the groups.
func (t *sumTable) setSum(l *layout, sum *clemwire.Sum, transit time.Duration, now time.Time) {
	group, ok := sumGroup(sum)
	if !ok || group.overlaps(l.own) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, reportedAt := t.group(group), now.Add(-decodeAge(sum.GetAge())-transit)
	state.receivedAt = now
	if ttl := l.sumTTL(); now.Sub(reportedAt) > ttl && t.hasFreshSum(group, ttl, now) {
		// The first message of an entry, of which the time in transit is unknown, must not
		// take away counts that are in use.
		return
	}
	for other, state := range t.groups {
		if other != group && other.overlaps(group) {
			state.sum = nil
		}
		if now.Sub(state.receivedAt) > rowExpiry && now.Sub(state.calledAt) > rowExpiry && !state.isCalling {
			delete(t.groups, other)
		}
	}
	state.sum, state.reportedAt = sum, reportedAt
}

// group returns the state of a group. The caller holds mu.
func (t *sumTable) group(id groupID) *groupState {
	if t.groups[id] == nil {
		t.groups[id] = &groupState{}
	}
	return t.groups[id]
}

// lastReceived returns when a sum last came of the group or of one that overlaps it. The
// caller holds mu.
func (t *sumTable) lastReceived(id groupID) time.Time {
	var last time.Time
	for other, state := range t.groups {
		if state.receivedAt.After(last) && other.overlaps(id) {
			last = state.receivedAt
		}
	}
	return last
}

// hasFreshSum reports whether a sum of the group, or of one that overlaps it, is used. The
// caller holds mu.
func (t *sumTable) hasFreshSum(id groupID, ttl time.Duration, now time.Time) bool {
	for other, state := range t.groups {
		if state.sum != nil && other.overlaps(id) && now.Sub(state.reportedAt) <= ttl {
			return true
		}
	}
	return false
}

// setRole records whether this entry is its group's delegate, and reports whether that is
// new.
func (t *sumTable) setRole(isDelegate bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isDelegate != t.delegateSince.IsZero() {
		return false
	}
	t.delegateSince = time.Time{}
	if isDelegate {
		t.delegateSince = now
	}
	return true
}

// takeDue returns the groups to call now and marks them as being called. Of two delegates
// the one of the later group calls; the other one calls only if it has received nothing
// from that group for takeoverDelay.
func (t *sumTable) takeDue(l *layout, now time.Time) []groupID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []groupID
	for _, id := range l.order {
		if id == l.own {
			continue
		}
		state := t.group(id)
		isCaller := id.compare(l.own) < 0 || now.Sub(t.lastReceived(id)) > takeoverDelay
		if !isCaller || state.isCalling || now.Sub(state.calledAt) < l.groupInterval() {
			continue
		}
		state.isCalling, state.calledAt = true, now
		due = append(due, id)
	}
	return due
}

// endCall records that the call to the group has ended.
func (t *sumTable) endCall(id groupID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.group(id).isCalling = false
}

// knownDelegate returns the address of a group's delegate as of its last sum, or "".
func (t *sumTable) knownDelegate(id groupID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.groups[id]; state != nil {
		return state.sum.GetDelegate()
	}
	return ""
}

// isLost reports whether this entry has been a delegate for as long as rows of entries
// that do not answer are kept, and has had no sum of the group in that time.
func (t *sumTable) isLost(id groupID) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.delegateSince.IsZero() && now.Sub(t.delegateSince) > rowExpiry && now.Sub(t.lastReceived(id)) > rowExpiry
}

// activeBefore returns the number of groups before this entry's in order, those without
// a recent sum left out at a delegate.
func (t *sumTable) activeBefore(l *layout, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, id := range l.order[:slices.Index(l.order, l.own)] {
		if t.delegateSince.IsZero() || now.Sub(t.lastReceived(id)) < max(activeTimeout, 2*l.groupInterval()) {
			n++
		}
	}
	return n
}

// groupSum returns the sum of this entry's group. reportTTL is how long reports are used.
func (t *sumTable) groupSum(l *layout, own []*clemwire.Running, reportTTL time.Duration, now time.Time) *clemwire.Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own != nil && now.Sub(t.ownAt) < countInterval {
		return t.own
	}
	sum := &clemwire.Sum{Centre: l.own.centre, Bits: l.own.bits, Index: l.own.index, Entries: 1, Digest: xxhash.Sum64String(t.ownAddress)}
	total := newTally()
	total.addReport(own, now)
	oldest := now
	for address, report := range t.reports {
		if !l.isMember(address) || now.Sub(report.at) > reportTTL {
			delete(t.reports, address)
			continue
		}
		total.addReport(report.running, report.at)
		sum.Entries++
		sum.Digest ^= xxhash.Sum64String(address)
		if report.at.Before(oldest) {
			oldest = report.at
		}
	}
	sum.Age = durationpb.New(now.Sub(oldest))
	encodeLoads(sum, total.loads)
	total.encodeOutcomes(sum, t.isFailing, now)
	t.own, t.ownAt = sum, now
	return sum
}

// restTally is the sum over the other groups before it is encoded.
type restTally struct {
	*tally
	sum *clemwire.Sum
}

// addUp adds up the sums of the other groups. It returns nil if this entry is not the
// delegate, or became it lately and still lacks the sum of a group: the sum that the last
// delegate sent contains more.
func (t *sumTable) addUp(l *layout, now time.Time) *restTally {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delegateSince.IsZero() {
		return nil
	}
	total := &restTally{newTally(), &clemwire.Sum{Centre: l.own.centre, Bits: l.own.bits, Index: l.own.index}}
	oldest, isNew := now, now.Sub(t.delegateSince) < takeoverDelay
	for id, state := range t.groups {
		if state.sum == nil || id.overlaps(l.own) || now.Sub(state.receivedAt) > liveTimeout {
			continue
		}
		total.sum.Live += state.sum.GetLive()
		if now.Sub(state.reportedAt) > l.sumTTL() {
			continue
		}
		total.addSum(state.sum, state.receivedAt)
		total.sum.Serving += state.sum.GetServing()
		total.sum.Entries += state.sum.GetEntries()
		total.sum.Digest ^= state.sum.GetDigest()
		if state.reportedAt.Before(oldest) {
			oldest = state.reportedAt
		}
	}
	for _, id := range l.order {
		if id == l.own {
			continue
		}
		if isNew && !t.hasFreshSum(id, l.sumTTL(), now) {
			return nil
		}
		if now.Sub(t.lastReceived(id)) > liveTimeout && now.Sub(t.delegateSince) < liveTimeout {
			// The group may have entries that have not answered yet.
			total.sum.Live += uint32(len(l.members[id]))
		}
	}
	total.sum.Age = durationpb.New(now.Sub(oldest))
	return total
}

// recentMerged returns the last sum over the other groups if it is younger than the time.
func (t *sumTable) recentMerged(maxAge time.Duration, now time.Time) *clemwire.Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delegateSince.IsZero() || t.merged == nil || now.Sub(t.mergedAt) >= maxAge {
		return nil
	}
	return t.merged
}

func (t *sumTable) setMerged(sum *clemwire.Sum, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merged, t.mergedAt = sum, now
}

// setRest records the sum over the other groups, and reports whether it is to be applied,
// and the time since the last one: of two delegates at once the one that knows more entries
// or newer reports counts.
func (t *sumTable) setRest(rest *clemwire.Sum, from string, age time.Duration, now time.Time) (gap time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest := now.Add(-age)
	if from != t.restFrom && now.Sub(t.restAt) < takeoverDelay &&
		(rest.GetEntries() < t.rest.GetEntries() || rest.GetEntries() == t.rest.GetEntries() && oldest.Before(t.restOldest)) {
		return 0, false
	}
	gap = now.Sub(t.restAt)
	t.rest, t.restFrom, t.restAt, t.restOldest = rest, from, now, oldest
	t.isFailing = map[string]bool{}
	for _, r := range rest.GetOutcomes() {
		if r.GetFailed() > 0 {
			t.isFailing[r.GetServer()] = true
		}
	}
	return gap, true
}

// outside returns the numbers of live and of serving entries of other groups, and false
// if no sum states them.
func (t *sumTable) outside(now time.Time) (live, serving int, isKnown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now.Sub(t.restAt)
	if t.rest == nil || age > liveTimeout {
		return 0, 0, false
	}
	if age < activeTimeout+minCountTTL {
		serving = int(t.rest.GetServing())
	}
	return int(t.rest.GetLive()), serving, true
}
