package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the users' pages that the checks use.
const (
	touch         = 3 * time.Second
	configBound   = 2 * time.Second
	memoryLimitMB = 284
	maxBodyBytes  = 4194304
)

// cannotRun returns the error of a case that could not run, in which the rule was
// neither broken nor kept.
func cannotRun(format string, args ...any) error {
	return fmt.Errorf("the case could not run: "+format, args...)
}

// bench holds what a case has started: a store, fronts and backend servers.
type bench struct {
	started  time.Time
	trouble  bool
	dir      string
	frontBin string
	network  string

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File

	store        *store
	storeAddress string
	processes    []*exec.Cmd
}

// newBench opens the record and starts the stand-in of the platform's store.
func newBench(recordPath, frontBin string, trouble bool) (*bench, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	// A loopback network of its own for the run, since the port of the metrics is
	// the same on every machine.
	pid := os.Getpid()
	b := &bench{
		started: time.Now(), trouble: trouble, dir: dir, frontBin: frontBin,
		network: fmt.Sprintf("127.%d.%d", 20+pid%200, (pid/200)%250),
		file:    file, record: bufio.NewWriter(file), store: newStore(),
	}
	if b.storeAddress, err = b.listen(b.network+".1", b.store); err != nil {
		return nil, err
	}
	b.note("trouble=%v store=%s", trouble, b.storeAddress)
	return b, nil
}

// note writes a line to the record, with the time since the start.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends every process and closes the record.
func (b *bench) close() {
	for _, p := range b.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
	_ = b.file.Close()
	_ = os.RemoveAll(b.dir)
}

// listen serves a handler at a free port of the address.
func (b *bench) listen(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// freePort returns a port of the address that is free now.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start starts a process whose output goes to a file.
func (b *bench) start(name string, env []string, command string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := exec.Command(command, args...)
	p.Stdout, p.Stderr, p.Env = out, out, append(os.Environ(), env...)
	if err := p.Start(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	b.note("started %s, process %d", name, p.Process.Pid)
	return p, nil
}

// front is a front of the project, started by the command of the deploy file.
type front struct {
	name, address, ready string
	settings             string
	process              *exec.Cmd
}

// newFront starts a front with the settings of a small deployment.
func (b *bench) newFront(n int, store string) (*front, error) {
	ip := fmt.Sprintf("%s.%d", b.network, 10+n)
	f := &front{name: fmt.Sprintf("front-%d", n)}
	var control string
	for _, address := range []*string{&f.address, &f.ready, &control} {
		var err error
		if *address, err = freePort(ip); err != nil {
			return nil, err
		}
	}
	settings := map[string]any{
		"node": f.name, "role": "front", "machine_class": "front", "serves": []string{"front", "control"}, "ip": ip,
		"zone": "kol-a", "region": "bengal", "zones": map[string]string{"kol-a": "bengal"},
		"listen":     map[string]string{"front": f.address, "ready": f.ready, "control": control},
		"port_range": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": memoryLimitMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "touch_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_s": 8,
			"lost_ms": 200, "config_ms": 2000, "back_ms": 250, "outer_ms": 5000, "fail_closed": false, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 54, "recover_s": 12, "pass_ms": 120, "again_s": 10, "cap_x": 2,
		},
		"provider": map[string]any{
			"address": store, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_per_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	f.settings = filepath.Join(b.dir, f.name+".json")
	if err := os.WriteFile(f.settings, data, 0o600); err != nil {
		return nil, err
	}
	return f, b.startFront(f)
}

// newFronts starts fronts and waits until all of them are ready.
func (b *bench) newFronts(count int, store string) ([]*front, error) {
	var fronts []*front
	for n := range count {
		f, err := b.newFront(n, store)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, f)
	}
	for _, f := range fronts {
		if err := b.waitReady(f); err != nil {
			return nil, err
		}
	}
	return fronts, nil
}

// startFront starts the process of a front.
func (b *bench) startFront(f *front) (err error) {
	f.process, err = b.start(f.name, []string{"CLEMENTINETURN_NODE_FILE=" + f.settings}, b.frontBin)
	return err
}

// waitReady waits until the front answers the platform's question with 200.
func (b *bench) waitReady(f *front) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + f.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			b.note("%s is ready", f.name)
			return nil
		}
	}
	return cannotRun("%s isn't ready", f.name)
}

// route is a route of the manifest.
func route(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "latency_target_ms": 600,
		"priority": 1, "service": service, "attempts": attempts, "public": false, "session_affinity": false, "resumable": false, "gap_aim_ms": 400,
	}
}

// putManifest writes a manifest, as the operator does, and returns when the store
// acknowledged it.
func (b *bench) putManifest(version int, keys, services []string, routes ...map[string]any) (time.Time, error) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 600, "protocol": "h1", "tls": false})
	}
	err := b.store.Put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": keys, "priority": 1}},
	})
	b.note("manifest %d acknowledged, keys %v", version, keys)
	return time.Now(), err
}

// putServer writes the row of a backend server.
func (b *bench) putServer(id, service, address string, born int64, slots int) error {
	return b.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "kol-a", "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": born,
	})
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	header http.Header
	body   []byte
	// err is set if the answer didn't come or wasn't complete.
	err error
}

// query describes a request of a client.
type query struct {
	method, path, key, id string
	deadline              time.Duration
	body                  []byte
	header                map[string]string
}

// ask sends one request over a channel of its own and returns the answer.
func ask(f *front, q query) answer {
	a := answer{id: q.id, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", f.address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, q.id, q.deadline.Milliseconds(), q.key)
	for name, value := range q.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	if _, err := conn.Write(append(head.Bytes(), q.body...)); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}

// complete describes whether the answer came whole.
func (a answer) complete() string {
	if a.err != nil {
		return "not complete: " + a.err.Error()
	}
	return "complete"
}

// proxy forwards channels to an address. It can stop forwarding on open channels,
// which stay open, while new ones work.
type proxy struct {
	address, target string

	mu    sync.Mutex
	links []*link
}

type link struct {
	client, server net.Conn
	mu             sync.Mutex
	lastBytes      time.Time
	silent         bool
}

func (b *bench) newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			l := &link{client: client, server: server, lastBytes: time.Now()}
			p.mu.Lock()
			p.links = append(p.links, l)
			p.mu.Unlock()
			go l.forward(client, server)
			go l.forward(server, client)
		}
	}()
	return p, nil
}

func (l *link) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		if !silent {
			l.lastBytes = time.Now()
		}
		l.mu.Unlock()
		if silent {
			// Nothing passes any more, not even the end of the channel.
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence silences the open channels on which nothing has passed for the time.
func (p *proxy) silence(quiet time.Duration) (silenced, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		open++
		if time.Since(l.lastBytes) >= quiet {
			l.silent = true
			silenced++
		}
		l.mu.Unlock()
	}
	return silenced, open
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			fields := strings.Fields(rest)
			if kb, err := strconv.Atoi(slices.Concat(fields, []string{"0"})[0]); err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}

// every calls a function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}
