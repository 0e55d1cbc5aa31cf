package clemlab

import (
	"slices"
	"time"
)

// Config configures a measurement.
type Config struct {
	// Seed is the first seed of the recorded loads.
	Seed uint64
	// Seeds is the number of loads that each experiment records.
	Seeds int
	// Scale scales the duration of the recorded loads; 1 is the full duration.
	Scale float64
	// Experiment names the one experiment to run; if it is empty, all are run.
	Experiment string
}

// Lab runs the experiments. Equal configurations give equal results.
type Lab struct {
	Config
	table   Table
	figures []*figure
}

// New returns a Lab without results.
func New(c Config) *Lab { return &Lab{Config: c} }

// Measure runs the experiments and returns the table.
func (l *Lab) Measure() *Table {
	experiments := []struct {
		name string
		run  func()
	}{
		{longExperiment, l.measureLong},
		{slowExperiment, l.measureSlow},
		{stallExperiment, l.measureStall},
		{peakExperiment, l.measurePeak},
		{isolationExperiment, l.measureIsolation},
		{reuseExperiment, l.measureReuse},
	}
	for _, e := range experiments {
		if l.Experiment == "" || l.Experiment == e.name {
			e.run()
		}
	}
	return &l.table
}

// scaled returns the duration multiplied by Scale.
func (l *Lab) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * l.Scale)
}

// runs holds the runs of one policy, one per seed.
type runs []*run

// execute runs the scenario of each seed under the policy.
func (l *Lab) execute(p policy, build func(seed uint64) scenario) runs {
	all := make(runs, l.Seeds)
	for i := range all {
		all[i] = execute(build(l.Seed+uint64(i)), p)
	}
	return all
}

// firstTokenQuantile returns a quantile of the time to first token over all runs,
// in milliseconds.
func (rs runs) firstTokenQuantile(m filter, share float64) float64 {
	return rs.quantileOfAll(share, func(r *run) []time.Duration { return r.firstTokenTimes(m) })
}

// waitQuantile returns a quantile of the wait for a slot over all runs, in
// milliseconds.
func (rs runs) waitQuantile(m filter, share float64) float64 {
	return rs.quantileOfAll(share, func(r *run) []time.Duration { return r.waitTimes(m) })
}

func (rs runs) quantileOfAll(share float64, times func(*run) []time.Duration) float64 {
	var all []time.Duration
	for _, r := range rs {
		all = append(all, times(r)...)
	}
	slices.Sort(all)
	return float64(quantile(all, share)) / float64(time.Millisecond)
}

// loadRatioQuantile returns a quantile of the servers' loads divided by the pool's
// mean.
func (rs runs) loadRatioQuantile(share float64) float64 {
	var all []float64
	for _, r := range rs {
		all = append(all, r.loadRatios...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// mean returns the mean of a value over the runs.
func (rs runs) mean(value func(*run) float64) float64 {
	sum := 0.0
	for _, r := range rs {
		sum += value(r)
	}
	return sum / float64(len(rs))
}

// Quantiles in the results. The objective for normal service is a p95.
const (
	p99  = 0.99
	p999 = 0.999
	p95  = 0.95
)
