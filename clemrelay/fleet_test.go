package clemrelay

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// fleet is a fixture that runs relays in one process over an in-memory network.
type fleet struct {
	t       *testing.T
	table   *clemstandin.Table
	objects *fakeObjects
	// commitLog and committed are the log and state that commit uses.
	commitLog *clemconfig.Log
	committed *clemconfig.State
	hosts     []*clemwire.Host
	members   *clemboard.Members
	// list is the stand-in of the platform's host list that the nodes read. If it
	// is nil, their members are fixed.
	list *clemstandin.Hosts
	// fixedList is the host list on the boards of nodes with fixed members; may be
	// nil.
	fixedList *clemboard.HostList
	nodes     map[string]*testNode
	// delay returns the one-way delay between two hosts.
	delay func(a, b *clemwire.Host) time.Duration

	mu       sync.Mutex
	cutLinks map[[2]string]bool
	// onMessage, if not nil, is called with each message.
	onMessage func(from, to string, message proto.Message)
	// newReport returns the load report of a host.
	newReport func(*clemwire.Host) []*clemwire.PoolLoad
}

type testNode struct {
	host   *clemwire.Host
	board  *clemboard.Board
	relay  *Relay
	table  *clemstandin.Table
	cancel context.CancelFunc
	ended  <-chan error
	// memberEnded is nil if the node has no clemmember.Controller.
	memberEnded <-chan error
	isFrozen    bool
	// cannotReachTable makes the node's calls to the table hang.
	cannotReachTable bool
}

func newFleet(t *testing.T, hosts []*clemwire.Host) *fleet {
	table := clemstandin.NewTable()
	return &fleet{
		t: t, table: table, commitLog: clemconfig.NewLog(clemconfig.LogConfig{Table: table}), committed: clemconfig.Empty(), objects: &fakeObjects{values: map[string][]byte{}}, hosts: hosts, members: clemboard.NewMembers(hosts),
		nodes: map[string]*testNode{}, cutLinks: map[[2]string]bool{},
		delay: func(_, _ *clemwire.Host) time.Duration { return time.Millisecond },
		newReport: func(host *clemwire.Host) []*clemwire.PoolLoad {
			return []*clemwire.PoolLoad{{Pool: host.GetPool(), Servers: 1, Load: 100, Speeds: SpeedHistogram(30 * time.Millisecond)}}
		},
	}
}

// inFleet runs a test in virtual time on a fleet that has run for the warm-up time.
func inFleet(t *testing.T, hosts []*clemwire.Host, run func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts)
		f.startAll()
		defer f.stopAll()
		time.Sleep(warmup)
		run(t, f)
	})
}

// region returns the hosts of a region with the given numbers of data centres and
// of hosts in each.
func region(name string, centres, hosts int) []*clemwire.Host {
	var all []*clemwire.Host
	for c := range centres {
		for i := range hosts {
			n := fmt.Sprintf("%s-%d-%d", name, c, i)
			all = append(all, &clemwire.Host{
				Name: n, Address: n, Region: name, Centre: fmt.Sprintf("%s-%d", name, c), Role: "sidecar", Pool: fmt.Sprintf("pool-%d", i%4),
			})
		}
	}
	return all
}

func regions(count, centres, hosts int) []*clemwire.Host {
	var all []*clemwire.Host
	for r := range count {
		all = append(all, region(fmt.Sprintf("r%d", r), centres, hosts)...)
	}
	return all
}

func (f *fleet) startAll() {
	for _, host := range f.hosts {
		f.start(host)
	}
}

func (f *fleet) start(host *clemwire.Host) *testNode {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &testNode{host: host, board: clemboard.New(), table: f.table, cancel: cancel}
	n.memberEnded = f.startMember(ctx, n)
	load := f.newReport(host)
	n.relay = New(Config{
		Self: host, Board: n.board, Log: clemconfig.NewLog(clemconfig.LogConfig{Table: nodeTable{f, n}}),
		Objects: f.objects, Peers: nodePeers{f, host}, Loads: func() []*clemwire.PoolLoad { return load },
	})
	n.ended = n.relay.Start(ctx)
	f.nodes[host.GetName()] = n
	return n
}

// stop ends a node. Other nodes then see refused connections.
func (f *fleet) stop(name string) {
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	n.cancel()
	require.NoError(f.t, <-n.ended)
	if n.memberEnded != nil {
		require.NoError(f.t, <-n.memberEnded)
	}
}

func (f *fleet) stopAll() {
	for _, host := range f.hosts {
		f.mu.Lock()
		running := f.nodes[host.GetName()] != nil
		f.mu.Unlock()
		if running {
			f.stop(host.GetName())
		}
	}
}

// freeze makes calls to and from a node hang, as with a host that lost power.
func (f *fleet) freeze(name string, isFrozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].isFrozen = isFrozen
}

