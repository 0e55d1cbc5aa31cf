package clemspread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// feedWait is how long a feed of the operator's rows waits for a change. A
	// connection that went silent is noticed after it; meanwhile other entries
	// tell of newer versions.
	feedWait = 20 * time.Second
	// listPace is the age at which the first entry reads the list of backend
	// servers again and tells the others. With exchangePace and the turns of
	// others it stays well below the time within which a leaving server must
	// get no new work.
	listPace = 550 * time.Millisecond
	// listTurn is how much later each further entry reads the list if those
	// before it do not, and lastTurn the last entry to have a turn of its own.
	listTurn = 250 * time.Millisecond
	lastTurn = 3
	// exchangePace is the pace of calls between two entries: a tenth of the
	// time that a request usually runs, so that counts of requests are fresh.
	exchangePace = 80 * time.Millisecond
	// firstBackoff and lastBackoff pace calls to a store that fails.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 500 * time.Millisecond
	// awayPace is the pace of calls to a store that is away, for all but the
	// one that looks whether it is back.
	awayPace = 2 * time.Second
)

// Config describes a Spread to construct.
type Config struct {
	// Name and Address, for calls of other entries, of this entry.
	Name, Address string
	// Seeds returns addresses of entries that may be stale.
	Seeds     func() []string
	Store     clementineturn.Store
	Peers     clementineturn.Peers
	Table     *clemroute.Table
	Directory *clempool.Directory
	Events    *clemevent.Logger
	// Key is the key of the configuration's row.
	Key                 string
	DecodeConfiguration func(document []byte) (*clemroute.Configuration, error)
	DecodeServer        func(id string, value []byte) (clempool.Record, error)
	// Inventory tells what engines keep; nil asks none.
	Inventory clementineturn.Inventory
	// Draw returns a random number from 0 to 1, for the jitter of repeated
	// calls; nil takes math/rand's.
	Draw func() float64
	// Leaving reports whether this entry leaves.
	Leaving func() bool
}

// Spread keeps an entry's configuration and list of backend servers. It
// answers other entries' calls as a clementineturn.Peer.
type Spread struct {
	clemrpc.Unsupported

	config    Config
	catalogue *catalogue
	roster    *roster
	// start is the zero of the clock that other entries are told.
	start time.Time

	// mu guards everything below.
	mu sync.Mutex
	// back is closed when the store answers again, nil unless it is away.
	back chan struct{}
	// stopFeed ends a waiting feed.
	stopFeed context.CancelFunc
	// askedDocument and askedRows are when another entry was last asked.
	askedDocument, askedRows time.Time
	// counts are the running requests as counted last.
	counts  []*clemwire.Running
	counted time.Time
}

// New returns the spread that the configuration describes.
func New(c Config) *Spread {
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	return &Spread{config: c, catalogue: newCatalogue(c), roster: newRoster(c.Address), start: time.Now()}
}

// IsReady reports whether a configuration and a list of backend servers are held.
func (s *Spread) IsReady() bool {
	view, _ := s.catalogue.View(time.Now())
	return s.config.Table.Current() != nil && view > 0
}

// Entries returns the number of entries that take part, this one included.
func (s *Spread) Entries() int { return s.roster.count(time.Now()) + 1 }

// Start runs the controllers until the context ends.
func (s *Spread) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){s.followConfiguration, s.followServers, s.register, s.exchange, s.learn} {
		running.Go(func() { loop(ctx) })
	}
	go func() {
		running.Wait()
		ended <- ctx.Err()
	}()
	return ended
}

// note records the outcome of a call to the store and logs its loss and return.
func (s *Spread) note(err error) {
	s.mu.Lock()
	isLost, isBack := err != nil && s.back == nil, err == nil && s.back != nil
	if isLost {
		s.back = make(chan struct{})
	}
	if isBack {
		close(s.back)
		s.back = nil
	}
	if err != nil && s.stopFeed != nil {
		// A store that fails may never answer the feed that waits.
		s.stopFeed()
	}
	s.mu.Unlock()
	switch {
	case isLost:
		s.config.Events.Emit(clemevent.StoreLost, zap.Error(err))
	case isBack:
		s.config.Events.Emit(clemevent.StoreBack)
	}
}

