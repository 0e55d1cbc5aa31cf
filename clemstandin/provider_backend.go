package clemstandin

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxWaitingRatio is the maximum number of waiting requests of a backend
	// server, as a fraction of its slots.
	maxWaitingRatio = 0.5
	// coldSlowdown multiplies the time that work takes at a cold server.
	coldSlowdown = 2
	// garbledResponse is what a faulty backend server sends instead of an HTTP
	// response.
	garbledResponse = "HTTQ/7 what is this\r\n\r\n"
	// defaultCentre is the data centre of entries, and of servers without another one.
	defaultCentre = "z"
	// defaultVersion is the version of the servers' software without another one.
	defaultVersion = "v1"
)

// Run is one execution of a request at a backend server.
type Run struct {
	// RequestID is the id of the request, Stamp the value by which the backend
	// server marks the run's response; each run has its own.
	RequestID, Stamp string
	Server           string
	Service          string
	Organisation     string
	// HasAPIKey is set if the client's API key was forwarded.
	HasAPIKey bool
	// LastEventID is the id of the event after which the stream resumes, or "".
	LastEventID string
	// Status and Body are those of the response; a stream does not send the body.
	// Status is 0 if the client disconnected or a stream was broken off.
	Status    int
	Body      string
	StartedAt time.Time
	EndedAt   time.Time
}

// BackendFaults are the faults to inject into a backend server, as fractions of
// its requests. The zero value injects none.
type BackendFaults struct {
	// ErrorRatio is the fraction that gets status 500, ResetRatio the one whose
	// connection is reset after the run, GarbledRatio the one that gets bytes that
	// are no HTTP response, TruncatedRatio the one that gets half a response, and
	// ExtraResponseRatio the one that gets a second response after the first. A
	// stream of ResetRatio, GarbledRatio or TruncatedRatio is broken off in its
	// middle; ExtraResponseRatio does not affect streams.
	ErrorRatio, ResetRatio, GarbledRatio, TruncatedRatio, ExtraResponseRatio float64
	// SlowdownFactor multiplies the time that work takes; values below 1 count as
	// 1.
	SlowdownFactor float64
}

// BackendConfig describes a Backend to construct.
type BackendConfig struct {
	ID, Service string
	// Centre is the server's data centre; "" means that of the stand-in's entries.
	Centre string
	// Version is that of the server's software; "" means defaultVersion.
	Version string
	// Slots is the number of requests that run at once.
	Slots int
	// WorkTime is the time that a response takes, or each event of a stream.
	WorkTime time.Duration
	// SlowPrefix is the path below which requests wait for a third party: they take
	// SlowTime and no slot. "" means that there are none.
	SlowPrefix string
	SlowTime   time.Duration
	// EventCount is the number of events of a stream; with 0, responses are not
	// streams.
	EventCount int
	// OnRequest is called for each request that is addressed to this server,
	// OnRunStarted at the start and OnRunEnded at the end of each run.
	OnRequest    func(request, service string)
	OnRunStarted func(Run)
	OnRunEnded   func(Run)
	// OnResting, if set, is called for each request that the server refuses while it rests,
	// before the refusal is sent, with the end of the rest that the refusal names.
	OnResting func(request string, until time.Time)
	// ColdTime is how long the server is cold after its start; 0 means never. Meanwhile its
	// own work takes coldSlowdown times as long, and OnColdRequest, if set, is called for each
	// request that is addressed to it, with the number of them in the last second.
	ColdTime      time.Duration
	OnColdRequest func(server string, inLastSecond int)
	// Seed seeds the choice of the requests that faults affect.
	Seed uint64
}

// Backend is an http.Handler that stands in for a backend server without a
// sidecar.
type Backend struct {
	config BackendConfig

	mu             sync.Mutex
	rng            *rand.Rand
	faults         BackendFaults
	activeRequests int // running and waiting
	runCount       int
	draining       bool
	isLeaving      bool
	// restsUntil is the end of the rest, or zero.
	restsUntil time.Time
	slots      chan struct{}
	startedAt  time.Time
	// received holds the times of the requests within the last second.
	received []time.Time
}

// NewBackend returns the backend server that the configuration describes.
func NewBackend(c BackendConfig) *Backend {
	return &Backend{config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), slots: make(chan struct{}, c.Slots), startedAt: time.Now()}
}

// coldRemaining returns for how much longer the server is cold.
func (b *Backend) coldRemaining() time.Duration {
	return max(b.config.ColdTime-time.Since(b.startedAt), 0)
}

