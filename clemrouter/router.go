// Package clemrouter forwards clients' requests to backend servers that have
// no sidecar: it finds the route, chooses a server, repeats what may be
// repeated, and passes whole answers on.
package clemrouter

import (
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
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

const (
	// unreadyRetry is when a client may try again at an entry that has no
	// configuration: another entry takes it. aloneRetry is the same if no other
	// entry is known to have one: about the time that a store needs that is back
	// soon. Clients wait no longer than a part of the time that they have.
	unreadyRetry = 100 * time.Millisecond
	aloneRetry   = time.Second
	// leavingRetry is the same at an entry that leaves.
	leavingRetry = 20 * time.Millisecond
	// defaultBody bounds bodies if the configuration does not.
	defaultBody = 8 << 20
	// mostServers and mostClasses bound the values of the metrics' labels.
	mostServers = 256
	mostClasses = 16
	// defaultPatience bounds requests that state no deadline on routes without a timeout.
	defaultPatience = 60 * time.Second
)

// Config describes a Router to construct.
type Config struct {
	Dialect   clementineturn.Dialect
	Table     *clemroute.Table
	Directory *clempool.Directory
	Repeats   *clembudget.Window
	Events    *clemevent.Logger
	Metrics   *clemmetric.Registry
	// IsAlone reports whether no other entry is known to hold a configuration;
	// nil means that some do.
	IsAlone func() bool
}

// Router serves clients. It is an http.Handler.
type Router struct {
	config Config
	// servers and classes bound the values of the metrics' labels.
	servers, classes *clemmetric.Label

	active  atomic.Int64
	leaving atomic.Pointer[time.Time]
}

// New returns the router that the configuration describes.
func New(c Config) *Router {
	return &Router{config: c, servers: clemmetric.NewLabel(mostServers), classes: clemmetric.NewLabel(mostClasses)}
}

// Active returns the number of requests that run.
func (r *Router) Active() int { return int(r.active.Load()) }

// Leave makes the router ask clients to close their connections and refuse
// what would not end before the given time.
func (r *Router) Leave(end time.Time) { r.leaving.CompareAndSwap(nil, &end) }

// IsLeaving reports whether Leave was called.
func (r *Router) IsLeaving() bool { return r.leaving.Load() != nil }

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	q := &request{router: r, writer: w, http: req, arrived: time.Now()}
	if r.IsLeaving() {
		w.Header().Set("Connection", "close")
	}
	err := q.serve()
	q.conclude(clementineturn.AsError(err))
}

// request is one client's request while it is served.
type request struct {
	router  *Router
	writer  http.ResponseWriter
	http    *http.Request
	arrived time.Time

	arrival      clementineturn.Arrival
	version      uint64
	route        *clemroute.Route
	organisation string
	// rank is the organisation's or the route's, 0 the most urgent.
	rank int
	// class is the rank of the organisation, "" if it has none of its own.
	class    string
	service  string
	deadline time.Time
	body     []byte
	target   string

	// tried are the servers that were tried, and trail what came of it.
	tried []string
	trail []attempt
	// runs counts the servers that may have run the request, sent those that got it.
	runs, sent int
	// started is set once a byte of an answer may have gone to the client.
	started bool
	status  int
	bytes   int
	first   time.Duration
	// last is the id of the last event that the client has.
	last   string
	events int
}

// serve finds out what the request needs and dispatches it.
func (q *request) serve() error {
	r := q.router
	arrival, err := r.config.Dialect.Arrival(q.http.Header)
	q.arrival = arrival
	if err != nil {
		return err
	}
	configuration := r.config.Table.Current()
	if configuration == nil {
		retry := unreadyRetry
		if r.config.IsAlone != nil && r.config.IsAlone() {
			retry = aloneRetry
		}
		return clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindUnready, NotRun: true, Retry: retry, Message: "no configuration is in force yet",
		})
	}
	q.version = configuration.Version()
	q.target = requestTarget(q.http)
	if q.route = configuration.Route(q.http.Host, pathOf(q.target)); q.route == nil {
		return clementineturn.Refuse(clementineturn.KindNotFound, "no route takes the host and path")
	}
	organisation, err := configuration.Organisation(q.route, arrival.Key())
	if err != nil {
		return err
	}
	q.rank = q.route.Priority()
	if organisation != nil {
		q.organisation = organisation.Name()
		if organisation.Ranked() {
			q.rank = organisation.Priority()
			q.class = strconv.Itoa(q.rank)
		}
	}
	q.service = q.route.Target(xxhash.Sum64String(arrival.ID()))
	q.deadline = q.arrived.Add(patience(arrival.Patience(), q.route.Timeout()))
	if err := q.checkLeaving(); err != nil {
		return err
	}
	if err := q.readBody(configuration.Limits().Body()); err != nil {
		return err
	}
	r.config.Repeats.Earn(q.service, q.arrived)
	return q.dispatch()
}

