package clemspread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// longPollWait is how long a long poll of the operator's rows waits for a
	// change. It is also the time after which a dead connection is noticed;
	// meanwhile peers report newer versions.
	longPollWait = 20 * time.Second
	// listReadInterval is the age of the list of backend servers at which the
	// first entry reads it again and passes it on. Together with exchangeInterval
	// and the staggered reads of peers it stays well below the time within which a
	// draining server must get no new work.
	listReadInterval = 550 * time.Millisecond
	// listReadStagger is how much later each further entry reads the list if
	// those before it do not, and maxStaggerSteps the position from which on
	// entries read it at the same time.
	listReadStagger = 250 * time.Millisecond
	maxStaggerSteps = 3
	// exchangeInterval is the interval of calls between two entries: a tenth of
	// the usual run time of a request, so that counts of requests are fresh.
	exchangeInterval = 80 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before a failed call to the
	// store is retried.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// outageRetryInterval is the retry interval of all loops but one while the
	// store is unavailable; followConfiguration alone probes it more often.
	outageRetryInterval = 2 * time.Second
)

// Config describes a Syncer to construct.
type Config struct {
	// Name is this entry's name, and Address the one at which its peers call it.
	Name, Address string
	// Centre is the data centre of this entry.
	Centre string
	// Seeds returns initial addresses of peers, which may be stale.
	Seeds     func() []string
	Store     clementineturn.Store
	Peers     clementineturn.Peers
	Table     *clemroute.Table
	Directory *clempool.Directory
	// Quarantine holds the prompt parts that crash servers. If it is nil the syncer
	// keeps one of its own.
	Quarantine *clemquarantine.Tracker
	Events     *clemevent.Logger
	// ConfigurationKey is the key of the configuration's row in the store.
	ConfigurationKey    string
	DecodeConfiguration func(document []byte) (*clemroute.Configuration, error)
	DecodeServer        func(id string, value []byte) (clempool.Record, error)
	// EvacuatedCentre returns the data centre that the operator's row with the key
	// evacuates, and whether the key is that of an evacuation. If it is nil there are no
	// evacuations.
	EvacuatedCentre func(key string) (centre string, ok bool)
	// OnEvacuated, if set, is called with the evacuated data centres in order after each
	// change. Calls are made one at a time and must not call the Syncer.
	OnEvacuated func(centres []string)
	// OnStoreRestored, if set, is called when the store was found restored from a copy.
	OnStoreRestored func()
	// TakeOrigins, if set, returns what a message to a peer says of the origins of streams,
	// and RecordOrigins records what a peer's message says of them.
	TakeOrigins   func() []*clemwire.StreamOrigin
	RecordOrigins func(origins []*clemwire.StreamOrigin)
	// OnNewConnections is a client of the store that opens a connection for each call.
	// If it is nil Store is used.
	OnNewConnections clementineturn.Store
	// Inventory returns the cached prompt parts of an engine. If it is nil no
	// engine is queried.
	Inventory clementineturn.Inventory
	// Rand returns a random number from 0 to 1 for the jitter of retries. If it
	// is nil that of math/rand/v2 is used.
	Rand func() float64
	// IsDraining reports whether this entry is draining before it shuts down.
	IsDraining func() bool
}

// Syncer synchronises an entry's configuration and list of backend servers with
// the store and its peers. It serves the calls of peers as a clementineturn.Peer.
type Syncer struct {
	clemrpc.UnimplementedPeer

	config      Config
	servers     *serverList
	peers       *peerTable
	evacuations *evacuationTable
	operator    operatorReader
	sums        *sumTable
	lag         configurationLag
	// wasGrouped is set if the fleet had several groups at the last exchange. It is used by
	// the loop of exchanges alone.
	wasGrouped bool
	// start is the origin of the clock readings sent to peers.
	start time.Time
	// storeRestored receives a value when the store's era has risen.
	storeRestored chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// storeRecovered is closed when the store answers again. It is nil unless
	// the store is unavailable.
	storeRecovered chan struct{}
	// era is the highest known era of the store, once isEraKnown is set.
	era        uint64
	isEraKnown bool
	// cancelLongPoll ends the long poll in progress.
	cancelLongPoll context.CancelFunc
	// documentRequestedAt and rowsRequestedAt are the times of the last requests
	// to any peer.
	documentRequestedAt, rowsRequestedAt time.Time
	// knowsQuarantines is set once the quarantines in the store or those of a peer were
	// read.
	knowsQuarantines atomic.Bool
	// knowsEntries is set once the rows of entries were read or a peer sent addresses.
	knowsEntries atomic.Bool
	// counts are the running requests as of countedAt.
	counts    []*clemwire.Running
	countedAt time.Time
}

