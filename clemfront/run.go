package clemfront

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemorigin"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemrouter"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/clemspread"
)

const (
	// shutdownDelay is how long a draining front accepts new connections: the
	// load balancer checks readiness once a second and removes a front after two
	// failed checks.
	shutdownDelay = 3200 * time.Millisecond
	// exitMargin is the time between the end of draining and the end of the grace
	// period, at which the process is killed. Within the first half of it the requests
	// that are ended get their responses.
	exitMargin = 400 * time.Millisecond
	// firstRequestWait is how long a connection of a draining front may wait for its first
	// request, as with net/http's Shutdown, and closeInterval the interval at which idle
	// connections are closed.
	firstRequestWait = 5 * time.Second
	closeInterval    = 10 * time.Millisecond
	// settingsPollInterval is the interval at which the settings are read again,
	// since they may change without a signal.
	settingsPollInterval = time.Second
	// readyPollInterval is the interval at which a starting front checks whether
	// it is ready.
	readyPollInterval = 20 * time.Millisecond
	// minClockJump is the smallest change between wall clock and monotonic clock
	// that is logged.
	minClockJump = 500 * time.Millisecond
)

// front is an assembled process.
type front struct {
	config   Config
	settings *activeSettings
	router   *clemrouter.Router
	syncer   *clemspread.Syncer
	table    *clemroute.Table
	servers  *clempool.Directory
	// quarantine holds the prompt parts that crash servers.
	quarantine *clemquarantine.Tracker
	// origins knows which versions of the servers' software began streams.
	origins *clemorigin.Tracker
	peers   *clemrpc.Peers
	events  *clemevent.Logger
	sink    *clemevent.Sink
	metrics *clemmetric.Registry
	// wasReady is set once the front has been ready.
	wasReady bool
	// budget bounds the memory of requests.
	budget *clemquota.Budget
	// probeBudget bounds that of readiness checks and metrics.
	probeBudget *clemquota.Budget
	// clientListener is the listener for clients.
	clientListener *clemquota.Listener
	// endRequests ends the requests of clients with a cause.
	endRequests context.CancelCauseFunc
}

func newFront(c Config, settings *activeSettings, router *clemrouter.Router, syncer *clemspread.Syncer, table *clemroute.Table, servers *clempool.Directory, quarantine *clemquarantine.Tracker, origins *clemorigin.Tracker, peers *clemrpc.Peers, events *clemevent.Logger, sink *clemevent.Sink, metrics *clemmetric.Registry, budget *clemquota.Budget) *front {
	return &front{
		config: c, settings: settings, router: router, syncer: syncer, table: table, servers: servers, quarantine: quarantine, origins: origins, peers: peers,
		events: events, sink: sink, metrics: metrics, budget: budget, probeBudget: clemquota.NewBudget(probeBudget),
	}
}

// run serves until a stop signal, then drains within the grace period.
func (f *front) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	flushed := f.sink.Start(logCtx)
	defer func() {
		stopLog()
		<-flushed
	}()
	settings := f.settings.Load()
	calls := clemrpc.NewServer(clemrpc.ServerConfig{Context: ctx, Key: peerAuthKey, Peer: f.syncer})
	defer calls.Close()
	defer f.peers.Close()
	failed := make(chan error, 4)
	clients := f.clientServer()
	f.applyLimits(settings)
	for _, s := range []struct {
		name, address string
		server        *http.Server
	}{
		{listenerClients, settings.ListenAddress(), clients},
		{listenerReady, settings.ReadyAddress(), &http.Server{Handler: http.HandlerFunc(f.handleReady)}},
		{listenerControl, settings.ControlAddress(), &http.Server{Handler: peerHandler(calls)}},
		{listenerMetrics, settings.MetricsAddress(), &http.Server{Handler: f.metricsHandler()}},
	} {
		listener, err := f.listen(s.name, s.address, s.server)
		if err != nil {
			f.events.Emit(clemevent.ProcessFailed, zap.String("listen", s.address), zap.Error(err))
			return err
		}
		if s.server == clients {
			f.clientListener = listener
		}
		serve(s.server, listener, failed)
		defer s.server.Close()
	}
	synced, tracked := f.syncer.Start(ctx), f.origins.Start(ctx)
	f.events.Emit(clemevent.ProcessStarted, zap.String("listen", settings.ListenAddress()), zap.String("control", settings.ControlAddress()))
	err := f.waitForStop(ctx, failed)
	if err == nil {
		f.drain(clients)
	}
	cancel()
	<-synced
	<-tracked
	f.events.Emit(clemevent.ProcessStopped, zap.Int("running", f.router.ActiveRequests()), zap.Error(err))
	return err
}

// httpErrorWriter logs the error messages of net/http as events.
type httpErrorWriter struct{ events *clemevent.Logger }

// Write implements io.Writer.
func (w httpErrorWriter) Write(text []byte) (int, error) {
	w.events.Emit(clemevent.HTTPServerMessage, zap.ByteString("note", bytes.TrimSpace(text)))
	return len(text), nil
}

func peerHandler(calls *clemrpc.Server) http.Handler {
	router := chi.NewRouter()
	calls.Mount(router)
	return router
}

