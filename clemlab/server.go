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
	request   *request
	server    *server
	isHedge   bool
	isEager   bool
	ticket    *clemgate.Ticket
	sequence  *sequence
	startedAt time.Time
	isOver    bool
}

// admission decides when a server's engine starts an attempt.
type admission interface {
	// acquire reports whether the attempt starts now. If it does not, it waits,
	// or is refused if there is an error.
	acquire(a *attempt) (bool, error)
	// takeStartable removes and returns the waiting attempts that may start now.
	takeStartable() []*attempt
	// takeRefused removes and returns the attempts that were refused while they
	// waited. The errors are in their tickets.
	takeRefused() []*attempt
	cancel(a *attempt)
	reportProgress(a *attempt, tokens int)
	release(a *attempt)
	tick()
	// activeRequests returns the number of attempts that run or wait.
	activeRequests() int
	report() clemgate.Report
	setLoad(load clemboard.Load)
}

// server is an engine with its admission.
type server struct {
	sim       *simulator
	host      *clemwire.Host
	engine    *engine
	admission admission
	onStart   func()
}

// onOffer handles an attempt that arrives at the server.
func (s *server) onOffer(a *attempt) error {
	start, err := s.admission.acquire(a)
	if err != nil {
		return err
	}
	if start {
		s.start(a)
	}
	s.applyDecisions()
	return nil
}

// start starts an attempt in the engine.
func (s *server) start(a *attempt) {
	a.startedAt = s.sim.now
	a.sequence = &sequence{
		request: a.request, priority: a.priority,
		onToken: func(produced int) { s.onToken(a, produced) },
		onEnd:   func() { s.onEnd(a) },
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

func (s *server) onToken(a *attempt, tokens int) {
	s.admission.reportProgress(a, tokens)
	a.request.entry.onToken(a, tokens)
}

func (s *server) onEnd(a *attempt) {
	a.isOver = true
	s.admission.release(a)
	s.applyDecisions()
	a.request.entry.onEnd(a)
}

// cancel cancels an attempt unless it is over.
func (s *server) cancel(a *attempt) {
	if a.isOver {
		return
	}
	a.isOver = true
	if a.sequence == nil {
		s.admission.cancel(a)
	} else {
		s.engine.stop(a.sequence)
		s.admission.release(a)
	}
	s.applyDecisions()
}

// tick lets the admission react to the passing of time.
func (s *server) tick() {
	s.admission.tick()
	s.applyDecisions()
}

// applyDecisions starts and refuses attempts as the admission has decided.
func (s *server) applyDecisions() {
	for _, a := range s.admission.takeStartable() {
		s.start(a)
	}
	for _, a := range s.admission.takeRefused() {
		a.isOver = true
		a.request.entry.deliverRefusal(a, a.ticket.Err())
	}
}

// gateAdmission is admission by the real gate.
type gateAdmission struct {
	sim             *simulator
	gate            *clemgate.Gate
	limits          clemgate.LimitsConfig
	waiting         []*attempt
	refusedAttempts []*attempt
}

func newGateAdmission(sim *simulator, name string, limits clemgate.LimitsConfig) *gateAdmission {
	g := &gateAdmission{sim: sim, gate: clemgate.New(clemgate.Config{Server: name}), limits: limits}
	g.gate.SetLimits(sim.now, clemgate.NewLimits(limits))
	return g
}

// queueLimit is the maximum number of an organisation's items that wait at a
// server.
const queueLimit = 64

func (g *gateAdmission) acquire(a *attempt) (bool, error) {
	spec := a.request.spec
	ticket, err := g.gate.Acquire(g.sim.now, clemgate.NewItem(clemgate.ItemConfig{
		Organisation: spec.organisation, Weight: spec.weight, QueueLimit: queueLimit,
		PromptTokens: uint64(a.request.promptTokens()), OutputTokens: uint64(spec.estimatedOutputTokens),
		Deadline: a.request.deadline(), Hedge: a.isHedge, Eager: a.isEager,
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

func (g *gateAdmission) takeStartable() []*attempt {
	if len(g.waiting) == g.gate.Report().Waiting() {
		return nil
	}
	var startable []*attempt
	g.waiting = slices.DeleteFunc(g.waiting, func(a *attempt) bool {
		switch {
		case !isDecided(a.ticket):
			return false
		case a.ticket.Err() == nil:
			startable = append(startable, a)
		case !a.isOver:
			g.refusedAttempts = append(g.refusedAttempts, a)
		}
		return true
	})
	return startable
}

func (g *gateAdmission) takeRefused() []*attempt {
	refused := g.refusedAttempts
	g.refusedAttempts = nil
	return refused
}

func (g *gateAdmission) cancel(a *attempt) { g.gate.Cancel(g.sim.now, a.ticket) }

func (g *gateAdmission) reportProgress(a *attempt, tokens int) {
	g.gate.ReportProgress(g.sim.now, a.ticket, uint64(tokens))
}

func (g *gateAdmission) release(a *attempt)      { g.gate.Release(g.sim.now, a.ticket) }
func (g *gateAdmission) tick()                   { g.gate.Tick(g.sim.now) }
func (g *gateAdmission) report() clemgate.Report { return g.gate.Report() }

func (g *gateAdmission) activeRequests() int {
	report := g.gate.Report()
	return report.Running() + report.Waiting()
}

func (g *gateAdmission) setLoad(load clemboard.Load) {
	limits := g.limits
	limits.Load, limits.LoadKnown = load, true
	g.gate.SetLimits(g.sim.now, clemgate.NewLimits(limits))
}

// fifoAdmission is the baseline: first come, first served, with an unbounded queue.
type fifoAdmission struct {
	slots   int
	running int
	waiting []*attempt
}

func (f *fifoAdmission) acquire(a *attempt) (bool, error) {
	if f.running < f.slots {
		f.running++
		return true, nil
	}
	f.waiting = append(f.waiting, a)
	return false, nil
}

func (f *fifoAdmission) takeStartable() []*attempt {
	free := min(f.slots-f.running, len(f.waiting))
	startable := f.waiting[:free]
	f.waiting = f.waiting[free:]
	f.running += free
	return startable
}

func (f *fifoAdmission) cancel(a *attempt) {
	if i := slices.Index(f.waiting, a); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
	}
}

func (f *fifoAdmission) release(*attempt)             { f.running-- }
func (f *fifoAdmission) takeRefused() []*attempt      { return nil }
func (f *fifoAdmission) reportProgress(*attempt, int) {}
func (f *fifoAdmission) tick()                        {}
func (f *fifoAdmission) setLoad(clemboard.Load)       {}
func (f *fifoAdmission) report() clemgate.Report      { return clemgate.Report{} }

func (f *fifoAdmission) activeRequests() int { return f.running + len(f.waiting) }

// tickInterval is the sidecar's interval.
const tickInterval = 100 * time.Millisecond
