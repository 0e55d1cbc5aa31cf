package clemspread

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemwire"
)

var fleetEntries = flag.Int("entries", 60, "entries of the largest fleet in TestExchangeFigures")

const (
	// fleetServers is the number of backend servers for each entry, and fleetRequests
	// that of the servers at which each entry has a request.
	fleetServers  = 10
	fleetRequests = 20
	// messageOverhead is what a message costs beside the Share: the heads of IP and TCP,
	// the head of net/rpc and the lengths.
	messageOverhead = 52 + 20
	fleetHeartbeat  = 1200 * time.Millisecond
	fleetRuntime    = 4 * time.Second
	fleetWarmup     = 2 * time.Second
)

// fleet is a fleet of entries in three data centres with backend servers and requests.
type fleet struct {
	*network
	store   *fakeStore
	servers int
	names   []string
	entries map[string]*Syncer
	// contexts are those of the entries, which stops ends.
	contexts map[string]context.Context
	stops    map[string]context.CancelFunc
	// probedAt holds the times of the requests to the server whose count is followed.
	probedAt []time.Time
	// ejected holds the entries that ejected a server.
	ejected map[string]bool
	// onCrash, if set, is called for each crash that an entry learns of.
	onCrash func()
}

// fleetCentre returns the data centre of an entry's address.
func fleetCentre(address string) string {
	if !strings.HasPrefix(address, "10.") {
		return ""
	}
	return "centre-" + strings.Split(address, ".")[1]
}

// decodeFleetServer decodes a row whose value is the service and the number of the
// heartbeat.
func decodeFleetServer(id string, value []byte) (clempool.Record, error) {
	service, _, _ := strings.Cut(string(value), " ")
	return clempool.NewRecord(clempool.RecordConfig{ID: id, Service: service, Address: "10.9.9.9:80", Slots: 100_000}), nil
}

func newFleet(n *network, store *fakeStore, size, servers int) *fleet {
	f := &fleet{network: n, store: store, servers: servers, entries: map[string]*Syncer{}, ejected: map[string]bool{}, stops: map[string]context.CancelFunc{}, contexts: map[string]context.Context{}}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("10.%d.30.%03d:7340", i%3, i/3))
	}
	n.latency = func(from, to string) time.Duration {
		if fleetCentre(from) == fleetCentre(to) {
			return 500 * time.Microsecond
		}
		return 2 * time.Millisecond
	}
	store.set(clementineturn.SectionServers, "probe", "probe 0")
	for i := range servers {
		store.set(clementineturn.SectionServers, serverName(i), "pool 0")
	}
	return f
}

func serverName(i int) string { return fmt.Sprintf("i-7f3a%06d", i) }

// startEntry starts the entry with the address.
func (f *fleet) startEntry(ctx context.Context, address string, store clementineturn.Store, seeds ...string) *Syncer {
	random := rand.New(rand.NewPCG(7, uint64(len(f.entries))))
	config := Config{
		Name: address, Address: address, Centre: fleetCentre(address), Seeds: func() []string { return seeds }, Store: store, Peers: f.network, Table: &clemroute.Table{},
		Directory: clempool.New(clempool.Config{
			MaxLoadFactor: func() float64 { return 2 }, Rand: random.Uint64,
			OnEjected: func(string, clempool.Outcome, float64, time.Time) {
				f.network.mu.Lock()
				defer f.network.mu.Unlock()
				f.ejected[address] = true
			},
		}),
		Rand: func() float64 { return 0.5 }, ConfigurationKey: "config", DecodeConfiguration: decodeVersion, DecodeServer: decodeFleetServer,
		EvacuatedCentre: func(key string) (string, bool) { return strings.CutPrefix(key, "away/") },
		IsDraining:      func() bool { return false },
	}
	if f.onCrash != nil {
		config.Quarantine = clemquarantine.New(clemquarantine.Config{OnCrash: func(string, string, []uint64) { f.onCrash() }})
	}
	e := New(config)
	f.network.join(address, e)
	f.entries[address] = e
	ctx, f.stops[address] = context.WithCancel(ctx)
	f.contexts[address] = ctx
	e.Start(ctx)
	return e
}

// kill ends entries.
func (f *fleet) kill(addresses ...string) {
	for _, address := range addresses {
		f.stops[address]()
		f.network.leave(address)
		delete(f.entries, address)
	}
}

// startAll starts all entries at once.
func (f *fleet) startAll(ctx context.Context) {
	for _, name := range f.names {
		f.startEntry(ctx, name, f.store)
	}
}

