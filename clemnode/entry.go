package clemnode

import (
	"context"

	"github.com/go-chi/chi/v5"
	"go.uber.org/dig"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clementry"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmember"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemops"
	"github.com/clementineturn/clementineturn/clemrank"
	"github.com/clementineturn/clementineturn/clemrelay"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemwire"
)

// maxCandidates bounds the backend servers that an entry ranks for one request.
const maxCandidates = 8

var entryConstructors = []any{newEntryRelay, newEntry, newOperators, newEntryProcess}

func newEntryRelay(self *clemwire.Host, board *clemboard.Board, log *clemconfig.Log, objects clementineturn.ObjectStore, peers clementineturn.Peers, events *clemevent.Logger) *clemrelay.Relay {
	return clemrelay.New(clemrelay.Config{Self: self, Board: board, Log: log, Objects: objects, Peers: peers, Events: events})
}

func newEntry(settings *clemsetting.Settings, board *clemboard.Board, relay *clemrelay.Relay, member *clemmember.Controller, peers clementineturn.Peers, metrics *clemmetric.Registry, events *clemevent.Logger) *clementry.Entry {
	return clementry.New(clementry.Config{
		Name: settings.Name(), Board: board, Relay: relay, Health: member, Peers: peers,
		Ranker: clemrank.New(clemrank.Config{MaxHosts: maxCandidates, Region: settings.Region()}), Burn: clemburn.New(clemburn.Config{}),
		Metrics: metrics, Events: events, MaxBodyBytes: settings.MaxBodyBytes(), DefaultTimeout: settings.DefaultTimeout(),
	})
}

func newOperators(settings *clemsetting.Settings, self *clemwire.Host, board *clemboard.Board, log *clemconfig.Log, ledger clementineturn.Ledger, peers clementineturn.Peers, hosts clementineturn.Hosts, relay *clemrelay.Relay, events *clemevent.Logger) *clemops.Handler {
	return clemops.New(clemops.Config{
		Board: board, Log: log, Ledger: ledger, Peers: peers, Hosts: hosts, Self: self, OnNewState: relay.Adopt, Operators: settings.Operators(), Events: events,
	})
}

// entryDeps holds the components of an entry process, injected by dig.
type entryDeps struct {
	dig.In

	Context   context.Context
	Settings  *clemsetting.Settings
	Board     *clemboard.Board
	Events    *clemevent.Logger
	Relay     *clemrelay.Relay
	Member    *clemmember.Controller
	Ledger    *clemclaim.Ledger
	Entry     *clementry.Entry
	Operators *clemops.Handler
	Peers     *clemrpc.Peers
	Metrics   *clemmetric.Registry
	Intake    *intake
}

func newEntryProcess(deps entryDeps) (*process, error) {
	observeProcess(deps.Metrics, deps.Board)
	observeEntry(deps.Metrics, deps.Entry)
	router := chi.NewRouter()
	deps.Entry.Mount(router)
	calls := clemrpc.NewServer(clemrpc.ServerConfig{Context: deps.Context, Key: deps.Settings.FleetKey(), Peer: deps.Entry})
	calls.Mount(router)
	callers, err := listen(deps.Context, deps.Settings, deps.Intake, deps.Settings.ListenAddress(), router)
	if err != nil {
		return nil, err
	}
	servers := []*server{callers}
	if address := deps.Settings.AdminAddress(); address != "" {
		adminRouter := chi.NewRouter()
		deps.Operators.Mount(adminRouter)
		mountMetrics(adminRouter, deps.Metrics)
		admin, err := listen(deps.Context, deps.Settings, deps.Intake, address, adminRouter)
		if err != nil {
			return nil, err
		}
		servers = append(servers, admin)
	}
	return &process{
		settings: deps.Settings, board: deps.Board, events: deps.Events,
		controllers: []controller{deps.Member, deps.Relay, deps.Ledger}, servers: servers,
		drainDelay: deps.Settings.DrainDelay(),
		idle:       func() bool { return deps.Entry.ActiveRequests() == 0 },
		close: func() {
			calls.Close()
			deps.Peers.Close()
		},
	}, nil
}
