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
	// maxChangeDelay is the time within which an accepted change must be in force
	// everywhere.
	maxChangeDelay = 6 * time.Second
	// maxDrainDelay is the time after which a draining server must get no new work.
	maxDrainDelay = 5 * time.Second
)

// checkChange commits a change through the entries' own logs, as the operators'
// interface does, and checks that it comes into force everywhere and that no
// process reverts to an older generation.
func (f *fleet) checkChange(t *testing.T) []*response {
	stop := f.watchGenerations(t)
	defer stop()
	var accepted uint64
	for i := range maxTries {
		generation, err := f.changeVia(fmt.Sprintf("entry-%d", i%2+1))
		if err == nil {
			accepted = generation
			break
		}
		assert.False(t, clementineturn.IsKind(err, clementineturn.KindConflict), "nobody else changed the organisation: %v", err)
		time.Sleep(time.Second)
	}
	assert.Positive(t, accepted, "the change is accepted in the end")
	time.Sleep(f.recoveryTime())
	state, err := f.log.Advance(f.ctx, clemconfig.Empty())
	if assert.NoError(t, err) {
		assert.GreaterOrEqual(t, state.Generation(), accepted)
		assert.NotNil(t, state.Organisation("new"))
	}
	for _, n := range f.runningNodes() {
		current := n.board.Config().Get()
		if assert.NotNil(t, current, n.host.GetName()) {
			assert.GreaterOrEqual(t, current.Generation(), accepted, "in force at %s", n.host.GetName())
		}
	}
	return nil
}

// changeVia creates an organisation through one entry's log. The change has a fixed
// ID, so that a retry after a lost answer is safe.
func (f *fleet) changeVia(entry string) (uint64, error) {
	n := f.node(entry)
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

// watchGenerations checks, until stop is called, that no process reverts to an older
// generation.
func (f *fleet) watchGenerations(t *testing.T) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		highest := map[*node]uint64{}
		for {
			for _, n := range f.runningNodes() {
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

func (f *fleet) runningNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var alive []*node
	for _, n := range f.nodes {
		if n.ctx.Err() == nil {
			alive = append(alive, n)
		}
	}
	return alive
}

// recoveryTime returns the time after which the longest fault is over and a change
// delayed by it must be in force.
func (f *fleet) recoveryTime() time.Duration { return outageTime + maxChangeDelay }

// checkJoin starts a new backend server under the fault and checks that it gets
// work.
func (f *fleet) checkJoin(t *testing.T) []*response {
	host := &clemwire.Host{Name: "engine-4", Address: "engine-4", Region: "r", Centre: "a", Role: "sidecar", Pool: "chat"}
	f.setHost(host.GetName(), host)
	f.start(host.GetName())
	f.reachStep(StepStart, host.GetName())
	var seen []*response
	for i := range 2 * maxTries {
		body := fmt.Sprintf(`{"model":"llama","stream":true,"messages":[{"role":"user","content":"chat %d"}]}`, i)
		answer, responses := f.chat(body)
		assert.Equal(t, wholeChat(body), answer, "the whole answer")
		seen = append(seen, responses...)
		if f.hasServed("engine-4") {
			return seen
		}
		time.Sleep(time.Second)
	}
	assert.Fail(t, "the new backend server never got work")
	return seen
}

func (f *fleet) hasServed(server string) bool {
	b := f.backends[server]
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requestCounts) > 0
}

// checkDrain lists the serving host as draining in the middle of a stream, and checks
// that the stream completes and that the host gets no new work.
func (f *fleet) checkDrain(t *testing.T) []*response {
	body := `{"model":"llama","stream":true,"messages":[{"role":"user","content":"leave"}]}`
	drained := f.armDrain()
	answer, seen := f.chat(body)
	assert.Equal(t, wholeChat(body), answer, "the whole answer")
	time.Sleep(maxDrainDelay)
	server := drained()
	before := f.requestCount(server)
	for i := range 20 {
		body := fmt.Sprintf(`{"model":"llama","stream":true,"messages":[{"role":"user","content":"later %d"}]}`, i)
		answer, responses := f.chat(body)
		assert.Equal(t, wholeChat(body), answer, "the whole answer")
		seen = append(seen, responses...)
	}
	assert.Equal(t, before, f.requestCount(server), "a draining server gets no new work")
	f.setHost(server, f.node(server).host)
	return seen
}

// armDrain lists the first engine that is in the middle of a stream as draining,
// before the fault is injected. The returned function returns the engine's name.
func (f *fleet) armDrain() func() string {
	var drained string
	f.mu.Lock()
	defer f.mu.Unlock()
	inject := f.onStep
	f.onStep = func(step, server string) {
		f.mu.Lock()
		isFirst := drained == "" && step == StepMidStream && strings.HasPrefix(server, "engine")
		if isFirst {
			drained = server
		}
		f.mu.Unlock()
		if isFirst {
			host := proto.CloneOf(f.node(server).host)
			host.Leaving = true
			f.setHost(server, host)
			inject(StepListed, server)
		}
		inject(step, server)
	}
	return func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		return drained
	}
}

// checkCrowd runs more chats at once than the pool has slots.
func (f *fleet) checkCrowd(t *testing.T) []*response {
	var mu sync.Mutex
	var all []*response
	var callers sync.WaitGroup
	for i := range 5 * poolSlots {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"llama","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"caller %d"}]}`, i)
			answer, seen := f.chat(body)
			assert.Equal(t, wholeChat(body), answer, "the whole answer")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, seen...)
		})
	}
	callers.Wait()
	for name, b := range f.backends {
		assert.LessOrEqual(t, b.peakRequests, poolSlots, "%s runs no more than its slots", name)
	}
	return all
}

func (f *fleet) requestCount(server string) int {
	b := f.backends[server]
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requestCounts)
}

func (n *node) generation() uint64 {
	if state := n.board.Config().Get(); state != nil {
		return state.Generation()
	}
	return 0
}

// A burst on an idle pool is admitted by load sums that are a second old. It must
// be served from the pool's slots and queues without a refusal.
func TestBurstOnIdlePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		start := time.Now()
		for _, r := range f.checkCrowd(t) {
			assert.Equal(t, http.StatusOK, r.status, r.body)
		}
		t.Logf("the last of %d callers was served after %s", 5*poolSlots, time.Since(start))
	})
}
