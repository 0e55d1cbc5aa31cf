package clemnode

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemsetting"
)

const (
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = time.Minute
	// maxRefusalLines is the number of log lines a second about refused clients.
	maxRefusalLines = 10
)

// newHTTPServer returns a server with timeouts for reading a request's header
// and for reading the whole request. net/http clears the latter once the body
// is read, so it does not bound the response. It also clears a write deadline
// set by a handler once the request has ended.
func newHTTPServer(headerTimeout, readTimeout time.Duration, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// intake bounds what clients make the process hold, at all its listeners together.
type intake struct {
	budget   *clemquota.Budget
	maxConns int
	events   *clemevent.Logger
	metrics  *clemmetric.Registry
}

func newIntake(settings *clemsetting.Settings, events *clemevent.Logger, metrics *clemmetric.Registry) *intake {
	clemquota.LimitProcess(settings.MemoryLimit())
	budget := clemquota.NewBudget(clemquota.BudgetFor(settings.MemoryLimit()))
	metrics.OnScrape(func() { metrics.Gauge(clemmetric.IntakeBytes).Update(budget.Used()) })
	limit := clemevent.NewRateLimit(clemevent.RateLimitConfig{MaxInfoPerSecond: maxRefusalLines, MaxWarnPerSecond: maxRefusalLines})
	return &intake{budget: budget, maxConns: settings.MaxConnections(), events: events.WithRateLimit(limit), metrics: metrics}
}

// limitListener returns the listener with limits, to which it connects the server.
func (i *intake) limitListener(inner net.Listener, server *http.Server) net.Listener {
	address := inner.Addr().String()
	limits := clemquota.Limits{
		MaxHeadBytes: maxHeaderBytes, HeadTimeout: server.ReadHeaderTimeout, FirstTimeout: server.ReadHeaderTimeout, IdleTimeout: server.IdleTimeout,
	}
	listener := clemquota.NewListener(clemquota.ListenerConfig{
		Listener: inner, Budget: i.budget, MaxConns: func() int { return i.maxConns }, Limits: func() clemquota.Limits { return limits },
		OnRefused: func(reason clemquota.Reason, client net.Addr) {
			i.metrics.Counter(clemmetric.IntakeRefused, "listener", address, "reason", string(reason)).Inc(1)
			event := clemevent.HeadRefused
			if reason == clemquota.ReasonConnections {
				event = clemevent.ConnectionClosed
			}
			i.events.Emit(event, zap.String("listener", address), zap.String("reason", string(reason)), zap.Stringer("client", client))
		},
	})
	// The listener refuses larger heads before net/http does, and counts them.
	server.MaxHeaderBytes = 2 * maxHeaderBytes
	server.ConnState, server.ConnContext = listener.ConnState, clemquota.ConnContext
	return listener
}
