// Package clemsidecar implements the sidecar of a backend server. All requests
// to the server pass through it, so it alone handles admission, queueing,
// at-most-once claims, cancellation and draining.
package clemsidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemanswer"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemrelay"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	tickInterval   = 100 * time.Millisecond
	defaultTimeout = 2 * time.Minute
	// recordTimeout bounds how long the end of an answer waits for its outcome
	// to be recorded.
	recordTimeout = 5 * time.Second
	// verdictTTL is how long the verdict of a finished attempt is kept.
	verdictTTL = 15 * time.Second
)

// Relay is the sidecar's access to the relay tree, which distributes
// configuration and aggregates load.
type Relay interface {
	Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error)
	Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error)
	ApplyChanges(changes []*clemwire.Change)
}

// Config configures a Sidecar.
type Config struct {
	Server  string
	Pool    string
	Board   *clemboard.Board
	Gate    *clemgate.Gate
	Answers *clemanswer.Store
	Backend clementineturn.Backend
	Relay   Relay
	// Ledger serves claim requests of other sidecars. If it is nil, the sidecar
	// does not support them.
	Ledger *clemclaim.Ledger
	Events *clemevent.Logger
}

// Sidecar implements clementineturn.Peer for one backend server. Lock order:
// Sidecar.mu and Sidecar.limitsMu come before the locks of gate, answers and
// claimer, which do not call back into the Sidecar.
type Sidecar struct {
	clemrpc.UnimplementedPeer
	server  string
	pool    string
	board   *clemboard.Board
	gate    *clemgate.Gate
	answers *clemanswer.Store
	backend clementineturn.Backend
	relay   Relay
	ledger  *clemclaim.Ledger
	events  *clemevent.Logger

	// limitsMu serializes updates of the gate's limits.
	limitsMu sync.Mutex
	// appliedConfig is the configuration that the gate's limits are taken from.
	appliedConfig atomic.Pointer[clemconfig.State]
	// current is nil until the sidecar has acquired an incarnation from the
	// platform's table.
	current atomic.Pointer[incarnationClaimer]

	mu       sync.Mutex
	attempts map[string]*attempt
	jobs     sync.WaitGroup
}

// incarnationClaimer is an incarnation with its claimer.
type incarnationClaimer struct {
	incarnation uint64
	claimer     *clemclaim.Claimer
}

// attempt is the state of one offered attempt. It is kept until verdictTTL after
// the attempt has finished.
type attempt struct {
	offer   *clemwire.Offer
	cancel  context.CancelFunc
	decided chan struct{}
	verdict *clemwire.Verdict
	// started and stopped are mutually exclusive for at-most-once work.
	started bool
	stopped bool
	// ended is the time at which the attempt was refused or its work finished.
	ended time.Time
}

// New returns a Sidecar with the given configuration.
func New(c Config) *Sidecar {
	return &Sidecar{
		server: c.Server, pool: c.Pool, board: c.Board, gate: c.Gate, answers: c.Answers, backend: c.Backend, relay: c.Relay,
		ledger: c.Ledger, events: c.Events,
		attempts: map[string]*attempt{},
	}
}

// SetIncarnation sets the sidecar's incarnation and its claimer. Until it
// is called, at-most-once work is refused as not run.
func (s *Sidecar) SetIncarnation(incarnation uint64, claimer *clemclaim.Claimer) {
	s.current.Store(&incarnationClaimer{incarnation: incarnation, claimer: claimer})
}

func (s *Sidecar) incarnation() uint64 {
	if h := s.current.Load(); h != nil {
		return h.incarnation
	}
	return 0
}

// Start runs the periodic tasks until the context ends. They update the gate's
// limits from the board, expire queued work, stop answers that nobody reads, and
// account for load that the engine still runs for an earlier incarnation.
func (s *Sidecar) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	tracked := make(chan struct{})
	go func() {
		defer close(tracked)
		s.trackInheritedLoad(ctx)
	}()
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.tick(time.Now())
			case <-ctx.Done():
				<-tracked
				done <- nil
				return
			}
		}
	}()
	return done
}

func (s *Sidecar) tick(now time.Time) {
	s.updateLimits(now)
	s.gate.SetDraining(now, s.board.Drain().Get().Active())
	for _, id := range s.answers.Orphans(now) {
		s.stopAttempt(id)
	}
	s.answers.Sweep(now)
	s.expireAttempts(now)
}

// applyNewConfig updates the gate's limits if the configuration has changed
// since the last tick, so that no offer is judged by limits older than the
// configuration it is based on.
func (s *Sidecar) applyNewConfig(now time.Time) {
	if s.appliedConfig.Load() != s.board.Config().Get() {
		s.updateLimits(now)
	}
}