// New returns a Syncer for the configuration.
func New(c Config) *Syncer {
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Quarantine == nil {
		c.Quarantine = clemquarantine.New(clemquarantine.Config{})
	}
	if c.OnNewConnections == nil {
		c.OnNewConnections = c.Store
	}
	return &Syncer{config: c, servers: newServerList(c), peers: newPeerTable(c.Address, c.Centre), sums: newSumTable(c.Address), evacuations: newEvacuationTable(c), start: time.Now(), storeRestored: make(chan struct{}, 1)}
}

// IsReady reports whether this entry has a configuration, a list of backend servers
// and the quarantined prompt parts. It then knows the evacuations too, since they are
// applied before the configuration that comes with them.
func (s *Syncer) IsReady() bool {
	version, _ := s.servers.StoreVersion(time.Now())
	return s.config.Table.Current() != nil && version > 0 && s.knowsQuarantines.Load()
}

// EntryCount returns the number of live entries, including this one.
func (s *Syncer) EntryCount() int {
	now := time.Now()
	l := s.peers.layout()
	if l == nil {
		return s.peers.liveCount(now) + 1
	}
	live, _ := s.peers.groupCounts(l, now)
	outside, _, isKnown := s.sums.outside(now)
	if !isKnown {
		// Entries of other groups may serve although no delegate reports them.
		outside = len(l.groupOf) - len(l.members[l.own])
	}
	return live + 1 + outside
}

// readPosition returns this entry's position in the order in which entries read the list
// of backend servers: first by groups, then within the group.
func (s *Syncer) readPosition(now time.Time) int {
	position := s.peers.readPosition(now)
	if l := s.peers.layout(); l != nil {
		position += s.sums.activeBefore(l, now)
	}
	return position
}

// Start runs the synchronisation loops until the context ends. The channel
// receives the context's error once all of them have returned.
func (s *Syncer) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){s.followConfiguration, s.readOperatorChanges, s.followServers, s.registerAndDiscover, s.exchange, s.learnCachedParts, s.storeQuarantines} {
		running.Go(func() { loop(ctx) })
	}
	go func() {
		running.Wait()
		ended <- ctx.Err()
	}()
	return ended
}

// recordStoreResult records whether a call to the store succeeded, and logs when
// the store becomes unavailable and when it recovers.
func (s *Syncer) recordStoreResult(err error) {
	s.mu.Lock()
	hasFailed, hasRecovered := err != nil && s.storeRecovered == nil, err == nil && s.storeRecovered != nil
	if hasFailed {
		s.storeRecovered = make(chan struct{})
	}
	if hasRecovered {
		close(s.storeRecovered)
		s.storeRecovered = nil
	}
	if err != nil && s.cancelLongPoll != nil {
		// A failing store may never answer the long poll in progress.
		s.cancelLongPoll()
	}
	s.mu.Unlock()
	switch {
	case hasFailed:
		s.config.Events.Emit(clemevent.StoreUnavailable, zap.Error(err))
	case hasRecovered:
		s.config.Events.Emit(clemevent.StoreRecovered)
	}
}