// writeHeartbeats rewrites the rows of the servers in turn.
func (f *fleet) writeHeartbeats(ctx context.Context) {
	const steps = 12
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(fleetHeartbeat / steps)
		f.store.mu.Lock()
		f.store.version++
		rows := f.store.sections[clementineturn.SectionServers]
		for i := round % steps; i < f.servers; i += steps {
			key := serverName(i)
			if rows[key].Removed() {
				continue
			}
			rows[key] = clementineturn.NewChange(clementineturn.ChangeConfig{Key: key, Value: fmt.Appendf(nil, "pool %d", round), Version: f.store.version})
		}
		f.store.mu.Unlock()
	}
}

// request sends requests of the entry that run for some time, so that it has
// fleetRequests at any time.
func (f *fleet) request(ctx context.Context, e *Syncer, seed uint64) {
	random := rand.New(rand.NewPCG(3, seed))
	var leases []*clempool.Lease
	for ctx.Err() == nil {
		if len(leases) >= fleetRequests {
			i := random.IntN(len(leases))
			leases[i].Release(clempool.OutcomeServed, nil, time.Now())
			leases = slices.Delete(leases, i, i+1)
		}
		for len(leases) < fleetRequests {
			lease, err := e.config.Directory.Acquire(clempool.Request{Service: "pool", PromptTokens: 400}, time.Now())
			if err != nil {
				break
			}
			leases = append(leases, lease)
		}
		if !sleep(ctx, 250*time.Millisecond) {
			break
		}
	}
	for _, lease := range leases {
		lease.Release(clempool.OutcomeServed, nil, time.Now())
	}
}

// probe sends requests to one server from the entry.
func (f *fleet) probe(address string) {
	ctx, e := f.contexts[address], f.entries[address]
	for sleep(ctx, 10*time.Millisecond) {
		if _, err := e.config.Directory.Acquire(clempool.Request{Service: "probe"}, time.Now()); err == nil {
			f.network.mu.Lock()
			f.probedAt = append(f.probedAt, time.Now())
			f.network.mu.Unlock()
		}
	}
}

// age returns how old the count of the probed server is at the entry, and false if it
// has none.
func (f *fleet) age(e *Syncer) (time.Duration, bool) {
	now := time.Now()
	count, actual := f.probeCount(e), f.probes()
	switch {
	case count == 0:
		return 0, false
	case count >= len(actual):
		return 0, count <= len(actual)+1
	}
	return now.Sub(actual[count]), true
}

// probeCount returns the requests at the probed server as the entry knows them.
func (f *fleet) probeCount(e *Syncer) int {
	lease, err := e.config.Directory.Acquire(clempool.Request{Service: "probe"}, time.Now())
	if err != nil {
		return 0
	}
	defer lease.Release(clempool.OutcomeAbandoned, nil, time.Now())
	return lease.Load()
}

// ejectedAt returns the entries that ejected a server.
func (f *fleet) ejectedAt() map[string]bool {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return maps.Clone(f.ejected)
}

// probes returns the times of the requests to the probed server.
func (f *fleet) probes() []time.Time {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.probedAt[:len(f.probedAt):len(f.probedAt)]
}

// watch returns the highest age of the count at any entry during the time, and how often
// an entry had none. It fails if an entry counts requests twice.
func (f *fleet) watch(t *testing.T, d time.Duration, except ...string) (oldest time.Duration, missing int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(53 * time.Millisecond) {
		for name, e := range f.entries {
			// A request may have been counted but not recorded yet.
			require.LessOrEqual(t, f.probeCount(e), len(f.probes())+1, "%s counts requests twice", name)
			if slices.Contains(except, name) {
				continue
			}
			age, ok := f.age(e)
			if !ok {
				t.Logf("%s has no count at %s", name, time.Now().Format("05.000"))
				missing++
			}
			oldest = max(oldest, age)
		}
	}
	return oldest, missing
}

// traffic counts messages and bytes by entry.
type traffic struct {
	mu              sync.Mutex
	messages, bytes map[string]int
	// between holds the bytes between data centres, and fields the bytes by field.
	between, total int
	fields         map[string]int
}

func newTraffic() *traffic {
	return &traffic{messages: map[string]int{}, bytes: map[string]int{}, fields: map[string]int{}}
}

