// Package clemsidecar is the process beside a backend server. It sees all of
// its server's traffic, so it alone decides what the server runs: admission,
// queueing, the at-most-once claim, cancellation and drain.
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
	// settleTimeout is how long an answer's end waits for the record of its outcome.
	settleTimeout = 5 * time.Second
	// verdictMemory is how long the verdict of an ended attempt is kept.
	verdictMemory = 15 * time.Second
)

// Relay is what the sidecar asks of the relay tree.
type Relay interface {
	Pull(ctx context.Context, pull *clemwire.Pull) (*clemwire.Pulled, error)
	Beat(ctx context.Context, beat *clemwire.Beat) (*clemwire.BeatReply, error)
	Learn(changes []*clemwire.Change)
}

// Config describes a Sidecar to construct.
type Config struct {
	Server  string
	Pool    string
	Board   *clemboard.Board
	Gate    *clemgate.Gate
	Answers *clemanswer.Store
	Backend clementineturn.Backend
	Relay   Relay
	// Ledger serves the claims of other sidecars; without one the sidecar serves none.
	Ledger *clemclaim.Ledger
	Events *clemevent.Logger
}

// Sidecar implements clementineturn.Peer beside one backend server. Lock
// order: Sidecar.mu and Sidecar.limits before the locks of gate, answers and keeper; none of
// those is held when it calls them.
type Sidecar struct {
	clemrpc.Unsupported
	server  string
	pool    string
	board   *clemboard.Board
	gate    *clemgate.Gate
	answers *clemanswer.Store
	backend clementineturn.Backend
	relay   Relay
	ledger  *clemclaim.Ledger
	events  *clemevent.Logger

	// limits guards the passing of limits to the gate.
	limits sync.Mutex
	// limited is the configuration that the gate's limits come from.
	limited atomic.Pointer[clemconfig.State]
	// held is nil until the platform's table gave the sidecar an incarnation.
	held atomic.Pointer[holder]

	mu       sync.Mutex
	attempts map[string]*attempt
	running  sync.WaitGroup
}

// holder is the keeper of one incarnation.
type holder struct {
	incarnation uint64
	keeper      *clemclaim.Keeper
}

// attempt is one offer between its arrival and its end.
type attempt struct {
	offer   *clemwire.Offer
	cancel  context.CancelFunc
	decided chan struct{}
	verdict *clemwire.Verdict
	// begun and stopped exclude each other for at-most-once work.
	begun   bool
	stopped bool
	// ended is when the attempt was refused or its work ended.
	ended time.Time
}

// New returns the sidecar that the configuration describes.
func New(c Config) *Sidecar {
	return &Sidecar{
		server: c.Server, pool: c.Pool, board: c.Board, gate: c.Gate, answers: c.Answers, backend: c.Backend, relay: c.Relay,
		ledger: c.Ledger, events: c.Events,
		attempts: map[string]*attempt{},
	}
}

// Hold lets the sidecar run at-most-once work under an incarnation. Until then
// it refuses such work as not run.
func (s *Sidecar) Hold(incarnation uint64, keeper *clemclaim.Keeper) {
	s.held.Store(&holder{incarnation: incarnation, keeper: keeper})
}

func (s *Sidecar) incarnation() uint64 {
	if h := s.held.Load(); h != nil {
		return h.incarnation
	}
	return 0
}

// Start runs the periodic work until the context ends: limits follow the
// board, waiting work expires, orphaned answers are stopped, and work that the
// engine runs for an earlier incarnation counts as load.
func (s *Sidecar) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	inherited := make(chan struct{})
	go func() {
		defer close(inherited)
		s.inherit(ctx)
	}()
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.tick(time.Now())
			case <-ctx.Done():
				<-inherited
				done <- nil
				return
			}
		}
	}()
	return done
}

