package clemspread

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// shareTimeout bounds a call between entries: several round trips between
	// regions.
	shareTimeout = 600 * time.Millisecond
	// documentRequestDelay is how long an entry waits for the store to deliver a
	// configuration version that a peer holds before it requests the document
	// from the peer: documents are large for the links of the smallest entries.
	documentRequestDelay = 300 * time.Millisecond
	// startupRequestDelay is how long a starting entry waits for the store before
	// it requests documents or rows from peers, and minRequestInterval the
	// shortest time between two such requests.
	startupRequestDelay = 150 * time.Millisecond
	minRequestInterval  = 100 * time.Millisecond
	// wholeListDelay is the age of the list from which on an entry that holds one
	// requests the whole list from a peer: every entry with a connection to the
	// store has read it before.
	wholeListDelay = listReadInterval + maxStaggerSteps*listReadStagger + 200*time.Millisecond
	// countInterval is how long a count of the running requests is reused in
	// messages to peers.
	countInterval = exchangeInterval / 4
	// minCountTTL is the shortest time for which a peer's counts are used, and
	// countTTLExchanges the same as a number of exchange intervals.
	minCountTTL       = 1200 * time.Millisecond
	countTTLExchanges = 3
	// maxTransit is the longest transit time of a message whose rows are applied.
	maxTransit = 2 * time.Second
	// outcomeScale is the number by which outcome counts are multiplied in
	// messages, which carry hundredths.
	outcomeScale = 100
)

// exchange calls each peer at its interval.
func (s *Syncer) exchange(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(exchangeInterval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, address := range s.peers.takeDue(now) {
			calls.Go(func() {
				defer s.peers.endCall(address)
				s.call(ctx, address)
			})
		}
		s.exchangeGroups(ctx, &calls, now)
	}
}

func (s *Syncer) call(ctx context.Context, address string) {
	answer, err := s.exchangeOnce(ctx, address)
	if err != nil {
		if s.peers.recordFailure(address) {
			s.config.Events.Emit(clemevent.PeerUnavailable, zap.String("entry", address), zap.Error(err))
		}
		return
	}
	if answer.GetLacks() || s.shouldRequestRows(address) {
		// A second call right away carries the rows that one of the two requested.
		// If it fails, the next exchange carries them.
		_, _ = s.exchangeOnce(ctx, address)
	}
}

func (s *Syncer) exchangeOnce(ctx context.Context, address string) (*clemwire.Share, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	answer, err := s.config.Peers.Peer(address).Share(ctx, s.newShare(address))
	if err == nil {
		s.applyShare(answer)
	}
	return answer, err
}

// Share serves a peer's state exchange: it applies the peer's report and returns
// this entry's own.
func (s *Syncer) Share(_ context.Context, share *clemwire.Share) (*clemwire.Share, error) {
	s.applyShare(share)
	return s.newShare(share.GetAddress()), nil
}

// shouldRequestRows reports whether the peer has a newer list of backend
// servers and its rows may be requested now.
func (s *Syncer) shouldRequestRows(address string) bool {
	now := time.Now()
	version, age := s.servers.StoreVersion(now)
	needsWholeList := s.servers.NeedsWholeList()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayRequestRows(s.peers.state(address), needsWholeList, version, age, now)
}

// mayRequestRows reports whether the rows of a peer may be requested by an entry
// with the given version of the list, last known to be the newest the given time
// ago. The whole list is only requested from a peer if this entry has none, or
// has failed to read it from the store by the time at which every entry does. The
// caller holds mu.
func (s *Syncer) mayRequestRows(peer peerState, needsWholeList bool, version uint64, age time.Duration, now time.Time) bool {
	if peer.storeVersion <= version || !s.mayRequest(s.rowsRequestedAt, now) {
		return false
	}
	return peer.sendsChanges && !needsWholeList || version == 0 || age > wholeListDelay
}

// NoPeerServes reports whether no other entry is known that holds a configuration and
// is not leaving.
func (s *Syncer) NoPeerServes() bool {
	now := time.Now()
	if s.peers.hasServingPeer(now) {
		return false
	}
	_, serving, _ := s.sums.outside(now)
	return serving == 0 || s.peers.layout() == nil
}

// newShare returns this entry's next report to the peer.
func (s *Syncer) newShare(address string) *clemwire.Share {
	now := time.Now()
	peer := s.peers.state(address)
	storeVersion, age := s.servers.StoreVersion(now)
	share := &clemwire.Share{
		Name: s.config.Name, Address: s.config.Address, Version: s.config.Table.Version(),
		View: storeVersion, Age: durationpb.New(age), Entries: s.peers.takeUnsentAddresses(address), Leaving: s.config.IsDraining(),
		Floor: s.servers.HistoryStart(), Clock: durationpb.New(now.Sub(s.start)), Echo: durationpb.New(peer.clock),
		Since: peer.storeVersion,
	}
	s.addRequests(share, peer, age, now)
	if peer.wantsDocument && share.GetVersion() > peer.version {
		share.Document = s.config.Table.Current().Document()
	}
	if storeVersion > peer.storeVersion {
		if share.Bare = !peer.wantsRows; share.Bare {
			share.Since = s.servers.ChangesBase(peer.storeVersion)
		} else {
			since := peer.storeVersion
			if peer.wantsWholeList {
				since = 0
			}
			var state listState
			share.Rows, share.Since, state = s.servers.RowsSince(since)
			// The list may have changed since its version was read above.
			share.View, share.Digest = state.version, state.digest
		}
	}
	if l := s.peers.layout(); l != nil {
		s.addSums(share, l, address, peer, now)
	} else {
		share.Running = s.runningCounts(now)
		share.Kept = s.takeCacheUpdates(address)
	}
	s.addQuarantine(share, peer, now)
	share.Evacuations = s.evacuations.Messages()
	if s.config.TakeOrigins != nil {
		share.Origins = s.config.TakeOrigins()
	}
	return share
}

