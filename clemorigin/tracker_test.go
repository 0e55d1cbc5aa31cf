package clemorigin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memoryStore is a store in memory that counts its calls.
type memoryStore struct {
	mu            sync.Mutex
	rows          map[string]clementineturn.Change
	version       uint64
	reads, writes int
	removals      int
	isDown        bool
}

func (s *memoryStore) Read(ctx context.Context, section clementineturn.Section) (clementineturn.Batch, error) {
	return s.Follow(ctx, section, 0, 0)
}

func (s *memoryStore) Follow(_ context.Context, _ clementineturn.Section, after uint64, _ time.Duration) (clementineturn.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.isDown {
		return clementineturn.Batch{}, clementineturn.Refuse(clementineturn.KindUnavailable, "down")
	}
	var changes []clementineturn.Change
	for _, change := range s.rows {
		if change.Version() > after && (after > 0 || !change.Removed()) {
			changes = append(changes, change)
		}
	}
	return clementineturn.NewBatch(changes, s.version+1), nil
}

func (s *memoryStore) Write(_ context.Context, _ clementineturn.Section, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.isDown {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "down")
	}
	s.version++
	s.rows[key] = clementineturn.NewChange(clementineturn.ChangeConfig{Key: key, Value: value, Version: s.version + 1})
	return nil
}

func (s *memoryStore) Remove(_ context.Context, _ clementineturn.Section, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removals++
	s.version++
	s.rows[key] = clementineturn.NewChange(clementineturn.ChangeConfig{Key: key, Version: s.version + 1, Removed: true})
	return nil
}

func (s *memoryStore) count() (reads, writes, rows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range s.rows {
		if !change.Removed() {
			rows++
		}
	}
	return s.reads, s.writes, rows
}

func (s *memoryStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// world is a store, and the servers that every entry lists.
type world struct {
	ctx     context.Context
	store   *memoryStore
	servers []clempool.RecordConfig
	entries int
	// random is the number that entries draw.
	random float64
}

// start starts a process of an entry. The result ends it.
func (w *world) start(name string) (*Tracker, func()) {
	random := w.random
	directory := clempool.New(clempool.Config{MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 }})
	for _, s := range w.servers {
		directory.Put(clempool.NewRecord(s))
	}
	t := New(Config{Name: name, Store: w.store, Directory: directory, Entries: func() int { return max(w.entries, 1) }, Rand: func() float64 { return random }})
	ctx, cancel := context.WithCancel(w.ctx)
	ended := t.Start(ctx)
	return t, func() { cancel(); <-ended }
}

func listed(id, version string) clempool.RecordConfig {
	return clempool.RecordConfig{ID: id, Service: "pool", Address: "10.0.0.1:80", Slots: 4, SoftwareVersion: version}
}

func runTest(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		test(&world{ctx: t.Context(), store: &memoryStore{rows: map[string]clementineturn.Change{}}})
	})
}

// A fleet with one version calls the store at its start and seldom afterwards, whatever the
// number of streams; one with several versions at most as often as the intervals allow.
func TestCallsToTheStoreAreBounded(t *testing.T) {
	for _, c := range []struct {
		versions      []string
		entries       int
		reads, writes int
	}{
		{[]string{"v1"}, 1, 2, 1},
		{[]string{""}, 1, 2, 1},
		{[]string{"v1", "v2"}, 1, 2, 101},
		{[]string{"v1", "v2"}, 200, 2, 6},
	} {
		runTest(t, func(w *world) {
			w.entries = c.entries
			for i, version := range c.versions {
				w.servers = append(w.servers, listed(fmt.Sprint("s", i), version))
			}
			tracker, stop := w.start("a")
			for n := range 1000 {
				time.Sleep(10 * time.Millisecond)
				tracker.Record(Key(n), Origin{"pool", c.versions[0]}, "s0")
			}
			reads, writes, _ := w.store.count()
			stop()
			require.LessOrEqual(t, reads, c.reads, "%+v", c)
			require.LessOrEqual(t, writes, c.writes, "%+v", c)
		})
	}
}

// A store that refuses calls gets few of them, also from an entry that starts then or lacks a
// row with a new version.
func TestRefusingStoreIsCalledSeldom(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1"), listed("s2", "v2")}
		w.store.setDown(true)
		_, stop := w.start("a")
		time.Sleep(10 * time.Second)
		reads, writes, _ := w.store.count()
		stop()
		// Two a second, and some before the pause is at its longest.
		require.LessOrEqual(t, reads, 24)
		require.LessOrEqual(t, writes, 24)
	})
}