func (s *Sidecar) tick(now time.Time) {
	s.refreshLimits(now)
	s.gate.SetDraining(now, s.board.Drain().Get().Active())
	for _, id := range s.answers.Orphans(now) {
		s.stop(id)
	}
	s.answers.Sweep(now)
	s.forget(now)
}

// catchUp brings the gate to a configuration that came since the last tick,
// so that an offer never meets limits older than the one it rests on.
func (s *Sidecar) catchUp(now time.Time) {
	if s.limited.Load() != s.board.Config().Get() {
		s.refreshLimits(now)
	}
}

// refreshLimits passes configuration and pool load to the gate. Ticks and
// offers call it; the lock keeps a slower one from putting older limits back.
func (s *Sidecar) refreshLimits(now time.Time) {
	s.limits.Lock()
	defer s.limits.Unlock()
	state := s.board.Config().Get()
	if state == nil {
		return
	}
	s.limited.Store(state)
	pool := state.Pool(s.pool)
	if pool == nil {
		return
	}
	load, known := s.board.Loads().Get().Pool(s.pool)
	s.gate.SetLimits(now, clemgate.NewLimits(clemgate.LimitsConfig{
		Slots: int(pool.GetSlots()), Bound: pool.GetBound(),
		LongCost: pool.GetLongCost(), LongShare: pool.GetLongShare(),
		Load: load, Known: known,
	}))
}

// Loads returns a backend server's report for the relay tree.
func Loads(pool string, gate *clemgate.Gate) []*clemwire.PoolLoad {
	report := gate.Report()
	return []*clemwire.PoolLoad{{
		Pool: pool, Servers: 1, Load: report.Load(), Speeds: clemrelay.Speeds(report.Speed()), Age: durationpb.New(0),
	}}
}

// Cancel implements clementineturn.Peer. Work that waits is withdrawn and
// running idempotent work is stopped; running at-most-once work goes on.
func (s *Sidecar) Cancel(ctx context.Context, cancel *clemwire.Cancel) (*clemwire.Cancelled, error) {
	s.mu.Lock()
	a := s.attempts[cancel.GetAttempt()]
	if a != nil && a.offer.GetOrganisation() != cancel.GetOrganisation() {
		a = nil
	}
	s.mu.Unlock()
	if a == nil || !s.stop(cancel.GetAttempt()) {
		return &clemwire.Cancelled{Status: s.status()}, nil
	}
	verdict, err := s.await(ctx, a)
	if err != nil {
		return nil, err
	}
	return &clemwire.Cancelled{NotRun: verdict.GetRefusal().GetNotRun(), Status: s.status()}, nil
}

// stop ends an attempt that has not begun or is idempotent, and reports whether it did.
func (s *Sidecar) stop(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[id]
	if a == nil || (a.begun && a.offer.GetMode() == clemwire.Mode_MODE_AT_MOST_ONCE) {
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
	if h := s.held.Load(); h != nil {
		voided = h.keeper.Void(void)
	}
	voided.Status = s.status()
	return voided, nil
}

// Submit implements clementineturn.Peer.
func (s *Sidecar) Submit(ctx context.Context, submit *clemwire.Submit) (*clemwire.Submitted, error) {
	if s.ledger == nil {
		return s.Unsupported.Submit(ctx, submit)
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

// Idle reports whether no offer is undecided, nothing runs, no outcome waits to
// be recorded and no answer waits for its reader. An offer is registered before
// it looks at the drain, so that a draining sidecar that is idle stays so.
func (s *Sidecar) Idle() bool {
	if s.isServing() {
		return false
	}
	if h := s.held.Load(); h != nil && h.keeper.Pending() > 0 {
		return false
	}
	report := s.gate.Report()
	return report.Running() == 0 && report.Waiting() == 0 && s.answers.Unread() == 0
}

// isServing reports whether an attempt is between its arrival and its end.
func (s *Sidecar) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.ended.IsZero() {
			return true
		}
	}
	return false
}

// Wait returns when every dispatched piece of work has ended.
func (s *Sidecar) Wait() { s.running.Wait() }

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