// countCold counts a request that is addressed to the server while it is cold.
func (b *Backend) countCold() {
	if b.coldRemaining() == 0 || b.config.OnColdRequest == nil {
		return
	}
	b.mu.Lock()
	now := time.Now()
	b.received = slices.DeleteFunc(append(b.received, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	n := len(b.received)
	b.mu.Unlock()
	b.config.OnColdRequest(b.config.ID, n)
}

// ID returns the server's id.
func (b *Backend) ID() string { return b.config.ID }

// Service returns the name of its service.
func (b *Backend) Service() string { return b.config.Service }

// Inject replaces the server's faults.
func (b *Backend) Inject(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// Drain makes the server close each connection after the response.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Leave makes every response announce that the server takes no new requests any more. It
// goes on answering them.
func (b *Backend) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isLeaving = true
}

// Rest makes the server refuse requests for the time, and name its end.
func (b *Backend) Rest(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restsUntil = time.Now().Add(duration)
}

// announcement returns the value of the header that announces that the server leaves, or
// "".
func (b *Backend) announcement() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isLeaving {
		return "1"
	}
	return ""
}

// refuseResting refuses the request if the server rests, and reports whether it did.
func (b *Backend) refuseResting(w http.ResponseWriter, id string) bool {
	b.mu.Lock()
	until := b.restsUntil
	b.mu.Unlock()
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	if b.config.OnResting != nil {
		b.config.OnResting(id, until)
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// ActiveRequests returns the number of running and waiting requests.
func (b *Backend) ActiveRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.activeRequests
}

// Row returns the server's row in the store of a Provider.
func (b *Backend) Row(address, state string) map[string]any {
	row := map[string]any{
		"service": b.config.Service, "address": address, "zone": cmp.Or(b.config.Centre, defaultCentre), "slots": b.config.Slots, "state": state, "seq": time.Since(b.startedAt).Milliseconds(),
		"born": b.startedAt.UnixMilli(), "version": b.Version(),
	}
	if b.config.ColdTime > 0 {
		row["cold_remaining_ms"] = b.coldRemaining().Milliseconds()
	}
	return row
}

// Version returns the version of the server's software.
func (b *Backend) Version() string { return cmp.Or(b.config.Version, defaultVersion) }

func (b *Backend) isSlow(r *http.Request) bool {
	return b.config.SlowPrefix != "" && strings.HasPrefix(r.URL.Path, b.config.SlowPrefix)
}

// acquire counts a request as running or waiting, unless it takes no slot. It reports
// false if the server is full.
func (b *Backend) acquire(r *http.Request) bool {
	if b.isSlow(r) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.activeRequests) >= (1+maxWaitingRatio)*float64(b.config.Slots) {
		return false
	}
	b.activeRequests++
	return true
}

func (b *Backend) release(r *http.Request) {
	if b.isSlow(r) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeRequests--
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expected-Instance") != b.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.config.OnRequest(id, b.config.Service)
	b.countCold()
	body, err := io.ReadAll(r.Body)
	announcement := b.announcement()
	if announcement != "" {
		w.Header().Set("Server-Leaving", announcement)
	}
	if b.refuseResting(w, id) {
		return
	}
	if err != nil || id == "" || !b.acquire(r) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.release(r)
	w.Header().Set("X-Request-Id", id)
	if b.isSlow(r) {
		b.respond(w, r, b.startRun(id, r, string(body)))
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	if b.isDraining() {
		w.Header().Set("Connection", "close")
	}
	run := b.startRun(id, r, string(body))
	if b.config.EventCount > 0 {
		b.stream(w, r, run)
		return
	}
	b.respond(w, r, run)
}

func (b *Backend) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// startRun starts a run. The body of its response names the run, the server and
// the received request, so that it cannot be mistaken for another response.
func (b *Backend) startRun(id string, r *http.Request, body string) Run {
	b.mu.Lock()
	b.runCount++
	n := b.runCount
	b.mu.Unlock()
	run := Run{
		RequestID: id, Server: b.config.ID, Service: b.config.Service, Organisation: r.Header.Get("X-Tenant"),
		HasAPIKey: r.Header.Get("Authorization") != "", LastEventID: r.Header.Get("Last-Event-Id"), StartedAt: time.Now(), Status: http.StatusOK,
	}
	digest := fnv.New64a()
	_, _ = fmt.Fprint(digest, id, b.config.ID, n)
	run.Stamp = fmt.Sprintf("%s.%d.%x", b.config.ID, n, digest.Sum64())
	run.Body = strings.Repeat(fmt.Sprintf("%s %s %s %s %s\n", run.Stamp, id, r.Method, r.RequestURI, body), 8)
	b.config.OnRunStarted(run)
	return run
}

// drawFaults decides at random which faults affect one request: 1 for each that
// does, otherwise 0. SlowdownFactor is the factor to apply.
func (b *Backend) drawFaults() (drawn BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	draw := func(ratio float64) float64 {
		if ratio > 0 && b.rng.Float64() < ratio {
			return 1
		}
		return 0
	}
	return BackendFaults{
		ErrorRatio: draw(b.faults.ErrorRatio), ResetRatio: draw(b.faults.ResetRatio), GarbledRatio: draw(b.faults.GarbledRatio),
		TruncatedRatio: draw(b.faults.TruncatedRatio), ExtraResponseRatio: draw(b.faults.ExtraResponseRatio), SlowdownFactor: max(b.faults.SlowdownFactor, 1),
	}
}

// simulateWork waits for the time that work takes. It reports false if the
// client disconnected.
func (b *Backend) simulateWork(r *http.Request, drawn BackendFaults) bool {
	work := b.config.WorkTime
	if b.isSlow(r) {
		work = b.config.SlowTime
	}
	if b.coldRemaining() > 0 && !b.isSlow(r) {
		work *= coldSlowdown
	}
	timer := time.NewTimer(time.Duration(drawn.SlowdownFactor * float64(work)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Backend) endRun(run Run, status int) {
	run.Status, run.EndedAt = status, time.Now()
	b.config.OnRunEnded(run)
}
