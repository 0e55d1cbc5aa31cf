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
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemrelay"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemsidecar"
	"github.com/clementineturn/clementineturn/clemwire"
)

// acquireRetryDelay is the delay between attempts to acquire an incarnation.
const acquireRetryDelay = time.Second

// reasonSuperseded is the drain reason of a sidecar that a newer incarnation has
// replaced.
const reasonSuperseded = "superseded"

var sidecarConstructors = []any{newBackend, newGate, newSidecarRelay, newSidecar, newSidecarProcess}

func newBackend(settings *clemsetting.Settings) *clembackend.Backend {
	return clembackend.New(clembackend.Config{URL: settings.BackendURL()})
}

func newGate(settings *clemsetting.Settings) *clemgate.Gate {
	return clemgate.New(clemgate.Config{Server: settings.Name()})
}

func newSidecarRelay(self *clemwire.Host, board *clemboard.Board, log *clemconfig.Log, objects clementineturn.ObjectStore, peers clementineturn.Peers, gate *clemgate.Gate, events *clemevent.Logger) *clemrelay.Relay {
	return clemrelay.New(clemrelay.Config{
		Self: self, Board: board, Log: log, Objects: objects, Peers: peers, Events: events,
		Loads: func() []*clemwire.PoolLoad { return clemsidecar.PoolLoads(self.GetPool(), gate) },
	})
}

func newSidecar(settings *clemsetting.Settings, board *clemboard.Board, gate *clemgate.Gate, relay *clemrelay.Relay, backend *clembackend.Backend, ledger *clemclaim.Ledger, events *clemevent.Logger) *clemsidecar.Sidecar {
	return clemsidecar.New(clemsidecar.Config{
		Server: settings.Name(), Pool: settings.Pool(), Board: board, Gate: gate, Backend: backend, Relay: relay, Ledger: ledger, Events: events,
		Answers: clemanswer.New(clemanswer.Config{
			MaxBytes: int(settings.AnswerBufferBytes()), MaxMemory: clemquota.BudgetFor(settings.MemoryLimit()), Linger: settings.Linger(),
		}),
	})
}

// sidecarDeps holds the components of a sidecar process, injected by dig.
type sidecarDeps struct {
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
	Intake   *intake
}

func newSidecarProcess(deps sidecarDeps) (*process, error) {
	observeProcess(deps.Metrics, deps.Board)
	observeGate(deps.Metrics, deps.Gate)
	router := chi.NewRouter()
	calls := clemrpc.NewServer(clemrpc.ServerConfig{Context: deps.Context, Key: deps.Settings.FleetKey(), Peer: deps.Sidecar})
	calls.Mount(router)
	deps.mount(router)
	s, err := listen(deps.Context, deps.Settings, deps.Intake, deps.Settings.ListenAddress(), router)
	if err != nil {
		return nil, err
	}
	return &process{
		settings: deps.Settings, board: deps.Board, events: deps.Events,
		controllers: []controller{deps.Member, deps.Relay, deps.Ledger, deps.Sidecar, &incarnationController{sidecarDeps: deps}},
		servers:     []*server{s}, idle: deps.Sidecar.Idle,
		close: func() {
			calls.Close()
			deps.Peers.Close()
			deps.Backend.Close()
		},
	}, nil
}

// mount adds the health and metrics endpoints.
func (p sidecarDeps) mount(router chi.Router) {
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if p.Board.Config().Get() == nil || p.Board.Drain().Get().Active() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mountMetrics(router, p.Metrics)
}

// incarnationController acquires the sidecar's incarnation, retrying while the
// table is unavailable, and then runs the claimer and the reconciler, which
// need it.
type incarnationController struct {
	sidecarDeps
}

// Start implements controller.
func (i *incarnationController) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- i.run(ctx) }()
	return done
}

func (i *incarnationController) run(ctx context.Context) error {
	incarnation, err := i.acquire(ctx)
	if err != nil {
		return nil // The process is stopping; no incarnation was acquired.
	}
	claimer := clemclaim.NewClaimer(clemclaim.ClaimerConfig{
		Ledger: i.Claims, Server: i.Settings.Name(), Incarnation: incarnation, Locate: i.sidecarPeer, Events: i.Events,
	})
	end := claimer.Start(ctx)
	i.Sidecar.SetIncarnation(incarnation, claimer)
	i.Events.Emit(clemevent.IncarnationAcquired, zap.Uint64("incarnation", incarnation))
	if err := <-i.startReconciler(ctx, incarnation); clementineturn.IsKind(err, clementineturn.KindConflict) {
		i.Board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.WithReason(reasonSuperseded, true) })
	}
	return <-end
}

// startReconciler starts making the backend server load what its pool specifies.
func (i *incarnationController) startReconciler(ctx context.Context, incarnation uint64) <-chan error {
	return clemfence.New(clemfence.Config{
		Board: i.Board, Backend: i.Backend, Table: i.Table, Server: i.Settings.Name(), Pool: i.Settings.Pool(),
		Incarnation: incarnation, Events: i.Events,
	}).Start(ctx)
}

// acquire retries until it gets an incarnation or the context ends.
func (i *incarnationController) acquire(ctx context.Context) (uint64, error) {
	for {
		incarnation, err := clemfence.NextIncarnation(ctx, i.Table, i.Settings.Name())
		if err == nil {
			return incarnation, nil
		}
		if !sleep(ctx, acquireRetryDelay) {
			return 0, ctx.Err()
		}
	}
}

// sidecarPeer returns the sidecar of a backend server, or nil if the host is
// unknown. It includes draining servers, which still answer for their claims.
func (i *incarnationController) sidecarPeer(server string) clementineturn.Peer {
	members := i.Board.Members().Get()
	if members == nil {
		return nil
	}
	host := members.AnyHost(server)
	if host == nil {
		return nil
	}
	return i.Peers.Peer(host.GetAddress())
}
