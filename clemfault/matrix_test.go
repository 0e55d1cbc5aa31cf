package clemfault

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// pagePath is the page that holds the matrix's result.
const pagePath = "../docs/FAULTS.md"

var update = flag.Bool("update", false, "write the golden files")

// pairSeed draws the steps at which pairs of faults strike.
const pairSeed = 20261204

// cell is one fault at one step, perhaps with a second one.
type cell struct {
	step  Step
	fault string
}

func (c cell) String() string {
	return fmt.Sprintf("%s/%s/%s", c.step.Scenario(), c.step.Name(), c.fault)
}

// inject applies a fault. entry and server are the processes that serve the
// request, writer the one that reached the step.
func (w *world) inject(fault, entry, server, writer string) {
	e, s := w.node(entry), w.node(server)
	cut := time.Now().Add(5 * time.Second)
	switch fault {
	case FaultKillEntry:
		e.cancel()
	case FaultKillSidecar:
		w.restart(s)
	case FaultKillBackend:
		w.backends[server].drop(restartDelay)
	case FaultKillHost:
		w.backends[server].drop(restartDelay)
		w.restart(s)
	case FaultFreezeEntry:
		e.freeze(freezeTime)
	case FaultFreeze:
		s.freeze(freezeTime)
	case FaultKillWriter:
		w.restart(w.node(writer))
	case FaultFreezeWriter:
		w.node(writer).freeze(freezeTime)
	case FaultCutThere:
		w.setNetwork(network{target: server, there: cut})
	case FaultCutBack:
		w.setNetwork(network{target: server, back: cut})
	case FaultCut:
		w.setNetwork(network{target: server, there: cut, back: cut})
	case FaultDelay:
		w.setNetwork(network{target: server, slow: cut})
	case FaultLostAnswer:
		w.setNetwork(network{target: server, lose: true})
	case FaultDuplicate:
		w.setNetwork(network{target: server, duplicate: true})
	case FaultStoreDown:
		w.store(clemstandin.TableFaults{Down: true}, outage)
	case FaultStoreSlow:
		w.store(clemstandin.TableFaults{Delay: 2 * time.Second}, 10*time.Second)
	case FaultStoreLost:
		w.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
	case FaultStoreLate:
		w.table.Inject(clemstandin.TableFaults{LateWrites: 1, Late: 2 * time.Second})
	case FaultList:
		go w.flap(server)
	case FaultOperators:
		w.race()
	case FaultStopEntry:
		go e.stop()
	case FaultStopSidecar:
		go s.stop()
	case FaultStopBothEnds:
		go e.stop()
		go s.stop()
	}
}

func (w *world) setNetwork(n network) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.net = n
}

func (w *world) store(faults clemstandin.TableFaults, d time.Duration) {
	w.table.Inject(faults)
	time.AfterFunc(d, func() { w.table.Inject(clemstandin.TableFaults{}) })
}

// restart kills a process and starts its next incarnation later.
func (w *world) restart(n *node) {
	n.cancel()
	time.AfterFunc(restartDelay, func() {
		if w.ctx.Err() == nil {
			w.start(n.host.GetName())
		}
	})
}

// flap drops a host from the list and brings it back, twice.
func (w *world) flap(server string) {
	for range 2 {
		host := w.listed(server)
		if host == nil {
			return // Another flap dropped the host and brings it back.
		}
		w.setHost(server, nil)
		rest(w.ctx, 5*time.Second)
		w.setHost(server, host)
		rest(w.ctx, 5*time.Second)
	}
}

// race lets two operators update the same pools at once.
func (w *world) race() {
	state, err := w.log.Advance(w.ctx, w.empty())
	if err != nil {
		return // The store is down as well: nobody can change anything.
	}
	for _, name := range []string{"chat", "orders"} {
		for i := range 2 {
			pool := proto.CloneOf(state.Pool(name))
			pool.Bound += float64(i + 1)
			go func() {
				_, _ = w.commit(clemwire.Action_ACTION_UPDATE, &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: pool}})
			}()
		}
	}
}

// arm lets the faults strike one after the other, each when a process of the
// scenario reaches its step.
func (w *world) arm(cells ...cell) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strike = func(step, node string) {
		w.mu.Lock()
		if len(cells) == 0 || !cells[0].step.is(step) || !cells[0].step.reachedAt(node) {
			w.mu.Unlock()
			return
		}
		c := cells[0]
		cells = cells[1:]
		w.struck++
		server := node
		if c.step.scenario == Reserve {
			server = w.serving
		}
		w.mu.Unlock()
		w.inject(c.fault, "entry-1", server, node)
	}
}

// checks returns the check of each scenario.
func (w *world) checks() map[Scenario]func(*testing.T) []*response {
	return map[Scenario]func(*testing.T) []*response{
		Chat: w.checkChat, Reserve: w.checkReserve, Change: w.checkChange, Join: w.checkJoin, Leave: w.checkLeave, Crowd: w.checkCrowd,
	}
}

