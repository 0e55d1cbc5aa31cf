package clementry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

// plan is a request as the configuration of one generation classifies it.
type plan struct {
	offer *clemwire.Offer
	work  clementineturn.Work
}

// task is a caller's request on its way through the fleet. build classifies
// it anew when the configuration changed under it.
type task struct {
	request      string
	organisation string
	build        func(state *clemconfig.State) (*plan, error)

	mu       sync.Mutex
	attempts int
	tried    map[string]bool
	// touched says that a backend server may have seen some attempt, so that no
	// later refusal may say that the request was not run.
	touched bool
	// pool is that of the newest plan. Attempts that race plan at the same time.
	pool string
}

func newTask(request, organisation string, build func(state *clemconfig.State) (*plan, error)) *task {
	return &task{request: request, organisation: organisation, build: build, tried: map[string]bool{}}
}

// nextAttempt returns the id of the task's next attempt. It carries the
// request's id, so that both can be told from another request's.
func (t *task) nextAttempt() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts++
	return fmt.Sprintf("%s.%d", t.request, t.attempts)
}

// touch notes that a backend server may have seen the request.
func (t *task) touch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touched = true
}

// judge returns the error without its claim that the request was not run, if
// an earlier attempt may have run.
func (t *task) judge(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.touched || !clementineturn.IsNotRun(err) {
		return err
	}
	e := clementineturn.AsError(err)
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: e.Kind(), Field: e.Field(), Message: e.Message(), Retry: e.Retry(), Cause: err,
	})
}

// try marks a backend server that accepted an attempt.
func (t *task) try(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tried[server] = true
}

// fresh returns the hosts that accepted no attempt yet.
func (t *task) fresh(hosts []*clemwire.Host) []*clemwire.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []*clemwire.Host
	for _, host := range hosts {
		if !t.tried[host.GetName()] {
			left = append(left, host)
		}
	}
	return left
}

// plan classifies the task by the newest configuration.
func (t *task) plan(ctx context.Context, state *clemconfig.State) (*plan, error) {
	if state == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "no configuration is held yet")
	}
	p, err := t.build(state)
	if err != nil {
		return nil, err
	}
	p.offer.Request, p.offer.Organisation, p.offer.Generation = t.request, t.organisation, state.Generation()
	if deadline, ok := ctx.Deadline(); ok {
		p.offer.Timeout = durationpb.New(time.Until(deadline))
	}
	t.mu.Lock()
	t.pool = p.offer.GetPool()
	t.mu.Unlock()
	p.work = clementineturn.NewWork(p.offer.GetPool(), t.organisation, p.offer.GetConversation())
	return p, nil
}

// planned returns the pool of the newest plan, or "" without one.
func (t *task) planned() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool
}

// cost returns the estimated work in tokens.
func (p *plan) cost() float64 { return float64(p.offer.GetPrompt() + p.offer.GetOutput()) }

func (p *plan) isIdempotent() bool { return p.offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT }
