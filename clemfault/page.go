package clemfault

import (
	"fmt"
	"strings"
)

// VerdictKept is the verdict of a cell in which every promise held.
const VerdictKept = "kept"

// promiseInfo describes a promise to users and what checks it.
type promiseInfo struct {
	text        string
	matrixCheck string
	otherChecks string
}

var promises = []promiseInfo{
	{"No engine carries more than a set multiple of its pool's mean load.", "in the crowd no engine runs more requests than its slots; the multiple of the mean is not checked", "model tests of clemgate; `make measure` prints the highest load over the true mean"},
	{"Every caller receives the whole answer to its own request.", "every chat and reserve compares the answer byte by byte with what the backend server produced", "tests of clementry on crossed, late and short answers"},
	{"A refusal that says the request was not run is true.", "no backend server saw a request whose answer said `not_run`", "tests of clementry and clemgate"},
	{"A reserve runs at most once.", "runs are counted at the service by key", "model tests of clemclaim"},
	{"A leaving backend server receives no new work after a few seconds.", "requests that arrive 5 s after the list's word are counted at the server", "tests of clemmember"},
	{"A graceful shutdown cuts off no request.", "under the stop faults every request ends whole at its first try", "end-to-end runs with processes"},
	{"An accepted configuration is in force everywhere within seconds and never reverts.", "generations are watched at every process throughout; after the fault's end all hold the change", "tests of clemrelay at a data centre's size, model test of clemconfig"},
}

// uncovered lists what neither the matrix nor another test covers.
var uncovered = []string{
	"Freezing strikes a process at its next contact with the table, the network or its backend server, not between two instructions. The end-to-end runs freeze whole processes.",
	"Two faults are paired at one seeded draw of steps for each pair, not at every pair of steps. Three faults at once are not run.",
	"The network's faults strike the messages of one process at a time; a cut between whole data centres is run by the tests of clemrelay only.",
	"A configuration that is accepted while an entry and a sidecar are together cut off from the table and from every other process is not in force between those two until the cut ends.",
	"Orders to engines are proved by the tests of clemfence, not in the matrix.",
	"The backend servers are fakes that obey the interface; what a real engine does when its connection is cut is its own.",
}

// Page returns the content of docs/FAULTS.md for the verdicts of the cells.
func Page(verdict func(step Step, fault Fault) string) string {
	var b strings.Builder
	b.WriteString("# Faults\n\nThe fault matrix runs every fault at every step of every scenario, and every pair of faults at steps drawn from a seed, in virtual time: real entries, sidecars, relays, ledgers and gates on small fakes of the platform, the network and the backend servers.\n\nWritten by `go test ./clemfault -run TestMatrix -update`; the test fails if this page and its run differ. `tools/mutate` removes one mechanism at a time and prints which cells notice.\n")
	b.WriteString("\n## Promises\n\n| Promise | In the matrix | Besides |\n| --- | --- | --- |\n")
	for _, p := range promises {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", p.text, p.matrixCheck, p.otherChecks)
	}
	b.WriteString("\n## Faults\n\n| Fault | What it does |\n| --- | --- |\n")
	for _, f := range Faults() {
		fmt.Fprintf(&b, "| %s | %s |\n", f.Name(), f.Doc())
	}
	for _, scenario := range Scenarios() {
		writeScenario(&b, scenario, verdict)
	}
	b.WriteString("\n## Not proved\n\n")
	for _, text := range uncovered {
		fmt.Fprintf(&b, "- %s\n", text)
	}
	return b.String()
}

// writeScenario writes one scenario's steps and its part of the matrix.
func writeScenario(b *strings.Builder, scenario Scenario, verdict func(step Step, fault Fault) string) {
	fmt.Fprintf(b, "\n## Scenario: %s\n\n", scenario)
	header, rule := "| Fault |", "| --- |"
	var steps []Step
	for _, step := range Steps() {
		if step.Scenario() != scenario {
			continue
		}
		steps = append(steps, step)
		fmt.Fprintf(b, "- %s: %s\n", step.Name(), step.Doc())
		header += " " + step.Name() + " |"
		rule += " --- |"
	}
	fmt.Fprintf(b, "\n%s\n%s\n", header, rule)
	var notes []string
	for _, fault := range Faults() {
		if reason := fault.Impossible(scenario); reason != "" {
			notes = append(notes, fmt.Sprintf("Impossible, %s: %s.", fault.Name(), reason))
			continue
		}
		fmt.Fprintf(b, "| %s |", fault.Name())
		for _, step := range steps {
			fmt.Fprintf(b, " %s |", verdict(step, fault))
		}
		b.WriteString("\n")
	}
	for _, note := range notes {
		fmt.Fprintf(b, "\n%s\n", note)
	}
}
