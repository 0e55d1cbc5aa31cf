package clemspread

import (
	"context"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemwire"
)

// fakeStore is an in-memory store with injected faults.
type fakeStore struct {
	mu       sync.Mutex
	sections map[clementineturn.Section]map[string]clementineturn.Change
	version  uint64
	changed  chan struct{}
	calls    int
	// isHanging makes calls block until their contexts end.
	isHanging bool
	// isFailing makes calls fail at once.
	isFailing bool
	// isHistoryLost makes every Follow from an earlier version fail as stale.
	isHistoryLost bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{sections: map[clementineturn.Section]map[string]clementineturn.Change{}, changed: make(chan struct{})}
}

func (s *fakeStore) set(section clementineturn.Section, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.sections[section] == nil {
		s.sections[section] = map[string]clementineturn.Change{}
	}
	s.sections[section][key] = clementineturn.NewChange(clementineturn.ChangeConfig{
		Key: key, Value: []byte(value), Version: s.version, Removed: value == "",
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentVersion returns the number of writes so far.
func (s *fakeStore) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *fakeStore) setHanging(isHanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isHanging = isHanging
}

// setFailing makes new calls fail at once.
func (s *fakeStore) setFailing(isFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isFailing = isFailing
}

// setHistoryLost makes every Follow from an earlier version fail as stale.
func (s *fakeStore) setHistoryLost(isHistoryLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isHistoryLost = isHistoryLost
}

func (s *fakeStore) since(section clementineturn.Section, after uint64) (clementineturn.Batch, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []clementineturn.Change
	for _, change := range s.sections[section] {
		if change.Version() > after && (after > 0 || !change.Removed()) {
			changes = append(changes, change)
		}
	}
	return clementineturn.NewBatch(changes, s.version), s.changed, s.isHanging
}

func (s *fakeStore) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) isRemoved(section clementineturn.Section, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sections[section][key].Removed()
}

func (s *fakeStore) Read(ctx context.Context, section clementineturn.Section) (clementineturn.Batch, error) {
	return s.Follow(ctx, section, 0, 0)
}

func (s *fakeStore) Follow(ctx context.Context, section clementineturn.Section, after uint64, wait time.Duration) (clementineturn.Batch, error) {
	s.countCall()
	s.mu.Lock()
	isStale, isFailing := s.isHistoryLost && after > 0, s.isFailing
	s.mu.Unlock()
	if isFailing {
		return clementineturn.Batch{}, clementineturn.Refuse(clementineturn.KindUnavailable, "refused")
	}
	if isStale {
		return clementineturn.Batch{}, clementineturn.NewError(clementineturn.ErrorConfig{Kind: clementineturn.KindStale, Message: "history is gone"})
	}
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	expired := time.After(wait)
	for {
		found, changed, isHanging := s.since(section, after)
		if after > 0 && isOfEarlierEra(after, found.Version()) {
			return clementineturn.Batch{}, clementineturn.NewError(clementineturn.ErrorConfig{Kind: clementineturn.KindStale, Message: "restored"})
		}
		if isHanging {
			<-ctx.Done()
			return clementineturn.Batch{}, clementineturn.Errorf(clementineturn.KindUnavailable, "store: %w", ctx.Err())
		}
		if len(found.Changes()) > 0 || wait == 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-expired:
			return found, nil
		case <-ctx.Done():
			return clementineturn.Batch{}, clementineturn.Errorf(clementineturn.KindUnavailable, "store: %w", ctx.Err())
		}
	}
}

func (s *fakeStore) Write(ctx context.Context, section clementineturn.Section, key string, value []byte) error {
	s.countCall()
	s.mu.Lock()
	isFailing := s.isFailing
	s.mu.Unlock()
	if isFailing {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "refused")
	}
	if _, _, isHanging := s.since(section, 0); isHanging {
		<-ctx.Done()
		return clementineturn.Errorf(clementineturn.KindUnknown, "store: %w", ctx.Err())
	}
	s.set(section, key, string(value))
	return nil
}

func (s *fakeStore) Remove(ctx context.Context, section clementineturn.Section, key string) error {
	return s.Write(ctx, section, key, nil)
}

