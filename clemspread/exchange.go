package clemspread

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// shareTimeout bounds a call between entries: several times the way there
	// and back between regions.
	shareTimeout = 600 * time.Millisecond
	// rosterPace is the pace at which the rows of entries are read again, in
	// case that nobody named a new one.
	rosterPace = time.Minute
	// askDelay is how long an entry waits for the store to bring a version that
	// another entry holds, before it asks that one for it: documents are large
	// beside the links of the smallest entries.
	askDelay = 300 * time.Millisecond
	// firstAsk is how long an entry that starts waits for the store before it
	// asks others for what it lacks, and askPace the pace at which it asks one.
	firstAsk = 150 * time.Millisecond
	askPace  = 100 * time.Millisecond
	// countPace is the pace at which the running requests are counted for others.
	countPace = exchangePace / 4
	// toldTime is how long another entry's counts are believed at least, and
	// toldPaces the same as a number of exchanges.
	toldTime  = 1200 * time.Millisecond
	toldPaces = 3
	// transitLimit is the longest way of a message whose rows are entered.
	transitLimit = 2 * time.Second
	// hundredths is the unit in which outcomes are told.
	hundredths = 100
)

// registration is the row of an entry.
type registration struct {
	Address string `json:"address"`
}

// register writes this entry's row and reads those of the others.
func (s *Spread) register(ctx context.Context) {
	for _, seed := range s.config.Seeds() {
		s.roster.add(seed, time.Now())
	}
	var retry backoff
	isWritten := false
	for ctx.Err() == nil {
		// Written before it is read: of two entries that start at once, one
		// sees the other.
		var err error
		if !isWritten {
			err = s.writeEntry(ctx)
			isWritten = err == nil
		}
		if err == nil {
			err = s.readEntries(ctx)
		}
		s.note(err)
		if err != nil {
			if !s.awaitStore(ctx, &retry) {
				return
			}
			continue
		}
		retry = backoff{}
		if !sleep(ctx, rosterPace) {
			return
		}
	}
}

func (s *Spread) readEntries(ctx context.Context) error {
	batch, err := s.config.Store.Read(ctx, clementineturn.SectionEntries)
	if err != nil {
		return err
	}
	for _, change := range batch.Changes() {
		var r registration
		if err := json.Unmarshal(change.Value(), &r); err != nil {
			s.config.Events.Emit(clemevent.EntryInvalid, zap.String("entry", change.Key()), zap.Error(err))
			continue
		}
		if s.roster.isSilent(r.Address, time.Now()) {
			if err := s.config.Store.Remove(ctx, clementineturn.SectionEntries, change.Key()); err != nil {
				return err
			}
			s.config.Events.Emit(clemevent.EntryRemoved, zap.String("entry", r.Address), zap.String("name", change.Key()))
		}
	}
	return nil
}

func (s *Spread) writeEntry(ctx context.Context) error {
	value, err := json.Marshal(registration{Address: s.config.Address})
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "encoding the entry's row: %w", err)
	}
	return s.config.Store.Write(ctx, clementineturn.SectionEntries, s.config.Name, value)
}

// exchange calls the other entries in turn.
func (s *Spread) exchange(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(exchangePace / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, address := range s.roster.due(time.Now()) {
			calls.Go(func() { s.call(ctx, address) })
		}
	}
}

func (s *Spread) call(ctx context.Context, address string) {
	defer s.roster.called(address)
	answer, err := s.callOnce(ctx, address)
	if err != nil {
		if s.roster.lost(address) {
			s.config.Events.Emit(clemevent.EntryLost, zap.String("entry", address), zap.Error(err))
		}
		return
	}
	if answer.GetLacks() || s.isBehind(address) {
		// A second call at once carries the rows that one of the two lacks. If
		// it fails the next exchange makes up for it.
		_, _ = s.callOnce(ctx, address)
	}
}

func (s *Spread) callOnce(ctx context.Context, address string) (*clemwire.Share, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	answer, err := s.config.Peers.Peer(address).Share(ctx, s.share(address))
	if err == nil {
		s.take(answer)
	}
	return answer, err
}

// Share answers another entry's call.
func (s *Spread) Share(_ context.Context, share *clemwire.Share) (*clemwire.Share, error) {
	s.take(share)
	return s.share(share.GetAddress()), nil
}

