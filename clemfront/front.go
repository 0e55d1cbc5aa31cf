// Package clemfront assembles and runs the process of a front: an entry that
// routes requests to backend servers without sidecars.
package clemfront

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/dig"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemorigin"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemrouter"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/clemspread"
)

const (
	// maxInfoLinesPerSecond and maxWarnLinesPerSecond bound the log lines of
	// one event. 100 lines of a few hundred bytes a second cost about 0.1 % of a
	// core.
	maxInfoLinesPerSecond = 25
	maxWarnLinesPerSecond = 100
	// retrySlackShare is the share of the configured retry slack that entries use.
	// The rest covers entries that restart and lose the count of their retries.
	retrySlackShare = 0.7
	// peerAuthKey rejects calls that reach this process by mistake. It is no
	// secret, since the platform distributes none: access is restricted by the
	// network alone.
	peerAuthKey = "clementine-front"
)

// Store is the client of the platform's store. It also lists the cached parts of
// backend servers.
type Store interface {
	clementineturn.Store
	clementineturn.Inventory
	// OnNewConnections returns a client that opens a connection for each call.
	OnNewConnections() clementineturn.Store
}

// Config describes a front to run.
type Config struct {
	// ReadSettings returns the current settings. It is called at the start, about
	// once a second and on a reload signal.
	ReadSettings func() (*clemsite.Settings, error)
	// NewStore returns a client of the platform's store, whose address may change.
	// The client calls onCall for each call to the store.
	NewStore         func(address func() string, onCall func()) Store
	Dialect          clementineturn.Dialect
	ConfigurationKey string
	// EvacuatedCentre returns the data centre that the operator's row with the key
	// evacuates, and whether the key is that of an evacuation.
	EvacuatedCentre     func(key string) (centre string, ok bool)
	DecodeConfiguration func(document []byte) (*clemroute.Configuration, error)
	DecodeServer        func(id string, value []byte) (clempool.Record, error)
	// LogOutput receives the log lines.
	LogOutput io.Writer
	// Stop delivers shutdown signals and Reload signals to read the settings again.
	Stop, Reload <-chan os.Signal
}

// activeSettings holds the settings in use.
type activeSettings struct {
	atomic.Pointer[clemsite.Settings]
}

// Run runs a front until it receives a stop signal or a listener fails. Errors:
// KindInvalid for invalid settings; the error of a listener.
func Run(ctx context.Context, c Config) error {
	settings, err := c.ReadSettings()
	if err != nil {
		return err
	}
	container := dig.New()
	for _, constructor := range []any{
		func() Config { return c },
		func() *activeSettings { active := &activeSettings{}; active.Store(settings); return active },
		func() *clemevent.Sink { return clemevent.NewSink(c.LogOutput) },
		newEventLogger, clemmetric.New, newTable, newDirectory, newQuarantine, newPeerView, newRetryBudget, newOrigins, newRouter, newStore, newPeers, newSyncer, newBudget, newFront,
	} {
		if err := container.Provide(constructor); err != nil {
			return clementineturn.Errorf(clementineturn.KindInternal, "assembling: %w", dig.RootCause(err))
		}
	}
	var runErr error
	if err := container.Invoke(func(f *front) { runErr = f.run(ctx) }); err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "assembling: %w", dig.RootCause(err))
	}
	return runErr
}

func newEventLogger(sink *clemevent.Sink, active *activeSettings) *clemevent.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, sink, zapcore.InfoLevel)
	limit := clemevent.NewRateLimit(clemevent.RateLimitConfig{MaxInfoPerSecond: maxInfoLinesPerSecond, MaxWarnPerSecond: maxWarnLinesPerSecond})
	return clemevent.New(zap.New(core)).WithRateLimit(limit).With(zap.String("node", active.Load().Name()))
}

func newTable() *clemroute.Table { return &clemroute.Table{} }

// scarcityEvents are the events of the changes that a directory reports.
var scarcityEvents = map[clempool.Scarcity]clemevent.Event{
	clempool.ScarcityBegan: clemevent.ServiceScarce, clempool.ScarcityEnded: clemevent.ServiceNotScarce,
	clempool.ScarcityQueueFull: clemevent.WaitQueueFull, clempool.ScarcityIsolated: clemevent.PeerCountsMissing,
}

