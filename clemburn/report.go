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

// The objective for organisations and pools without one: 99.9% of requests
// succeed, and 95% of those have their first byte within 690 ms.
const (
	defaultAvailability    = 0.999
	defaultFirstByteTarget = 690 * time.Millisecond
	defaultLatencyShare    = 0.95
)

// Objective returns the objective for an organisation's requests to a pool: the
// organisation's, else the pool's, else the default. It returns the default for a
// nil state.
func Objective(state *clemconfig.State, organisation, pool string) *clemwire.Objective {
	if state != nil {
		if o := state.Organisation(organisation).GetObjective(); o != nil {
			return o
		}
		if o := state.Pool(pool).GetObjective(); o != nil {
			return o
		}
	}
	return &clemwire.Objective{Availability: defaultAvailability, First: durationpb.New(defaultFirstByteTarget), Share: defaultLatencyShare}
}

type eventTotals struct {
	total, failed, slow uint64
}

// Sum is the sum of the counts of several entries. It does not retain the counts
// that are added, which bounds the memory of a report. The zero Sum is empty.
type Sum struct {
	totals map[countKey]eventTotals
}

// Add adds the counts of one entry.
func (s *Sum) Add(gathered *clemwire.Gathered) {
	if s.totals == nil {
		s.totals = map[countKey]eventTotals{}
	}
	for _, c := range gathered.GetCounts() {
		t := s.totals[keyOfCount(c)]
		t.total += c.GetTotal()
		t.failed += c.GetFailed()
		t.slow += c.GetSlow()
		s.totals[keyOfCount(c)] = t
	}
}

// Lines compares the sums with the objectives. It returns two lines, availability
// and latency, for each organisation, pool and window. Latency covers only
// requests that succeeded. The burn rate is the ratio of the share of bad events
// to the share that the objective allows, as in the chapter on alerting in
// Google's Site Reliability Workbook. The budget left is 1 minus the burn rate,
// since the budget is that of the window.
func (s *Sum) Lines(state *clemconfig.State) []*clemwire.BurnLine {
	var lines []*clemwire.BurnLine
	for _, k := range slices.SortedFunc(maps.Keys(s.totals), compareKeys) {
		t := s.totals[k]
		objective := Objective(state, k.organisation, k.pool)
		lines = append(
			lines,
			line(k, Availability, objective.GetAvailability(), t.total, t.failed),
			line(k, Latency, objective.GetShare(), t.total-min(t.failed, t.total), t.slow),
		)
	}
	return lines
}

// Report returns the lines for the sum of the counts of all entries.
func Report(state *clemconfig.State, gathered []*clemwire.Gathered) []*clemwire.BurnLine {
	var sum Sum
	for _, g := range gathered {
		sum.Add(g)
	}
	return sum.Lines(state)
}

func line(k countKey, objective string, target float64, total, bad uint64) *clemwire.BurnLine {
	burn := burnRate(target, total, bad)
	return &clemwire.BurnLine{
		Organisation: k.organisation, Pool: k.pool, Objective: objective,
		Target: target, Window: durationpb.New(k.window),
		Total: total, Bad: bad, Burn: burn, Left: 1 - burn,
	}
}

// burnRate returns the ratio of the share of bad events to the allowed share, or
// 0 if there are no events or none may be bad.
func burnRate(target float64, total, bad uint64) float64 {
	if total == 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - target)
}