// addRequests adds requests for the rows and the document that the peer has and
// this entry lacks. A document is only requested once the store has had the
// time that it usually takes to deliver one; later versions do not extend the wait.
func (s *Syncer) addRequests(share *clemwire.Share, peer peerState, age time.Duration, now time.Time) {
	needsWholeList := s.servers.NeedsWholeList()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayRequestRows(peer, needsWholeList, share.GetView(), age, now) {
		share.Lacks, share.Whole, s.rowsRequestedAt = true, needsWholeList, now
	}
	version := s.config.Table.Version()
	if peer.version > version && (version == 0 || now.Sub(peer.aheadSince) > documentRequestDelay) && s.mayRequest(s.documentRequestedAt, now) {
		share.Asks, s.documentRequestedAt = true, now
		s.lag.recordRequest()
	}
}

// mayRequest reports whether rows or a document may be requested now. Peers are
// asked one at a time, since each of them would send the data. The caller holds
// mu.
func (s *Syncer) mayRequest(last, now time.Time) bool {
	return now.Sub(s.start) > startupRequestDelay && now.Sub(last) > minRequestInterval
}

// runningCounts returns this entry's server stats: running requests and outcomes.
// The result is reused for countInterval, since making it visits every server.
func (s *Syncer) runningCounts(now time.Time) []*clemwire.Running {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.countedAt) < countInterval && s.counts != nil {
		return s.counts
	}
	s.countedAt, s.counts = now, []*clemwire.Running{}
	for id, own := range s.config.Directory.LocalStats(now) {
		s.counts = append(s.counts, encodeStats(id, own, now))
	}
	return s.counts
}

// maxTransitTime returns an upper bound of the message's time in transit: the
// time since this entry sent the clock reading that the message echoes. It
// returns false if the message echoes none or the bound is too long for its
// rows to be applied.
func (s *Syncer) maxTransitTime(share *clemwire.Share, now time.Time) (time.Duration, bool) {
	echo := share.GetEcho().AsDuration()
	passed := now.Sub(s.start) - echo
	return passed, echo > 0 && passed >= 0 && passed < maxTransit
}

// takeCacheUpdates returns the newly cached prompt parts that were not yet sent
// to the peer, grouped by server, and marks them as sent.
func (s *Syncer) takeCacheUpdates(address string) []*clemwire.Kept {
	parts, end := s.config.Directory.CacheUpdates(s.peers.cacheUpdatesSent(address))
	s.peers.setCacheUpdatesSent(address, end)
	var cached []*clemwire.Kept
	byServer := map[string]*clemwire.Kept{}
	for _, p := range parts {
		if byServer[p.Server] == nil {
			byServer[p.Server] = &clemwire.Kept{Server: p.Server}
			cached = append(cached, byServer[p.Server])
		}
		byServer[p.Server].Parts = append(byServer[p.Server].Parts, p.Part)
	}
	return cached
}

// applyShare applies a peer's report.
func (s *Syncer) applyShare(share *clemwire.Share) {
	now := time.Now()
	if s.peers.recordShare(share, s.config.Table.Version(), now) {
		s.config.Events.Emit(clemevent.PeerAvailable, zap.String("entry", share.GetAddress()), zap.String("name", share.GetName()))
	}
	s.lag.recordPeer(s.config.Table.Version(), share.GetVersion(), share.GetName(), now)
	s.recordEra(share.GetView())
	for i, address := range share.GetEntries() {
		s.peers.learn(address, now)
		if i < len(share.GetCentres()) && share.GetCentres()[i] != "" {
			s.peers.setCentre(address, share.GetCentres()[i])
		}
	}
	if s.peers.state(share.GetAddress()).hasSentAddresses && !share.GetGrouped() && share.GetView() > 0 && share.GetSynced() {
		// In a fleet of several groups a message has only a part of the addresses, and one
		// from an entry that has read nothing from the store only its seeds.
		s.knowsEntries.Store(true)
	}
	s.evacuations.ApplyPeer(share.GetEvacuations(), share.GetName(), now)
	if len(share.GetDocument()) > 0 && share.GetVersion() > s.config.Table.Version() {
		s.applyDocument(share.GetDocument(), share.GetName())
	}
	if transit, ok := s.maxTransitTime(share, now); ok {
		s.servers.ApplyShare(share, transit, now)
	}
	s.applyQuarantine(share, now)
	if s.config.RecordOrigins != nil && len(share.GetOrigins()) > 0 {
		s.config.RecordOrigins(share.GetOrigins())
	}
	for _, k := range share.GetKept() {
		s.config.Directory.AddPeerCacheUpdates(k.GetServer(), k.GetParts(), now)
	}
	if l := s.peers.layout(); l != nil {
		s.applySums(share, l, now)
		if !l.isMember(share.GetAddress()) {
			// The sum of the sender's group contains its report.
			return
		}
		s.sums.setReport(share, now)
	}
	stats := make(map[string]clempool.ServerStats, len(share.GetRunning()))
	for _, r := range share.GetRunning() {
		stats[r.GetServer()] = decodeStats(r, now)
	}
	s.config.Directory.SetPeerStats(share.GetName(), stats, now, s.reportTTL())
}
