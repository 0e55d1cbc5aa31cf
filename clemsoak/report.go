package clemsoak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Failed reports whether a promise was violated.
func (r *Report) Failed() bool { return len(r.Violations) > 0 }

// String returns a summary line followed by a line for each violation.
func (r *Report) String() string {
	verdict := "ok"
	if r.Failed() {
		verdict = "FAILED"
	}
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	line := fmt.Sprintf("seed %d: %s, %d requests, %d served, %d runs, %d faults, %d starts, stall %s",
		r.Seed, verdict, r.Requests, r.Served, r.Runs, faults, r.Starts, r.Stall)
	return strings.Join(append([]string{line}, r.Violations...), "\n  ")
}

// WriteTable writes the injected faults and the checks of several soaks as a
// table, and reports whether every promise held.
func WriteTable(w io.Writer, reports []*Report) bool {
	faults, checked, broken := map[string]int{}, map[Promise]int{}, map[Promise]int{}
	var failed []uint64
	requests, starts := 0, int64(0)
	for _, r := range reports {
		requests, starts = requests+r.Requests, starts+r.Starts
		add(faults, r.Faults)
		add(checked, r.Checked)
		add(broken, r.Broken)
		if r.Failed() {
			failed = append(failed, r.Seed)
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "seeds %d, requests %d, starts of entries %d, failed seeds %v\n\nfault\tinjected\n", len(reports), requests, starts, failed)
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		fmt.Fprintf(table, "%s\t%d\n", name, faults[name])
	}
	fmt.Fprintf(table, "\npromise\tchecked\tbroken\n")
	for _, p := range Promises {
		fmt.Fprintf(table, "%s\t%d\t%d\n", p, checked[p], broken[p])
	}
	// A failure to write the table does not change the verdict.
	_ = table.Flush()
	return len(failed) == 0
}

func add[K comparable](to, from map[K]int) {
	for key, n := range from {
		to[key] += n
	}
}
