package clemfront

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemorigin"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemrouter"
	"github.com/clementineturn/clementineturn/clemspread"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Times of the emulated engines and their registration.
const (
	prefillTime    = 80 * time.Millisecond
	eventInterval  = 20 * time.Millisecond
	restartTime    = 3400 * time.Millisecond
	rowLapseTime   = 2500 * time.Millisecond
	eventsPerReply = 6
)

// wordDialect is a Dialect with headers of one word each.
type wordDialect struct{}

func (wordDialect) DecodeRequest(header http.Header) (clementineturn.RequestInfo, error) {
	c := clementineturn.RequestInfoConfig{
		RequestID: header.Get("Id"), Timeout: 4 * time.Second, MaxOutputTokens: 24, LastEventID: header.Get("After"), ResumedID: header.Get("Resumes"),
	}
	for id := range strings.SplitSeq(header.Get("Parts"), ",") {
		part, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			return clementineturn.NewRequestInfo(c), clementineturn.Invalid("Parts", "%q is no number", id)
		}
		c.Parts = append(c.Parts, clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: part, Tokens: 100}))
	}
	c.PromptTokens = 100 * len(c.Parts)
	return clementineturn.NewRequestInfo(c), nil
}

func (wordDialect) EncodeRequest(header http.Header, d clementineturn.Dispatch) http.Header {
	return http.Header{"Id": header["Id"], "Parts": header["Parts"], "Server": {d.Server()}, "After": {cmp.Or(d.LastEventID(), header.Get("After"))}}
}

func (wordDialect) DecodeResponse(status int, header http.Header) clementineturn.ResponseInfo {
	c := clementineturn.ResponseInfoConfig{
		RequestID: header.Get("Id"), Signed: header.Get("Signed") != "",
		NotRun: header.Get("Unrun") != "", Misdirected: status == http.StatusMisdirectedRequest,
	}
	if limit, err := strconv.ParseFloat(header.Get("Limit"), 64); err == nil {
		c.RateLimit = &limit
	}
	return clementineturn.NewResponseInfo(c)
}

func (wordDialect) SetRequestID(header http.Header, id string) { header.Set("Id", id) }

// engine is an emulated engine at an address. A prompt with the lethal part ends it
// when its response begins.
type engine struct {
	cluster *cluster
	address string

	mu sync.Mutex
	id string
	// version is that of the engine's software.
	version string
	conns   map[net.Conn]bool
	// limit is the limit that the engine states, or "".
	limit string
	// arrivals are the times at which requests reached the engine.
	arrivals []time.Time
}

// serve handles the requests of a connection.
func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		e.mu.Lock()
		id, version, limit := e.id, e.version, ""
		if e.limit != "" {
			limit = "Limit: " + e.limit + "\r\n"
		}
		e.arrivals = append(e.arrivals, time.Now())
		e.mu.Unlock()
		if request.Header.Get("Server") != id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Wrong\r\nId: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
			continue
		}
		parts := strings.Split(request.Header.Get("Parts"), ",")
		isLethal := slices.Contains(parts[:len(parts)-1], strconv.FormatUint(e.cluster.lethal.Load(), 16))
		e.cluster.recordArrival(isLethal)
		time.Sleep(prefillTime)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"), limit); err != nil {
			return
		}
		if isLethal {
			time.Sleep(eventInterval)
			e.crash(id)
			return
		}
		after, _ := strconv.Atoi(request.Header.Get("After"))
		for n := after; n < eventsPerReply; n++ {
			time.Sleep(eventInterval)
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, version)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// crash ends the engine, which returns under a new id.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if e.id != id {
		e.mu.Unlock()
		return
	}
	e.id = ""
	for conn := range e.conns {
		_ = conn.Close()
	}
	clear(e.conns)
	e.mu.Unlock()
	e.cluster.recordCrash()
	e.cluster.running.Go(func() {
		time.Sleep(rowLapseTime)
		_ = e.cluster.store.Remove(context.Background(), clementineturn.SectionServers, id)
		time.Sleep(restartTime - rowLapseTime)
		e.start()
	})
}

