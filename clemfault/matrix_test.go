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

// pagePath is the page that is generated from the result of the matrix.
const pagePath = "../docs/FAULTS.md"

var update = flag.Bool("update", false, "write the golden files")

// pairSeed is the seed from which the steps for pairs of faults are drawn.
const pairSeed = 20261204

// cell is a fault at a step.
type cell struct {
	step  Step
	fault string
}

func (c cell) String() string {
	return fmt.Sprintf("%s/%s/%s", c.step.Scenario(), c.step.Name(), c.fault)
}

// inject injects a fault. entry and server are the processes that serve the request,
// writer is the process that reached the step.
func (f *fleet) inject(fault, entry, server, writer string) {
	e, s := f.node(entry), f.node(server)
	cut := time.Now().Add(5 * time.Second)
	switch fault {
	case FaultKillEntry:
		e.cancel()
	case FaultKillSidecar:
		f.restart(s)
	case FaultKillBackend:
		f.backends[server].fail(restartDelay)
	case FaultKillHost:
		f.backends[server].fail(restartDelay)
		f.restart(s)
	case FaultFreezeEntry:
		e.freeze(freezeTime)
	case FaultFreezeSidecar:
		s.freeze(freezeTime)
	case FaultKillWriter:
		f.restart(f.node(writer))
	case FaultFreezeWriter:
		f.node(writer).freeze(freezeTime)
	case FaultCutToSidecar:
		f.setLinkFaults(linkFaults{target: server, cutToUntil: cut})
	case FaultCutFromSidecar:
		f.setLinkFaults(linkFaults{target: server, cutFromUntil: cut})
	case FaultCutBothWays:
		f.setLinkFaults(linkFaults{target: server, cutToUntil: cut, cutFromUntil: cut})
	case FaultDelay:
		f.setLinkFaults(linkFaults{target: server, delayedUntil: cut})
	case FaultLostAnswer:
		f.setLinkFaults(linkFaults{target: server, loseAnswer: true})
	case FaultDuplicate:
		f.setLinkFaults(linkFaults{target: server, duplicateMessage: true})
	case FaultStoreDown:
		f.injectStoreFault(clemstandin.TableFaults{Down: true}, outageTime)
	case FaultStoreSlow:
		f.injectStoreFault(clemstandin.TableFaults{Delay: 2 * time.Second}, 10*time.Second)
	case FaultStoreLostAnswer:
		f.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
	case FaultStoreLateWrite:
		f.table.Inject(clemstandin.TableFaults{LateWrites: 1, LateWriteDelay: 2 * time.Second})
	case FaultListFlaps:
		go f.flapHost(server)
	case FaultRacingOperators:
		f.raceOperators()
	case FaultStopEntry:
		go e.stop()
	case FaultStopSidecar:
		go s.stop()
	case FaultStopBoth:
		go e.stop()
		go s.stop()
	}
}

func (f *fleet) setLinkFaults(n linkFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkFaults = n
}

func (f *fleet) injectStoreFault(faults clemstandin.TableFaults, d time.Duration) {
	f.table.Inject(faults)
	time.AfterFunc(d, func() { f.table.Inject(clemstandin.TableFaults{}) })
}

// restart kills a process and starts its next incarnation after restartDelay.
func (f *fleet) restart(n *node) {
	n.cancel()
	time.AfterFunc(restartDelay, func() {
		if f.ctx.Err() == nil {
			f.start(n.host.GetName())
		}
	})
}

// flapHost removes a host from the list and adds it again, twice.
func (f *fleet) flapHost(server string) {
	for range 2 {
		host := f.listedHost(server)
		if host == nil {
			return // Another flapHost removed the host and will add it again.
		}
		f.setHost(server, nil)
		sleep(f.ctx, 5*time.Second)
		f.setHost(server, host)
		sleep(f.ctx, 5*time.Second)
	}
}

// raceOperators makes two operators update the same pools at once.
func (f *fleet) raceOperators() {
	state, err := f.log.Advance(f.ctx, f.emptyState())
	if err != nil {
		return // The store is down as well, so that no change is possible.
	}
	for _, name := range []string{"chat", "orders"} {
		for i := range 2 {
			pool := proto.CloneOf(state.Pool(name))
			pool.Bound += float64(i + 1)
			go func() {
				_, _ = f.commit(clemwire.Action_ACTION_UPDATE, &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: pool}})
			}()
		}
	}
}

