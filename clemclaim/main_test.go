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

// seed makes the random tests reproducible; -rapid.seed sets another.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(seed)
	}
	goleak.VerifyTestMain(m)
}

// fleet is a fixture of sidecars that use one table, in virtual time.
type fleet struct {
	t     *testing.T
	table *clemstandin.Table
	// mu guards the maps, which claimers and routers read.
	mu    sync.Mutex
	nodes map[string]*node
	// addressOwners holds, for a server whose address has moved, the server that
	// has it now.
	addressOwners map[string]string
}

// Probe implements clementineturn.Peer.
func (n *node) Probe(ctx context.Context) (*clemwire.Probed, error) {
	if n.suspended.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &clemwire.Probed{}, nil
}

// Peer implements clementineturn.Peers. The address of a server is its name.
func (f *fleet) Peer(address string) clementineturn.Peer {
	if peer := f.locate(address); peer != nil {
		return peer
	}
	return unreachablePeer{}
}

// unreachablePeer is a peer that refuses connections.
type unreachablePeer struct{ clementineturn.Peer }

// Submit implements clementineturn.Peer.
func (unreachablePeer) Submit(context.Context, *clemwire.Submit) (*clemwire.Submitted, error) {
	return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
}

// setMembers sets the members that the node knows to the named sidecars.
func (n *node) setMembers(servers ...string) {
	var hosts []*clemwire.Host
	for _, server := range servers {
		hosts = append(hosts, &clemwire.Host{Name: server, Address: server, Role: sidecarRole})
	}
	n.board.Members().Set(clemboard.NewMembers(hosts))
}

func (f *fleet) locate(server string) clementineturn.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if owner, ok := f.addressOwners[server]; ok {
		server = owner
	}
	if peer := f.nodes[server]; peer != nil {
		return peer
	}
	return nil
}

// moveAddress makes the server's address that of another one.
func (f *fleet) moveAddress(server, other string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addressOwners[server] = other
}

// node is one sidecar: a ledger, a router and a claimer that run until stop.
type node struct {
	clementineturn.Peer
	ledger  *Ledger
	board   *clemboard.Board
	router  *Router
	claimer *Claimer
	stop    func()
	// suspended keeps the node from answering other sidecars. losesAnswers makes
	// it carry out every request to its ledger and lose every second answer.
	suspended    atomic.Bool
	losesAnswers atomic.Bool
	submits      atomic.Uint64
}

// Submit implements clementineturn.Peer.
func (n *node) Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error) {
	if n.suspended.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	// The request is carried out even if the caller's context ends.
	answer := make(chan *clemwire.Submitted, 1)
	go func() { answer <- n.ledger.Submit(context.Background(), proto.CloneOf(submit)) }()
	if n.submits.Add(1)%2 == 0 && n.losesAnswers.Load() {
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
	if n.suspended.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.claimer.Void(void), nil
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, table: clemstandin.NewTable(), nodes: map[string]*node{}, addressOwners: map[string]string{}}
}

func (f *fleet) start(server string, incarnation uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{ledger: NewLedger(LedgerConfig{Table: f.table}), board: clemboard.New()}
	n.router = NewRouter(RouterConfig{Ledger: n.ledger, Board: n.board, Peers: f, Self: server})
	n.claimer = NewClaimer(ClaimerConfig{
		Ledger: n.router, Server: server, Incarnation: incarnation,
		Locate: f.locate,
	})
	ledgerDone, claimerDone := n.ledger.Start(ctx), n.claimer.Start(ctx)
	n.stop = func() {
		cancel()
		<-claimerDone
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

// runWithFleet runs the test in virtual time with the given sidecars, all of
// incarnation 1.
func runWithFleet(t *testing.T, servers []string, test func(t *testing.T, f *fleet)) {
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

// mustAcquire returns a grant to run the call and fails if there is none.
func (n *node) mustAcquire(t *testing.T, o *clemwire.Offer) *Grant {
	t.Helper()
	grant, err := n.claimer.Acquire(t.Context(), o)
	require.NoError(t, err)
	require.Nil(t, grant.Replay())
	return grant
}

// requireRefused requires that the offer is refused with the kind, and that the
// error states or does not state that the work was not run.
func (n *node) requireRefused(t *testing.T, o *clemwire.Offer, kind clementineturn.Kind, notRun bool) {
	t.Helper()
	_, err := n.claimer.Acquire(t.Context(), o)
	require.Error(t, err)
	require.Equal(t, kind, clementineturn.AsError(err).Kind(), "%v", err)
	require.Equal(t, notRun, clementineturn.IsNotRun(err), "%v", err)
}

func (n *node) ledgerState(t *testing.T, key string) clemwire.ClaimState {
	t.Helper()
	record, err := n.ledger.Lookup(t.Context(), "shishu", key)
	require.NoError(t, err)
	return record.GetState()
}

// waitUntilRecorded waits until the claimer has nothing pending.
func (n *node) waitUntilRecorded(t *testing.T) {
	t.Helper()
	for range 100 {
		if n.claimer.Pending() == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	require.Zero(t, n.claimer.Pending())
}