// patience returns the shorter of the client's and the operator's time.
func patience(client, operator time.Duration) time.Duration {
	switch {
	case client <= 0 && operator <= 0:
		return defaultPatience
	case client <= 0:
		return operator
	case operator <= 0:
		return client
	}
	return min(client, operator)
}

// checkLeaving refuses a request that would not end before this entry does.
func (q *request) checkLeaving() error {
	end := q.router.leaving.Load()
	if end == nil || q.arrived.Add(leavingFactor*q.hold()).Before(*end) {
		return nil
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindDraining, NotRun: true, Retry: leavingRetry, Message: "this entry leaves before the request would end",
	})
}

// readBody reads the whole body, so that it can be sent again and the client's
// leaving is noticed from then on.
func (q *request) readBody(limit int) error {
	if q.http.Body == nil || q.http.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := readAll(http.MaxBytesReader(q.writer, q.http.Body, int64(limit)), q.http.ContentLength)
	if err == nil {
		q.body = body
		return nil
	}
	if isTooLarge(err) {
		return clementineturn.Refuse(clementineturn.KindTooLarge, "the body is larger than %d bytes", limit)
	}
	return clementineturn.Refuse(clementineturn.KindCancelled, "reading the body: %w", err)
}

// conclude answers the client if nothing was sent yet, and writes the
// request's line. An answer that broke off closes the connection.
func (q *request) conclude(err *clementineturn.Error) {
	q.count(err)
	switch {
	case err == nil:
		q.log(clemevent.RequestAnswered, nil)
	case q.http.Context().Err() != nil || err.Kind() == clementineturn.KindCancelled:
		q.log(clemevent.RequestAbandoned, err)
		panic(http.ErrAbortHandler)
	case q.started:
		q.log(clemevent.RequestCut, err)
		panic(http.ErrAbortHandler)
	default:
		event := clemevent.RequestFailed
		if err.NotRun() {
			event = clemevent.RequestRefused
		}
		q.refuse(err)
		q.log(event, err)
	}
}

func (q *request) count(err *clementineturn.Error) {
	outcome := "ok"
	if err != nil {
		outcome = err.Kind().String()
	}
	route := "none"
	if q.route != nil {
		route = q.route.Kind().String()
	}
	q.router.config.Metrics.Counter(clemmetric.Requests, "kind", outcome, "route", route, "class", q.router.classes.Of(q.class)).Inc(1)
	q.router.config.Metrics.Timer(clemmetric.RequestTime, "route", route).UpdateSince(q.arrived)
}

func (q *request) log(event clemevent.Event, err *clementineturn.Error) {
	fields := []zap.Field{
		zap.String("request", q.arrival.ID()), zap.Uint64("version", q.version),
		zap.String("organisation", q.organisation), zap.String("service", q.service),
		zap.Duration("elapsed", time.Since(q.arrived)), zap.Int("status", q.status), zap.Int("bytes", q.bytes),
		zap.Array("attempts", trail(q.trail)),
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name()), zap.String("kind", q.route.Kind().String()))
	}
	if q.events > 0 {
		fields = append(fields, zap.Int("events", q.events), zap.Duration("first", q.first))
	}
	if err != nil {
		fields = append(fields, zap.Bool("ran", q.runs > 0), zap.Error(err))
	}
	q.router.config.Events.Emit(event, fields...)
}