// network carries calls between entries by address.
type network struct {
	mu      sync.Mutex
	entries map[string]*Syncer
	// documents counts the documents sent, rows the rows of servers, addresses the
	// addresses of entries, and bytes the bytes of all messages.
	documents, rows, addresses, bytes int
	// engineCalls counts the queries of engines by their address.
	engineCalls map[string]int
	// events is the log of the entries that start, or nil.
	events *clemevent.Logger
	// observe, if set, is called with each message and the addresses that it goes
	// between.
	observe func(from, to string, message *clemwire.Share)
	// isBlocked, if set, reports whether calls from one address to another fail.
	isBlocked func(from, to string) bool
	// latency is the time that a message takes; 0 means 1 ms for a call.
	latency func(from, to string) time.Duration
}

// documentCount returns the number of documents sent.
func (n *network) documentCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.documents
}

// count returns one of the counters.
func (n *network) count(counter *int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *counter
}

type fakePeer struct {
	clementineturn.Peer
	network *network
	address string
}

// engineCallCounts returns the number of queries of engines by their address.
func (n *network) engineCallCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.engineCalls)
}

// CachedParts returns the engine's port as the id of its only cached part.
func (n *network) CachedParts(_ context.Context, address string) ([]uint64, error) {
	_, port, _ := net.SplitHostPort(address)
	part, err := strconv.ParseUint(port, 10, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engineCalls[address]++
	return []uint64{part}, err
}

func (n *network) Peer(address string) clementineturn.Peer {
	return &fakePeer{network: n, address: address}
}

func (p *fakePeer) Share(ctx context.Context, share *clemwire.Share) (*clemwire.Share, error) {
	p.network.mu.Lock()
	to, isBlocked := p.network.entries[p.address], p.network.isBlocked
	p.network.mu.Unlock()
	from := share.GetAddress()
	if to == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "no connection")
	}
	if isBlocked != nil && isBlocked(from, p.address) {
		<-ctx.Done()
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "peer: %w", ctx.Err())
	}
	p.network.delay(from, p.address)
	answer, err := to.Share(ctx, share)
	p.network.delay(p.address, from)
	p.network.mu.Lock()
	if p.network.observe != nil {
		p.network.observe(from, p.address, share)
		p.network.observe(p.address, from, answer)
	}
	defer p.network.mu.Unlock()
	for _, message := range []*clemwire.Share{share, answer} {
		if len(message.GetDocument()) > 0 {
			p.network.documents++
		}
		p.network.rows += len(message.GetRows())
		p.network.addresses += len(message.GetEntries())
		p.network.bytes += proto.Size(message)
	}
	return answer, err
}

// delay waits for the time that a message takes. Without a latency the request takes 1 ms.
func (n *network) delay(from, to string) {
	switch {
	case n.latency != nil:
		time.Sleep(n.latency(from, to))
	case from < to:
		time.Sleep(time.Millisecond)
	}
}

// decodeVersion uses the document's first byte, a digit, as the version.
func decodeVersion(document []byte) (*clemroute.Configuration, error) {
	engine := clemroute.NewEngine(clemroute.EngineConfig{Slots: 128, KVTokens: 1000})
	return clemroute.New(clemroute.Config{
		Version: uint64(document[0] - '0'), Document: document,
		Services: []clemroute.ServiceConfig{{Name: "pool", Engine: &engine}},
	})
}

// start runs an entry with the store until the context ends.
func (n *network) start(ctx context.Context, name string, store clementineturn.Store, seeds ...string) *Syncer {
	syncer := New(Config{
		Name: name, Address: name, Seeds: func() []string { return seeds }, Store: store, Peers: n, Events: n.events,
		Table:     &clemroute.Table{},
		Directory: clempool.New(clempool.Config{MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 }}),
		Rand:      func() float64 { return 0.5 }, Inventory: n, ConfigurationKey: "config", DecodeConfiguration: decodeVersion, DecodeServer: decodeServer, IsDraining: func() bool { return false },
		EvacuatedCentre: func(key string) (string, bool) { return strings.CutPrefix(key, "away/") },
	})
	n.mu.Lock()
	n.entries[name] = syncer
	n.mu.Unlock()
	syncer.Start(ctx)
	return syncer
}

// leave makes entries unreachable.
func (n *network) leave(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		delete(n.entries, address)
	}
}

// join makes an entry that was started elsewhere reachable at the address.
func (n *network) join(address string, syncer *Syncer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[address] = syncer
}

