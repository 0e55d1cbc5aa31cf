// Package clemrouter is the HTTP handler of an entry whose backend servers have
// no sidecar. It finds the route of a request, selects a server, retries failed
// attempts where that is safe, and forwards complete responses to the client.
package clemrouter

import (
	"cmp"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemorigin"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemroute"
)

const (
	// unconfiguredRetryAfter is when a client may retry a request to an entry
	// without a configuration, and drainingRetryAfter to one that drains: another entry
	// will serve it. noPeerRetryAfter is the same if no other entry is known to serve
	// requests: the duration of a brief outage of the store or of a restart. Clients
	// wait for at most a part of their remaining time.
	unconfiguredRetryAfter = 100 * time.Millisecond
	drainingRetryAfter     = 20 * time.Millisecond
	noPeerRetryAfter       = time.Second
	// defaultMaxBody is the size limit of request bodies in bytes if the
	// configuration sets none.
	defaultMaxBody = 8 << 20
	// maxServerLabels and maxClassLabels limit the values of the metric labels.
	maxServerLabels = 256
	maxClassLabels  = 16
	// defaultTimeout applies if neither the client nor the route sets a timeout.
	defaultTimeout = 60 * time.Second
)

// Config describes a Router to construct.
type Config struct {
	Dialect     clementineturn.Dialect
	Table       *clemroute.Table
	Directory   *clempool.Directory
	RetryBudget *clembudget.RetryWindow
	// Quarantine holds the prompt parts that crash servers. If it is nil the router
	// keeps one of its own.
	Quarantine *clemquarantine.Tracker
	Events     *clemevent.Logger
	Metrics    *clemmetric.Registry
	// Origins knows which versions of the servers' software began streams. If it is nil the
	// router keeps a tracker of its own, without a store.
	Origins *clemorigin.Tracker
	// NoPeerServes reports whether no other entry is known to serve requests; nil
	// means that some do.
	NoPeerServes func() bool
}

// Router serves client requests. It implements http.Handler.
type Router struct {
	config Config
	// serverLabels and classLabels limit the number of values of metric labels.
	serverLabels, classLabels *clemmetric.LabelLimiter
	// stalls holds the usual waits for responses.
	stalls *clembudget.StallTracker
	// patience holds the time limits that clients set.
	patience *patienceTracker
	// runTimes holds how long the requests of each route run.
	runTimes *clembudget.RunTimeTracker

	// loggedStates holds what was logged of the servers' statements on their states.
	loggedStates onceLog

	active   atomic.Int64
	drainEnd atomic.Pointer[time.Time]
}

// New returns the router that the configuration describes.
func New(c Config) *Router {
	if c.Quarantine == nil {
		c.Quarantine = clemquarantine.New(clemquarantine.Config{})
	}
	if c.Origins == nil {
		c.Origins = clemorigin.New(clemorigin.Config{Directory: c.Directory})
	}
	return &Router{config: c, stalls: clembudget.NewStallTracker(), patience: newPatienceTracker(), runTimes: clembudget.NewRunTimeTracker(), serverLabels: clemmetric.NewLabelLimiter(maxServerLabels), classLabels: clemmetric.NewLabelLimiter(maxClassLabels)}
}

// ActiveRequests returns the number of requests being served.
func (r *Router) ActiveRequests() int { return int(r.active.Load()) }

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	q := &request{router: r, writer: w, http: req, arrived: time.Now()}
	err := q.serve()
	q.finish(clementineturn.AsError(err))
}

// request is a client's request while it is served.
type request struct {
	router  *Router
	writer  http.ResponseWriter
	http    *http.Request
	arrived time.Time

	requestInfo  clementineturn.RequestInfo
	version      uint64
	route        *clemroute.Route
	organisation string
	// priority is that of the organisation or else of the route, 0 the most urgent.
	priority int
	// priorityClass is the organisation's priority, or "" if it has none.
	priorityClass string
	service       string
	// rank is the request's position in the order in which a busy service takes
	// requests, 0 the first, and shortestTarget the shortest latency target of those
	// that are at least as urgent.
	rank           int
	shortestTarget time.Duration
	// waited is for how long the client has been waiting when the request came, as far as
	// its time limit shows it. urgency is the rank without regard to that.
	waited   time.Duration
	urgency  int
	deadline time.Time
	body     []byte
	// hold counts the request's memory; nil means that it is not counted.
	hold *clemquota.Hold
	// isUnread is set if this entry ended the reading of the body, which net/http takes
	// for the client's end.
	isUnread bool
	// hasTimeLimits is set once the connection has the deadlines of the request.
	hasTimeLimits bool
	target        string

	// triedServers are the ids of the servers that were tried, attempts the results.
	triedServers []string
	attempts     []attemptRecord
	// runCount counts the servers that may have run the request, sentCount those
	// that it was sent to.
	runCount, sentCount int
	// returnDelay is the time that was suggested when no other server was left, or 0.
	returnDelay time.Duration
	// isStarted is set once a byte of a response may have reached the client.
	isStarted      bool
	status         int
	bytesWritten   int
	firstEventTime time.Duration
	// lastEventID is the id of the last event that was sent to the client.
	lastEventID string
	// mayContinue is set if another server can send the rest of the stream: the last
	// event that was sent has an id.
	mayContinue bool
	eventCount  int
	// stream identifies the stream, also if another request began it.
	stream clemorigin.Key
	// resumedVersion is the version of the servers' software that began the stream that the
	// client resumes, or "".
	resumedVersion string
	// lastServer is the server whose events were sent last.
	lastServer string
}