// start starts the engine and registers it under a new id.
func (e *engine) start() {
	id := fmt.Sprintf("s%d", e.cluster.serverCount.Add(1))
	e.mu.Lock()
	e.id = id
	row := e.address + " " + e.version
	e.mu.Unlock()
	_ = e.cluster.store.Write(context.Background(), clementineturn.SectionServers, id, []byte(row))
}

// release replaces the engine by one with another version of the software.
func (e *engine) release(version string) {
	e.mu.Lock()
	id := e.id
	e.id, e.version = "", version
	for conn := range e.conns {
		_ = conn.Close()
	}
	clear(e.conns)
	e.mu.Unlock()
	_ = e.cluster.store.Remove(context.Background(), clementineturn.SectionServers, id)
	e.start()
}

// entry is an entry of the cluster.
type entry struct {
	router     *clemrouter.Router
	syncer     *clemspread.Syncer
	quarantine *clemquarantine.Tracker
	origins    *clemorigin.Tracker
	stop       context.CancelFunc
	// ended receives a value from each of the syncer and the tracker.
	ended [2]<-chan error
}

// cluster is some entries before some engines, all in one process and in virtual
// time.
type cluster struct {
	t       *testing.T
	store   *rowStore
	engines map[string]*engine
	running sync.WaitGroup
	counters

	mu      sync.Mutex
	entries map[string]*entry
	// seed is the number of entries started so far.
	seed uint64
}

func newCluster(t *testing.T, entries, engines int) *cluster {
	t.Helper()
	c := &cluster{t: t, store: newRowStore(), engines: map[string]*engine{}, entries: map[string]*entry{}}
	require.NoError(t, c.store.Write(t.Context(), clementineturn.SectionOperator, "config", []byte("1")))
	for n := range engines {
		e := &engine{cluster: c, address: fmt.Sprintf("10.1.0.%d:80", n+1), version: "v1", conns: map[net.Conn]bool{}}
		c.engines[e.address] = e
		e.start()
	}
	for n := range entries {
		c.startEntry(entryName(n))
	}
	time.Sleep(time.Second)
	return c
}

func entryName(n int) string { return fmt.Sprintf("10.0.0.%d:80", n+1) }

// dial connects to an engine.
func (c *cluster) dial(_ context.Context, _, address string) (net.Conn, error) {
	e := c.engines[address]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == "" {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	e.conns[far] = true
	c.running.Go(func() { e.serve(far) })
	return near, nil
}

// Peer implements clementineturn.Peers.
func (c *cluster) Peer(address string) clementineturn.Peer {
	return &clusterPeer{cluster: c, address: address}
}

// clusterPeer carries the calls to an entry.
type clusterPeer struct {
	clementineturn.Peer
	cluster *cluster
	address string
}

func (p *clusterPeer) Share(ctx context.Context, share *clemwire.Share) (*clemwire.Share, error) {
	to := p.cluster.entry(p.address)
	if to == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "no connection")
	}
	time.Sleep(time.Millisecond)
	return to.syncer.Share(ctx, share)
}

func (c *cluster) entry(name string) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[name]
}

func decodeClusterServer(id string, value []byte) (clempool.Record, error) {
	address, version, _ := strings.Cut(string(value), " ")
	return clempool.NewRecord(clempool.RecordConfig{ID: id, Service: "pool", Address: address, Slots: 128, SoftwareVersion: version}), nil
}

