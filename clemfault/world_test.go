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
	linger       = 30 * time.Second
	restartDelay = 5 * time.Second
	freezeTime   = 15 * time.Second
	outage       = 30 * time.Second
	// settleTime is how long a stopping process waits for the balancer.
	settleTime = 2 * time.Second
)

// world is a small fleet in one process: real entries, sidecars, relays and
// ledgers on fakes of the platform, the network and the backend servers.
type world struct {
	t     *testing.T
	ctx   context.Context
	table *clemstandin.Table
	log   *clemconfig.Log

	mu       sync.Mutex
	hosts    []*clemwire.Host
	version  int
	nodes    map[string]*node
	backends map[string]*backend
	net      network
	// isolated names a process that gets no news of the configuration.
	isolated string
	// serving is the backend server that got the last offer.
	serving string
	// strike is called at each step; struck counts the faults it injected.
	strike func(step, node string)
	struck int
}

// node is one running process. A restarted host is another node.
type node struct {
	*world
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
	ends    []<-chan error
	thawed  chan struct{}
}

func newWorld(t *testing.T) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{
		t: t, ctx: ctx, table: clemstandin.NewTable(), nodes: map[string]*node{}, backends: map[string]*backend{},
	}
	w.log = clemconfig.NewLog(clemconfig.LogConfig{Table: w.table})
	t.Cleanup(func() {
		cancel()
		for _, n := range w.nodes {
			n.kill()
		}
	})
	w.configure()
	for i, name := range []string{"entry-1", "entry-2", "engine-1", "engine-2", "engine-3", "order-1", "order-2"} {
		w.hosts = append(w.hosts, &clemwire.Host{
			Name: name, Address: name, Region: "r", Centre: []string{"a", "b", "c"}[i%3], Role: roleOf(name), Pool: poolOf(name),
		})
	}
	for _, host := range w.hosts {
		w.start(host.GetName())
	}
	time.Sleep(5 * time.Second) // Virtual time: everyone holds the configuration.
	return w
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
func (w *world) configure() {
	sum := sha256.Sum256([]byte(secret))
	for _, entity := range []*clemwire.Entity{
		{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{
			Name: organisation, Weight: 1, Queue: 100, Keys: []*clemwire.Key{{Name: "main", Digest: sum[:]}},
		}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{
			Name: "chat", Kind: clemwire.PoolKind_POOL_KIND_MODEL, Model: model, Bound: 2, Slots: slots(), LongCost: 5000, LongShare: 0.5,
		}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{
			Name: "orders", Kind: clemwire.PoolKind_POOL_KIND_PLAIN, Bound: 2, Slots: slots(), LongCost: 5000, LongShare: 0.5,
		}}},
		{Kind: &clemwire.Entity_Service{Service: &clemwire.Service{Name: "orders", Pool: "orders"}}},
	} {
		_, err := w.commit(clemwire.Action_ACTION_CREATE, entity)
		require.NoError(w.t, err)
	}
}

func (w *world) empty() *clemconfig.State { return clemconfig.Empty() }

func (w *world) commit(action clemwire.Action, entity *clemwire.Entity) (uint64, error) {
	w.mu.Lock()
	w.version++
	id := fmt.Sprintf("change-%d", w.version)
	w.mu.Unlock()
	_, generation, err := w.log.Commit(w.ctx, clemconfig.Empty(), &clemwire.Change{Id: id, Action: action, Entity: entity})
	return generation, err
}

// at runs the fault that waits for the step.
func (w *world) at(step, node string) {
	w.mu.Lock()
	strike := w.strike
	w.mu.Unlock()
	if strike != nil {
		strike(step, node)
	}
}

func (w *world) serve(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serving = server
}

// List implements clementineturn.Hosts.
func (w *world) List(context.Context, clementineturn.Version) ([]*clemwire.Host, clementineturn.Version, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := make([]*clemwire.Host, len(w.hosts))
	for i, host := range w.hosts {
		hosts[i] = proto.CloneOf(host)
	}
	return hosts, "", nil
}

// setHost changes or, with nil, removes a host of the list.
func (w *world) setHost(name string, host *clemwire.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []*clemwire.Host
	for _, h := range w.hosts {
		if h.GetName() != name {
			hosts = append(hosts, h)
		}
	}
	if host != nil {
		hosts = append(hosts, host)
	}
	w.hosts = hosts
}