// arm injects the faults one after the other, each when a process of the scenario
// reaches its step.
func (f *fleet) arm(cells ...cell) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStep = func(step, node string) {
		f.mu.Lock()
		if len(cells) == 0 || !cells[0].step.matches(step) || !cells[0].step.reachedAt(node) {
			f.mu.Unlock()
			return
		}
		c := cells[0]
		cells = cells[1:]
		f.faultCount++
		server := node
		if c.step.scenario == Reserve {
			server = f.servingServer
		}
		f.mu.Unlock()
		f.inject(c.fault, "entry-1", server, node)
	}
}

// checks returns the check of each scenario.
func (f *fleet) checks() map[Scenario]func(*testing.T) []*response {
	return map[Scenario]func(*testing.T) []*response{
		Chat: f.checkChat, Reserve: f.checkReserve, Change: f.checkChange, Join: f.checkJoin, Leave: f.checkDrain, Crowd: f.checkCrowd,
	}
}

func (f *fleet) disarm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStep = nil
}

// matches reports whether the step is the named one. Reading the table counts as a
// pull in the join scenario, since pollers read the table while other processes ask
// their parent.
func (s Step) matches(name string) bool {
	return s.name == name || (s.name == StepPull && s.scenario == Join && name == StepRead)
}

// reachedAt reports whether the step belongs to the scenario if the node reaches it.
// Any sidecar may make the ledger's writes: the one that owns the claim's bucket
// does.
func (s Step) reachedAt(node string) bool {
	prefix := map[Scenario]string{Chat: "engine", Reserve: "order", Join: "engine-4", Leave: "engine", Crowd: "engine"}[s.scenario]
	switch s.name {
	case StepClaim, StepClaimed, StepWrite, StepWritten:
		prefix = ""
	}
	return strings.HasPrefix(node, prefix)
}

// runCell runs a scenario with the faults of the cells and checks every promise.
func runCell(t *testing.T, cells ...cell) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.arm(cells...)
		check := f.checks()[cells[0].step.Scenario()]
		seen := check(t)
		assert.Positive(t, f.faultCount, "the fault was injected")
		if len(cells) == 1 && strings.HasPrefix(cells[0].fault, "stop") {
			for _, r := range seen {
				assert.True(t, r.status == http.StatusOK && !r.isCut, "a graceful shutdown cuts off no request: %+v", r)
			}
		}
		// A second fault whose step was not reached must not affect the checks
		// below.
		f.disarm()
		f.checkRefusals(t, seen)
		f.checkService(t)
	})
}

func (f *fleet) checkChat(t *testing.T) []*response {
	body := `{"model":"llama","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"is the crib still there?"}]}`
	answer, seen := f.chat(body)
	assert.Equal(t, wholeChat(body), answer, "the whole answer")
	return seen
}

func (f *fleet) checkReserve(t *testing.T) []*response {
	outcome, seen := f.reserve("key-1")
	runs := f.runs("key-1")
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

// checkRefusals checks that no backend server saw a request that was refused as not
// run.
func (f *fleet) checkRefusals(t *testing.T, seen []*response) {
	for _, r := range seen {
		if !strings.Contains(r.body, `"not_run":true`) {
			continue
		}
		request := r.header.Get("X-Request-Id")
		for _, b := range f.backends {
			b.mu.Lock()
			assert.Zero(t, b.requestCounts[request], "%s saw request %s, which was refused as not run", b.name, request)
			b.mu.Unlock()
		}
	}
}

// checkService checks that the fleet serves requests again after the faults.
func (f *fleet) checkService(t *testing.T) {
	time.Sleep(outageTime + freezeTime)
	body := `{"model":"llama","stream":true,"messages":[{"role":"user","content":"again"}]}`
	answer, _ := f.chat(body)
	assert.Equal(t, wholeChat(body), answer, "service after the fault")
	outcome, _ := f.reserve("key-after")
	assert.Equal(t, callAnswer("key-after"), outcome, "service after the fault")
	assert.Equal(t, 1, f.runs("key-after"))
}

func (f *fleet) runs(key string) int {
	runs := 0
	for _, b := range f.backends {
		b.mu.Lock()
		runs += b.runCounts[key]
		b.mu.Unlock()
	}
	return runs
}

// TestMatrix runs every fault at every step and compares the result with
// docs/FAULTS.md.
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
				verdicts[c] = VerdictKept
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

// TestPairs runs every pair of faults at steps drawn from a seed.
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