func newDirectory(active *activeSettings, table *clemroute.Table, v *peerView, events *clemevent.Logger, metrics *clemmetric.Registry) *clempool.Directory {
	return clempool.New(clempool.Config{
		Address: active.Load().ControlAddress(), Entries: v.entries, StartedAt: time.Now(),
		ColdFigures: func(service string) clempool.ColdFigures { return coldFigures(table.Current(), active.Load(), service) },
		OnScarcity: func(service string, change clempool.Scarcity, waiting int) {
			events.Emit(scarcityEvents[change], zap.String("service", service), zap.Int("waiting", waiting))
		},
		OnRefused: func(service, reason string) {
			metrics.Counter(clemmetric.Refusals, "service", service, "reason", reason).Inc(1)
		},
		MaxLoadFactor: func() float64 { return active.Load().Bounds().MaxLoadFactor() },
		Centre:        active.Load().Centre(), Rand: rand.Uint64,
		OnLimited: func(id string, limit *float64) {
			if limit == nil {
				events.Emit(clemevent.ServerUnlimited, zap.String("server", id))
				return
			}
			events.Emit(clemevent.ServerLimited, zap.String("server", id), zap.Float64("limit", *limit))
		},
		OnAvailability: func(id string, before, after clempool.Availability) {
			logAvailability(events, id, before, after)
		},
		OnEjected: func(id string, outcome clempool.Outcome, failures float64, until time.Time) {
			events.Emit(clemevent.ServerEjected, zap.String("server", id), zap.Stringer("outcome", outcome),
				zap.Float64("failures", failures), zap.Duration("until", time.Until(until)))
		},
	})
}

// coldFigures returns the figures for the cold servers of a service.
func coldFigures(configuration *clemroute.Configuration, settings *clemsite.Settings, service string) clempool.ColdFigures {
	if configuration == nil {
		return clempool.ColdFigures{}
	}
	found, bounds := configuration.Service(service), settings.Bounds()
	if found == nil || found.ColdRate() <= 0 || bounds.ColdFactor() <= 0 {
		return clempool.ColdFigures{}
	}
	return clempool.ColdFigures{
		Limit: found.ColdRate()*bounds.ColdFactor() + bounds.ColdSlack(), StartTime: found.ColdStart(), Heartbeat: settings.HeartbeatInterval(),
	}
}

// logAvailability logs a change of a server's state. The other states have events of their
// own.
func logAvailability(events *clemevent.Logger, id string, before, after clempool.Availability) {
	isLogged := func(a clempool.Availability) bool {
		switch a.State() {
		case clempool.StateLeaving, clempool.StateEvacuated, clempool.StateResting, clempool.StateCold:
			return true
		}
		return false
	}
	if !isLogged(before) && !isLogged(after) {
		return
	}
	var left time.Duration
	if !after.Until().IsZero() {
		left = time.Until(after.Until())
	}
	events.Emit(clemevent.ServerStateChanged, zap.String("server", id), zap.Stringer("was", before.State()), zap.Stringer("state", after.State()),
		zap.Stringer("source", after.Source()), zap.Duration("left", left))
}

func newQuarantine(events *clemevent.Logger) *clemquarantine.Tracker {
	quarantineFields := func(v clemquarantine.Quarantine) []zap.Field {
		return []zap.Field{
			zap.String("service", v.Service), zap.String("part", strconv.FormatUint(v.ID, 16)), zap.Int("crashes", v.Crashes),
			zap.Duration("age", time.Since(v.At)), zap.Duration("idle", time.Since(v.LastSeen)),
		}
	}
	return clemquarantine.New(clemquarantine.Config{
		OnCrash: func(server, service string, parts []uint64) {
			texts := make([]string, len(parts))
			for i, part := range parts {
				texts[i] = strconv.FormatUint(part, 16)
			}
			events.Emit(clemevent.ServerEnded, zap.String("server", server), zap.String("service", service), zap.Strings("parts", texts))
		},
		OnQuarantined: func(v clemquarantine.Quarantine) { events.Emit(clemevent.PartQuarantined, quarantineFields(v)...) },
		OnReleased:    func(v clemquarantine.Quarantine) { events.Emit(clemevent.PartReleased, quarantineFields(v)...) },
	})
}