func (w *world) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strike = nil
}

// is reports whether the step is the named one. A process that is not a
// poller asks its parent where a poller reads the table.
func (s Step) is(name string) bool {
	return s.name == name || (s.name == StepPull && s.scenario == Join && name == StepRead)
}

// reachedAt reports whether the step is the scenario's if the node reaches
// it. The ledger's writes are made by the sidecar that owns the claim's bucket.
func (s Step) reachedAt(node string) bool {
	prefix := map[Scenario]string{Chat: "engine", Reserve: "order", Join: "engine-4", Leave: "engine", Crowd: "engine"}[s.scenario]
	switch s.name {
	case StepClaim, StepClaimed, StepWrite, StepWritten:
		prefix = ""
	}
	return strings.HasPrefix(node, prefix)
}

// runCell runs one scenario under its faults and checks every promise.
func runCell(t *testing.T, cells ...cell) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.arm(cells...)
		check := w.checks()[cells[0].step.Scenario()]
		seen := check(t)
		assert.Positive(t, w.struck, "the fault struck")
		if len(cells) == 1 && strings.HasPrefix(cells[0].fault, "stop") {
			for _, r := range seen {
				assert.True(t, r.status == http.StatusOK && !r.cut, "a graceful shutdown cuts off no request: %+v", r)
			}
		}
		// A second fault whose step was not reached must not strike the check below.
		w.disarm()
		w.checkRefusals(t, seen)
		w.checkService(t)
	})
}

func (w *world) checkChat(t *testing.T) []*response {
	body := `{"model":"llama","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"is the crib still there?"}]}`
	answer, seen := w.chat(body)
	assert.Equal(t, wholeChat(body), answer, "the whole answer")
	return seen
}

func (w *world) checkReserve(t *testing.T) []*response {
	outcome, seen := w.reserve("key-1")
	runs := w.runs("key-1")
	assert.LessOrEqual(t, runs, 1, "a reserve runs at most once")
	if outcome != "" {
		assert.Equal(t, 1, runs, "an answered reserve ran")
		assert.Equal(t, callAnswer("key-1"), outcome, "the whole answer")
	} else {
		last := seen[len(seen)-1]
		assert.Regexp(t, `"code":"(unknown|in_progress)"`, last.body, "a reserve without an answer is unknown")
	}
	return seen
}

// checkRefusals checks that no backend server saw a request that was refused as not run.
func (w *world) checkRefusals(t *testing.T, seen []*response) {
	for _, r := range seen {
		if !strings.Contains(r.body, `"not_run":true`) {
			continue
		}
		request := r.header.Get("X-Request-Id")
		for _, b := range w.backends {
			b.mu.Lock()
			assert.Zero(t, b.seen[request], "%s saw request %s, which was refused as not run", b.name, request)
			b.mu.Unlock()
		}
	}
}

// checkService checks that the fleet serves again after the faults.
func (w *world) checkService(t *testing.T) {
	time.Sleep(outage + freezeTime)
	body := `{"model":"llama","stream":true,"messages":[{"role":"user","content":"again"}]}`
	answer, _ := w.chat(body)
	assert.Equal(t, wholeChat(body), answer, "service after the fault")
	outcome, _ := w.reserve("key-after")
	assert.Equal(t, callAnswer("key-after"), outcome, "service after the fault")
	assert.Equal(t, 1, w.runs("key-after"))
}

func (w *world) runs(key string) int {
	runs := 0
	for _, b := range w.backends {
		b.mu.Lock()
		runs += b.runs[key]
		b.mu.Unlock()
	}
	return runs
}

// TestMatrix runs every fault at every step. Its result is docs/FAULTS.md.
func TestMatrix(t *testing.T) {
	verdicts := map[cell]string{}
	for _, step := range Steps() {
		for _, fault := range Faults() {
			if fault.Impossible(step.Scenario()) != "" {
				continue
			}
			c := cell{step, fault.Name()}
			verdicts[c] = "broken"
			if t.Run(c.String(), func(t *testing.T) { runCell(t, c) }) {
				verdicts[c] = Kept
			}
		}
	}
	got := Page(func(step Step, fault Fault) string { return verdicts[cell{step, fault.Name()}] })
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(got), 0o644))
	}
	want, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// TestPairs runs every pair of faults, each at steps drawn from a seed.
func TestPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(pairSeed, pairSeed))
	for _, scenario := range Scenarios() {
		steps := slices.DeleteFunc(Steps(), func(s Step) bool { return s.Scenario() != scenario })
		for _, first := range Faults() {
			for _, second := range Faults() {
				if first.Impossible(scenario) != "" || second.Impossible(scenario) != "" {
					continue
				}
				one := cell{steps[rng.IntN(len(steps))], first.Name()}
				two := cell{steps[rng.IntN(len(steps))], second.Name()}
				t.Run(one.String()+"+"+two.String(), func(t *testing.T) { runCell(t, one, two) })
			}
		}
	}
}
