// Package clemnode builds an entry or a sidecar process from its settings and
// runs it until graceful shutdown. It wires the other packages together and has
// no request logic of its own.
package clemnode

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/dig"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmember"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemplatform"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	platformTimeout = 5 * time.Second
	// idlePollInterval is the time between checks of whether a draining process
	// is idle.
	idlePollInterval = 50 * time.Millisecond
	// reasonShutdown is the drain reason of a process that is shutting down.
	reasonShutdown = "shutdown"
)

// Run runs the process with the given settings until it fails, or until stop
// delivers a signal or the context ends and graceful shutdown is complete.
// Further signals are ignored: only the grace setting bounds the shutdown.
func Run(ctx context.Context, settings *clemsetting.Settings, stop <-chan os.Signal) error {
	p, err := assemble(ctx, settings)
	if err != nil {
		return err
	}
	return p.run(ctx, stop)
}

// assemble creates the process and opens its listeners.
func assemble(ctx context.Context, settings *clemsetting.Settings) (*process, error) {
	container := dig.New()
	constructors := []any{
		func() *clemsetting.Settings { return settings },
		func() context.Context { return ctx },
		newLogger, newSelf, newPlatform, newPeers, newLog, newLedger, newClaimRouter, newMemberController, newIntake,
		clemboard.New, clemmetric.New,
		func(c *clemplatform.Client) clementineturn.Table { return c.Table() },
		func(c *clemplatform.Client) clementineturn.Hosts { return c.Hosts() },
		func(c *clemplatform.Client) clementineturn.ObjectStore { return c.Objects() },
		func(p *clemrpc.Peers) clementineturn.Peers { return p },
		func(r *clemclaim.Router) clementineturn.Ledger { return r },
	}
	constructors = append(constructors, roleConstructors[settings.Role()]...)
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var built *process
	err := container.Invoke(func(p *process) { built = p })
	return built, err
}

// roleConstructors holds the constructors specific to each role, one of which
// returns the *process.
var roleConstructors = map[string][]any{
	clemsetting.RoleEntry:   entryConstructors,
	clemsetting.RoleSidecar: sidecarConstructors,
}

func newLogger(settings *clemsetting.Settings) (*clemevent.Logger, error) {
	level, err := zapcore.ParseLevel(settings.LogLevel())
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = nil
	config.DisableCaller, config.DisableStacktrace = true, true
	logger, err := config.Build()
	if err != nil {
		return nil, err
	}
	return clemevent.New(logger.With(zap.String("node", settings.Name()))), nil
}

func newSelf(settings *clemsetting.Settings) *clemwire.Host {
	return &clemwire.Host{
		Name: settings.Name(), Address: settings.AdvertisedAddress(), Region: settings.Region(), Centre: settings.Centre(),
		Role: settings.Role(), Pool: settings.Pool(), Admin: settings.AdminAddress(),
	}
}

func newPlatform(settings *clemsetting.Settings, events *clemevent.Logger) *clemplatform.Client {
	return clemplatform.New(clemplatform.Config{
		URL: settings.PlatformURL(), Timeout: platformTimeout,
		OnInvalidHost: func(err error) { events.Emit(clemevent.HostInvalid, zap.Error(err)) },
	})
}

func newPeers(settings *clemsetting.Settings) *clemrpc.Peers {
	var config *tls.Config
	if t := settings.TLS(); t != nil {
		config = t.ClientConfig()
	}
	return clemrpc.NewPeers(clemrpc.ClientConfig{Key: settings.FleetKey(), TLS: config})
}

func newLog(table clementineturn.Table) *clemconfig.Log {
	return clemconfig.NewLog(clemconfig.LogConfig{Table: table})
}

func newLedger(settings *clemsetting.Settings, table clementineturn.Table, events *clemevent.Logger) *clemclaim.Ledger {
	return clemclaim.NewLedger(clemclaim.LedgerConfig{
		Table: table, Buckets: settings.ClaimBuckets(), WriteInterval: settings.ClaimInterval(),
		Retention: settings.ClaimRetention(), Events: events,
	})
}

func newClaimRouter(settings *clemsetting.Settings, ledger *clemclaim.Ledger, board *clemboard.Board, peers clementineturn.Peers) *clemclaim.Router {
	return clemclaim.NewRouter(clemclaim.RouterConfig{Ledger: ledger, Board: board, Peers: peers, Self: settings.Name()})
}

func newMemberController(settings *clemsetting.Settings, hosts clementineturn.Hosts, board *clemboard.Board, events *clemevent.Logger) *clemmember.Controller {
	return clemmember.New(clemmember.Config{Hosts: hosts, Board: board, Events: events, Self: settings.Name()})
}

// controller is a component that runs in the background until the context ends.
type controller interface {
	Start(ctx context.Context) <-chan error
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
}

// listen opens a listener and returns a server for it. It uses TLS if the
// settings configure it.
func listen(ctx context.Context, settings *clemsetting.Settings, limits *intake, address string, handler http.Handler) (*server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "listen: %w", err)
	}
	s := newHTTPServer(cmp.Or(settings.ReadHeaderTimeout(), platformTimeout), cmp.Or(settings.ReadTimeout(), platformTimeout), handler)
	if t := settings.TLS(); t != nil {
		config := t.ServerConfig()
		// HTTP/1.1 is required for switching a connection to net/rpc.
		config.NextProtos = []string{"http/1.1"}
		listener = tls.NewListener(listener, config)
	}
	return &server{Server: s, listener: limits.limitListener(listener, s)}, nil
}

// start serves in the background. The channel delivers the error of Serve.
func (s *server) start() <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.Serve(s.listener) }()
	return done
}
