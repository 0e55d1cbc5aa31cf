package clemfault

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemanswer"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clementry"
	"github.com/clementineturn/clementineturn/clemfence"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemmember"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemrank"
	"github.com/clementineturn/clementineturn/clemrelay"
	"github.com/clementineturn/clementineturn/clemsidecar"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	organisation = "acme"
	secret       = "ct-secret"
	model        = "llama"
	poolSlots    = 8
	answerLinger = 30 * time.Second
	restartDelay = 5 * time.Second
	freezeTime   = 15 * time.Second
	outageTime   = 30 * time.Second
	// drainDelay is how long a stopping process waits until the load balancer no
	// longer sends it requests.
	drainDelay = 2 * time.Second
)

// fleet is a small fleet in one process: real entries, sidecars, relays and ledgers
// on fakes of the platform, the network and the backend servers.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	table *clemstandin.Table
	log   *clemconfig.Log

	mu         sync.Mutex
	hosts      []*clemwire.Host
	version    int
	nodes      map[string]*node
	backends   map[string]*backend
	linkFaults linkFaults
	// isolatedNode is a process that is cut off from the configuration.
	isolatedNode string
	// servingServer is the backend server that received the last offer.
	servingServer string
	// onStep is called at each step; faultCount counts the faults it injected.
	onStep     func(step, node string)
	faultCount int
}

// node is one process. A restarted host is another node.
type node struct {
	*fleet
	host    *clemwire.Host
	board   *clemboard.Board
	config  *clemconfig.Log
	relay   *clemrelay.Relay
	member  *clemmember.Controller
	entry   *clementry.Entry
	sidecar *clemsidecar.Sidecar
	handler chi.Router
	peer    clementineturn.Peer
	ctx     context.Context
	cancel  context.CancelFunc
	done    []<-chan error
	thawed  chan struct{}
}

func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{
		t: t, ctx: ctx, table: clemstandin.NewTable(), nodes: map[string]*node{}, backends: map[string]*backend{},
	}
	f.log = clemconfig.NewLog(clemconfig.LogConfig{Table: f.table})
	t.Cleanup(func() {
		cancel()
		for _, n := range f.nodes {
			n.kill()
		}
	})
	f.configure()
	for i, name := range []string{"entry-1", "entry-2", "engine-1", "engine-2", "engine-3", "order-1", "order-2"} {
		f.hosts = append(f.hosts, &clemwire.Host{
			Name: name, Address: name, Region: "r", Centre: []string{"a", "b", "c"}[i%3], Role: roleOf(name), Pool: poolOf(name),
		})
	}
	for _, host := range f.hosts {
		f.start(host.GetName())
	}
	time.Sleep(5 * time.Second) // In virtual time, until every process has the configuration.
	return f
}

func roleOf(name string) string {
	if name[:5] == "entry" {
		return "entry"
	}
	return "sidecar"
}

func poolOf(name string) string {
	switch name[:5] {
	case "engin":
		return "chat"
	case "order":
		return "orders"
	}
	return ""
}

// configure commits the configuration that the scenarios use.
func (f *fleet) configure() {
	sum := sha256.Sum256([]byte(secret))
	for _, entity := range []*clemwire.Entity{
		{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{
			Name: organisation, Weight: 1, Queue: 100, Keys: []*clemwire.Key{{Name: "main", Digest: sum[:]}},
		}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{
			Name: "chat", Kind: clemwire.PoolKind_POOL_KIND_MODEL, Model: model, Bound: 2, Slots: configuredSlots(), LongCost: 5000, LongShare: 0.5,
		}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{
			Name: "orders", Kind: clemwire.PoolKind_POOL_KIND_PLAIN, Bound: 2, Slots: configuredSlots(), LongCost: 5000, LongShare: 0.5,
		}}},
		{Kind: &clemwire.Entity_Service{Service: &clemwire.Service{Name: "orders", Pool: "orders"}}},
	} {
		_, err := f.commit(clemwire.Action_ACTION_CREATE, entity)
		require.NoError(f.t, err)
	}
}

func (f *fleet) emptyState() *clemconfig.State { return clemconfig.Empty() }

func (f *fleet) commit(action clemwire.Action, entity *clemwire.Entity) (uint64, error) {
	f.mu.Lock()
	f.version++
	id := fmt.Sprintf("change-%d", f.version)
	f.mu.Unlock()
	_, generation, err := f.log.Commit(f.ctx, clemconfig.Empty(), &clemwire.Change{Id: id, Action: action, Entity: entity})
	return generation, err
}

// reachStep records that a node reached a step and injects the fault that waits for
// it.
func (f *fleet) reachStep(step, node string) {
	f.mu.Lock()
	onStep := f.onStep
	f.mu.Unlock()
	if onStep != nil {
		onStep(step, node)
	}
}

func (f *fleet) setServingServer(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servingServer = server
}

// List implements clementineturn.Hosts.
func (f *fleet) List(context.Context, clementineturn.Version) ([]*clemwire.Host, clementineturn.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make([]*clemwire.Host, len(f.hosts))
	for i, host := range f.hosts {
		hosts[i] = proto.CloneOf(host)
	}
	return hosts, "", nil
}

// setHost replaces a host of the list, or removes it if the new one is nil.
func (f *fleet) setHost(name string, host *clemwire.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []*clemwire.Host
	for _, h := range f.hosts {
		if h.GetName() != name {
			hosts = append(hosts, h)
		}
	}
	if host != nil {
		hosts = append(hosts, host)
	}
	f.hosts = hosts
}