func (c *traffic) observe(from, to string, message *clemwire.Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := proto.Size(message) + messageOverhead
	for _, address := range []string{from, to} {
		c.messages[address]++
		c.bytes[address] += size
	}
	c.total += size
	if fleetCentre(from) != fleetCentre(to) {
		c.between += size
	}
	c.fields["(heads)"] += messageOverhead
	message.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		single := &clemwire.Share{}
		single.ProtoReflect().Set(field, value)
		c.fields[string(field.Name())] += proto.Size(single)
		return true
	})
}

// figures are the results of one fleet, by second.
type figures struct {
	meanAge, maxAge                    time.Duration
	ordinaryMessages, ordinaryBytes    float64
	busiestMessages, busiestBytes      float64
	betweenBytesPerEntry, bytesByEntry float64
	fields                             []string
}

// measureFleet runs a fleet of the size and returns its figures.
func measureFleet(t *testing.T, size int) figures {
	var result figures
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		f := newFleet(n, store, size, size*fleetServers)
		f.startAll(ctx)
		go f.writeHeartbeats(ctx)
		for i, name := range f.names {
			go f.request(ctx, f.entries[name], uint64(i))
		}
		time.Sleep(fleetWarmup)
		go f.probe(f.names[size/2])
		time.Sleep(fleetWarmup)
		counted := newTraffic()
		n.mu.Lock()
		n.observe = counted.observe
		n.mu.Unlock()
		var ages []time.Duration
		for range int(fleetRuntime / (97 * time.Millisecond)) {
			time.Sleep(97 * time.Millisecond)
			for i, name := range f.names {
				if i == size/2 {
					continue
				}
				age, ok := f.age(f.entries[name])
				require.True(t, ok, name)
				ages = append(ages, age)
			}
		}
		n.mu.Lock()
		n.observe = nil
		n.mu.Unlock()
		result = counted.figures(ages, size)
	})
	return result
}

func (c *traffic) figures(ages []time.Duration, size int) figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	var f figures
	for _, age := range ages {
		f.meanAge += age / time.Duration(len(ages))
		f.maxAge = max(f.maxAge, age)
	}
	names := make([]string, 0, len(c.bytes))
	for name := range c.bytes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(c.bytes[a], c.bytes[b]), cmp.Compare(a, b)) })
	seconds := fleetRuntime.Seconds()
	median, busiest := names[len(names)/2], names[len(names)-1]
	f.ordinaryMessages, f.ordinaryBytes = float64(c.messages[median])/seconds, float64(c.bytes[median])/seconds
	f.busiestMessages, f.busiestBytes = float64(c.messages[busiest])/seconds, float64(c.bytes[busiest])/seconds
	f.betweenBytesPerEntry, f.bytesByEntry = float64(c.between)/seconds/float64(size), float64(c.total)/seconds/float64(size)
	fields := make([]string, 0, len(c.fields))
	for field := range c.fields {
		fields = append(fields, field)
	}
	slices.SortFunc(fields, func(a, b string) int { return cmp.Compare(c.fields[b], c.fields[a]) })
	for _, field := range fields {
		f.fields = append(f.fields, fmt.Sprintf("%s %.1f%%", field, 100*float64(c.fields[field])/float64(c.total)))
	}
	return f
}

// Prints the figures of docs/design/exchange.md; -entries 300 adds the large fleet. Guards
// against an exchange of several groups whose counts are too old, whose delegates cost too
// much for small entries or that fills the links between data centres.
func TestExchangeFigures(t *testing.T) {
	for _, size := range slices.Compact([]int{12, 60, *fleetEntries}) {
		started := time.Now()
		f := measureFleet(t, size)
		t.Logf("%d entries: age %v mean, %v most; median entry %.0f messages/s, %.1f kB/s; busiest %.0f messages/s, %.1f kB/s; an entry sends %.1f kB/s, of which %.1f kB/s between data centres; %s (%v)",
			size, f.meanAge.Round(time.Millisecond), f.maxAge.Round(time.Millisecond), f.ordinaryMessages, f.ordinaryBytes/1000, f.busiestMessages, f.busiestBytes/1000,
			f.bytesByEntry/1000, f.betweenBytesPerEntry/1000, strings.Join(f.fields[:min(len(f.fields), 12)], ", "), time.Since(started).Round(time.Second))
		if size > clempool.LargeFleetSize {
			require.Less(t, f.maxAge, time.Second)
			require.Less(t, f.busiestBytes, 5*f.ordinaryBytes)
			require.Less(t, f.betweenBytesPerEntry, 12_000.0)
		}
	}
}