func decodeClusterConfiguration(document []byte) (*clemroute.Configuration, error) {
	engine := clemroute.NewEngine(clemroute.EngineConfig{Slots: 128, KVTokens: 400_000})
	return clemroute.New(clemroute.Config{
		Version: 1, Document: document,
		Routes: []clemroute.RouteConfig{{
			Name: "chat", Host: "test", Prefix: "/", Kind: clemroute.KindStream, MaxAttempts: 2, Resumable: true, Affinity: true, Public: true,
			Timeout: 4 * time.Second, LatencyTarget: 600 * time.Millisecond, EventGapTarget: 400 * time.Millisecond,
			Targets: []clemroute.Target{clemroute.NewTarget("pool", 1)},
		}},
		Services: []clemroute.ServiceConfig{{Name: "pool", Engine: &engine}},
	})
}

// startEntry starts an entry without any state.
func (c *cluster) startEntry(name string) {
	c.mu.Lock()
	c.seed++
	seed := c.seed
	c.mu.Unlock()
	table := &clemroute.Table{}
	directory := clempool.New(clempool.Config{MaxLoadFactor: func() float64 { return 2 }, Rand: rand.New(rand.NewPCG(5, seed)).Uint64, Dial: c.dial})
	quarantine := clemquarantine.New(clemquarantine.Config{})
	e := &entry{quarantine: quarantine}
	e.origins = clemorigin.New(clemorigin.Config{
		Name: name, Store: c.store, Directory: directory, Rand: func() float64 { return 0.5 }, Entries: func() int { return e.syncer.EntryCount() },
	})
	e.router = clemrouter.New(clemrouter.Config{
		Dialect: wordDialect{}, Table: table, Directory: directory, Quarantine: quarantine, Origins: e.origins,
		RetryBudget: clembudget.NewRetryWindow(clembudget.RetryWindowConfig{
			Length: func() time.Duration { return 10 * time.Second }, Ratio: func() float64 { return 0.2 }, Slack: func() float64 { return 10 },
		}),
	})
	e.syncer = clemspread.New(clemspread.Config{
		Name: name, Address: name, Seeds: func() []string { return []string{entryName(0)} }, Store: c.store, Peers: c, Table: table, Directory: directory, Quarantine: quarantine,
		Rand: func() float64 { return 0.5 }, ConfigurationKey: "config", DecodeConfiguration: decodeClusterConfiguration, DecodeServer: decodeClusterServer,
		IsDraining:  func() bool { return false },
		TakeOrigins: e.origins.TakeMessage, RecordOrigins: e.origins.RecordMessage,
	})
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	e.ended = [2]<-chan error{e.syncer.Start(ctx), e.origins.Start(ctx)}
	c.mu.Lock()
	c.entries[name] = e
	c.mu.Unlock()
}

// stopEntry ends an entry at once.
func (c *cluster) stopEntry(name string) {
	c.mu.Lock()
	e := c.entries[name]
	delete(c.entries, name)
	c.mu.Unlock()
	e.stop()
	<-e.ended[0]
	<-e.ended[1]
}

// stopAll ends all entries and waits until nothing runs any more.
func (c *cluster) stopAll() {
	time.Sleep(2 * restartTime)
	c.mu.Lock()
	names := slices.Collect(maps.Keys(c.entries))
	c.mu.Unlock()
	for _, name := range names {
		c.stopEntry(name)
	}
	for _, e := range c.engines {
		e.mu.Lock()
		for conn := range e.conns {
			_ = conn.Close()
		}
		e.mu.Unlock()
	}
	c.running.Wait()
}

// send sends a request to the entry and returns whether it was served.
func (c *cluster) send(name string, parts ...uint64) (isServed bool) {
	e := c.entry(name)
	if e == nil || !e.syncer.IsReady() {
		return false
	}
	defer func() {
		if recover() != nil {
			isServed = false
		}
	}()
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = strconv.FormatUint(part, 16)
	}
	request := httptest.NewRequest(http.MethodPost, "http://test/chat", nil)
	request.Header = http.Header{"Id": {fmt.Sprint(c.requestCount.Add(1))}, "Parts": {strings.Join(texts, ",")}}
	recorder := httptest.NewRecorder()
	e.router.ServeHTTP(recorder, request)
	return recorder.Code == http.StatusOK
}
