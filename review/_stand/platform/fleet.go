package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
	// memoryMB is the memory of a front's machine.
	memoryMB = 284
)

// fleet is what a case runs: the store, some fronts and the record of the run.
type fleet struct {
	dir           string
	store         *store
	fronts        []*front
	hasDisruption bool

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

var current *fleet

// newFleet starts the store and opens the record in the folder of the case.
func newFleet(folder string) *fleet {
	dir, err := os.MkdirTemp("", "stand-")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fail("no record: %v", err)
	}
	f := &fleet{dir: dir, record: record, start: time.Now(), hasDisruption: os.Getenv("TROUBLE") != "0"}
	current = f
	f.store = newStore("127.0.0.1")
	f.log("disruption: %v", f.hasDisruption)
	return f
}

// log writes a line to the record.
func (f *fleet) log(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, values...))
}

// fail ends a case that cannot run.
func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	if current != nil {
		current.log("cannot run: "+format, values...)
		current.close()
	}
	os.Exit(exitCannot)
}

// finish ends the case with its verdict.
func (f *fleet) finish(isBroken bool, format string, values ...any) {
	verdict, code := "held", exitHeld
	if isBroken {
		verdict, code = "broken", exitBroken
	}
	text := fmt.Sprintf(format, values...)
	f.log("rule %s: %s", verdict, text)
	fmt.Printf("rule %s: %s\n", verdict, text)
	f.close()
	os.Exit(code)
}

func (f *fleet) close() {
	for _, front := range f.fronts {
		front.kill()
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// front is a process of the system.
type front struct {
	fleet                  *fleet
	name, zone, ip         string
	client, ready, control string
	command                *exec.Cmd
	ended                  chan struct{}
}

// newFront starts a front on an own loopback address.
func (f *fleet) newFront(name, zone, storeAddress string, seeds []string) *front {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
	front := &front{fleet: f, name: name, zone: zone, ip: ip, ended: make(chan struct{})}
	front.client, front.ready, front.control = freeAddress(ip), freeAddress(ip), freeAddress(ip)
	if seeds == nil {
		seeds = []string{front.control}
	}
	settings := map[string]any{
		"node": name, "role": "front", "machine_class": "front", "serves": []string{"front", "control"}, "ip": ip, "zone": zone, "region": "bengal",
		"zones":  map[string]string{"kol-a": "bengal", "kol-b": "bengal", "kol-c": "bengal"},
		"listen": map[string]string{"front": front.client, "ready": front.ready, "control": front.control}, "port_range": []int{7340, 7355}, "seeds": seeds,
		"bootstrap": true, "limits": map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "touch_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_s": 8, "lost_ms": 200, "config_ms": 2000, "back_ms": 250,
			"outer_ms": 5000, "fail_closed": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 54, "recover_s": 12, "pass_ms": 120, "again_s": 10, "cap_x": 2,
		},
		"provider": map[string]any{"address": storeAddress, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
	}
	data, _ := json.MarshalIndent(settings, "", " ")
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		fail("no settings file: %v", err)
	}
	front.command = exec.Command("target/clementine-front")
	front.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "CLEMENTINETURN_NODE_FILE=" + path}
	front.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		fail("no log file: %v", err)
	}
	front.command.Stdout, front.command.Stderr = log, log
	if err := front.command.Start(); err != nil {
		fail("the front cannot start: %v", err)
	}
	go func() {
		_ = front.command.Wait()
		close(front.ended)
	}()
	f.fronts = append(f.fronts, front)
	f.log("front %s started", name)
	return front
}

func (o *front) kill() {
	_ = o.command.Process.Kill()
	<-o.ended
}

// hasEnded reports whether the process has ended.
func (o *front) hasEnded() bool {
	select {
	case <-o.ended:
		return true
	default:
		return false
	}
}

// isReady asks the question of the platform's load balancer.
func (o *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + o.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the front is ready.
func (o *front) waitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if o.isReady() {
			o.fleet.log("front %s is ready", o.name)
			return
		}
	}
	fail("front %s is not ready", o.name)
}

// residentMB returns the resident memory of the process.
func (o *front) residentMB() float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(o.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(text)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("no free port at %s: %v", ip, err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// route is a route of the manifest.
func route(name, kind, service string, timeoutMS, targetMS float64, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "shop.example", "prefix": "/" + name + "/", "route_type": kind, "service": service, "timeout_ms": timeoutMS, "latency_target_ms": targetMS,
		"priority": 1, "attempts": 1, "public": false, "session_affinity": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// putManifest writes the operator's manifest.
func (f *fleet) putManifest(version int, routes []map[string]any, services []map[string]any) {
	f.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{{"name": "howrah", "api_keys": []string{"key-howrah"}}, {"name": "siliguri", "api_keys": []string{"key-siliguri"}}},
	})
}