// listed returns a host's entry of the list.
func (w *world) listed(name string) *clemwire.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, host := range w.hosts {
		if host.GetName() == name {
			return host
		}
	}
	return nil
}

func (w *world) node(name string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

// start runs the process of a host.
func (w *world) start(name string) *node {
	host := &clemwire.Host{Name: name, Address: name, Region: "r", Centre: "a", Role: roleOf(name), Pool: poolOf(name)}
	w.mu.Lock()
	for _, h := range w.hosts {
		if h.GetName() == name {
			host = proto.CloneOf(h)
		}
	}
	w.mu.Unlock()
	n := &node{world: w, host: host, board: clemboard.New()}
	n.ctx, n.cancel = context.WithCancel(w.ctx)
	n.config = clemconfig.NewLog(clemconfig.LogConfig{Table: &nodeTable{n}})
	n.member = clemmember.New(clemmember.Config{Hosts: w, Board: n.board, Self: name})
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
	n.ends = append(n.ends, n.member.Start(n.ctx), n.relay.Start(n.ctx))
	return n
}

// register lets others reach the process.
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
		Metrics: clemmetric.New(), MaxBodyBytes: 1 << 20, DefaultDeadline: 20 * time.Second,
	})
	n.handler = chi.NewRouter()
	n.entry.Mount(n.handler)
	n.register(n.entry)
}

func (n *node) startSidecar(gate *clemgate.Gate) {
	name := n.host.GetName()
	if n.backends[name] == nil {
		n.backends[name] = newBackend(n.world, name)
	}
	claims := clemclaim.NewLedger(clemclaim.LedgerConfig{Table: &nodeTable{n}})
	n.sidecar = clemsidecar.New(clemsidecar.Config{
		Server: name, Pool: n.host.GetPool(), Board: n.board, Gate: gate, Backend: &nodeBackend{n, n.backends[name]},
		Relay: n.relay, Ledger: claims, Answers: clemanswer.New(clemanswer.Config{MaxBytes: 1 << 20, Linger: linger}),
	})
	n.register(n.sidecar)
	done := make(chan error, 1)
	n.ends = append(n.ends, n.sidecar.Start(n.ctx), claims.Start(n.ctx), done)
	router := clemclaim.NewRouter(clemclaim.RouterConfig{Ledger: claims, Board: n.board, Peers: &nodePeers{n}, Self: name})
	go func() { done <- n.hold(ledger(router)) }()
}

// hold takes the incarnation and runs the keeper under it.
func (n *node) hold(ledger clementineturn.Ledger) error {
	for {
		incarnation, err := clemfence.NextIncarnation(n.ctx, &nodeTable{n}, n.host.GetName())
		if err == nil {
			keeper := clemclaim.NewKeeper(clemclaim.KeeperConfig{
				Ledger: ledger, Server: n.host.GetName(), Incarnation: number(incarnation), Locate: n.locate,
			})
			end := keeper.Start(n.ctx)
			n.sidecar.SetIncarnation(incarnation, keeper)
			return <-end
		}
		if !rest(n.ctx, time.Second) {
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

// kill ends the process at once: nothing of it has an effect afterwards.
func (n *node) kill() {
	n.cancel()
	for _, end := range n.ends {
		<-end
	}
	if n.sidecar != nil {
		n.sidecar.Wait()
	}
}

// freeze stops the process at its next contact with the outside.
func (n *node) freeze(d time.Duration) {
	thawed := make(chan struct{})
	n.mu.Lock()
	n.thawed = thawed
	n.mu.Unlock()
	time.AfterFunc(d, func() { close(thawed) })
}

// breathe returns once the process is not frozen, or false if it is dead.
func (n *node) breathe() bool {
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

// stop shuts the process down gracefully; the host is replaced later.
func (n *node) stop() {
	for range 2 {
		n.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.WithReason("shutdown", true) })
	}
	rest(n.ctx, settleTime)
	for n.ctx.Err() == nil && !n.idle() {
		rest(n.ctx, 50*time.Millisecond)
	}
	if n.ctx.Err() == nil {
		n.restart(n)
	}
}

func (n *node) idle() bool {
	if n.sidecar != nil {
		return n.sidecar.Idle()
	}
	return n.entry.ActiveRequests() == 0
}

func rest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