// serve authenticates and routes the request, reads its body and dispatches it.
func (q *request) serve() error {
	r := q.router
	requestInfo, err := r.config.Dialect.DecodeRequest(q.http.Header)
	q.requestInfo = requestInfo
	if err != nil {
		return err
	}
	configuration := r.config.Table.Current()
	if configuration == nil {
		return clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindUnready, NotRun: true, RetryAfter: r.elsewhereAfter(unconfiguredRetryAfter), Message: "no configuration is in force yet",
		})
	}
	q.version = configuration.Version()
	q.target = requestTarget(q.http)
	if q.route = configuration.Route(q.http.Host, pathOf(q.target)); q.route == nil {
		return clementineturn.Refuse(clementineturn.KindNotFound, "no route takes the host and path")
	}
	organisation, err := configuration.Authenticate(q.route, requestInfo.APIKey())
	if err != nil {
		return err
	}
	q.priority = q.route.Priority()
	if organisation != nil {
		q.organisation = organisation.Name()
		if organisation.HasPriority() {
			q.priority = organisation.Priority()
			q.priorityClass = strconv.Itoa(q.priority)
		}
	}
	began := cmp.Or(requestInfo.ResumedID(), requestInfo.RequestID())
	q.service = q.route.PickService(xxhash.Sum64String(began))
	q.stream = clemorigin.NewKey(q.organisation, began)
	q.setPrecedence(configuration)
	q.deadline = q.arrived.Add(effectiveTimeout(requestInfo.Timeout(), q.route.Timeout()))
	if err := q.checkDraining(q.arrived); err != nil {
		return err
	}
	if err := q.readBody(configuration.Limits().MaxBodyBytes()); err != nil {
		return err
	}
	r.config.RetryBudget.Deposit(q.service, q.arrived)
	return q.dispatch()
}

// elsewhereAfter returns when a client may retry at another entry: after the given
// time, or noPeerRetryAfter if none serves requests.
func (r *Router) elsewhereAfter(retry time.Duration) time.Duration {
	if r.config.NoPeerServes != nil && r.config.NoPeerServes() {
		return noPeerRetryAfter
	}
	return retry
}

// effectiveTimeout returns the shorter of the client's and the operator's
// timeout. A value of 0 or less counts as unset; if both are, it returns
// defaultTimeout.
func effectiveTimeout(client, operator time.Duration) time.Duration {
	switch {
	case client <= 0 && operator <= 0:
		return defaultTimeout
	case client <= 0:
		return operator
	case operator <= 0:
		return client
	}
	return min(client, operator)
}

// finish writes an error response if the client has none yet, and emits the
// request's event. If the response broke off, it closes the connection.
func (q *request) finish(err *clementineturn.Error) {
	q.recordMetrics(err)
	switch {
	case err == nil:
		q.log(clemevent.RequestAnswered, nil)
	case q.hasClientLeft() && !q.isUnread || err.Kind() == clementineturn.KindCancelled:
		q.log(clemevent.ClientDisconnected, err)
		panic(http.ErrAbortHandler)
	case q.isStarted:
		q.log(clemevent.ResponseAborted, err)
		panic(http.ErrAbortHandler)
	default:
		event := clemevent.RequestFailed
		if err.NotRun() {
			event = clemevent.RequestRefused
		}
		if !q.hasTimeLimits {
			q.limitEarlyError()
		}
		q.writeError(err)
		q.log(event, err)
	}
}

// recordMetrics updates the metrics of finished requests.
func (q *request) recordMetrics(err *clementineturn.Error) {
	outcome := "ok"
	if err != nil {
		outcome = err.Kind().String()
	}
	route := "none"
	if q.route != nil {
		route = q.route.Kind().String()
	}
	q.router.config.Metrics.Counter(clemmetric.Requests, "kind", outcome, "route", route, "class", q.router.classLabels.Of(q.priorityClass)).Inc(1)
	q.router.config.Metrics.Timer(clemmetric.RequestTime, "route", route).UpdateSince(q.arrived)
}

// log emits the event with which the request ended.
func (q *request) log(event clemevent.Event, err *clementineturn.Error) {
	fields := []zap.Field{
		zap.String("request", q.requestInfo.RequestID()), zap.Uint64("version", q.version),
		zap.String("organisation", q.organisation), zap.String("service", q.service),
		zap.Duration("elapsed", time.Since(q.arrived)), zap.Int("status", q.status), zap.Int("bytes", q.bytesWritten),
		zap.Array("attempts", attemptLog(q.attempts)),
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name()), zap.String("kind", q.route.Kind().String()))
	}
	if resumed := q.requestInfo.ResumedID(); resumed != "" {
		fields = append(fields, zap.String("resumes", resumed))
	}
	if q.eventCount > 0 {
		fields = append(fields, zap.Int("events", q.eventCount), zap.Duration("first", q.firstEventTime))
	}
	if err != nil {
		fields = append(fields, zap.Bool("ran", q.runCount > 0), zap.Array("parts", partLog(q.sharedParts())), zap.Error(err))
	}
	q.router.config.Events.Emit(event, fields...)
}