// awaitStore waits before a call is repeated: until the configuration's feed
// found the store back, or for the pace of a store that is away. It returns
// false when the context ends.
func (s *Spread) awaitStore(ctx context.Context, retry *backoff) bool {
	if !retry.wait(ctx, s.config.Draw) {
		return false
	}
	s.mu.Lock()
	back := s.back
	s.mu.Unlock()
	if back == nil {
		return true
	}
	timer := time.NewTimer(awayPace)
	defer timer.Stop()
	select {
	case <-back:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// backoff is the pace of repeated calls to a store that fails.
type backoff struct{ next time.Duration }

// wait waits longer after each failure, with jitter by a draw between 0 and 1,
// and returns false when the context ends.
func (b *backoff) wait(ctx context.Context, draw func() float64) bool {
	if b.next == 0 {
		b.next = firstBackoff
	}
	wait := b.next/2 + time.Duration(draw()*float64(b.next))
	b.next = min(2*b.next, lastBackoff)
	return sleep(ctx, wait)
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

// followConfiguration reads the operator's rows and follows their changes.
// After a failure the feed does not wait until a call succeeded.
func (s *Spread) followConfiguration(ctx context.Context) {
	var after uint64
	var retry, reread backoff
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := s.readOperator(ctx, after, wait)
		if clementineturn.IsKind(err, clementineturn.KindStale) {
			after, wait = 0, 0
			// Reads may be so old that the feed does not go on from them.
			if !reread.wait(ctx, s.config.Draw) {
				return
			}
			continue
		}
		s.note(err)
		if err != nil {
			wait = 0
			if !retry.wait(ctx, s.config.Draw) {
				return
			}
			continue
		}
		if after > 0 {
			reread = backoff{}
		}
		retry, wait = backoff{}, feedWait
		for _, change := range batch.Changes() {
			if change.Key() == s.config.Key && !change.Removed() {
				s.propose(change.Value(), "store")
			}
		}
		after = max(after, batch.Version())
	}
}

func (s *Spread) readOperator(ctx context.Context, after uint64, wait time.Duration) (clementineturn.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.stopFeed = cancel
	s.mu.Unlock()
	if after == 0 {
		return s.config.Store.Read(ctx, clementineturn.SectionOperator)
	}
	return s.config.Store.Follow(ctx, clementineturn.SectionOperator, after, wait)
}

// propose puts a configuration's document in force if it is valid and newer.
func (s *Spread) propose(document []byte, source string) {
	configuration, err := s.config.DecodeConfiguration(document)
	if err != nil {
		s.config.Events.Emit(clemevent.ConfigurationRejected, zap.String("source", source), zap.Error(err))
		return
	}
	if s.config.Table.Apply(configuration) {
		s.config.Events.Emit(clemevent.ConfigurationApplied, zap.Uint64("version", configuration.Version()), zap.String("source", source))
	}
}

// followServers reads the list of backend servers whenever neither this
// entry nor another one that told it has read it lately. The entries take
// turns by their addresses, so that usually one reads for all.
func (s *Spread) followServers(ctx context.Context) {
	var retry backoff
	isStale := false
	for ctx.Err() == nil {
		now := time.Now()
		s.catalogue.Settle(now)
		view, age := s.catalogue.View(now)
		turn := time.Duration(min(s.roster.turn(now), lastTurn)) * listTurn
		if wait := listPace + turn - age; view > 0 && wait > 0 {
			if !sleep(ctx, wait) {
				return
			}
			continue
		}
		var batch clementineturn.Batch
		var err error
		isWhole := view == 0 || isStale
		if isWhole {
			batch, err = s.config.Store.Read(ctx, clementineturn.SectionServers)
		} else {
			batch, err = s.config.Store.Follow(ctx, clementineturn.SectionServers, view, 0)
		}
		if clementineturn.IsKind(err, clementineturn.KindStale) {
			isStale = true
			continue
		}
		s.note(err)
		if err != nil {
			if !s.awaitStore(ctx, &retry) {
				return
			}
			continue
		}
		retry, isStale = backoff{}, false
		s.catalogue.Apply(batch, isWhole, now, time.Now())
	}
}
