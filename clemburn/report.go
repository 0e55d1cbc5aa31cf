package clemburn

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Names of the objectives in a report.
const (
	Availability = "availability"
	Latency      = "latency"
)

// The objective of organisations and pools that declare none.
const (
	defaultAvailability = 0.999
	defaultFirst        = 690 * time.Millisecond
	defaultShare        = 0.95
)

// Objective returns the objective that holds for an organisation's requests
// to a pool: the organisation's, else the pool's, else the default. A nil
// state has neither.
func Objective(state *clemconfig.State, organisation, pool string) *clemwire.Objective {
	if state != nil {
		if o := state.Organisation(organisation).GetObjective(); o != nil {
			return o
		}
		if o := state.Pool(pool).GetObjective(); o != nil {
			return o
		}
	}
	return &clemwire.Objective{Availability: defaultAvailability, First: durationpb.New(defaultFirst), Share: defaultShare}
}

type tally struct {
	total, failed, slow uint64
}

// Sum adds up the counts of entries one by one, so that a report holds no
// entry's counts longer than it takes to add them. The zero Sum is empty.
type Sum struct {
	tallies map[key]tally
}

// Add adds the counts of one entry.
func (s *Sum) Add(gathered *clemwire.Gathered) {
	if s.tallies == nil {
		s.tallies = map[key]tally{}
	}
	for _, c := range gathered.GetCounts() {
		t := s.tallies[keyOf(c)]
		t.total += c.GetTotal()
		t.failed += c.GetFailed()
		t.slow += c.GetSlow()
		s.tallies[keyOf(c)] = t
	}
}

// Lines sets the sums against the objectives: two lines, availability and
// latency, per organisation, pool and window. Latency counts only requests
// that succeeded. The burn rate is the share of bad events over the share that
// the objective allows, after the chapter on alerting of Google's Site
// Reliability Workbook; the budget left is 1 minus the burn rate, since budget
// and window coincide.
func (s *Sum) Lines(state *clemconfig.State) []*clemwire.BurnLine {
	var lines []*clemwire.BurnLine
	for _, k := range slices.SortedFunc(maps.Keys(s.tallies), compareKeys) {
		t := s.tallies[k]
		objective := Objective(state, k.organisation, k.pool)
		lines = append(
			lines,
			line(k, Availability, objective.GetAvailability(), t.total, t.failed),
			line(k, Latency, objective.GetShare(), t.total-min(t.failed, t.total), t.slow),
		)
	}
	return lines
}

// Report returns the lines of the sum of all entries' counts.
func Report(state *clemconfig.State, gathered []*clemwire.Gathered) []*clemwire.BurnLine {
	var sum Sum
	for _, g := range gathered {
		sum.Add(g)
	}
	return sum.Lines(state)
}

func line(k key, objective string, target float64, total, bad uint64) *clemwire.BurnLine {
	burn := rate(target, total, bad)
	return &clemwire.BurnLine{
		Organisation: k.organisation, Pool: k.pool, Objective: objective,
		Target: target, Window: durationpb.New(k.window),
		Total: total, Bad: bad, Burn: burn, Left: 1 - burn,
	}
}

// rate returns the share of bad events over the allowed share.
func rate(target float64, total, bad uint64) float64 {
	if total == 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - target)
}