// listedHost returns a host of the list, or nil if it is not listed.
func (f *fleet) listedHost(name string) *clemwire.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range f.hosts {
		if host.GetName() == name {
			return host
		}
	}
	return nil
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// start starts the process of a host.
func (f *fleet) start(name string) *node {
	host := &clemwire.Host{Name: name, Address: name, Region: "r", Centre: "a", Role: roleOf(name), Pool: poolOf(name)}
	f.mu.Lock()
	for _, h := range f.hosts {
		if h.GetName() == name {
			host = proto.CloneOf(h)
		}
	}
	f.mu.Unlock()
	n := &node{fleet: f, host: host, board: clemboard.New()}
	n.ctx, n.cancel = context.WithCancel(f.ctx)
	n.config = clemconfig.NewLog(clemconfig.LogConfig{Table: &nodeTable{n}})
	n.member = clemmember.New(clemmember.Config{Hosts: f, Board: n.board, Self: name})
	config := clemrelay.Config{
		Self: host, Incarnation: uint64(time.Now().UnixNano()), Board: n.board, Log: n.config, Peers: &nodePeers{n},
	}
	if host.GetRole() == "entry" {
		n.relay = clemrelay.New(config)
		n.startEntry()
	} else {
		gate := clemgate.New(clemgate.Config{Server: name})
		config.Loads = func() []*clemwire.PoolLoad { return clemsidecar.PoolLoads(host.GetPool(), gate) }
		n.relay = clemrelay.New(config)
		n.startSidecar(gate)
	}
	n.done = append(n.done, n.member.Start(n.ctx), n.relay.Start(n.ctx))
	return n
}

// register makes the process reachable for its peers.
func (n *node) register(peer clementineturn.Peer) {
	n.peer = peer
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[n.host.GetName()] = n
}

func (n *node) startEntry() {
	n.entry = clementry.New(clementry.Config{
		Name: n.host.GetName(), Board: n.board, Relay: n.relay, Health: n.member, Peers: &nodePeers{n},
		Ranker: clemrank.New(clemrank.Config{MaxHosts: 8}), Burn: clemburn.New(clemburn.Config{}),
		Metrics: clemmetric.New(), MaxBodyBytes: 1 << 20, DefaultTimeout: 20 * time.Second,
	})
	n.handler = chi.NewRouter()
	n.entry.Mount(n.handler)
	n.register(n.entry)
}

func (n *node) startSidecar(gate *clemgate.Gate) {
	name := n.host.GetName()
	if n.backends[name] == nil {
		n.backends[name] = newBackend(n.fleet, name)
	}
	claims := clemclaim.NewLedger(clemclaim.LedgerConfig{Table: &nodeTable{n}})
	n.sidecar = clemsidecar.New(clemsidecar.Config{
		Server: name, Pool: n.host.GetPool(), Board: n.board, Gate: gate, Backend: &nodeBackend{n, n.backends[name]},
		Relay: n.relay, Ledger: claims, Answers: clemanswer.New(clemanswer.Config{MaxBytes: 1 << 20, Linger: answerLinger}),
	})
	n.register(n.sidecar)
	done := make(chan error, 1)
	n.done = append(n.done, n.sidecar.Start(n.ctx), claims.Start(n.ctx), done)
	router := clemclaim.NewRouter(clemclaim.RouterConfig{Ledger: claims, Board: n.board, Peers: &nodePeers{n}, Self: name})
	go func() { done <- n.runClaimer(claimLedger(router)) }()
}

// runClaimer acquires the next incarnation and runs a claimer with it.
func (n *node) runClaimer(ledger clementineturn.Ledger) error {
	for {
		incarnation, err := clemfence.NextIncarnation(n.ctx, &nodeTable{n}, n.host.GetName())
		if err == nil {
			claimer := clemclaim.NewClaimer(clemclaim.ClaimerConfig{
				Ledger: ledger, Server: n.host.GetName(), Incarnation: claimerIncarnation(incarnation), Locate: n.locate,
			})
			exited := claimer.Start(n.ctx)
			n.sidecar.SetIncarnation(incarnation, claimer)
			return <-exited
		}
		if !sleep(n.ctx, time.Second) {
			return nil
		}
	}
}

func (n *node) locate(server string) clementineturn.Peer {
	members := n.board.Members().Get()
	if members == nil {
		return nil
	}
	if host := members.AnyHost(server); host != nil {
		return (&nodePeers{n}).Peer(host.GetAddress())
	}
	return nil
}

// kill ends the process at once and waits until it has no effect any more.
func (n *node) kill() {
	n.cancel()
	for _, exited := range n.done {
		<-exited
	}
	if n.sidecar != nil {
		n.sidecar.Wait()
	}
}

// freeze suspends the process at its next contact with the table, the network or its
// backend server, until the time has passed.
func (n *node) freeze(d time.Duration) {
	thawed := make(chan struct{})
	n.mu.Lock()
	n.thawed = thawed
	n.mu.Unlock()
	time.AfterFunc(d, func() { close(thawed) })
}

// awaitThaw waits while the process is frozen and reports whether it is alive.
func (n *node) awaitThaw() bool {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	if thawed != nil {
		select {
		case <-thawed:
		case <-n.ctx.Done():
		}
	}
	return n.ctx.Err() == nil
}

// stop shuts the process down gracefully and restarts it once it is idle.
func (n *node) stop() {
	for range 2 {
		n.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.WithReason("shutdown", true) })
	}
	sleep(n.ctx, drainDelay)
	for n.ctx.Err() == nil && !n.isIdle() {
		sleep(n.ctx, 50*time.Millisecond)
	}
	if n.ctx.Err() == nil {
		n.restart(n)
	}
}

func (n *node) isIdle() bool {
	if n.sidecar != nil {
		return n.sidecar.Idle()
	}
	return n.entry.ActiveRequests() == 0
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
