package clemlab

import (
	"slices"
	"time"
)

// Config describes a measurement.
type Config struct {
	// Seed is the first seed of the recorded loads.
	Seed uint64
	// Seeds is the number of loads that each experiment records.
	Seeds int
	// Scale shortens the recorded loads; 1 is their whole length.
	Scale float64
	// Only names the one experiment to run; empty runs all.
	Only string
}

// Lab runs the experiments. Equal configurations give equal results.
type Lab struct {
	Config
	table Table
	plots []*figure
}

// New returns a lab that has measured nothing yet.
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
		{crestExperiment, l.measureCrest},
		{containExperiment, l.measureContain},
		{reuseExperiment, l.measureReuse},
	}
	for _, e := range experiments {
		if l.Only == "" || l.Only == e.name {
			e.run()
		}
	}
	return &l.table
}

// length returns the scaled length of a recorded load.
func (l *Lab) length(d time.Duration) time.Duration {
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

// first returns a quantile of the time to first token over all runs, in milliseconds.
func (rs runs) first(m match, share float64) float64 {
	return rs.pooled(share, func(r *run) []time.Duration { return r.firsts(m) })
}

// wait returns a quantile of the wait for a slot over all runs, in milliseconds.
func (rs runs) wait(m match, share float64) float64 {
	return rs.pooled(share, func(r *run) []time.Duration { return r.waits(m) })
}

func (rs runs) pooled(share float64, times func(*run) []time.Duration) float64 {
	var all []time.Duration
	for _, r := range rs {
		all = append(all, times(r)...)
	}
	slices.Sort(all)
	return float64(quantile(all, share)) / float64(time.Millisecond)
}

// multiple returns a quantile of the servers' loads over the pool's mean.
func (rs runs) multiple(share float64) float64 {
	var all []float64
	for _, r := range rs {
		all = append(all, r.multiples...)
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

// tail is the quantile of the tail, most that of the objective for normal service.
const (
	tail    = 0.99
	extreme = 0.999
	most    = 0.95
)
