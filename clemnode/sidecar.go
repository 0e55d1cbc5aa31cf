package clemnode

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/dig"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemanswer"
	"github.com/clementineturn/clementineturn/clembackend"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemfence"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemmember"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemrelay"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemsidecar"
	"github.com/clementineturn/clementineturn/clemwire"
)

// incarnationDelay is the pause between attempts to take an incarnation.
const incarnationDelay = time.Second

// reasonSuperseded is the drain reason of a sidecar that has a newer incarnation.
const reasonSuperseded = "superseded"

var sidecarConstructors = []any{newBackend, newGate, newSidecarRelay, newSidecar, newSidecarProcess}

func newBackend(settings *clemsetting.Settings) *clembackend.Backend {
	return clembackend.New(clembackend.Config{URL: settings.Backend()})
}

func newGate(settings *clemsetting.Settings) *clemgate.Gate {
	return clemgate.New(clemgate.Config{Server: settings.Name()})
}

func newSidecarRelay(self *clemwire.Host, board *clemboard.Board, log *clemconfig.Log, objects clementineturn.Objects, peers clementineturn.Peers, gate *clemgate.Gate, events *clemevent.Logger) *clemrelay.Relay {
	return clemrelay.New(clemrelay.Config{
		Self: self, Board: board, Log: log, Objects: objects, Peers: peers, Events: events,
		Loads: func() []*clemwire.PoolLoad { return clemsidecar.Loads(self.GetPool(), gate) },
	})
}

func newSidecar(settings *clemsetting.Settings, board *clemboard.Board, gate *clemgate.Gate, relay *clemrelay.Relay, backend *clembackend.Backend, ledger *clemclaim.Ledger, events *clemevent.Logger) *clemsidecar.Sidecar {
	return clemsidecar.New(clemsidecar.Config{
		Server: settings.Name(), Pool: settings.Pool(), Board: board, Gate: gate, Backend: backend, Relay: relay, Ledger: ledger, Events: events,
		Answers: clemanswer.New(clemanswer.Config{Bytes: int(settings.Buffer()), Linger: settings.Linger()}),
	})
}

// sidecarParts are the parts that a sidecar's process runs.
type sidecarParts struct {
	dig.In

	Context  context.Context
	Settings *clemsetting.Settings
	Board    *clemboard.Board
	Events   *clemevent.Logger
	Metrics  *clemmetric.Registry
	Gate     *clemgate.Gate
	Relay    *clemrelay.Relay
	Member   *clemmember.Controller
	Table    clementineturn.Table
	Ledger   *clemclaim.Ledger
	Claims   clementineturn.Ledger
	Backend  *clembackend.Backend
	Sidecar  *clemsidecar.Sidecar
	Peers    *clemrpc.Peers
}

func newSidecarProcess(parts sidecarParts) (*process, error) {
	observeBoard(parts.Metrics, parts.Board)
	observeGate(parts.Metrics, parts.Gate)
	router := chi.NewRouter()
	calls := clemrpc.NewServer(clemrpc.ServerConfig{Context: parts.Context, Key: parts.Settings.Fleet(), Peer: parts.Sidecar})
	calls.Mount(router)
	parts.mount(router)
	s, err := listen(parts.Context, parts.Settings, parts.Settings.Listen(), router)
	if err != nil {
		return nil, err
	}
	return &process{
		settings: parts.Settings, board: parts.Board, events: parts.Events,
		controllers: []controller{parts.Member, parts.Relay, parts.Ledger, parts.Sidecar, &incarnator{sidecarParts: parts}},
		servers:     []*server{s}, idle: parts.Sidecar.Idle,
		close: func() {
			calls.Close()
			parts.Peers.Close()
			parts.Backend.Close()
		},
	}, nil
}

func (p sidecarParts) mount(router chi.Router) {
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if p.Board.Config().Get() == nil || p.Board.Drain().Get().Active() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mountMetrics(router, p.Metrics)
}

// incarnator takes the sidecar's incarnation, however long the table is down,
// and runs what depends on it.
type incarnator struct {
	sidecarParts
}

// Start implements controller.
func (i *incarnator) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- i.run(ctx) }()
	return done
}

func (i *incarnator) run(ctx context.Context) error {
	incarnation, err := i.take(ctx)
	if err != nil {
		return nil // The process stops before the table answered.
	}
	keeper := clemclaim.NewKeeper(clemclaim.KeeperConfig{
		Ledger: i.Claims, Server: i.Settings.Name(), Incarnation: incarnation, Locate: i.locate, Events: i.Events,
	})
	end := keeper.Start(ctx)
	i.Sidecar.Hold(incarnation, keeper)
	i.Events.Emit(clemevent.IncarnationTaken, zap.Uint64("incarnation", incarnation))
	if err := <-i.order(ctx, incarnation); clementineturn.IsKind(err, clementineturn.KindConflict) {
		i.Board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.With(reasonSuperseded, true) })
	}
	return <-end
}

// order keeps the backend server at what its pool asks for.
func (i *incarnator) order(ctx context.Context, incarnation uint64) <-chan error {
	return clemfence.New(clemfence.Config{
		Board: i.Board, Backend: i.Backend, Table: i.Table, Server: i.Settings.Name(), Pool: i.Settings.Pool(),
		Incarnation: incarnation, Events: i.Events,
	}).Start(ctx)
}

func (i *incarnator) take(ctx context.Context) (uint64, error) {
	for {
		incarnation, err := clemfence.Next(ctx, i.Table, i.Settings.Name())
		if err == nil {
			return incarnation, nil
		}
		if !wait(ctx, incarnationDelay) {
			return 0, ctx.Err()
		}
	}
}

// locate returns the sidecar of a backend server, or nil if the host is
// unknown. A server that takes no new work still answers for its claims.
func (i *incarnator) locate(server string) clementineturn.Peer {
	members := i.Board.Members().Get()
	if members == nil {
		return nil
	}
	host := members.Known(server)
	if host == nil {
		return nil
	}
	return i.Peers.Peer(host.GetAddress())
}
