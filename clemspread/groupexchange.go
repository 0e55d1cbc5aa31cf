package clemspread

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// exchangeGroups does the part of this entry in a fleet of several groups: it determines
// its role, and as the delegate calls other groups and applies their sums.
func (s *Syncer) exchangeGroups(ctx context.Context, calls *sync.WaitGroup, now time.Time) {
	l := s.peers.layout()
	isDelegate := l != nil && s.peers.delegate(l, now) == s.config.Address
	if s.sums.setRole(isDelegate, now) {
		if isDelegate {
			s.config.Events.Emit(clemevent.DelegateStarted, zap.Int("groups", len(l.order)), zap.Int("members", len(l.members[l.own])))
		} else {
			s.config.Events.Emit(clemevent.DelegateEnded)
		}
	}
	if l == nil {
		if s.wasGrouped {
			s.config.Directory.DropFleetStats()
		}
		s.wasGrouped = false
		return
	}
	s.wasGrouped = true
	s.config.Directory.SetFleetSize(s.EntryCount())
	if !isDelegate {
		return
	}
	if s.sums.recentMerged(mergeInterval, now) == nil {
		if rest := s.mergeSums(l, now); rest != nil {
			s.applyRest(l, rest, s.config.Address, 0, now)
		}
	}
	for _, group := range s.sums.takeDue(l, now) {
		calls.Go(func() {
			defer s.sums.endCall(group)
			s.call(ctx, s.groupTarget(l, group, now))
		})
	}
}

// groupTarget returns the entry of another group to call: its delegate, as far as known
// and reachable. Each member can answer for its group.
func (s *Syncer) groupTarget(l *layout, group groupID, now time.Time) string {
	members := l.members[group]
	if delegate := s.sums.knownDelegate(group); slices.Contains(members, delegate) {
		members = slices.Concat([]string{delegate}, members)
	}
	return s.peers.firstReachable(members, now)
}

// mergeSums returns the sum over the other groups, or nil if this entry has none to send.
func (s *Syncer) mergeSums(l *layout, now time.Time) *clemwire.Sum {
	total := s.sums.addUp(l, now)
	if total == nil {
		return nil
	}
	above, others := s.config.Directory.SplitLoads(total.loads)
	encodeLoads(total.sum, above)
	for service, load := range others {
		total.sum.Others = append(total.sum.Others, &clemwire.ServiceLoad{Service: service, Count: uint32(load.Running), Unread: encodeTokens(load.PendingTokens)})
	}
	total.encodeOutcomes(total.sum, nil, now)
	s.sums.setMerged(total.sum, now)
	return total.sum
}

// applyRest applies the sum over the other groups, from the delegate or by itself.
func (s *Syncer) applyRest(l *layout, rest *clemwire.Sum, from string, transit time.Duration, now time.Time) {
	group, ok := sumGroup(rest)
	// A sum that leaves out less than the own group would count members twice.
	age := decodeAge(rest.GetAge()) + transit
	if !ok || !group.contains(l.own) {
		return
	}
	gap, ok := s.sums.setRest(rest, from, age, now)
	if !ok {
		return
	}
	// One old sum in it must not take the others away before the next one, in which the
	// delegate leaves it out.
	ttl := max(l.sumTTL()-age, 2*l.pairInterval(), min(2*gap, l.sumTTL()))
	stats := fleetStats(rest, age, now)
	stats.Members = s.sums.memberNames(l)
	s.config.Directory.SetFleetStats(stats, now, ttl)
}

// addSums adds to a message what an entry in a fleet of several groups sends: its own
// report and, from the delegate, the sum over the other groups to a member; the sum of
// its group to an entry of another one.
func (s *Syncer) addSums(share *clemwire.Share, l *layout, address string, peer peerState, now time.Time) {
	share.Grouped, share.Centre = true, s.config.Centre
	if len(share.GetEntries()) > 0 {
		share.Centres = s.peers.centres(share.GetEntries())
	}
	if l.isMember(address) {
		share.Running, share.Kept = s.runningCounts(now), s.takeCacheUpdates(address)
		if rest := s.sums.recentMerged(2*mergeInterval, now); rest != nil && s.peers.takeSumTurn(address, s.peers.restGap(sumSize(rest)), now) {
			share.Rest = rest
		}
	} else {
		if s.peers.takeSumTurn(address, time.Duration((1-sumGapMargin)*float64(l.groupInterval())), now) {
			share.Sum = s.groupSum(l, now)
		}
		if !peer.isGrouped {
			// The peer does not know of groups yet, or its version does not.
			share.Running = s.runningCounts(now)
		}
	}
	findings, last := s.sums.relayedSince(l.isMember(address), peer.relayedSeen, now)
	share.Relayed, share.RelayedLast, share.RelayedSeen = encodeFindings(findings, now), last, peer.relayedApplied
}

// groupSum returns the sum of this entry's group.
func (s *Syncer) groupSum(l *layout, now time.Time) *clemwire.Sum {
	sum := s.sums.groupSum(l, s.runningCounts(now), s.reportTTL(), now)
	live, serving := s.peers.groupCounts(l, now)
	if s.config.Table.Version() > 0 && !s.config.IsDraining() {
		serving++
	}
	return &clemwire.Sum{
		Centre: sum.GetCentre(), Bits: sum.GetBits(), Index: sum.GetIndex(), Entries: sum.GetEntries(), Digest: sum.GetDigest(), Age: sum.GetAge(),
		Servers: sum.GetServers(), Counts: sum.GetCounts(), Unread: sum.GetUnread(), Outcomes: sum.GetOutcomes(),
		Live: uint32(live + 1), Serving: uint32(serving), Delegate: s.peers.delegate(l, now),
	}
}

// reportTTL returns how long the report of a peer is used.
func (s *Syncer) reportTTL() time.Duration {
	return max(minCountTTL, countTTLExchanges*s.peers.interval())
}

// applySums applies the sums in a peer's message. Sums that were too long in transit are
// dropped.
func (s *Syncer) applySums(share *clemwire.Share, l *layout, now time.Time) {
	transit, ok := s.maxTransitTime(share, now)
	if !ok && share.GetEcho().AsDuration() != 0 {
		return
	}
	if sum := share.GetSum(); sum != nil {
		s.sums.setSum(l, sum, transit, now)
	}
	if rest := share.GetRest(); rest != nil && l.isMember(share.GetAddress()) {
		s.applyRest(l, rest, share.GetAddress(), transit, now)
	}
}

// restGap returns the shortest time between two sums over the other groups, of the given
// size, that are sent to a member: small ones are sent with each exchange, larger ones less
// often, in proportion.
func (t *peerTable) restGap(size int) time.Duration {
	exchanges := max(float64(size)/fullRateSize, 1)
	return time.Duration((exchanges - sumGapMargin) * float64(t.interval()))
}

// takeSumTurn reports whether a sum is to be sent to the peer now: if none was for the
// given time, so that a second call for rows does not repeat it.
func (t *peerTable) takeSumTurn(address string, gap time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byAddress[address]
	if p == nil || now.Sub(p.sumSentAt) < gap {
		return false
	}
	p.sumSentAt = now
	return true
}