// cutOff cuts all links between the hosts inside and those outside a set. heal
// restores all links.
func (f *fleet) cutOff(inside func(*clemwire.Host) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.hosts {
		for _, b := range f.hosts {
			if inside(a) != inside(b) {
				f.cutLinks[[2]string{a.GetName(), b.GetName()}] = true
			}
		}
	}
}

// cutFromParents cuts a node off from the table and from every host of lower rank,
// while its children still reach it.
func (f *fleet) cutFromParents(n *testNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.cannotReachTable = true
	for _, host := range f.hosts {
		if rankOf(host).compare(rankOf(n.host)) < 0 {
			f.cutLinks[[2]string{n.host.GetName(), host.GetName()}] = true
			f.cutLinks[[2]string{host.GetName(), n.host.GetName()}] = true
		}
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutLinks = map[[2]string]bool{}
}

// commit commits a change that creates an organisation and returns its generation.
func (f *fleet) commit(name string) uint64 {
	state, generation, err := f.commitLog.Commit(f.t.Context(), f.committed, newOrganisationChange(name))
	require.NoError(f.t, err)
	f.committed = state
	return generation
}

func newOrganisationChange(name string) *clemwire.Change {
	return &clemwire.Change{Id: name, Action: clemwire.Action_ACTION_CREATE, Entity: &clemwire.Entity{
		Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{
			Name: name, Weight: 1, Queue: 10, Keys: []*clemwire.Key{newTestKey(name, "first"), newTestKey(name, "second")},
			Objective: &clemwire.Objective{Availability: 0.999, First: durationpb.New(time.Second), Share: 0.95},
		}},
	}}
}

func newTestKey(organisation, name string) *clemwire.Key {
	digest := sha256.Sum256([]byte(organisation + name))
	return &clemwire.Key{Name: name, Digest: digest[:]}
}

// nodesBehind returns the running nodes with an older generation.
func (f *fleet) nodesBehind(generation uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, n := range f.nodes {
		if state := n.board.Config().Get(); state == nil || state.Generation() < generation {
			names = append(names, name)
		}
	}
	return names
}

// waitInForce sleeps in virtual time until all running nodes have the generation,
// at most for the limit, and returns the time that passed.
func (f *fleet) waitInForce(generation uint64, limit time.Duration) time.Duration {
	return f.waitInForceExcept(generation, "", limit)
}

// waitInForceExcept is waitInForce for all nodes but the given one.
func (f *fleet) waitInForceExcept(generation uint64, excluded string, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		behind := f.nodesBehind(generation)
		if len(behind) == 0 || len(behind) == 1 && behind[0] == excluded {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *fleet) requireInForce(generation uint64, limit time.Duration) {
	f.t.Helper()
	took := f.waitInForce(generation, limit)
	f.t.Logf("generation %d in force after %v", generation, took)
	require.Empty(f.t, f.nodesBehind(generation), "generation %d after %v", generation, took)
}

// centreHosts returns the hosts of a data centre by rank.
func (f *fleet) centreHosts(centre string) []*clemwire.Host {
	var nodes []*clemwire.Host
	for _, host := range f.hosts {
		if host.GetCentre() == centre {
			nodes = append(nodes, host)
		}
	}
	sortHosts(nodes)
	return nodes
}

// nodeTable is a node's connection to the table.
type nodeTable struct {
	fleet *fleet
	node  *testNode
}

func (t nodeTable) checkReachable(ctx context.Context) error {
	t.fleet.mu.Lock()
	isUnreachable := t.node.isFrozen || t.node.cannotReachTable
	t.fleet.mu.Unlock()
	if !isUnreachable {
		return nil
	}
	<-ctx.Done()
	return clementineturn.Errorf(clementineturn.KindUnavailable, "table: %w", ctx.Err())
}

func (t nodeTable) Get(ctx context.Context, key string) (clementineturn.Row, error) {
	if err := t.checkReachable(ctx); err != nil {
		return clementineturn.Row{}, err
	}
	return t.fleet.table.Get(ctx, key)
}

func (t nodeTable) Put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	if err := t.checkReachable(ctx); err != nil {
		return clementineturn.Row{}, err
	}
	return t.fleet.table.Put(ctx, key, value, version)
}

func (t nodeTable) Delete(ctx context.Context, key string, version clementineturn.Version) error {
	return t.fleet.table.Delete(ctx, key, version)
}

// fakeObjects is an in-memory object store.
type fakeObjects struct {
	mu     sync.Mutex
	values map[string][]byte
}

func (o *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.values[name]
	if !ok {
		return nil, clementineturn.Errorf(clementineturn.KindNotFound, "no object %q", name)
	}
	return value, nil
}

func (o *fakeObjects) Put(_ context.Context, name string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.values[name] = value
	return nil
}

func (o *fakeObjects) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.values)
}