// updateLimits sets the gate's limits from the configuration and the pool's
// load. Ticks and offers call it concurrently; the lock keeps a slow caller
// from restoring older limits.
func (s *Sidecar) updateLimits(now time.Time) {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	state := s.board.Config().Get()
	if state == nil {
		return
	}
	s.appliedConfig.Store(state)
	pool := state.Pool(s.pool)
	if pool == nil {
		return
	}
	load, known := s.board.Loads().Get().Pool(s.pool)
	s.gate.SetLimits(now, clemgate.NewLimits(clemgate.LimitsConfig{
		Slots: int(pool.GetSlots()), MaxLoadFactor: pool.GetBound(),
		LongCost: pool.GetLongCost(), LongShare: pool.GetLongShare(),
		Load: load, LoadKnown: known,
	}))
}

// PoolLoads returns the load report of a backend server for the relay tree.
func PoolLoads(pool string, gate *clemgate.Gate) []*clemwire.PoolLoad {
	report := gate.Report()
	return []*clemwire.PoolLoad{{
		Pool: pool, Servers: 1, Load: report.Load(), Speeds: clemrelay.SpeedHistogram(report.Speed()), Age: durationpb.New(0),
	}}
}

// Cancel implements clementineturn.Peer. It cancels queued work and stops
// running idempotent work. Running at-most-once work continues.
func (s *Sidecar) Cancel(ctx context.Context, cancel *clemwire.Cancel) (*clemwire.Cancelled, error) {
	s.mu.Lock()
	a := s.attempts[cancel.GetAttempt()]
	if a != nil && a.offer.GetOrganisation() != cancel.GetOrganisation() {
		a = nil
	}
	s.mu.Unlock()
	if a == nil || !s.stopAttempt(cancel.GetAttempt()) {
		return &clemwire.Cancelled{Status: s.status()}, nil
	}
	verdict, err := s.awaitVerdict(ctx, a)
	if err != nil {
		return nil, err
	}
	return &clemwire.Cancelled{NotRun: verdict.GetRefusal().GetNotRun(), Status: s.status()}, nil
}

// stopAttempt cancels an attempt that has not started or is idempotent, and
// reports whether it did.
func (s *Sidecar) stopAttempt(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[id]
	if a == nil || (a.started && a.offer.GetMode() == clemwire.Mode_MODE_AT_MOST_ONCE) {
		return false
	}
	a.stopped = true
	a.cancel()
	return true
}

func (s *Sidecar) isStopped(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.stopped
}

// Void implements clementineturn.Peer.
func (s *Sidecar) Void(_ context.Context, void *clemwire.Void) (*clemwire.Voided, error) {
	voided := &clemwire.Voided{State: clemwire.TokenState_TOKEN_STATE_FOREIGN}
	if h := s.current.Load(); h != nil {
		voided = h.claimer.Void(void)
	}
	voided.Status = s.status()
	return voided, nil
}

// Submit implements clementineturn.Peer.
func (s *Sidecar) Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error) {
	if s.ledger == nil {
		return s.UnimplementedPeer.Submit(ctx, submit)
	}
	return s.ledger.Submit(ctx, submit), nil
}

// Fetch implements clementineturn.Peer.
func (s *Sidecar) Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	return s.answers.Fetch(ctx, fetch, handler)
}

// Pull implements clementineturn.Peer.
func (s *Sidecar) Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error) {
	return s.relay.Pull(ctx, pull)
}

// Beat implements clementineturn.Peer.
func (s *Sidecar) Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error) {
	return s.relay.Beat(ctx, beat)
}

// Probe implements clementineturn.Peer.
func (s *Sidecar) Probe(context.Context) (*clemwire.Probed, error) {
	return &clemwire.Probed{
		Node: s.server, Role: "sidecar", Generation: s.generation(), Incarnation: s.incarnation(),
		Ready: s.board.Config().Get() != nil, Draining: s.board.Drain().Get().Active(),
	}, nil
}

// Idle reports whether the sidecar has no undecided offer, no running work, no
// outcome left to record and no unread answer. An offer is registered before
// the drain state is checked, so a draining sidecar that is idle stays idle.
func (s *Sidecar) Idle() bool {
	if s.hasUnfinished() {
		return false
	}
	if h := s.current.Load(); h != nil && h.claimer.Pending() > 0 {
		return false
	}
	report := s.gate.Report()
	return report.Running() == 0 && report.Waiting() == 0 && s.answers.Unread() == 0
}

// hasUnfinished reports whether any attempt has not finished.
func (s *Sidecar) hasUnfinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.ended.IsZero() {
			return true
		}
	}
	return false
}

// Wait blocks until all dispatched work has finished.
func (s *Sidecar) Wait() { s.jobs.Wait() }

func (s *Sidecar) generation() uint64 {
	if state := s.board.Config().Get(); state != nil {
		return state.Generation()
	}
	return 0
}

func (s *Sidecar) status() *clemwire.Status {
	return &clemwire.Status{
		Server: s.server, Incarnation: s.incarnation(), Generation: s.generation(),
		Draining: s.board.Drain().Get().Active(), Load: s.gate.Report().Load(),
	}
}
