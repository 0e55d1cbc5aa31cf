package clemclaim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// onceMachine is a state machine that uses the claimers of several sidecars and
// counts the calls that begin.
type onceMachine struct {
	*fleet
	servers     []string
	incarnation uint64
	attempts    int
	running     sync.WaitGroup
	stops       []func()

	mu sync.Mutex
	// held are the grants that have not begun, begun those whose call runs.
	held  []*Grant
	begun []*Grant
	// runs counts the calls that began, outcomes holds the outcome recorded last,
	// both by key.
	runs     map[string]int
	outcomes map[string]string
	// refused holds the errors that state that an attempt did not run.
	refused map[string]error
	// violations holds the violations that were found outside check.
	violations []string
}

func newOnceMachine(t *testing.T) *onceMachine {
	o := &onceMachine{
		fleet: newFleet(t), servers: []string{"a", "b", "c"}, incarnation: 1,
		runs: map[string]int{}, outcomes: map[string]string{}, refused: map[string]error{},
	}
	for _, server := range o.servers {
		o.stops = append(o.stops, o.start(server, 1).stop)
	}
	return o
}

func (o *onceMachine) acquire(t *rapid.T) {
	o.attempts++
	work := offer(rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key"), fmt.Sprint(o.attempts), "cot")
	work.Timeout = durationpb.New(time.Duration(rapid.IntRange(1, 30000).Draw(t, "timeout")) * time.Millisecond)
	n := o.nodes[rapid.SampledFrom(o.servers).Draw(t, "server")]
	immediate := rapid.Bool().Draw(t, "immediate")
	o.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), work.GetTimeout().AsDuration())
		grant, err := n.claimer.Acquire(ctx, work)
		context.AfterFunc(ctx, cancel)
		o.recordAcquired(work, grant, err)
		if immediate && err == nil && grant.Replay() == nil {
			o.begin(grant)
		}
	})
}

func (o *onceMachine) recordAcquired(work *clemwire.Offer, grant *Grant, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		if clementineturn.IsNotRun(err) {
			o.refused[work.GetAttempt()] = err
		}
	case grant.Replay() != nil:
		if string(grant.Replay().GetBody()) != o.outcomes[work.GetKey()] {
			o.violations = append(o.violations, "a replay that is not the outcome")
		}
	default:
		o.held = append(o.held, grant)
	}
}

func (o *onceMachine) begin(grant *Grant) {
	err := grant.Begin()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held = slices.DeleteFunc(o.held, func(g *Grant) bool { return g == grant })
	if err != nil {
		return
	}
	o.runs[grant.claim.GetKey()]++
	if refusal := o.refused[grant.claim.GetToken()]; refusal != nil {
		o.violations = append(o.violations, "an attempt ran after "+refusal.Error())
	}
	o.begun = append(o.begun, grant)
}

// drawGrant removes one of the grants at random and returns it.
func (o *onceMachine) drawGrant(t *rapid.T, grants *[]*Grant) *Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(*grants) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(*grants)-1).Draw(t, "grant")
	grant := (*grants)[i]
	*grants = slices.Delete(*grants, i, i+1)
	return grant
}

func (o *onceMachine) end(t *rapid.T) {
	grant := o.drawGrant(t, &o.begun)
	if grant == nil {
		return
	}
	lose := rapid.IntRange(0, 4).Draw(t, "lose") == 0
	if !lose {
		o.mu.Lock()
		o.outcomes[grant.claim.GetKey()] = "answer of " + grant.claim.GetToken()
		o.mu.Unlock()
	}
	o.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if lose {
			_ = grant.RecordUnknown(ctx, context.Canceled)
			return
		}
		_ = grant.Complete(ctx, outcome("answer of "+grant.claim.GetToken()))
	})
}

func (o *onceMachine) abandon(t *rapid.T) {
	grant := o.drawGrant(t, &o.held)
	if grant == nil {
		return
	}
	o.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = grant.Release(ctx)
	})
}

// restart replaces a sidecar by a new incarnation. The old one is not stopped: it
// may have been suspended and may still begin calls that it was granted.
func (o *onceMachine) restart(t *rapid.T) {
	server := rapid.SampledFrom(o.servers).Draw(t, "server")
	o.incarnation++
	o.stops = append(o.stops, o.start(server, o.incarnation).stop)
	o.setMembers(t)
}

// setMembers sets the members that a sidecar knows, which may differ from those
// that others know.
func (o *onceMachine) setMembers(t *rapid.T) {
	n := o.nodes[rapid.SampledFrom(o.servers).Draw(t, "server")]
	n.setMembers(rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "gone"}), rapid.ID).Draw(t, "members")...)
}

func (o *onceMachine) check(t *rapid.T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, n := range o.runs {
		if n > 1 {
			t.Fatalf("the call of key %s began %d times", key, n)
		}
	}
	for _, violation := range o.violations {
		t.Fatalf("%s", violation)
	}
}

// close ends the faults, waits for what runs, and stops every sidecar.
func (o *onceMachine) close() {
	o.table.Inject(clemstandin.TableFaults{})
	for _, n := range o.nodes {
		n.suspended.Store(false)
		n.losesAnswers.Store(false)
	}
	o.running.Wait()
	for _, stop := range o.stops {
		stop()
	}
	time.Sleep(time.Minute)
}

func TestCallBeginsAtMostOnce(t *testing.T) {
	checkVirtual(t, func(t *testing.T, rt *rapid.T) {
		o := newOnceMachine(t)
		defer o.close()
		rt.Repeat(map[string]func(*rapid.T){
			"acquire":  o.acquire,
			"acquire2": o.acquire,
			"begin": func(t *rapid.T) {
				if grant := o.drawGrant(t, &o.held); grant != nil {
					o.begin(grant)
				}
			},
			"end":     o.end,
			"abandon": o.abandon,
			"restart": o.restart,
			"freeze": func(t *rapid.T) {
				n := o.nodes[rapid.SampledFrom(o.servers).Draw(t, "server")]
				n.suspended.Store(!n.suspended.Load())
			},
			"faults": func(t *rapid.T) { o.table.Inject(drawFaults(t)) },
			"heal":   func(*rapid.T) { o.table.Inject(clemstandin.TableFaults{}) },
			"pause": func(t *rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			},
			"wait": func(*rapid.T) { time.Sleep(supersedeAge) },
			"":     o.check,
		})
	})
}
