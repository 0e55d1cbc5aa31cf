package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	touch        = 3000 * time.Millisecond
	drainTimeout = 2000 * time.Millisecond
	configTime   = 2000 * time.Millisecond
	// workTime is how long an application's request runs.
	workTime = 30 * time.Millisecond
	// modelService and appService are the services, and apiKey the key of the only tenant.
	modelService = "clementine-pool"
	appService   = "khat-app"
	apiKey       = "key-of-howrah"
)

// world holds the processes and stand-ins of one run.
type world struct {
	store    *store
	folder   string
	network  string
	fronts   []*front
	servers  []*server
	start    time.Time
	requests atomic.Uint64
	// zones are those of fronts, in turn.
	zones []string
	// bounds are added to those of the fronts' settings.
	bounds map[string]any

	mu     sync.Mutex
	record *os.File
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{store: s, folder: folder, record: record, start: time.Now(), zones: []string{"kol-a", "kol-b", "kol-c"}, network: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(240), 1+rand.IntN(250))}, nil
}

// since returns the time of the run in milliseconds.
func (w *world) since(at time.Time) int64 { return at.Sub(w.start).Milliseconds() }

// log writes a line with the time of the run in milliseconds.
func (w *world) log(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%6d "+format+"\n", append([]any{w.since(time.Now())}, values...)...)
}

// front is a process of the system.
type front struct {
	name, clients, ready string
	process              *exec.Cmd
}

// runCommand returns the command of the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("no command in the deploy file")
	}
	return strings.Fields(string(found[1])), nil
}

func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startFronts starts the processes and waits until they are ready.
func (w *world) startFronts(count int) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	type listen struct{ front, ready, control string }
	bounds := map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "touch_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": drainTimeout.Milliseconds(),
		"grace_s": 8, "lost_ms": 200, "config_ms": configTime.Milliseconds(), "back_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2,
		"retry_window_s": 10, "retry_budget_slack": 54, "recover_s": 12, "pass_ms": 120, "again_s": 10, "cap_x": 2,
	}
	maps.Copy(bounds, w.bounds)
	zones := map[string]string{}
	for _, zone := range w.zones {
		zones[zone] = "home"
	}
	var listens []listen
	var seeds []string
	for i := range count {
		ip := w.network + strconv.Itoa(i+1)
		var addresses [3]string
		for j := range addresses {
			if addresses[j], err = freePort(ip); err != nil {
				return err
			}
		}
		listens = append(listens, listen{addresses[0], addresses[1], addresses[2]})
		if len(seeds) < 3 {
			seeds = append(seeds, addresses[2])
		}
	}
	for i, l := range listens {
		name := "front-" + strconv.Itoa(i+1)
		ip := w.network + strconv.Itoa(i+1)
		settings := map[string]any{
			"node": name, "role": "front", "machine_class": "front", "serves": []string{"front", "control"}, "ip": ip,
			"zone": w.zones[i%len(w.zones)], "region": "home", "zones": zones,
			"listen":     map[string]string{"front": l.front, "ready": l.ready, "control": l.control},
			"port_range": []int{7340, 7355}, "seeds": seeds, "bootstrap": true, "heartbeat_ms": heartbeat.Milliseconds(),
			"limits":   map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
			"bounds":   bounds,
			"provider": map[string]any{"address": w.store.address(), "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
		}
		text, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		path := filepath.Join(w.folder, name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(w.folder, name+".log"))
		if err != nil {
			return err
		}
		process := exec.Command(command[0], command[1:]...)
		process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "CLEMENTINETURN_NODE_FILE=" + path}
		process.Stdout, process.Stderr = output, output
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := process.Start(); err != nil {
			return err
		}
		w.fronts = append(w.fronts, &front{name: name, clients: l.front, ready: l.ready, process: process})
	}
	for _, f := range w.fronts {
		if err := f.awaitReady(); err != nil {
			return err
		}
		w.log("%s is ready", f.name)
	}
	return nil
}

func (f *front) awaitReady() error {
	for range 200 {
		response, err := http.Get("http://" + f.ready + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become ready", f.name)
}

// close ends the processes and removes the temporary folder, unless KEEP is set.
func (w *world) close() {
	for _, f := range w.fronts {
		_ = f.process.Process.Kill()
		_, _ = f.process.Process.Wait()
	}
	for _, s := range w.servers {
		s.exit()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// run is a request that a server began to work on.
type run struct {
	id, server string
	at         time.Time
}

// server is a stand-in of a server, which writes its row with every heartbeat.
type server struct {
	world       *world
	id, service string
	zone        string
	slots       int
	listener    net.Listener
	http        *http.Server

	mu sync.Mutex
	// handler answers a request that has run; nil means 200 after workTime.
	handler     func(w http.ResponseWriter, r *http.Request)
	state       string
	seq         int
	born        int64
	isGone      bool
	runs        []run
	stopBeating chan struct{}
}

func (w *world) startServer(id, service, zone string) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{world: w, id: id, service: service, zone: zone, slots: 6, listener: listener, state: "ready", stopBeating: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	if service == modelService {
		s.slots = 128
	}
	w.servers = append(w.servers, s)
	s.beat()
	go func() {
		time.Sleep(time.Duration(rand.Int64N(int64(heartbeat))))
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.beat()
			case <-s.stopBeating:
				return
			}
		}
	}()
	return s, nil
}

// beat writes the server's row and returns the store's version of it.
func (s *server) beat() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isGone {
		return 0
	}
	s.seq++
	return s.world.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "cold_remaining_ms": 0, "seq": s.seq, "born": s.world.start.UnixMilli(),
	})
}

