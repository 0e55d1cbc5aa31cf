package clemlab

import (
	"slices"
	"time"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemwire"
)

// attempt is one offer of a request to one server.
type attempt struct {
	request  *request
	server   *server
	hedge    bool
	eager    bool
	ticket   *clemgate.Ticket
	sequence *sequence
	started  time.Time
	over     bool
}

// admission decides when a server's engine starts an attempt.
type admission interface {
	// acquire returns whether the attempt starts now; else it waits or is refused.
	acquire(a *attempt) (bool, error)
	// ready returns waiting attempts that may start now.
	ready() []*attempt
	// refused returns waiting attempts that were refused, with the errors in their tickets.
	refused() []*attempt
	cancel(a *attempt)
	reportProgress(a *attempt, tokens int)
	release(a *attempt)
	tick()
	// requests returns the number of attempts that run or wait.
	requests() int
	report() clemgate.Report
	limit(load clemboard.Load)
}

// server is an engine with its admission.
type server struct {
	sim       *simulator
	host      *clemwire.Host
	engine    *engine
	admission admission
	onStart   func()
}

// offer takes an attempt that arrives at the server.
func (s *server) offer(a *attempt) error {
	start, err := s.admission.acquire(a)
	if err != nil {
		return err
	}
	if start {
		s.start(a)
	}
	s.settle()
	return nil
}

// start hands an attempt to the engine.
func (s *server) start(a *attempt) {
	a.started = s.sim.now
	a.sequence = &sequence{
		request: a.request, priority: a.priority,
		onToken: func(produced int) { s.produced(a, produced) },
		onEnd:   func() { s.ended(a) },
	}
	s.engine.start(a.sequence)
	s.onStart()
}

func (a *attempt) priority() int {
	if a.ticket == nil {
		return 0
	}
	return a.ticket.Priority()
}

func (s *server) produced(a *attempt, tokens int) {
	s.admission.reportProgress(a, tokens)
	a.request.entry.produced(a, tokens)
}

func (s *server) ended(a *attempt) {
	a.over = true
	s.admission.release(a)
	s.settle()
	a.request.entry.ended(a)
}

// cancel ends an attempt that nobody needs any more.
func (s *server) cancel(a *attempt) {
	if a.over {
		return
	}
	a.over = true
	if a.sequence == nil {
		s.admission.cancel(a)
	} else {
		s.engine.stop(a.sequence)
		s.admission.release(a)
	}
	s.settle()
}

// tick lets the admission react to the time.
func (s *server) tick() {
	s.admission.tick()
	s.settle()
}

// settle starts and refuses what the admission has decided.
func (s *server) settle() {
	for _, a := range s.admission.ready() {
		s.start(a)
	}
	for _, a := range s.admission.refused() {
		a.over = true
		a.request.entry.refused(a, a.ticket.Err())
	}
}

// gated is admission by the real gate.
type gated struct {
	sim     *simulator
	gate    *clemgate.Gate
	limits  clemgate.LimitsConfig
	waiting []*attempt
	denied  []*attempt
}

func newGated(sim *simulator, name string, limits clemgate.LimitsConfig) *gated {
	g := &gated{sim: sim, gate: clemgate.New(clemgate.Config{Server: name}), limits: limits}
	g.gate.SetLimits(sim.now, clemgate.NewLimits(limits))
	return g
}

// queueLimit is the most items of an organisation that wait at one server.
const queueLimit = 64

func (g *gated) acquire(a *attempt) (bool, error) {
	spec := a.request.spec
	ticket, err := g.gate.Acquire(g.sim.now, clemgate.NewItem(clemgate.ItemConfig{
		Organisation: spec.organisation, Weight: spec.weight, QueueLimit: queueLimit,
		PromptTokens: uint64(a.request.prompt()), OutputTokens: uint64(spec.estimate),
		Deadline: a.request.deadline(), Hedge: a.hedge, Eager: a.eager,
	}))
	if err != nil {
		return false, err
	}
	a.ticket = ticket
	if isDecided(ticket) {
		return true, nil
	}
	g.waiting = append(g.waiting, a)
	return false, nil
}

func isDecided(ticket *clemgate.Ticket) bool {
	select {
	case <-ticket.Decided():
		return true
	default:
		return false
	}
}

func (g *gated) ready() []*attempt {
	if len(g.waiting) == g.gate.Report().Waiting() {
		return nil
	}
	var ready []*attempt
	g.waiting = slices.DeleteFunc(g.waiting, func(a *attempt) bool {
		switch {
		case !isDecided(a.ticket):
			return false
		case a.ticket.Err() == nil:
			ready = append(ready, a)
		case !a.over:
			g.denied = append(g.denied, a)
		}
		return true
	})
	return ready
}

func (g *gated) refused() []*attempt {
	denied := g.denied
	g.denied = nil
	return denied
}

func (g *gated) cancel(a *attempt) { g.gate.Cancel(g.sim.now, a.ticket) }

func (g *gated) reportProgress(a *attempt, tokens int) {
	g.gate.ReportProgress(g.sim.now, a.ticket, uint64(tokens))
}

func (g *gated) release(a *attempt)      { g.gate.Release(g.sim.now, a.ticket) }
func (g *gated) tick()                   { g.gate.Tick(g.sim.now) }
func (g *gated) report() clemgate.Report { return g.gate.Report() }

func (g *gated) requests() int {
	report := g.gate.Report()
	return report.Running() + report.Waiting()
}

func (g *gated) limit(load clemboard.Load) {
	limits := g.limits
	limits.Load, limits.LoadKnown = load, true
	g.gate.SetLimits(g.sim.now, clemgate.NewLimits(limits))
}

// fifo is the baseline: first come, first served, without limits.
type fifo struct {
	slots   int
	running int
	waiting []*attempt
}

func (f *fifo) acquire(a *attempt) (bool, error) {
	if f.running < f.slots {
		f.running++
		return true, nil
	}
	f.waiting = append(f.waiting, a)
	return false, nil
}

func (f *fifo) ready() []*attempt {
	free := min(f.slots-f.running, len(f.waiting))
	ready := f.waiting[:free]
	f.waiting = f.waiting[free:]
	f.running += free
	return ready
}

func (f *fifo) cancel(a *attempt) {
	if i := slices.Index(f.waiting, a); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
	}
}

func (f *fifo) release(*attempt)             { f.running-- }
func (f *fifo) refused() []*attempt          { return nil }
func (f *fifo) reportProgress(*attempt, int) {}
func (f *fifo) tick()                        {}
func (f *fifo) limit(clemboard.Load)         {}
func (f *fifo) report() clemgate.Report      { return clemgate.Report{} }

func (f *fifo) requests() int { return f.running + len(f.waiting) }

// tickInterval is that of the sidecar.
const tickInterval = 100 * time.Millisecond