func (f *front) metricsHandler() http.Handler {
	f.metrics.ObserveProcess()
	f.metrics.OnScrape(func() {
		f.metrics.Gauge(clemmetric.Active).Update(int64(f.router.ActiveRequests()))
		f.metrics.Gauge(clemmetric.Hosts).Update(int64(f.syncer.EntryCount()))
		f.metrics.Gauge(clemmetric.BackendServers).Update(int64(f.servers.Len()))
		for state, count := range f.servers.CountStates(time.Now()) {
			f.metrics.Gauge(clemmetric.ServerStates, "state", state.String()).Update(int64(count))
		}
		for service, perToken := range f.servers.PrefillTimes() {
			f.metrics.GaugeFloat(clemmetric.PrefillSeconds, "service", service).Update(1000 * perToken.Seconds())
		}
		f.metrics.Gauge(clemmetric.Queued).Update(int64(f.servers.Waiting()))
		f.metrics.Gauge(clemmetric.Quarantines).Update(int64(len(f.quarantine.Quarantines(time.Now()))))
		f.metrics.Gauge(clemmetric.Evacuations).Update(int64(len(f.syncer.Evacuated())))
		f.metrics.Gauge(clemmetric.ConfigurationVersion).Update(int64(f.table.Version()))
		f.metrics.Gauge(clemmetric.IntakeBytes).Update(f.budget.Used())
		f.metrics.Gauge(clemmetric.IntakeConnections).Update(int64(f.clientListener.Len()))
		f.metrics.Gauge(clemmetric.LogLinesDropped).Update(int64(f.sink.Dropped()))
	})
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/metrics", f.metrics.Text())
	return router
}

// handleReady answers the load balancer's readiness check.
func (f *front) handleReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if f.isReady() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

func (f *front) isReady() bool { return f.syncer.IsReady() && !f.router.IsDraining() }

// waitForStop returns on a stop signal, the context's end or the failure of a
// listener. Meanwhile it reloads the settings and checks the clock.
func (f *front) waitForStop(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	started := time.Now()
	last, settingsRead := started, started
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
		if !f.wasReady && f.isReady() {
			f.wasReady = true
			elapsed := time.Since(started)
			f.metrics.GaugeFloat(clemmetric.ReadySeconds).Update(elapsed.Seconds())
			f.events.Emit(clemevent.ProcessReady, zap.Duration("elapsed", elapsed))
			ticker.Reset(settingsPollInterval)
		}
		if time.Since(settingsRead) >= settingsPollInterval {
			settingsRead = time.Now()
			f.reloadSettings()
			last = f.checkClock(last)
		}
	}
}

// checkClock logs a jump of the wall clock relative to the monotonic clock since
// the last check. It returns the time of this check.
func (f *front) checkClock(last time.Time) time.Time {
	now := time.Now()
	jump := now.Round(0).Sub(last.Round(0)) - now.Sub(last)
	if jump.Abs() > minClockJump {
		f.events.Emit(clemevent.ClockJumped, zap.Duration("jump", jump))
	}
	return now
}

// reloadSettings reads the settings again. Changes of the bounds, the
// limits, the store's address and the seeds take effect; the others need a restart.
func (f *front) reloadSettings() {
	settings, err := f.config.ReadSettings()
	old := f.settings.Load()
	switch {
	case err != nil:
		f.events.Emit(clemevent.SettingsRejected, zap.Error(err))
	case !clemsite.Equal(settings, old):
		f.settings.Store(settings)
		if settings.MemoryLimit() != old.MemoryLimit() || settings.MaxDescriptors() != old.MaxDescriptors() {
			f.applyLimits(settings)
		}
		f.events.Emit(clemevent.SettingsReloaded)
	}
}

// drain fails the readiness check, waits until the load balancer has removed the
// front, closes idle connections and waits for the others. At the end of draining it ends
// the requests that still run.
func (f *front) drain(clients *http.Server) {
	started := time.Now()
	end := started.Add(f.settings.Load().Bounds().GracePeriod() - exitMargin)
	f.router.Drain(end)
	f.events.Emit(clemevent.ProcessDraining, zap.Int("running", f.router.ActiveRequests()), zap.Int("connections", f.clientListener.Len()))
	time.Sleep(min(shutdownDelay, time.Until(end)))
	f.closeConnections(end)
	if err := shutdownUntil(clients, end); err == nil {
		return
	}
	f.events.Emit(clemevent.RequestsEnded, zap.Int("running", f.router.ActiveRequests()))
	f.endRequests(clementineturn.Errorf(clementineturn.KindDraining, "the entry stops"))
	if err := shutdownUntil(clients, end.Add(exitMargin/2)); err != nil {
		f.events.Emit(clemevent.ProcessFailed, zap.Int("running", f.router.ActiveRequests()), zap.Error(err))
	}
}

// closeConnections accepts no more connections and closes those of clients as they become
// idle, until all are closed or the given time. Requests that arrive meanwhile on the others
// are answered; http.Server.Shutdown drops them.
func (f *front) closeConnections(end time.Time) {
	if f.clientListener == nil {
		return
	}
	f.clientListener.Stop()
	for f.clientListener.Len() > 0 && time.Now().Before(end) {
		f.clientListener.CloseIdle(firstRequestWait)
		time.Sleep(min(closeInterval, time.Until(end)))
	}
}

func shutdownUntil(server *http.Server, end time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	return server.Shutdown(ctx)
}
