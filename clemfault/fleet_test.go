package clemfault

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// inForce is the time within which an accepted change is in force everywhere.
	inForce = 6 * time.Second
	// leaveTime is the time after which a leaving server gets no new work.
	leaveTime = 5 * time.Second
)

// checkChange commits changes through the entries' own logs, as the
// operators' interface does, and watches every process's generation.
func (w *world) checkChange(t *testing.T) []*response {
	stop := w.watchGenerations(t)
	defer stop()
	var accepted uint64
	for i := range patience {
		generation, err := w.changeVia(fmt.Sprintf("entry-%d", i%2+1))
		if err == nil {
			accepted = generation
			break
		}
		assert.False(t, clementineturn.IsKind(err, clementineturn.KindConflict), "nobody else changed the organisation: %v", err)
		time.Sleep(time.Second)
	}
	assert.Positive(t, accepted, "the change is accepted in the end")
	time.Sleep(w.healed())
	state, err := w.log.Advance(w.ctx, clemconfig.Empty())
	if assert.NoError(t, err) {
		assert.GreaterOrEqual(t, state.Generation(), accepted)
		assert.NotNil(t, state.Organisation("new"))
	}
	for _, n := range w.alive() {
		held := n.board.Config().Get()
		if assert.NotNil(t, held, n.host.GetName()) {
			assert.GreaterOrEqual(t, held.Generation(), accepted, "in force at %s", n.host.GetName())
		}
	}
	return nil
}

// changeVia creates an organisation through one entry's log. The same id
// makes a repeat after a lost answer safe.
func (w *world) changeVia(entry string) (uint64, error) {
	n := w.node(entry)
	if n.ctx.Err() != nil || n.board.Config().Get() == nil {
		return 0, clementineturn.Refuse(clementineturn.KindUnavailable, "%s is down", entry)
	}
	state, generation, err := n.config.Commit(n.ctx, n.board.Config().Get(), &clemwire.Change{
		Id: "new-organisation", Action: clemwire.Action_ACTION_CREATE,
		Entity: &clemwire.Entity{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: "new", Weight: 1, Queue: 10}}},
	})
	if err == nil {
		n.relay.Adopt(state)
	}
	return generation, err
}

// watchGenerations checks that no process's configuration ever reverts.
func (w *world) watchGenerations(t *testing.T) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		highest := map[*node]uint64{}
		for {
			for _, n := range w.alive() {
				if state := n.board.Config().Get(); state != nil {
					assert.GreaterOrEqual(t, state.Generation(), highest[n], "%s reverts", n.host.GetName())
					highest[n] = state.Generation()
				}
			}
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (w *world) alive() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var alive []*node
	for _, n := range w.nodes {
		if n.ctx.Err() == nil {
			alive = append(alive, n)
		}
	}
	return alive
}

// healed returns the time after which the longest fault is over and what it
// hindered had its own time.
func (w *world) healed() time.Duration { return outage + inForce }

// checkJoin starts a new backend server under the fault and waits for its work.
func (w *world) checkJoin(t *testing.T) []*response {
	host := &clemwire.Host{Name: "engine-4", Address: "engine-4", Region: "r", Centre: "a", Role: "sidecar", Pool: "chat"}
	w.setHost(host.GetName(), host)
	w.start(host.GetName())
	w.at(StepStart, host.GetName())
	var seen []*response
	for i := range 2 * patience {
		body := fmt.Sprintf(`{"model":"llama","stream":true,"messages":[{"role":"user","content":"chat %d"}]}`, i)
		answer, responses := w.chat(body)
		assert.Equal(t, wholeChat(body), answer, "the whole answer")
		seen = append(seen, responses...)
		if w.served("engine-4") {
			return seen
		}
		time.Sleep(time.Second)
	}
	assert.Fail(t, "the new backend server never got work")
	return seen
}

func (w *world) served(server string) bool {
	b := w.backends[server]
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen) > 0
}

// checkLeave lists the serving host as leaving in the middle of a stream.
func (w *world) checkLeave(t *testing.T) []*response {
	body := `{"model":"llama","stream":true,"messages":[{"role":"user","content":"leave"}]}`
	left := w.armLeave()
	answer, seen := w.chat(body)
	assert.Equal(t, wholeChat(body), answer, "the whole answer")
	time.Sleep(leaveTime)
	server := left()
	before := w.total(server)
	for i := range 20 {
		body := fmt.Sprintf(`{"model":"llama","stream":true,"messages":[{"role":"user","content":"later %d"}]}`, i)
		answer, responses := w.chat(body)
		assert.Equal(t, wholeChat(body), answer, "the whole answer")
		seen = append(seen, responses...)
	}
	assert.Equal(t, before, w.total(server), "a leaving server gets no new work")
	w.setHost(server, w.node(server).host)
	return seen
}

// armLeave lists the engine that is in the middle of a stream as leaving, and
// then lets the fault strike. The function it returns names the engine.
func (w *world) armLeave() func() string {
	var left string
	w.mu.Lock()
	defer w.mu.Unlock()
	leave := w.strike
	w.strike = func(step, server string) {
		w.mu.Lock()
		isFirst := left == "" && step == StepMiddle && strings.HasPrefix(server, "engine")
		if isFirst {
			left = server
		}
		w.mu.Unlock()
		if isFirst {
			host := proto.CloneOf(w.node(server).host)
			host.Leaving = true
			w.setHost(server, host)
			leave(StepListed, server)
		}
		leave(step, server)
	}
	return func() string {
		w.mu.Lock()
		defer w.mu.Unlock()
		return left
	}
}

// checkCrowd lets more callers chat at once than the pool has slots.
func (w *world) checkCrowd(t *testing.T) []*response {
	var mu sync.Mutex
	var all []*response
	var callers sync.WaitGroup
	for i := range 5 * poolSlots {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"llama","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"caller %d"}]}`, i)
			answer, seen := w.chat(body)
			assert.Equal(t, wholeChat(body), answer, "the whole answer")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, seen...)
		})
	}
	callers.Wait()
	for name, b := range w.backends {
		assert.LessOrEqual(t, b.peak, poolSlots, "%s runs no more than its slots", name)
	}
	return all
}

func (w *world) total(server string) int {
	b := w.backends[server]
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func (n *node) generation() uint64 {
	if state := n.board.Config().Get(); state != nil {
		return state.Generation()
	}
	return 0
}

// A burst on an idle pool finds the sums of loads a second old. It is served
// from the pool's slots and queues, and nobody is turned away.
func TestBurstOnIdlePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		begun := time.Now()
		for _, r := range w.checkCrowd(t) {
			assert.Equal(t, http.StatusOK, r.status, r.body)
		}
		t.Logf("the last of %d callers was served after %s", 5*poolSlots, time.Since(begun))
	})
}
