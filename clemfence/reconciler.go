package clemfence

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// orderTimeout bounds one order. Loading a model may take long.
	orderTimeout = 10 * time.Minute
	// checkAge is the longest time between the check of the incarnation's row
	// and the order that rests on it.
	checkAge = time.Second
	// repeatFirst is the mean time after which the first order is given again,
	// in case an older sidecar's order arrived after it.
	repeatFirst = 30 * time.Second
	// repeatLater is the mean time between later repeats, in case the backend
	// server was restarted.
	repeatLater = 5 * time.Minute
	retryPause  = time.Second
	retryMost   = time.Minute
)

// Config describes a Reconciler to construct.
type Config struct {
	Board   *clemboard.Board
	Backend clementineturn.Backend
	Table   clementineturn.Table
	// Server is the backend server's name and Pool the pool that it serves.
	Server string
	Pool   string
	// Rate is the most orders a second that the weight store bears from the
	// pool's servers together, or 0 for no limit.
	Rate float64
	// Incarnation is the fencing number of every order.
	Incarnation uint64
	Events      *clemevent.Logger
}

// Reconciler keeps a backend server at the version and adapters that its pool
// asks for. It is the only one to give the server orders.
type Reconciler struct {
	config Config
	// ordered is what the backend server was last made to load.
	ordered *clemwire.Pool
	// tried is what the last order asked for, also if it failed.
	tried  *clemwire.Pool
	orders int
}

// New returns the reconciler that the configuration describes.
func New(c Config) *Reconciler { return &Reconciler{config: c} }

// Start runs the reconciler until the context ends, and then yields nil. It
// stops for good and yields a KindConflict error if a newer incarnation of the
// sidecar exists.
func (r *Reconciler) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- r.run(ctx) }()
	return done
}

func (r *Reconciler) run(ctx context.Context) error {
	pause := retryPause
	for ctx.Err() == nil {
		pool := r.desired()
		if pool == nil || proto.Equal(pool, r.ordered) {
			r.rest(ctx, pool)
			continue
		}
		if r.tried != nil && !proto.Equal(pool, r.tried) && !r.await(ctx, pool, r.turn()) {
			continue
		}
		r.tried = pool
		err := r.order(ctx, pool)
		switch {
		case err == nil:
			r.ordered, pause = pool, retryPause
			r.orders++
			r.emit(clemevent.OrderGiven, pool, nil)
		case clementineturn.IsKind(err, clementineturn.KindConflict):
			r.emit(clemevent.OrderFenced, pool, err)
			return err
		case ctx.Err() == nil:
			r.emit(clemevent.OrderFailed, pool, err)
			r.ordered = nil
			r.await(ctx, pool, jitter(pause))
			pause = min(2*pause, retryMost)
		}
	}
	return nil
}

// desired returns the part of the pool that orders are made of, or nil if the
// pool asks for nothing.
func (r *Reconciler) desired() *clemwire.Pool {
	state := r.config.Board.Config().Get()
	if state == nil {
		return nil
	}
	pool := state.Pool(r.config.Pool)
	if pool.GetVersion() == "" && len(pool.GetAdapters()) == 0 {
		return nil
	}
	return &clemwire.Pool{Name: pool.GetName(), Model: pool.GetModel(), Version: pool.GetVersion(), Adapters: pool.GetAdapters()}
}

// rest waits until the pool asks for something else, or until the order in
// force is to be given again.
func (r *Reconciler) rest(ctx context.Context, pool *clemwire.Pool) {
	mean := repeatLater
	if r.orders <= 1 {
		mean = repeatFirst
	}
	if r.await(ctx, pool, jitter(mean)) {
		r.ordered = nil
	}
}

// await waits for the pause. It returns false early if the context ends or
// the pool asks for something else; other changes of the configuration, which
// may be frequent, do not end the wait.
func (r *Reconciler) await(ctx context.Context, pool *clemwire.Pool, pause time.Duration) bool {
	until := time.Now().Add(pause)
	for {
		_, changed := r.config.Board.Config().Watch()
		if !proto.Equal(pool, r.desired()) {
			return false
		}
		if pausing(ctx, changed, time.Until(until)) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// turn returns how long this server waits after a change, so that the pool's
// servers share the weight store's limit: each takes the place in time that
// its place in the list of the pool's servers gives it. Sidecars whose lists
// differ for a moment are off by a few places.
func (r *Reconciler) turn() time.Duration {
	members := r.config.Board.Members().Get()
	if r.config.Rate <= 0 || members == nil {
		return 0
	}
	before := 0
	for _, host := range members.Pool(r.config.Pool) {
		if host.GetName() < r.config.Server {
			before++
		}
	}
	return time.Duration(float64(before) / r.config.Rate * float64(time.Second))
}

// order gives one order. Engines that do not check the fencing number are
// protected by a check of the incarnation's row: without a fresh answer that
// no newer incarnation exists, no order is given.
func (r *Reconciler) order(ctx context.Context, pool *clemwire.Pool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !r.config.Board.Config().Get().Engine(r.config.Server).GetFencing() {
		if err := r.check(ctx); err != nil {
			return err
		}
	}
	return r.config.Backend.Order(ctx, pool, r.config.Incarnation)
}

// check reads the incarnation's row. An answer that took long is of no use:
// the process may have been suspended meanwhile.
func (r *Reconciler) check(ctx context.Context) error {
	begun := time.Now()
	current, err := Current(ctx, r.config.Table, r.config.Server)
	switch {
	case err != nil:
		return err
	case current > r.config.Incarnation:
		return clementineturn.Errorf(clementineturn.KindConflict, "incarnation %d of %s is newer than %d", current, r.config.Server, r.config.Incarnation)
	case time.Since(begun) > checkAge:
		return clementineturn.Errorf(clementineturn.KindUnavailable, "the check of the incarnation took %s", time.Since(begun))
	}
	return nil
}

func (r *Reconciler) emit(event clemevent.Event, pool *clemwire.Pool, err error) {
	r.config.Events.Emit(event, zap.String("server", r.config.Server), zap.Uint64("incarnation", r.config.Incarnation),
		zap.String("version", pool.GetVersion()), zap.Strings("adapters", pool.GetAdapters()), zap.Error(err))
}
