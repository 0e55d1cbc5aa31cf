package clemnode

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clementry"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemmetric"
)

// mountMetrics adds the metrics endpoints. They must not be mounted on listeners
// for callers, because the metrics cover all organisations.
func mountMetrics(router chi.Router, metrics *clemmetric.Registry) {
	router.Method(http.MethodGet, "/metrics", metrics.Text())
	router.Method(http.MethodGet, "/metrics.json", metrics.JSON())
}

// observeProcess registers the metrics common to all roles.
func observeProcess(metrics *clemmetric.Registry, board *clemboard.Board) {
	metrics.ObserveProcess()
	metrics.OnScrape(func() {
		if state := board.Config().Get(); state != nil {
			metrics.Gauge(clemmetric.Generation).Update(int64(state.Generation()))
		}
		if members := board.Members().Get(); members != nil {
			metrics.Gauge(clemmetric.Hosts).Update(int64(len(members.Hosts())))
		}
		draining := int64(0)
		if board.Drain().Get().Active() {
			draining = 1
		}
		metrics.Gauge(clemmetric.Draining).Update(draining)
	})
}

// observeEntry registers the metrics of an entry.
func observeEntry(metrics *clemmetric.Registry, entry *clementry.Entry) {
	metrics.OnScrape(func() { metrics.Gauge(clemmetric.Active).Update(entry.ActiveRequests()) })
}

// observeGate registers the admission metrics of a sidecar.
func observeGate(metrics *clemmetric.Registry, gate *clemgate.Gate) {
	metrics.OnScrape(func() {
		report := gate.Report()
		metrics.Gauge(clemmetric.Running).Update(int64(report.Running()))
		metrics.Gauge(clemmetric.Waiting).Update(int64(report.Waiting()))
		metrics.Gauge(clemmetric.Load).Update(int64(report.Load()))
		metrics.GaugeFloat(clemmetric.Slowness).Update(report.SlowdownFactor())
	})
}