// Many clients that take streams up at once share the reads of the store.
func TestLookupsShareReads(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1"), listed("s2", "v2")}
		a, stopA := w.start("a")
		b, stopB := w.start("b")
		for n := range 300 {
			a.Record(Key(n), Origin{"pool", "v2"}, "s2")
		}
		before, _, _ := w.store.count()
		var running sync.WaitGroup
		for n := range 300 {
			running.Go(func() {
				origin, err := b.Find(w.ctx, Key(n), "pool")
				require.NoError(t, err)
				require.Equal(t, Origin{"pool", "v2"}, origin)
			})
		}
		running.Wait()
		reads, _, _ := w.store.count()
		stopA()
		stopB()
		require.LessOrEqual(t, reads-before, 6)
	})
}

// What a process of an entry has written stays known while the streams can be taken up, and
// its row is removed later.
func TestRowsOfEndedProcessesExpire(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1"), listed("s2", "v2")}
		first, stop := w.start("a")
		first.Record(1, Origin{"pool", "v1"}, "s1")
		time.Sleep(time.Second)
		stop()
		w.servers = w.servers[1:]
		second, stop := w.start("a")
		time.Sleep(time.Second)
		origin, err := second.Find(w.ctx, 1, "pool")
		require.NoError(t, err)
		require.Equal(t, "v1", origin.Version)
		_, err = second.Find(w.ctx, 2, "pool")
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable), "v1 was in service too")
		time.Sleep(2 * memoryTime)
		origin, err = second.Find(w.ctx, 2, "pool")
		require.NoError(t, err)
		require.Equal(t, "v2", origin.Version)
		time.Sleep(rowExpiry)
		_, _, rows := w.store.count()
		stop()
		require.Equal(t, 1, rows)
	})
}

// Guards against rows that take too long to read for small entries: they have neither streams
// that clients have wholly nor, for long, those that peers reported.
func TestRowsHaveOnlyStreamsThatMayBeResumed(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1"), listed("s2", "v2")}
		tracker, stop := w.start("a")
		defer stop()
		time.Sleep(time.Second)
		for n := range 100 {
			tracker.Record(Key(n), Origin{"pool", "v1"}, "s1")
			if n > 0 {
				tracker.End(Key(n))
			}
		}
		tracker.RecordMessage([]*clemwire.StreamOrigin{{Service: "pool", Version: "v2", Streams: []uint64{1000}}})
		written := func() map[Key]Origin {
			time.Sleep(time.Second)
			batch, err := w.store.Read(w.ctx, clementineturn.SectionOrigins)
			require.NoError(t, err)
			r, err := decodeRow(batch.Changes()[0].Value())
			require.NoError(t, err)
			return r.origins
		}
		require.Equal(t, map[Key]Origin{0: {"pool", "v1"}, 1000: {"pool", "v2"}}, written())
		time.Sleep(reportedTime)
		tracker.Record(Key(1), Origin{"pool", "v1"}, "s1")
		require.Equal(t, map[Key]Origin{0: {"pool", "v1"}, 1: {"pool", "v1"}}, written())
	})
}

// Streams of which it is not known at which version they began do not go on.
func TestUnknownOrigins(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1"), listed("odd", "")}
		tracker, stop := w.start("a")
		time.Sleep(time.Second)
		requireUnknown := func(key Key) {
			_, err := tracker.Find(w.ctx, key, "pool")
			require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable) && clementineturn.IsNotRun(err), "%v", err)
			require.False(t, tracker.Resume(key)("v1"))
			require.False(t, tracker.Resume(key)(""))
		}
		requireUnknown(1)
		tracker.Record(2, Origin{"pool", ""}, "odd")
		requireUnknown(2)
		// Two requests had one id.
		tracker.Record(3, Origin{"pool", "v1"}, "s1")
		tracker.Record(3, Origin{"pool", "v2"}, "s2")
		requireUnknown(3)
		// The server has started again under its id with another version.
		tracker.Record(4, Origin{"pool", "v1"}, "s1")
		require.True(t, tracker.Resume(4)("v1"))
		tracker.config.Directory.Put(clempool.NewRecord(listed("s1", "v2")))
		time.Sleep(2 * checkInterval)
		requireUnknown(4)
		stop()
	})
}

// While the store refuses an entry, a stream of the only version goes on if peers pass on the
// list of servers. After a restart of the entry it does not, since another version may have
// been in service before, nor if nobody reads the list, since one may have come into service.
func TestLookupsWithoutStore(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1")}
		tracker, stop := w.start("a")
		time.Sleep(5 * time.Second)
		w.store.setDown(true)
		_, err := tracker.Find(w.ctx, 1, "pool")
		require.Error(t, err)
		readList := func() { tracker.config.Directory.ListRead(time.Now()) }
		defer time.AfterFunc(800*time.Millisecond, readList).Stop()
		origin, err := tracker.Find(w.ctx, 1, "pool")
		require.NoError(t, err)
		require.Equal(t, Origin{"pool", "v1"}, origin)
		stop()
		tracker, stop = w.start("a")
		time.Sleep(5 * time.Second)
		defer time.AfterFunc(800*time.Millisecond, readList).Stop()
		_, err = tracker.Find(w.ctx, 1, "pool")
		require.Error(t, err)
		w.store.setDown(false)
		time.Sleep(time.Second)
		_, err = tracker.Find(w.ctx, 1, "pool")
		require.NoError(t, err)
		stop()
	})
}

