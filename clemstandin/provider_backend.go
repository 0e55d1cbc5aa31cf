package clemstandin

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// waitingShare is the number of requests that a backend server lets wait,
	// as a share of its slots.
	waitingShare = 0.5
	// garbage is what a faulty backend server sends in place of an answer.
	garbage = "HTTQ/7 what is this\r\n\r\n"
)

// Run is one run of a request at a backend server.
type Run struct {
	// Request is the request's id, Stamp the signature of the run's answer.
	Request, Stamp string
	Server         string
	Service        string
	Organisation   string
	// HasKey is set if the client's key came along.
	HasKey bool
	// Resume is the id of the event after which the run goes on.
	Resume string
	// Status and Body are the answer that the server made; a stream has no body here.
	Status int
	Body   string
	Began  time.Time
	Ended  time.Time
}

// BackendFaults say which shares of its requests a backend server treats badly.
type BackendFaults struct {
	// Errors answers 500, Lost runs and resets, Garbled sends bytes that are no
	// answer, Cut breaks an answer off in its middle, Extra sends a second
	// answer after the first one.
	Errors, Lost, Garbled, Cut, Extra float64
	// Slow multiplies the time that work takes; 0 leaves it.
	Slow float64
}

// BackendConfig describes a Backend to construct.
type BackendConfig struct {
	ID, Service string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Work is the time that an answer takes, or the pause between two events.
	Work time.Duration
	// Events is the number of events of an answer; 0 answers without a stream.
	Events int
	// Arrived is told of each request that was meant for this server, Began and Ended of each run.
	Arrived func(request, service string)
	Began   func(Run)
	Ended   func(Run)
	// Seed makes the draws of faults repeatable.
	Seed uint64
}

// Backend stands in for a backend server without a sidecar. It is an http.Handler.
type Backend struct {
	config BackendConfig

	mu      sync.Mutex
	rng     *rand.Rand
	faults  BackendFaults
	held    int
	runs    int
	leaving bool
	free    chan struct{}
}

// NewBackend returns the backend server that the configuration describes.
func NewBackend(c BackendConfig) *Backend {
	return &Backend{config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), free: make(chan struct{}, c.Slots)}
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

// Leave makes the server close connections after their answers.
func (b *Backend) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// Held returns the number of requests that it runs or lets wait.
func (b *Backend) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Row returns the server's row in the store.
func (b *Backend) Row(address, state string) map[string]any {
	return map[string]any{
		"service": b.config.Service, "address": address, "zone": "z", "slots": b.config.Slots, "state": state, "seq": 1,
	}
}

// enter takes a place, or reports that the server is full.
func (b *Backend) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.held) >= (1+waitingShare)*float64(b.config.Slots) {
		return false
	}
	b.held++
	return true
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held--
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expected-Instance") != b.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.config.Arrived(id, b.config.Service)
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" || !b.enter() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.leave()
	w.Header().Set("X-Request-Id", id)
	select {
	case b.free <- struct{}{}:
		defer func() { <-b.free }()
	case <-r.Context().Done():
		return
	}
	if b.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	run := b.begin(id, r, string(body))
	if b.config.Events > 0 {
		b.stream(w, r, run)
		return
	}
	b.answer(w, r, run)
}

func (b *Backend) isLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// begin starts a run. The body of its answer names the request, the server and
// what came, so that no other answer can pass for it.
func (b *Backend) begin(id string, r *http.Request, body string) Run {
	b.mu.Lock()
	b.runs++
	n := b.runs
	b.mu.Unlock()
	run := Run{
		Request: id, Server: b.config.ID, Service: b.config.Service, Organisation: r.Header.Get("X-Tenant"),
		HasKey: r.Header.Get("Authorization") != "", Resume: r.Header.Get("Last-Event-Id"), Began: time.Now(), Status: http.StatusOK,
	}
	digest := fnv.New64a()
	_, _ = fmt.Fprint(digest, id, b.config.ID, n)
	run.Stamp = fmt.Sprintf("%s.%d.%x", b.config.ID, n, digest.Sum64())
	run.Body = strings.Repeat(fmt.Sprintf("%s %s %s %s %s\n", run.Stamp, id, r.Method, r.RequestURI, body), 8)
	b.config.Began(run)
	return run
}

// draw returns the faults of one request, by a draw each, and the slowness.
func (b *Backend) draw() (hit BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	does := func(share float64) float64 {
		if share > 0 && b.rng.Float64() < share {
			return 1
		}
		return 0
	}
	return BackendFaults{
		Errors: does(b.faults.Errors), Lost: does(b.faults.Lost), Garbled: does(b.faults.Garbled),
		Cut: does(b.faults.Cut), Extra: does(b.faults.Extra), Slow: max(b.faults.Slow, 1),
	}
}

// work waits for the time that work takes; it is false if the client left.
func (b *Backend) work(r *http.Request, hit BackendFaults) bool {
	timer := time.NewTimer(time.Duration(hit.Slow * float64(b.config.Work)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Backend) end(run Run, status int) {
	run.Status, run.Ended = status, time.Now()
	b.config.Ended(run)
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, run Run) {
	hit := b.draw()
	if !b.work(r, hit) {
		b.end(run, 0)
		return
	}
	status := http.StatusOK
	if hit.Errors > 0 {
		status = http.StatusInternalServerError
	}
	b.end(run, status)
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n", status, run.Request, run.Stamp, len(run.Body))
	switch {
	case hit.Lost > 0:
		breakOff(w, "", true)
	case hit.Garbled > 0:
		breakOff(w, garbage, false)
	case hit.Cut > 0:
		breakOff(w, head+run.Body[:len(run.Body)/2], false)
	case hit.Extra > 0:
		breakOff(w, head+run.Body+head+run.Body, false)
	default:
		w.Header().Set("X-Response-Stamp", run.Stamp)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, run.Body)
	}
}

// breakOff sends bytes in place of an answer and ends the connection, with a reset if asked.
func breakOff(w http.ResponseWriter, bytes string, resets bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && resets {
		_ = tcp.SetLinger(0)
	}
	_, _ = io.WriteString(conn, bytes)
	_ = conn.Close()
}

// stream sends the events after the one at which the request resumes. Event
// number n has the id n and names the request.
func (b *Backend) stream(w http.ResponseWriter, r *http.Request, run Run) {
	hit := b.draw()
	if hit.Errors > 0 {
		b.end(run, http.StatusInternalServerError)
		w.Header().Set("X-Response-Stamp", run.Stamp)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	first, _ := strconv.Atoi(run.Resume)
	middle := first + 1 + (b.config.Events-first)/2
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", run.Stamp)
	for n := first + 1; n <= b.config.Events; n++ {
		if !b.work(r, hit) {
			b.end(run, 0)
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, run.Request, n)
		if n == middle && hit.Lost+hit.Cut+hit.Garbled > 0 {
			b.end(run, 0)
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
	}
	b.end(run, http.StatusOK)
}
