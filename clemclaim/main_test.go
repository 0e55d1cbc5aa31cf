package clemclaim

import (
	"context"
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// seed makes the random tests repeat; -rapid.seed sets another.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(seed)
	}
	goleak.VerifyTestMain(m)
}

// fleet is a set of fake sidecars over one table, in virtual time.
type fleet struct {
	t     *testing.T
	table *clemstandin.Table
	// mu guards the map against reads by keepers.
	mu    sync.Mutex
	nodes map[string]*node
	// moved holds the servers whose address belongs to another one.
	moved map[string]string
}

// Probe implements clementineturn.Peer.
func (n *node) Probe(ctx context.Context) (*clemwire.Probed, error) {
	if n.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &clemwire.Probed{}, nil
}

// Peer implements clementineturn.Peers. A host's address is its name.
func (f *fleet) Peer(address string) clementineturn.Peer {
	if peer := f.locate(address); peer != nil {
		return peer
	}
	return gone{}
}

// gone is a host that cannot be reached.
type gone struct{ clementineturn.Peer }

// Submit implements clementineturn.Peer.
func (gone) Submit(context.Context, *clemwire.Submit) (*clemwire.Submitted, error) {
	return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
}

// members makes the named sidecars the members that the node knows.
func (n *node) members(servers ...string) {
	var hosts []*clemwire.Host
	for _, server := range servers {
		hosts = append(hosts, &clemwire.Host{Name: server, Address: server, Role: sidecarRole})
	}
	n.board.Members().Set(clemboard.NewMembers(hosts))
}

func (f *fleet) locate(server string) clementineturn.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if other, ok := f.moved[server]; ok {
		server = other
	}
	if peer := f.nodes[server]; peer != nil {
		return peer
	}
	return nil
}

// move has the server's address belong to another one from now on.
func (f *fleet) move(server, other string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moved[server] = other
}

// node is one sidecar: a ledger and a keeper that live as long as its context.
type node struct {
	clementineturn.Peer
	ledger *Ledger
	board  *clemboard.Board
	router *Router
	keeper *Keeper
	stop   func()
	// frozen keeps the node from answering other sidecars, lossy has it
	// answer every second one only.
	frozen  atomic.Bool
	lossy   atomic.Bool
	submits atomic.Uint64
}

// Submit implements clementineturn.Peer.
func (n *node) Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error) {
	if n.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	// The caller's end does not reach the other side.
	answer := make(chan *clemwire.Submitted, 1)
	go func() { answer <- n.ledger.Submit(context.Background(), proto.CloneOf(submit)) }()
	if n.submits.Add(1)%2 == 0 && n.lossy.Load() {
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "the connection broke")
	}
	select {
	case got := <-answer:
		return proto.CloneOf(got), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Void implements clementineturn.Peer.
func (n *node) Void(ctx context.Context, void *clemwire.Void) (*clemwire.Voided, error) {
	if n.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.keeper.Void(void), nil
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, table: clemstandin.NewTable(), nodes: map[string]*node{}, moved: map[string]string{}}
}

func (f *fleet) start(server string, incarnation uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{ledger: NewLedger(LedgerConfig{Table: f.table}), board: clemboard.New()}
	n.router = NewRouter(RouterConfig{Ledger: n.ledger, Board: n.board, Peers: f, Self: server})
	n.keeper = NewKeeper(KeeperConfig{
		Ledger: n.router, Server: server, Incarnation: incarnation,
		Locate: f.locate,
	})
	ledgerDone, keeperDone := n.ledger.Start(ctx), n.keeper.Start(ctx)
	n.stop = func() {
		cancel()
		<-keeperDone
		<-ledgerDone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[server] = n
	return n
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
}

// inFleet runs the test in virtual time with the given sidecars, all of incarnation 1.
func inFleet(t *testing.T, servers []string, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for _, server := range servers {
			f.start(server, 1)
		}
		defer f.stop()
		test(t, f)
	})
}

func offer(key, attempt, body string) *clemwire.Offer {
	return &clemwire.Offer{Organisation: "shishu", Key: key, Attempt: attempt, Service: "orders", Call: "reserve", Body: []byte(body)}
}

func outcome(body string) *clemwire.Outcome {
	return &clemwire.Outcome{Status: 200, Media: "text/plain", Body: []byte(body)}
}

// acquire requires a grant to run the call.
func (n *node) acquire(t *testing.T, o *clemwire.Offer) *Grant {
	t.Helper()
	grant, err := n.keeper.Acquire(t.Context(), o)
	require.NoError(t, err)
	require.Nil(t, grant.Replay())
	return grant
}

// refused requires an error of the kind.
func (n *node) refused(t *testing.T, o *clemwire.Offer, kind clementineturn.Kind, notRun bool) {
	t.Helper()
	_, err := n.keeper.Acquire(t.Context(), o)
	require.Error(t, err)
	require.Equal(t, kind, clementineturn.AsError(err).Kind(), "%v", err)
	require.Equal(t, notRun, clementineturn.IsNotRun(err), "%v", err)
}

func (n *node) state(t *testing.T, key string) clemwire.ClaimState {
	t.Helper()
	record, err := n.ledger.Lookup(t.Context(), "shishu", key)
	require.NoError(t, err)
	return record.GetState()
}

// settled waits until the keeper has nothing pending.
func (n *node) settled(t *testing.T) {
	t.Helper()
	for range 100 {
		if n.keeper.Pending() == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	require.Zero(t, n.keeper.Pending())
}