// drain reports that the server leaves and returns when the store acknowledged that.
func (s *server) drain() (ack time.Time, ver uint64) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	ver = s.beat()
	return time.Now(), ver
}

// exit ends the server, whose row goes.
func (s *server) exit() {
	s.mu.Lock()
	wasGone := s.isGone
	s.isGone = true
	s.mu.Unlock()
	if wasGone {
		return
	}
	close(s.stopBeating)
	s.world.store.remove("servers", s.id)
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, server: s.id, at: at})
	handler := s.handler
	s.mu.Unlock()
	s.world.log("run %s at %s", id, s.id)
	if handler != nil {
		handler(w, r)
		return
	}
	time.Sleep(workTime)
	s.answer(w, http.StatusOK, "done by "+s.id)
}

// answer answers a request that has run.
func (s *server) answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("X-Response-Stamp", "stamp-"+w.Header().Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func (s *server) setHandler(handler func(w http.ResponseWriter, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// sent is a request of a client and its answer.
type sent struct {
	id, front   string
	key         string
	at          time.Time
	status      int
	hasStamp    bool
	retryAfter  string
	description string
}

// send sends one request to a front and waits for the answer.
func (w *world) send(client *http.Client, f *front, method, path, key string, budget time.Duration) sent {
	id := fmt.Sprintf("%016x", w.requests.Add(1)<<20|uint64(rand.IntN(1<<20)))
	result := sent{id: id, front: f.name, key: key, at: time.Now(), description: method + " " + path}
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 600)
	}
	request, err := http.NewRequest(method, "http://"+f.clients+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "khat.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err == nil {
		result.status, result.hasStamp, result.retryAfter = response.StatusCode, response.Header.Get("X-Response-Stamp") != "", response.Header.Get("Retry-After")
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	w.log("sent %s at %d to %s (%s): status %d, stamp %v, retry-after %q, error %v", id, w.since(result.at), f.name, result.description, result.status, result.hasStamp, result.retryAfter, err)
	return result
}

// newClient returns a client that does not repeat requests by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}, Timeout: 20 * time.Second}
}

// traffic sends requests at an interval until the channel is closed, and returns them.
func (w *world) traffic(interval time.Duration, method, path string, stop <-chan struct{}) <-chan []sent {
	return w.repeat(interval, stop, func(client *http.Client, f *front) sent {
		return w.send(client, f, method, path, apiKey, 2500*time.Millisecond)
	})
}

// repeat calls the function at an interval, for each front in turn, until the channel is
// closed, and returns what was sent.
func (w *world) repeat(interval time.Duration, stop <-chan struct{}, one func(client *http.Client, f *front) sent) <-chan []sent {
	result := make(chan []sent, 1)
	go func() {
		var mu sync.Mutex
		var list []sent
		var running sync.WaitGroup
		client := newClient()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				running.Wait()
				result <- list
				return
			case <-ticker.C:
			}
			running.Go(func() {
				s := one(client, w.fronts[i%len(w.fronts)])
				mu.Lock()
				list = append(list, s)
				mu.Unlock()
			})
		}
	}()
	return result
}

// byID returns requests by their ids.
func byID(lists ...[]sent) map[string]sent {
	requests := map[string]sent{}
	for _, list := range lists {
		for _, s := range list {
			requests[s.id] = s
		}
	}
	return requests
}

// startServices starts twelve model servers and three of an application, which it returns.
func (w *world) startServices() (apps []*server, err error) {
	for i := range 15 {
		id, service := "llm-"+strconv.Itoa(i-2), modelService
		if i < 3 {
			id, service = "app-"+strconv.Itoa(i+1), appService
		}
		s, err := w.startServer(id, service, w.zones[i%len(w.zones)])
		if err != nil {
			return nil, err
		}
		if i < 3 {
			apps = append(apps, s)
		}
	}
	return apps, nil
}

// firstVersion is the version of the first manifest.
const firstVersion = 3

// errNotServed is the error of a case whose first requests are not served.
var errNotServed = errors.New("the first requests are not served")

// manifest returns a version of the operator's manifest with a tenant for each key.
func manifest(version int, keys ...string) map[string]any {
	tenants := []map[string]any{}
	for i, key := range keys {
		tenants = append(tenants, map[string]any{"name": "partner-" + strconv.Itoa(i+1), "api_keys": []string{key}})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "chat", "host": "khat.example", "prefix": "/chat/", "route_type": "stream", "timeout_ms": 15000, "latency_target_ms": 500, "priority": 2, "service": modelService, "attempts": 1, "public": false, "session_affinity": true, "resumable": false, "gap_aim_ms": 400},
			{"name": "reserve", "host": "khat.example", "prefix": "/reserve/", "route_type": "unsafe", "timeout_ms": 1200, "latency_target_ms": 150, "priority": 2, "service": appService, "attempts": 1, "public": false},
			{"name": "look", "host": "khat.example", "prefix": "/look/", "route_type": "safe", "timeout_ms": 1200, "latency_target_ms": 150, "priority": 2, "service": appService, "attempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": modelService, "health_path": "/healthz", "max_connections": 620, "engine": map[string]any{"slots": 128, "kv_tokens": 427237}},
			{"name": appService, "health_path": "/healthz", "max_connections": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}
