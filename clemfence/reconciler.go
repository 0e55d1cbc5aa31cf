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
	// maxCheckAge is the longest time between the check of the incarnation's row
	// and the order that relies on it.
	maxCheckAge = time.Second
	// firstRepeatInterval is the mean time after which the first order is
	// repeated, in case an order of an older sidecar arrived after it.
	firstRepeatInterval = 30 * time.Second
	// laterRepeatInterval is the mean time between later repeats, in case the
	// backend server was restarted.
	laterRepeatInterval = 5 * time.Minute
	minRetryDelay       = time.Second
	maxRetryDelay       = time.Minute
)

// Config configures a Reconciler.
type Config struct {
	Board   *clemboard.Board
	Backend clementineturn.Backend
	Table   clementineturn.Table
	// Server is the name of the backend server, Pool that of the pool it serves.
	Server string
	Pool   string
	// OrderRate is the limit on orders per second from all servers of the pool
	// together, which protects the weight store. 0 means no limit.
	OrderRate float64
	// Incarnation is the sidecar's incarnation, the fencing token of every
	// order.
	Incarnation uint64
	Events      *clemevent.Logger
}

// Reconciler makes a backend server load the version and adapters that its pool
// specifies, and repeats the order from time to time. Nothing else sends orders
// to the server.
type Reconciler struct {
	config Config
	// applied is the specification of the last successful order, or nil if an
	// order is due.
	applied *clemwire.Pool
	// lastTried is the specification of the last order, successful or not.
	lastTried *clemwire.Pool
	succeeded int
}

// New returns a Reconciler with the given configuration.
func New(c Config) *Reconciler { return &Reconciler{config: c} }

// Start runs the reconciler until the context ends, and then sends nil on the
// channel. If a newer incarnation of the sidecar exists, the reconciler stops
// and sends a KindConflict error.
func (r *Reconciler) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- r.run(ctx) }()
	return done
}

func (r *Reconciler) run(ctx context.Context) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		pool := r.desired()
		if pool == nil || proto.Equal(pool, r.applied) {
			r.waitForRepeat(ctx, pool)
			continue
		}
		if r.lastTried != nil && !proto.Equal(pool, r.lastTried) && !r.sleepUnlessChanged(ctx, pool, r.rolloutDelay()) {
			continue
		}
		r.lastTried = pool
		err := r.sendOrder(ctx, pool)
		switch {
		case err == nil:
			r.applied, delay = pool, minRetryDelay
			r.succeeded++
			r.emit(clemevent.OrderCompleted, pool, nil)
		case clementineturn.IsKind(err, clementineturn.KindConflict):
			r.emit(clemevent.OrderFenced, pool, err)
			return err
		case ctx.Err() == nil:
			r.emit(clemevent.OrderFailed, pool, err)
			r.applied = nil
			r.sleepUnlessChanged(ctx, pool, jitter(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// desired returns the fields of the pool that an order contains, or nil if the
// pool specifies neither a version nor adapters.
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

// waitForRepeat waits until the pool's specification changes or the current
// order is due for a repeat.
func (r *Reconciler) waitForRepeat(ctx context.Context, pool *clemwire.Pool) {
	mean := laterRepeatInterval
	if r.succeeded <= 1 {
		mean = firstRepeatInterval
	}
	if r.sleepUnlessChanged(ctx, pool, jitter(mean)) {
		r.applied = nil
	}
}

// sleepUnlessChanged waits for the delay and returns true, or returns false
// early if the context ends or the pool's specification changes. Other
// configuration changes, which may be frequent, do not end the wait.
func (r *Reconciler) sleepUnlessChanged(ctx context.Context, pool *clemwire.Pool, delay time.Duration) bool {
	until := time.Now().Add(delay)
	for {
		_, changed := r.config.Board.Config().Watch()
		if !proto.Equal(pool, r.desired()) {
			return false
		}
		if sleep(ctx, changed, time.Until(until)) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// rolloutDelay returns how long this server waits after a change, so that the
// pool's servers together stay within OrderRate without a coordinator: each
// delays by its position among the pool's servers, sorted by name. Sidecars
// whose member lists differ briefly are off by a few positions.
func (r *Reconciler) rolloutDelay() time.Duration {
	members := r.config.Board.Members().Get()
	if r.config.OrderRate <= 0 || members == nil {
		return 0
	}
	before := 0
	for _, host := range members.Pool(r.config.Pool) {
		if host.GetName() < r.config.Server {
			before++
		}
	}
	return time.Duration(float64(before) / r.config.OrderRate * float64(time.Second))
}

// sendOrder sends one order. For engines that do not check the fencing token, it
// first checks the incarnation's row, and sends no order unless a recent read
// shows that no newer incarnation exists.
func (r *Reconciler) sendOrder(ctx context.Context, pool *clemwire.Pool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !r.config.Board.Config().Get().Engine(r.config.Server).GetFencing() {
		if err := r.checkIncarnation(ctx); err != nil {
			return err
		}
	}
	return r.config.Backend.Order(ctx, pool, r.config.Incarnation)
}

// checkIncarnation returns an error unless the table confirms that this is the
// latest incarnation. A slow answer does not count, because the process may have
// been suspended meanwhile.
func (r *Reconciler) checkIncarnation(ctx context.Context) error {
	started := time.Now()
	current, err := CurrentIncarnation(ctx, r.config.Table, r.config.Server)
	switch {
	case err != nil:
		return err
	case current > r.config.Incarnation:
		return clementineturn.Errorf(clementineturn.KindConflict, "incarnation %d of %s is newer than %d", current, r.config.Server, r.config.Incarnation)
	case time.Since(started) > maxCheckAge:
		return clementineturn.Errorf(clementineturn.KindUnavailable, "the check of the incarnation took %s", time.Since(started))
	}
	return nil
}

// emit logs an event about an order.
func (r *Reconciler) emit(event clemevent.Event, pool *clemwire.Pool, err error) {
	r.config.Events.Emit(event, zap.String("server", r.config.Server), zap.Uint64("incarnation", r.config.Incarnation),
		zap.String("version", pool.GetVersion()), zap.Strings("adapters", pool.GetAdapters()), zap.Error(err))
}
