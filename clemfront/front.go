// Package clemfront assembles an entry that runs without sidecars on a
// platform, and runs it from its start to its end.
package clemfront

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
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
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemrouter"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/clemspread"
)

const (
	// commonLines and failureLines bound the lines of one event in a second.
	// A hundred lines of some hundred bytes cost about a thousandth of a core.
	commonLines  = 25
	failureLines = 100
	// repeatShare is the part of the promised slack for repeats that entries
	// use: the rest covers entries that restart and forget what they spent.
	repeatShare = 0.7
	// peerKey keeps calls of other programs out by accident. The platform hands
	// out no secrets; its network alone keeps strangers away.
	peerKey = "clementine-front"
)

// Store is the platform's store, and asks servers what they keep.
type Store interface {
	clementineturn.Store
	clementineturn.Inventory
}

// Config describes a front to run.
type Config struct {
	// Read reads the settings; it is called again when they may have changed.
	Read func() (*clemsite.Settings, error)
	// Store makes the client of the platform's store at an address that may change.
	// It calls counted for each call.
	Store               func(address func() string, counted func()) Store
	Dialect             clementineturn.Dialect
	ConfigurationKey    string
	DecodeConfiguration func(document []byte) (*clemroute.Configuration, error)
	DecodeServer        func(id string, value []byte) (clempool.Record, error)
	// Out takes the log lines.
	Out io.Writer
	// Stop delivers requests to shut down, Reload hints that the settings changed.
	Stop, Reload <-chan os.Signal
}

// current holds the settings in force.
type current struct {
	atomic.Pointer[clemsite.Settings]
}

// Run runs a front until it is asked to stop. Errors: KindInvalid for
// settings that cannot be used; whatever ends a listener.
func Run(ctx context.Context, c Config) error {
	settings, err := c.Read()
	if err != nil {
		return err
	}
	container := dig.New()
	for _, constructor := range []any{
		func() Config { return c },
		func() *current { held := &current{}; held.Store(settings); return held },
		func() *clemevent.Sink { return clemevent.NewSink(c.Out) },
		newEvents, clemmetric.New, newTable, newDirectory, newFleet, newRepeats, newRouter, newStore, newPeers, newSpread, newFront,
	} {
		if err := container.Provide(constructor); err != nil {
			return clementineturn.Errorf(clementineturn.KindInternal, "assembling: %w", dig.RootCause(err))
		}
	}
	var ended error
	if err := container.Invoke(func(f *front) { ended = f.run(ctx) }); err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "assembling: %w", dig.RootCause(err))
	}
	return ended
}

func newEvents(sink *clemevent.Sink, held *current) *clemevent.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, sink, zapcore.InfoLevel)
	limit := clemevent.NewLimit(clemevent.LimitConfig{Common: commonLines, Failures: failureLines})
	return clemevent.New(zap.New(core)).WithLimit(limit).With(zap.String("node", held.Load().Name()))
}

func newTable() *clemroute.Table { return &clemroute.Table{} }

func newDirectory(held *current, events *clemevent.Logger) *clempool.Directory {
	return clempool.New(clempool.Config{
		Multiple: func() float64 { return held.Load().Bounds().Multiple() },
		Centre:   held.Load().Centre(), Draw: rand.Uint64,
		Ejected: func(id string, outcome clempool.Outcome, failures float64, until time.Time) {
			events.Emit(clemevent.ServerEjected, zap.String("server", id), zap.Stringer("outcome", outcome),
				zap.Float64("failures", failures), zap.Duration("until", time.Until(until)))
		},
	})
}

// fleet is what is known of the other entries. What tells it is assembled
// after those who ask.
type fleet struct {
	spread atomic.Pointer[clemspread.Spread]
}

// entries returns the number of entries that take part.
func (f *fleet) entries() int {
	if spread := f.spread.Load(); spread != nil {
		return spread.Entries()
	}
	return 1
}

// isAlone reports whether no other entry is known to hold a configuration.
func (f *fleet) isAlone() bool {
	spread := f.spread.Load()
	return spread == nil || spread.IsAlone()
}

func newFleet() *fleet { return &fleet{} }

// newRepeats returns the budget of repeats with its share among the entries.
func newRepeats(held *current, f *fleet) *clembudget.Window {
	return clembudget.NewWindow(clembudget.WindowConfig{
		Span:  func() time.Duration { return held.Load().Bounds().RetryWindow() },
		Share: func() float64 { return held.Load().Bounds().RetryShare() },
		Slack: func() float64 { return repeatShare * held.Load().Bounds().RetrySlack() / float64(f.entries()) },
	})
}

func newRouter(c Config, table *clemroute.Table, directory *clempool.Directory, repeats *clembudget.Window, f *fleet, events *clemevent.Logger, metrics *clemmetric.Registry) *clemrouter.Router {
	return clemrouter.New(clemrouter.Config{
		Dialect: c.Dialect, Table: table, Directory: directory, Repeats: repeats,
		Events: events, Metrics: metrics, IsAlone: f.isAlone,
	})
}

func newStore(c Config, held *current, metrics *clemmetric.Registry) Store {
	calls := metrics.Counter(clemmetric.StoreCalls)
	return c.Store(func() string { return held.Load().Store() }, func() { calls.Inc(1) })
}

func newPeers() *clemrpc.Peers {
	return clemrpc.NewPeers(clemrpc.ClientConfig{Key: peerKey, Dial: clemconn.Dial})
}

func newSpread(c Config, held *current, store Store, peers *clemrpc.Peers, table *clemroute.Table, directory *clempool.Directory, router *clemrouter.Router, f *fleet, events *clemevent.Logger) *clemspread.Spread {
	spread := clemspread.New(clemspread.Config{
		Name: held.Load().Name(), Address: held.Load().Control(), Seeds: func() []string { return held.Load().Seeds() },
		Store: store, Inventory: store, Peers: peers, Table: table, Directory: directory, Events: events,
		Key: c.ConfigurationKey, DecodeConfiguration: c.DecodeConfiguration, DecodeServer: c.DecodeServer,
		Leaving: router.IsLeaving,
	})
	f.spread.Store(spread)
	return spread
}