// peerView gives access to what is known of the peers. Its syncer is set once it
// is assembled, which is after the parts that use the view.
type peerView struct {
	syncer atomic.Pointer[clemspread.Syncer]
}

// entryCount returns the number of active entries, this one included.
func (v *peerView) entryCount() int {
	if syncer := v.syncer.Load(); syncer != nil {
		return syncer.EntryCount()
	}
	return 1
}

// entries returns the addresses of all known entries, and whether the list is complete.
func (v *peerView) entries() ([]string, bool) {
	syncer := v.syncer.Load()
	if syncer == nil {
		return nil, false
	}
	return syncer.KnownEntries()
}

// noPeerServes reports whether no peer is known to serve requests.
func (v *peerView) noPeerServes() bool {
	syncer := v.syncer.Load()
	return syncer == nil || syncer.NoPeerServes()
}

func newPeerView() *peerView { return &peerView{} }

// newRetryBudget returns the retry budget with this entry's part of the slack.
func newRetryBudget(active *activeSettings, v *peerView) *clembudget.RetryWindow {
	return clembudget.NewRetryWindow(clembudget.RetryWindowConfig{
		Length: func() time.Duration { return active.Load().Bounds().RetryWindow() },
		Ratio:  func() float64 { return active.Load().Bounds().RetryRatio() },
		Slack:  func() float64 { return retrySlackShare * active.Load().Bounds().RetrySlack() / float64(v.entryCount()) },
	})
}

func newOrigins(active *activeSettings, store Store, directory *clempool.Directory, v *peerView, events *clemevent.Logger) *clemorigin.Tracker {
	return clemorigin.New(clemorigin.Config{
		Name: active.Load().Name(), Store: store, Directory: directory, Entries: v.entryCount, Events: events,
	})
}

func newRouter(c Config, table *clemroute.Table, directory *clempool.Directory, retryBudget *clembudget.RetryWindow, quarantine *clemquarantine.Tracker, origins *clemorigin.Tracker, v *peerView, events *clemevent.Logger, metrics *clemmetric.Registry) *clemrouter.Router {
	return clemrouter.New(clemrouter.Config{
		Dialect: c.Dialect, Table: table, Directory: directory, RetryBudget: retryBudget, Quarantine: quarantine, Origins: origins,
		Events: events, Metrics: metrics, NoPeerServes: v.noPeerServes,
	})
}

func newStore(c Config, active *activeSettings, metrics *clemmetric.Registry) Store {
	calls := metrics.Counter(clemmetric.StoreCalls)
	return c.NewStore(func() string { return active.Load().StoreAddress() }, func() { calls.Inc(1) })
}

func newPeers() *clemrpc.Peers {
	return clemrpc.NewPeers(clemrpc.ClientConfig{Key: peerAuthKey, Dial: clemconn.Dial})
}

func newSyncer(c Config, active *activeSettings, store Store, peers *clemrpc.Peers, table *clemroute.Table, directory *clempool.Directory, quarantine *clemquarantine.Tracker, origins *clemorigin.Tracker, router *clemrouter.Router, v *peerView, events *clemevent.Logger) *clemspread.Syncer {
	syncer := clemspread.New(clemspread.Config{
		Name: active.Load().Name(), Address: active.Load().ControlAddress(), Centre: active.Load().Centre(), Seeds: func() []string { return active.Load().Seeds() },
		Store: store, Inventory: store, Peers: peers, Table: table, Directory: directory, Quarantine: quarantine, Events: events,
		OnNewConnections: store.OnNewConnections(), EvacuatedCentre: c.EvacuatedCentre,
		OnStoreRestored: origins.StoreRestored,
		TakeOrigins:     origins.TakeMessage, RecordOrigins: origins.RecordMessage,
		OnEvacuated:      func(centres []string) { directory.SetEvacuated(centres, time.Now()) },
		ConfigurationKey: c.ConfigurationKey, DecodeConfiguration: c.DecodeConfiguration, DecodeServer: c.DecodeServer,
		IsDraining: router.IsDraining,
	})
	v.syncer.Store(syncer)
	return syncer
}
