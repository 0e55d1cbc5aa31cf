package clemfront

import (
	"bytes"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemrouter"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/clemspread"
)

const (
	// settleTime is how long a front that leaves still takes new connections:
	// the balancer asks once a second and takes it out after two misses.
	settleTime = 3200 * time.Millisecond
	// graceMargin is kept from the time at which the process is killed.
	graceMargin = 400 * time.Millisecond
	// leavePoll is the pace at which a front that leaves looks whether it is idle.
	leavePoll = 50 * time.Millisecond
	// settingsPoll is the pace at which the settings file is read again: it
	// may change without a signal.
	settingsPoll = time.Second
	// readyPoll is the pace at which a front that starts looks whether it is ready.
	readyPoll = 20 * time.Millisecond
	// headerTimeout and idleTimeout bound clients' connections. They lie above
	// what configurations set, whose clients keep to their own limits.
	headerTimeout = 15 * time.Second
	idleTimeout   = 90 * time.Second
	// jumpLimit is the difference of the clocks between two looks that is told.
	jumpLimit = 500 * time.Millisecond
)

// front is an assembled process.
type front struct {
	config  Config
	held    *current
	router  *clemrouter.Router
	spread  *clemspread.Spread
	table   *clemroute.Table
	servers *clempool.Directory
	peers   *clemrpc.Peers
	events  *clemevent.Logger
	sink    *clemevent.Sink
	metrics *clemmetric.Registry
	// ready is set once the front was ready.
	ready bool
	// clients counts the open connections of clients.
	clients atomic.Int64
}

func newFront(c Config, held *current, router *clemrouter.Router, spread *clemspread.Spread, table *clemroute.Table, servers *clempool.Directory, peers *clemrpc.Peers, events *clemevent.Logger, sink *clemevent.Sink, metrics *clemmetric.Registry) *front {
	return &front{
		config: c, held: held, router: router, spread: spread, table: table, servers: servers, peers: peers,
		events: events, sink: sink, metrics: metrics,
	}
}

// run serves until a signal, then ends what runs within the grace time.
func (f *front) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logged, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	sunk := f.sink.Start(logged)
	defer func() {
		stopLog()
		<-sunk
	}()
	settings := f.held.Load()
	calls := clemrpc.NewServer(clemrpc.ServerConfig{Context: ctx, Key: peerKey, Peer: f.spread})
	defer calls.Close()
	defer f.peers.Close()
	failed := make(chan error, 4)
	clients := f.clientServer()
	for address, server := range map[string]*http.Server{
		settings.Listen(): clients, settings.Ready(): {Handler: http.HandlerFunc(f.answerReady)},
		settings.Control(): {Handler: mountCalls(calls)}, settings.Metrics(): {Handler: f.mountMetrics()},
	} {
		if err := serve(server, address, failed); err != nil {
			f.events.Emit(clemevent.ProcessFailed, zap.String("listen", address), zap.Error(err))
			return err
		}
		defer server.Close()
	}
	spread := f.spread.Start(ctx)
	f.events.Emit(clemevent.ProcessStarted, zap.String("listen", settings.Listen()), zap.String("control", settings.Control()))
	err := f.wait(ctx, failed)
	if err == nil {
		f.leave(clients)
	}
	cancel()
	<-spread
	f.events.Emit(clemevent.ProcessStopped, zap.Int("running", f.router.Active()), zap.Error(err))
	return err
}

func (f *front) clientServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: f.router, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: log.New(notes{f.events}, "", 0),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				f.clients.Add(1)
			case http.StateClosed, http.StateHijacked:
				f.clients.Add(-1)
			}
		},
	}
}

// notes turns the HTTP library's remarks into events.
type notes struct{ events *clemevent.Logger }

// Write implements io.Writer.
func (n notes) Write(text []byte) (int, error) {
	n.events.Emit(clemevent.ListenerNote, zap.ByteString("note", bytes.TrimSpace(text)))
	return len(text), nil
}

func serve(server *http.Server, address string, failed chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInvalid, "listening on %s: %w", address, err)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

func mountCalls(calls *clemrpc.Server) http.Handler {
	router := chi.NewRouter()
	calls.Mount(router)
	return router
}

func (f *front) mountMetrics() http.Handler {
	f.metrics.ObserveProcess()
	f.metrics.OnScrape(func() {
		f.metrics.Gauge(clemmetric.Active).Update(int64(f.router.Active()))
		f.metrics.Gauge(clemmetric.Hosts).Update(int64(f.spread.Entries()))
		f.metrics.Gauge(clemmetric.Servers).Update(int64(f.servers.Len()))
		f.metrics.Gauge(clemmetric.Version).Update(int64(f.table.Version()))
		f.metrics.Gauge(clemmetric.LinesLost).Update(int64(f.sink.Dropped()))
	})
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/metrics", f.metrics.Text())
	return router
}

// answerReady answers the balancer's readiness check.
func (f *front) answerReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if f.isReady() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

func (f *front) isReady() bool { return f.spread.IsReady() && !f.router.IsLeaving() }

// wait returns when the process is asked to stop or a listener failed.
// Meanwhile it reads changed settings and looks at the clocks.
func (f *front) wait(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	began := time.Now()
	last, settingsRead := began, began
	for {
		select {
		case err := <-failed:
			f.events.Emit(clemevent.ProcessFailed, zap.Error(err))
			return err
		case <-f.config.Stop:
			return nil
		case <-ctx.Done():
			return nil
		case <-f.config.Reload:
			settingsRead = time.Time{}
		case <-ticker.C:
		}
		if !f.ready && f.isReady() {
			f.ready = true
			passed := time.Since(began)
			f.metrics.Float(clemmetric.ReadyTime).Update(passed.Seconds())
			f.events.Emit(clemevent.ProcessReady, zap.Duration("elapsed", passed))
			ticker.Reset(settingsPoll)
		}
		if time.Since(settingsRead) >= settingsPoll {
			settingsRead = time.Now()
			f.reload()
			last = f.lookAtClocks(last)
		}
	}
}

// lookAtClocks logs a jump of the time of day against the steady clock.
func (f *front) lookAtClocks(last time.Time) time.Time {
	now := time.Now()
	jump := now.Round(0).Sub(last.Round(0)) - now.Sub(last)
	if jump.Abs() > jumpLimit {
		f.events.Emit(clemevent.ClockJumped, zap.Duration("jump", jump))
	}
	return now
}

// reload reads the settings again and puts what can change in force: the
// bounds, the store's address and the seeds.
func (f *front) reload() {
	settings, err := f.config.Read()
	old := f.held.Load()
	switch {
	case err != nil:
		f.events.Emit(clemevent.SettingsRejected, zap.Error(err))
	case !clemsite.Equal(settings, old):
		f.held.Store(settings)
		f.events.Emit(clemevent.SettingsApplied)
	}
}

// leave fails the readiness check, lets the balancer take the entry out, ends
// what runs, and closes idle connections.
func (f *front) leave(clients *http.Server) {
	began := time.Now()
	end := began.Add(f.held.Load().Bounds().Grace() - graceMargin)
	f.router.Leave(end)
	f.events.Emit(clemevent.ProcessDraining, zap.Int("running", f.router.Active()), zap.Int64("connections", f.clients.Load()))
	for time.Since(began) < settleTime {
		time.Sleep(leavePoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// Closes idle connections and waits for the others.
	if err := clients.Shutdown(ctx); err != nil {
		f.events.Emit(clemevent.ProcessFailed, zap.Int("running", f.router.Active()), zap.Error(err))
	}
}