// runTest runs the test in virtual time and stops all entries after it.
func runTest(t *testing.T, test func(ctx context.Context, n *network, store *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		store.set(clementineturn.SectionOperator, "config", "1")
		store.set(clementineturn.SectionServers, "a", "10.0.0.1:80")
		defer func() {
			cancel()
			// Calls in flight end.
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		test(ctx, &network{entries: map[string]*Syncer{}, engineCalls: map[string]int{}}, store)
	})
}

// Eleven entries discover each other and share one entry's reads of the list.
func TestEntriesTakeTurnsAtTheStore(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		var entries []*Syncer
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
			entries = append(entries, n.start(ctx, name, store))
		}
		time.Sleep(5 * time.Second)
		before := store.callCount()
		time.Sleep(10 * time.Second)
		require.Less(t, store.callCount()-before, 40, "eleven entries without sharing would read 18 times each")
		for _, e := range entries {
			require.Equal(t, 11, e.EntryCount())
			require.True(t, e.IsReady())
		}
	})
}

// A removed row takes effect at every entry within the time in which a
// draining server must get no new work.
func TestLeavingServerIsKnownEverywhereInTime(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entries := []*Syncer{n.start(ctx, "a", store), n.start(ctx, "b", store), n.start(ctx, "c", store)}
		time.Sleep(5 * time.Second)
		store.set(clementineturn.SectionServers, "a", "")
		time.Sleep(1500 * time.Millisecond)
		for _, e := range entries {
			require.Zero(t, e.config.Directory.Len())
		}
	})
}

// Guards against a long poll that was in progress when the store stopped
// answering and is never answered although the store has recovered
// (neblina-grown trouble-3).
func TestHangingStoreDoesNotBlockTheLongPoll(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		e := n.start(ctx, "a", store)
		time.Sleep(5 * time.Second)
		store.setHanging(true)
		time.Sleep(8 * time.Second)
		require.Equal(t, uint64(1), e.config.Table.Version(), "the last configuration stays in force")
		store.setHanging(false)
		time.Sleep(time.Second)
		store.set(clementineturn.SectionOperator, "config", "2")
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, uint64(2), e.config.Table.Version())
	})
}

// An entry that starts while the store does not answer it gets configuration and
// list from its peers.
func TestEntryWithoutStoreLearnsFromOthers(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		n.start(ctx, "a", store)
		time.Sleep(5 * time.Second)
		hanging := newFakeStore()
		hanging.setHanging(true)
		e := n.start(ctx, "b", hanging, "a")
		time.Sleep(2 * time.Second)
		require.True(t, e.IsReady())
		require.Equal(t, 1, e.config.Directory.Len())
		store.set(clementineturn.SectionOperator, "config", "2")
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(2), e.config.Table.Version())
	})
}

// Guards against sending the document with every exchange, which saturated the
// links of the smallest entries (neblina-grown scale-1).
func TestDocumentsAreSentOnlyOnRequest(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entries := []*Syncer{n.start(ctx, "a", store), n.start(ctx, "b", store), n.start(ctx, "c", store)}
		time.Sleep(5 * time.Second)
		before := n.documentCount()
		store.set(clementineturn.SectionOperator, "config", "2")
		time.Sleep(3 * time.Second)
		for _, e := range entries {
			require.Equal(t, uint64(2), e.config.Table.Version())
		}
		require.Equal(t, before, n.documentCount(), "the store delivered it to all")
	})
}

// An older version is not applied, whether it comes from the store or a peer.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.set(clementineturn.SectionOperator, "config", "5")
		e := n.start(ctx, "a", store)
		time.Sleep(time.Second)
		store.set(clementineturn.SectionOperator, "config", "3")
		time.Sleep(time.Second)
		e.applyDocument([]byte("4"), "test")
		require.Equal(t, uint64(5), e.config.Table.Version())
	})
}

// Hosts may be replaced at any time: the rows of entries that no longer run are
// removed.
func TestRowsOfStoppedEntriesAreRemoved(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.set(clementineturn.SectionEntries, "old", `{"address":"gone"}`)
		n.start(ctx, "a", store)
		n.start(ctx, "b", store)
		time.Sleep(4 * time.Minute)
		require.False(t, store.isRemoved(clementineturn.SectionEntries, "old"))
		time.Sleep(4 * time.Minute)
		require.True(t, store.isRemoved(clementineturn.SectionEntries, "old"))
		require.False(t, store.isRemoved(clementineturn.SectionEntries, "b"))
	})
}