// isBehind reports whether the other entry has a newer list of backend
// servers that may be asked for now.
func (s *Spread) isBehind(address string) bool {
	now := time.Now()
	view, _ := s.catalogue.View(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.held(address).view > view && s.mayAsk(s.askedRows, now)
}

// IsAlone reports whether no other entry is known to hold a configuration.
func (s *Spread) IsAlone() bool { return !s.roster.isConfigured(time.Now()) }

// share returns what this entry tells another one.
func (s *Spread) share(address string) *clemwire.Share {
	now := time.Now()
	peer := s.roster.held(address)
	ownView, age := s.catalogue.View(now)
	share := &clemwire.Share{
		Name: s.config.Name, Address: s.config.Address, Version: s.config.Table.Version(),
		View: ownView, Age: durationpb.New(age), Entries: s.roster.name(address), Leaving: s.config.Leaving(),
		Floor: s.catalogue.Floor(), Clock: durationpb.New(now.Sub(s.start)), Echo: durationpb.New(peer.clock),
		Since: peer.view,
	}
	s.ask(share, peer, now)
	if peer.asks && share.GetVersion() > peer.version {
		share.Document = s.config.Table.Current().Document()
	}
	if ownView > peer.view {
		if share.Bare = !peer.lacks; peer.lacks {
			share.Rows = s.catalogue.Since(peer.view)
		}
	}
	share.Running = s.running(now)
	share.Kept = s.news(address)
	return share
}

// ask asks for what the peer has and this entry lacks. A configuration is
// left to the store for the time in which it usually brings it.
func (s *Spread) ask(share *clemwire.Share, peer held, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer.view > share.GetView() && s.mayAsk(s.askedRows, now) {
		share.Lacks, s.askedRows = true, now
	}
	version := s.config.Table.Version()
	if peer.version > version && (version == 0 || now.Sub(peer.newer) > askDelay) && s.mayAsk(s.askedDocument, now) {
		share.Asks, s.askedDocument = true, now
	}
}

// mayAsk reports whether others may be asked for something large now: one at
// a time, since all would answer. The caller holds the lock.
func (s *Spread) mayAsk(last, now time.Time) bool {
	return now.Sub(s.start) > firstAsk && now.Sub(last) > askPace
}

// running returns what this entry has at the servers. It is made once for
// the calls of a short time, since each goes through all servers.
func (s *Spread) running(now time.Time) []*clemwire.Running {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.counted) < countPace && s.counts != nil {
		return s.counts
	}
	s.counted, s.counts = now, []*clemwire.Running{}
	for id, standing := range s.config.Directory.Standings(now) {
		s.counts = append(s.counts, &clemwire.Running{
			Server: id, Count: uint32(standing.Running), Unread: uint32(standing.Unread),
			Good: uint32(standing.Good * hundredths), Failed: uint32(standing.Failed * hundredths),
		})
	}
	return s.counts
}

// transit returns the longest time that the message can have been on its way,
// and false if it is not known or too long for what it tells to be of use.
func (s *Spread) transit(share *clemwire.Share, now time.Time) (time.Duration, bool) {
	echo := share.GetEcho().AsDuration()
	passed := now.Sub(s.start) - echo
	return passed, echo > 0 && passed >= 0 && passed < transitLimit
}

// news returns the parts of prompts that the other entry has not been told of.
func (s *Spread) news(address string) []*clemwire.Kept {
	news, end := s.config.Directory.News(s.roster.told(address))
	s.roster.tell(address, end)
	var kept []*clemwire.Kept
	servers := map[string]*clemwire.Kept{}
	for _, k := range news {
		if servers[k.Server] == nil {
			servers[k.Server] = &clemwire.Kept{Server: k.Server}
			kept = append(kept, servers[k.Server])
		}
		servers[k.Server].Parts = append(servers[k.Server].Parts, k.Part)
	}
	return kept
}

// take enters what another entry told.
func (s *Spread) take(share *clemwire.Share) {
	now := time.Now()
	if s.roster.heard(share, now) {
		s.config.Events.Emit(clemevent.EntryBack, zap.String("entry", share.GetAddress()), zap.String("name", share.GetName()))
	}
	for _, address := range share.GetEntries() {
		s.roster.add(address, now)
	}
	if len(share.GetDocument()) > 0 && share.GetVersion() > s.config.Table.Version() {
		s.propose(share.GetDocument(), share.GetName())
	}
	if transit, ok := s.transit(share, now); ok {
		s.catalogue.Told(share, transit, now)
	}
	standings := make(map[string]clempool.Standing, len(share.GetRunning()))
	for _, r := range share.GetRunning() {
		standings[r.GetServer()] = clempool.Standing{
			Running: int(r.GetCount()), Unread: int(r.GetUnread()),
			Good: float64(r.GetGood()) / hundredths, Failed: float64(r.GetFailed()) / hundredths,
		}
	}
	for _, k := range share.GetKept() {
		s.config.Directory.TellKept(k.GetServer(), k.GetParts(), now)
	}
	s.config.Directory.Tell(share.GetName(), standings, now, max(toldTime, toldPaces*s.roster.pace()))
}