// Streams begin at a version once a row lists it, so that it is known after a restart of all
// entries, unless there is no other version.
func TestStreamsBeginAtListedVersions(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1")}
		tracker, stop := w.start("a")
		require.Nil(t, tracker.Begin("pool"), "there is no other")
		time.Sleep(time.Second)
		w.store.setDown(true)
		tracker.config.Directory.Put(clempool.NewRecord(listed("s2", "v2")))
		filter := tracker.Begin("pool")
		require.True(t, filter("v1"))
		require.False(t, filter("v2"))
		w.store.setDown(false)
		time.Sleep(2 * minWriteInterval)
		require.Nil(t, tracker.Begin("pool"))
		stop()
	})
}

// An own row that a restored store has lost is written again.
func TestRowIsWrittenAgainAfterRestore(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1")}
		tracker, stop := w.start("a")
		time.Sleep(time.Second)
		w.store.mu.Lock()
		clear(w.store.rows)
		w.store.mu.Unlock()
		tracker.StoreRestored()
		time.Sleep(time.Second)
		_, _, rows := w.store.count()
		stop()
		require.Equal(t, 1, rows)
	})
}

// Rows that cannot be read are ignored, with the field named.
func TestRows(t *testing.T) {
	origins := map[Key]Origin{1: {"pool", "v1"}, 2: {"pool", "v2"}, 1 << 63: {"pool", "v1"}}
	value, err := encodeRow(map[string][]string{"pool": {"v1", "v2"}}, origins)
	require.NoError(t, err)
	decoded, err := decodeRow(value)
	require.NoError(t, err)
	require.Equal(t, origins, decoded.origins)
	require.Equal(t, map[string][]string{"pool": {"v1", "v2"}}, decoded.versions)
	for text, field := range map[string]string{
		"{": "origins", `{"versions": 3}`: "origins", `{"streams": [{"keys": "AAAA"}]}`: "origins.streams.keys",
	} {
		_, err := decodeRow([]byte(text))
		require.Equal(t, field, clementineturn.AsError(err).Field(), text)
	}
}

// The streams of other processes that an entry keeps are bounded, those of the rows that it
// read first go first.
func TestKnownRowsAreBounded(t *testing.T) {
	runTest(t, func(*world) {
		tracker := New(Config{Directory: clempool.New(clempool.Config{})})
		for n := range maxKnownStreams/maxRowStreams + 3 {
			origins := map[Key]Origin{}
			for i := range maxRowStreams {
				origins[Key(n*maxRowStreams+i)] = Origin{"pool", "v1"}
			}
			value, err := encodeRow(nil, origins)
			require.NoError(t, err)
			time.Sleep(time.Second)
			change := clementineturn.NewChange(clementineturn.ChangeConfig{Key: fmt.Sprint(n), Value: value, Version: uint64(n + 1)})
			tracker.apply(clementineturn.NewBatch([]clementineturn.Change{change}, uint64(n+1)), false, time.Now())
		}
		known := 0
		for _, r := range tracker.rows {
			known += len(r.origins)
		}
		require.LessOrEqual(t, known, maxKnownStreams)
		require.Empty(t, tracker.rows["0"].origins)
		require.Len(t, tracker.rows[fmt.Sprint(maxKnownStreams/maxRowStreams+2)].origins, maxRowStreams)
	})
}

// The memory for streams is bounded by their number and by time.
func TestStreamsAreForgotten(t *testing.T) {
	runTest(t, func(*world) {
		tracker := New(Config{Directory: clempool.New(clempool.Config{})})
		for n := range 2 * maxStreams {
			tracker.Record(Key(n), Origin{"pool", "v1"}, "s1")
		}
		require.Len(t, tracker.streams, maxStreams)
		time.Sleep(memoryTime + 1)
		tracker.Record(1, Origin{"pool", "v1"}, "s1")
		require.Len(t, tracker.streams, 1)
	})
}

// Guards against entries that keep, and remove again, a row that another one has removed.
func TestRowThatAnotherEntryRemovedIsForgotten(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1")}
		_, stop := w.start("ended")
		time.Sleep(time.Second)
		stop()
		w.entries = 2
		first, stopFirst := w.start("a")
		w.random = 0.9
		second, stopSecond := w.start("b")
		time.Sleep(2 * rowExpiry)
		w.store.mu.Lock()
		removals := w.store.removals
		w.store.mu.Unlock()
		stopFirst()
		stopSecond()
		require.Equal(t, 1, removals)
		require.Len(t, first.rows, 1)
		require.Len(t, second.rows, 1)
	})
}
