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

// plan is a request classified by one generation of the configuration.
type plan struct {
	offer *clemwire.Offer
	work  clementineturn.RoutingKey
}

// task is a caller's request with the attempts that serve it. classify is
// called again for each offer, since the configuration may have changed.
type task struct {
	requestID    string
	organisation string
	classify     func(state *clemconfig.State) (*plan, error)

	mu       sync.Mutex
	attempts int
	// accepted holds the backend servers that accepted an attempt.
	accepted map[string]bool
	// mayHaveRun is set once an attempt may have reached a backend server. No
	// later refusal may then say that the request was not run.
	mayHaveRun bool
	// pool is the pool of the latest plan. Concurrent attempts plan concurrently.
	pool string
}

func newTask(requestID, organisation string, classify func(state *clemconfig.State) (*plan, error)) *task {
	return &task{requestID: requestID, organisation: organisation, classify: classify, accepted: map[string]bool{}}
}

// nextAttemptID returns the id of the task's next attempt. It begins with the
// request's id, so that an attempt can be matched to its request.
func (t *task) nextAttemptID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts++
	return fmt.Sprintf("%s.%d", t.requestID, t.attempts)
}

// markMayHaveRun records that an attempt may have reached a backend server.
func (t *task) markMayHaveRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mayHaveRun = true
}

// withoutFalseNotRun returns the error without its statement that the request
// was not run if any attempt may have run.
func (t *task) withoutFalseNotRun(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayHaveRun || !clementineturn.IsNotRun(err) {
		return err
	}
	e := clementineturn.AsError(err)
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: e.Kind(), Field: e.Field(), Message: e.Message(), RetryAfter: e.RetryAfter(), Cause: err,
	})
}

// markAccepted records that the backend server accepted an attempt.
func (t *task) markAccepted(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted[server] = true
}

// withoutAccepted returns the hosts that have accepted no attempt of the task.
func (t *task) withoutAccepted(hosts []*clemwire.Host) []*clemwire.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var remaining []*clemwire.Host
	for _, host := range hosts {
		if !t.accepted[host.GetName()] {
			remaining = append(remaining, host)
		}
	}
	return remaining
}

// plan classifies the task by the given configuration.
func (t *task) plan(ctx context.Context, state *clemconfig.State) (*plan, error) {
	if state == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "no configuration is held yet")
	}
	p, err := t.classify(state)
	if err != nil {
		return nil, err
	}
	p.offer.Request, p.offer.Organisation, p.offer.Generation = t.requestID, t.organisation, state.Generation()
	if deadline, ok := ctx.Deadline(); ok {
		p.offer.Timeout = durationpb.New(time.Until(deadline))
	}
	t.mu.Lock()
	t.pool = p.offer.GetPool()
	t.mu.Unlock()
	p.work = clementineturn.NewRoutingKey(p.offer.GetPool(), t.organisation, p.offer.GetConversation())
	return p, nil
}

// plannedPool returns the pool of the latest plan, or "" without one.
func (t *task) plannedPool() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool
}

// tokens returns the estimated number of prompt and output tokens.
func (p *plan) tokens() float64 { return float64(p.offer.GetPrompt() + p.offer.GetOutput()) }

func (p *plan) isIdempotent() bool { return p.offer.GetMode() == clemwire.Mode_MODE_IDEMPOTENT }