// waitForStore waits before a call is retried: for the backoff delay, and while
// the store is unavailable also until followConfiguration finds it available or
// outageRetryInterval has passed. It returns false when the context ends.
func (s *Syncer) waitForStore(ctx context.Context, retry *backoff) bool {
	if !retry.wait(ctx, s.config.Rand) {
		return false
	}
	s.mu.Lock()
	recovered := s.storeRecovered
	s.mu.Unlock()
	if recovered == nil {
		return true
	}
	timer := time.NewTimer(outageRetryInterval)
	defer timer.Stop()
	select {
	case <-recovered:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// backoff is the exponential delay between calls to a failing store.
type backoff struct{ delay time.Duration }

// wait waits for a delay that doubles with each call up to maxBackoff, with
// jitter from a random number between 0 and 1. It returns false when the context
// ends.
func (b *backoff) wait(ctx context.Context, random func() float64) bool {
	if b.delay == 0 {
		b.delay = minBackoff
	}
	wait := b.delay/2 + time.Duration(random()*float64(b.delay))
	b.delay = min(2*b.delay, maxBackoff)
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

// followConfiguration reads the operator's rows and follows their changes by
// long polls. After a failure it polls without waiting until a call succeeds.
func (s *Syncer) followConfiguration(ctx context.Context) {
	var after uint64
	var retry, reread backoff
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := s.readOperatorRows(ctx, after, wait)
		if clementineturn.IsKind(err, clementineturn.KindStale) {
			after, wait = 0, 0
			// Reads may be so stale that no long poll can continue from them.
			if !reread.wait(ctx, s.config.Rand) {
				return
			}
			continue
		}
		if err != nil && s.operator.setRenewing(false) {
			wait = 0
			continue
		}
		s.recordStoreResult(err)
		if err != nil {
			wait = 0
			if !retry.wait(ctx, s.config.Rand) {
				return
			}
			continue
		}
		hasFollowed := after > 0
		retry, wait = backoff{}, longPollWait
		s.recordEra(batch.Version())
		s.applyOperatorRows(batch, !hasFollowed)
		after = max(after, batch.Version())
		s.operator.recordPoll(after)
		switch {
		case s.isBeforeRestore(after):
			// A peer has read from the restored store already.
			if !reread.wait(ctx, s.config.Rand) {
				return
			}
		case hasFollowed:
			reread = backoff{}
		}
	}
}

func (s *Syncer) readOperatorRows(ctx context.Context, after uint64, wait time.Duration) (clementineturn.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.operator.setRenewing(false)
	s.mu.Lock()
	s.cancelLongPoll = cancel
	if clementineturn.VersionEra(after) < s.era {
		// A long poll from before the restore may never be answered.
		wait = 0
	}
	s.mu.Unlock()
	if after == 0 {
		return s.config.Store.Read(ctx, clementineturn.SectionOperator)
	}
	return s.config.Store.Follow(ctx, clementineturn.SectionOperator, after, wait)
}

// applyDocument applies a configuration's document if it is valid and newer than
// the current one.
func (s *Syncer) applyDocument(document []byte, source string) {
	configuration, err := s.config.DecodeConfiguration(document)
	if err != nil {
		s.config.Events.Emit(clemevent.ConfigurationRejected, zap.String("source", source), zap.Error(err))
		return
	}
	late := s.lag.duration(s.config.Table.Version(), time.Now())
	if s.config.Table.Apply(configuration) {
		s.config.Events.Emit(clemevent.ConfigurationApplied, zap.Uint64("version", configuration.Version()), zap.String("source", source), zap.Duration("late", late))
	}
}

// followServers reads the list of backend servers whenever neither this entry
// nor a peer that passes it on has read it lately. Reads are staggered by the
// entries' addresses, so that usually one entry reads for all.
func (s *Syncer) followServers(ctx context.Context) {
	var retry, reread backoff
	isStale := false
	for ctx.Err() == nil {
		now := time.Now()
		s.servers.RemoveExpired(now)
		version, age := s.servers.StoreVersion(now)
		stagger := time.Duration(min(s.readPosition(now), maxStaggerSteps)) * listReadStagger
		if wait := listReadInterval + stagger - age; version > 0 && wait > 0 {
			if !sleep(ctx, wait) {
				return
			}
			continue
		}
		var batch clementineturn.Batch
		var err error
		isComplete := version == 0 || isStale
		if isComplete {
			batch, err = s.config.Store.Read(ctx, clementineturn.SectionServers)
		} else {
			batch, err = s.config.Store.Follow(ctx, clementineturn.SectionServers, version, 0)
		}
		if clementineturn.IsKind(err, clementineturn.KindStale) {
			isStale = true
			if !reread.wait(ctx, s.config.Rand) {
				return
			}
			continue
		}
		s.recordStoreResult(err)
		if err != nil {
			if !s.waitForStore(ctx, &retry) {
				return
			}
			continue
		}
		retry, isStale = backoff{}, false
		s.operator.recordListRead(now)
		s.recordEra(batch.Version())
		if s.servers.Apply(batch, isComplete, now, time.Now()) {
			reread = backoff{}
		} else if !reread.wait(ctx, s.config.Rand) {
			return
		}
	}
}
