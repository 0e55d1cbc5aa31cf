// Package clemmetric keeps the metrics of a process in a go-metrics registry and
// serves them in the Prometheus text format and as JSON.
package clemmetric

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize and reservoirAlpha are the values that go-metrics recommends
	// for a sample that covers about the last five minutes.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Registry holds the metrics of a process. A metric is identified by a name and
// pairs of label and value; the same name and labels return the same metric. The
// metrics of a nil Registry are not served.
type Registry struct {
	metrics     metrics.Registry
	mu          sync.Mutex
	scrapeHooks []func()
}

// New returns an empty registry.
func New() *Registry { return &Registry{metrics: metrics.NewRegistry()} }

// OnScrape adds a function that is called before the metrics are served, to
// update gauges. It must not block.
func (r *Registry) OnScrape(update func()) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scrapeHooks = append(r.scrapeHooks, update)
}

// runScrapeHooks calls the functions of OnScrape. It does not hold the lock
// meanwhile, since they may add metrics.
func (r *Registry) runScrapeHooks() {
	r.mu.Lock()
	scrapes := slices.Clone(r.scrapeHooks)
	r.mu.Unlock()
	for _, update := range scrapes {
		update()
	}
}

// Counter returns the counter with the name and the label-value pairs.
func (r *Registry) Counter(name string, labels ...string) metrics.Counter {
	return register(r, name, labels, metrics.NewCounter)
}

// Gauge returns the integer gauge with the name and the label-value pairs.
func (r *Registry) Gauge(name string, labels ...string) metrics.Gauge {
	return register(r, name, labels, metrics.NewGauge)
}

// GaugeFloat returns the floating-point gauge with the name and the label-value
// pairs.
func (r *Registry) GaugeFloat(name string, labels ...string) metrics.GaugeFloat64 {
	return register(r, name, labels, metrics.NewGaugeFloat64)
}

// Histogram returns the histogram with the name and the label-value pairs.
func (r *Registry) Histogram(name string, labels ...string) metrics.Histogram {
	return register(r, name, labels, newHistogram)
}

// Timer returns the timer with the name and the label-value pairs. It is served
// in seconds. It has no rates, which can be derived from the count.
func (r *Registry) Timer(name string, labels ...string) metrics.Timer {
	return register(r, name, labels, func() metrics.Timer {
		return metrics.NewCustomTimer(newHistogram(), nopMeter{})
	})
}

// register returns the metric with the name and labels, which it creates if
// necessary. If there is a metric of another type, it returns one that is not
// served, since a mistake in the metrics must not stop the work that they count.
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

// nopMeter is a meter without rates. Unlike a StandardMeter it needs no goroutine.
type nopMeter struct{ metrics.NilMeter }

// Snapshot returns a MeterSnapshot, which the Snapshot method of timers requires.
func (nopMeter) Snapshot() metrics.Meter { return &metrics.MeterSnapshot{} }

// summingSample is a sample whose sum includes every value, not only those in the
// reservoir, as Prometheus summaries require.
type summingSample struct {
	metrics.Sample
	sum atomic.Int64
}

// Update adds a value.
func (t *summingSample) Update(value int64) {
	t.sum.Add(value)
	t.Sample.Update(value)
}

// Sum returns the sum of all values.
func (t *summingSample) Sum() int64 { return t.sum.Load() }

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(&summingSample{Sample: metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)})
}

var escapeLabel = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

// fullName returns the name with its labels in the Prometheus text format. The
// labels are sorted, so that their order does not matter.
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

// cleanName replaces characters that Prometheus does not allow in names.
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
