// Package clemmetric keeps the metrics of a process in a go-metrics registry
// and serves them in Prometheus's text form and as JSON.
package clemmetric

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoir and decay are go-metrics' customary values for a sample that
	// covers about the last five minutes.
	reservoir = 1028
	decay     = 0.015
)

// Registry holds the metrics of a process. A metric is named by a word and
// pairs of label and value; the same name and labels give the same metric. A
// nil Registry gives metrics that nobody reads.
type Registry struct {
	metrics metrics.Registry
	mu      sync.Mutex
	scrapes []func()
}

// New returns an empty registry.
func New() *Registry { return &Registry{metrics: metrics.NewRegistry()} }

// OnScrape adds a function that updates gauges before the metrics are served.
// It must not block.
func (r *Registry) OnScrape(update func()) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scrapes = append(r.scrapes, update)
}

// scrape runs the functions of OnScrape without the lock, since they may add metrics.
func (r *Registry) scrape() {
	r.mu.Lock()
	scrapes := slices.Clone(r.scrapes)
	r.mu.Unlock()
	for _, update := range scrapes {
		update()
	}
}

// Counter returns the counter of the name and the label-value pairs.
func (r *Registry) Counter(name string, labels ...string) metrics.Counter {
	return register(r, name, labels, metrics.NewCounter)
}

// Gauge returns the gauge of the name and the label-value pairs.
func (r *Registry) Gauge(name string, labels ...string) metrics.Gauge {
	return register(r, name, labels, metrics.NewGauge)
}

// Float returns the gauge for fractions of the name and the label-value pairs.
func (r *Registry) Float(name string, labels ...string) metrics.GaugeFloat64 {
	return register(r, name, labels, metrics.NewGaugeFloat64)
}

// Histogram returns the histogram of the name and the label-value pairs.
func (r *Registry) Histogram(name string, labels ...string) metrics.Histogram {
	return register(r, name, labels, newHistogram)
}

// Timer returns the timer of the name and the label-value pairs. It is
// served in seconds. It keeps no rates, which readers derive from the count.
func (r *Registry) Timer(name string, labels ...string) metrics.Timer {
	return register(r, name, labels, func() metrics.Timer {
		return metrics.NewCustomTimer(newHistogram(), noMeter{})
	})
}

// register returns the metric of the name. A name that stands for a metric
// of another type gives a metric that nobody reads: a fault of the metrics
// must not stop the work that they count.
func register[M any](r *Registry, name string, labels []string, create func() M) M {
	if r == nil {
		return create()
	}
	metric, ok := r.metrics.GetOrRegister(fullName(name, labels), create).(M)
	if !ok {
		return create()
	}
	return metric
}

// noMeter keeps no rates and needs no goroutine, unlike a StandardMeter.
type noMeter struct{ metrics.NilMeter }

// Snapshot returns the type that a timer's Snapshot demands.
func (noMeter) Snapshot() metrics.Meter { return &metrics.MeterSnapshot{} }

// total is a sample whose sum covers every value, not only those that the
// reservoir holds, as Prometheus's summaries demand.
type total struct {
	metrics.Sample
	sum atomic.Int64
}

// Update adds a value.
func (t *total) Update(value int64) {
	t.sum.Add(value)
	t.Sample.Update(value)
}

// Sum returns the sum of all values.
func (t *total) Sum() int64 { return t.sum.Load() }

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(&total{Sample: metrics.NewExpDecaySample(reservoir, decay)})
}

var escapeLabel = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

// fullName returns the name with its labels in Prometheus's text form,
// sorted by label, so that equal labels give one metric in any order.
func fullName(name string, labels []string) string {
	name = cleanName(name)
	var pairs []string
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, cleanName(labels[i])+`="`+escapeLabel.Replace(strings.ToValidUTF8(labels[i+1], "�"))+`"`)
	}
	if len(pairs) == 0 {
		return name
	}
	slices.Sort(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// cleanName replaces what Prometheus does not allow in names.
func cleanName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

// splitName returns the name and the text between the braces.
func splitName(full string) (name, labels string) {
	name, labels, _ = strings.Cut(full, "{")
	return name, strings.TrimSuffix(labels, "}")
}
