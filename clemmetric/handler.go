package clemmetric

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of summaries.
var quantiles = []float64{0.5, 0.95, 0.99}

// prefix is the prefix of every name in the Prometheus text format.
const prefix = "clementine_"

// value is the current value of a metric.
type value struct {
	kind      string
	number    float64
	count     int64
	sum       float64
	quantiles []float64
}

// summary is the JSON form of histograms and timers.
type summary struct {
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Text returns a handler that serves the metrics in the Prometheus text format.
func (r *Registry) Text() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = w.Write(r.text())
	})
}

// JSON returns a handler that serves the metrics as a JSON object, sorted by name.
func (r *Registry) JSON() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.MarshalIndent(r.object(), "", "  ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(append(data, '\n'))
	})
}

func (r *Registry) text() []byte {
	values := r.values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	// Metrics of the same name must be adjacent, so sort by name before labels.
	slices.SortFunc(names, compareNames)
	var b bytes.Buffer
	last := ""
	for _, full := range names {
		name, labels := splitName(full)
		v := values[full]
		if name != last {
			if doc := docOf(name); doc != "" {
				fmt.Fprintf(&b, "# HELP %s%s %s\n", prefix, name, doc)
			}
			fmt.Fprintf(&b, "# TYPE %s%s %s\n", prefix, name, v.kind)
			last = name
		}
		v.write(&b, prefix+name, labels)
	}
	return b.Bytes()
}

func (r *Registry) object() map[string]any {
	object := map[string]any{}
	for name, v := range r.values() {
		if v.kind != kindSummary {
			object[name] = v.number
			continue
		}
		object[name] = summary{Count: v.count, Sum: v.sum, P50: v.quantiles[0], P95: v.quantiles[1], P99: v.quantiles[2]}
	}
	return object
}

const (
	kindCounter = "counter"
	kindGauge   = "gauge"
	kindSummary = "summary"
)

func (r *Registry) values() map[string]value {
	values := map[string]value{}
	if r == nil {
		return values
	}
	r.runScrapeHooks()
	r.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			values[name] = value{kind: kindCounter, number: float64(m.Count())}
		case metrics.Gauge:
			values[name] = value{kind: kindGauge, number: float64(m.Value())}
		case metrics.GaugeFloat64:
			values[name] = value{kind: kindGauge, number: m.Value()}
		case metrics.Histogram:
			values[name] = value{kind: kindSummary, count: m.Count(), sum: float64(m.Sum()), quantiles: m.Percentiles(quantiles)}
		case metrics.Timer:
			values[name] = value{kind: kindSummary, count: m.Count(), sum: seconds(float64(m.Sum())), quantiles: m.Percentiles(quantiles)}
			for i := range values[name].quantiles {
				values[name].quantiles[i] = seconds(values[name].quantiles[i])
			}
		}
	})
	return values
}

func seconds(nanoseconds float64) float64 { return nanoseconds / float64(time.Second) }

func (v value) write(b *bytes.Buffer, name, labels string) {
	if v.kind != kindSummary {
		fmt.Fprintf(b, "%s%s %s\n", name, braces(labels), number(v.number))
		return
	}
	for i, q := range quantiles {
		quantile := `quantile="` + number(q) + `"`
		if labels != "" {
			quantile = labels + "," + quantile
		}
		fmt.Fprintf(b, "%s%s %s\n", name, braces(quantile), number(v.quantiles[i]))
	}
	fmt.Fprintf(b, "%s_sum%s %s\n", name, braces(labels), number(v.sum))
	fmt.Fprintf(b, "%s_count%s %d\n", name, braces(labels), v.count)
}

func braces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

// number formats a number. Integers below 1e15 have no exponent.
func number(n float64) string {
	if n == math.Trunc(n) && math.Abs(n) < 1e15 {
		return strconv.FormatInt(int64(n), 10)
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

func compareNames(a, b string) int {
	nameA, labelsA := splitName(a)
	nameB, labelsB := splitName(b)
	if nameA != nameB {
		return cmp.Compare(nameA, nameB)
	}
	return cmp.Compare(labelsA, labelsB)
}
