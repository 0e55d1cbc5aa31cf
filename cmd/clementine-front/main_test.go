package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemfront"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// waitTimeout bounds every wait, with room for a busy machine.
const (
	waitTimeout  = time.Minute
	pollInterval = 5 * time.Millisecond
	// maxShownLines is how much of a front's log a failed test shows.
	maxShownLines = 20
)

// startServer starts a stand-in of the platform's backend servers and returns its
// address.
func startServer(t *testing.T, id string) string {
	server := httptest.NewServer(clemstandin.NewEchoServer(id))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// addressCount is the number of addresses that freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns an unused address of the loopback interface. Each has an IP address of
// its own: on 127.0.0.1 a server of the same test may get the port until it is used.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.%d:0", os.Getpid()&255, 1+addressCount.Add(1)%250))
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// testFront is a front that runs against the stand-ins.
type testFront struct {
	t                          *testing.T
	store                      *clemstandin.Provider
	frontAddress, readyAddress string
	controlAddress             string
	stop                       chan os.Signal
	ended                      chan error
	settingsPath               string
	settingsText               string
	mu                         sync.Mutex
	logLines                   []string
}

// Write collects the front's log lines.
func (f *testFront) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logLines = append(f.logLines, strings.Split(strings.TrimSpace(string(p)), "\n")...)
	return len(p), nil
}

func (f *testFront) hasLogLine(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Contains(strings.Join(f.logLines, "\n"), text)
}

// startFront starts a front with a store of its own, and some peers.
func startFront(t *testing.T, peers ...*testFront) *testFront {
	f := &testFront{
		t: t, store: clemstandin.NewProvider(), frontAddress: freeAddress(t), readyAddress: freeAddress(t), controlAddress: freeAddress(t),
		stop: make(chan os.Signal, 1), ended: make(chan error, 1),
		settingsPath: filepath.Join(t.TempDir(), "settings.json"),
	}
	provider := httptest.NewServer(f.store)
	t.Cleanup(provider.Close)
	seeds := []string{}
	for _, peer := range peers {
		seeds = append(seeds, strconv.Quote(peer.controlAddress))
	}
	// The metrics have a fixed port, so that each front needs an address of its own.
	f.settingsText = fmt.Sprintf(`{"node": "front-%d", "ip": "127.0.0.%[1]d", "zone": "z", "listen": {"front": %q, "ready": %q, "control": %q},
		"heartbeat_ms": 1200, "provider": {"address": %q}, "seeds": [%s],
		"bounds": {"grace_s": 8, "cap_x": 2, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 20}}`,
		len(peers)+1, f.frontAddress, f.readyAddress, f.controlAddress, strings.TrimPrefix(provider.URL, "http://"), strings.Join(seeds, ", "))
	f.writeSettings(f.settingsText)
	config := newConfig(f.settingsPath)
	config.LogOutput, config.Stop = f, f.stop
	go func() {
		defer close(f.ended)
		f.ended <- clemfront.Run(t.Context(), config)
	}()
	// Fronts with the same address have one port for metrics, so that a test waits for
	// the end of its fronts.
	t.Cleanup(func() { <-f.ended })
	return f
}

func (f *testFront) writeSettings(text string) {
	require.NoError(f.t, os.WriteFile(f.settingsPath, []byte(text), 0o600))
}

// putConfiguration writes a version of the configuration with the given routes.
func (f *testFront) putConfiguration(version int, prefixes ...string) {
	require.NoError(f.t, f.store.Put("op", "config", configurationOf(version, prefixes...)))
}

func configurationOf(version int, prefixes ...string) map[string]any {
	var routes []map[string]any
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r" + prefix, "host": "shop.example", "prefix": prefix, "route_type": "safe", "service": "app",
			"timeout_ms": 5000, "latency_target_ms": 1000, "attempts": 2,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "app"}},
		"tenants": []map[string]any{{"name": "acme", "api_keys": []string{"k1"}}},
	}
}

// troubleConfiguration returns a version with the service "trouble", which has engines, its
// routes "/stream/" and "/plain/", whose requests run at most once, and the route "/a/" to
// another service.
func troubleConfiguration(version int) map[string]any {
	configuration := configurationOf(version, "/a/", "/stream/", "/plain/")
	for _, route := range configuration["routes"].([]map[string]any)[1:] {
		route["service"], route["timeout_ms"], route["attempts"] = "trouble", 30000, 1
		route["route_type"] = map[any]string{"/stream/": "stream", "/plain/": "unsafe"}[route["prefix"]]
	}
	configuration["services"] = []map[string]any{{"name": "app"}, {"name": "trouble", "engine": map[string]any{"slots": endlessRequests, "kv_tokens": 400000}}}
	return configuration
}

func (f *testFront) putServer(id, at string) {
	require.NoError(f.t, f.store.Put("servers", id, map[string]any{
		"service": "app", "address": at, "zone": "z", "slots": 4, "state": "ready", "seq": 1,
	}))
}

// get sends a request and returns the status and body of its response.
func (f *testFront) get(path, key string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.frontAddress+path, nil)
	require.NoError(f.t, err)
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", "r1")
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response.StatusCode, string(body)
}

func (f *testFront) isReady() bool {
	response, err := http.Get("http://" + f.readyAddress + "/")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *testFront) eventually(condition func() bool) {
	f.t.Helper()
	if !assert.Eventually(f.t, condition, waitTimeout, pollInterval) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.t.Fatal("the front's last lines:\n" + strings.Join(f.logLines[max(len(f.logLines)-maxShownLines, 0):], "\n"))
	}
}

// TestFrontOnStandins runs a front from start to stop: without a configuration,
// serving, under changes of the configuration, an outage of the store and changes
// of the settings, and while it drains.
func TestFrontOnStandins(t *testing.T) {
	f := startFront(t)
	f.eventually(func() bool { status, _ := f.get("/a/", "k1"); return status == http.StatusServiceUnavailable })
	require.False(t, f.isReady())

	f.putConfiguration(1, "/a/")
	f.putServer("i-1", startServer(t, "i-1"))
	f.eventually(f.isReady)
	f.eventually(func() bool { status, _ := f.get("/a/", "k1"); return status == http.StatusOK })
	_, body := f.get("/a/x%2Fy?q=1", "k1")
	require.Equal(t, "GET /a/x%2Fy?q=1 acme", body)
	status, _ := f.get("/a/", "k2")
	require.Equal(t, http.StatusUnauthorized, status)
	status, _ = f.get("/b/", "k1")
	require.Equal(t, http.StatusNotFound, status)

	f.store.SetFailureStatus(http.StatusServiceUnavailable)
	f.eventually(func() bool { return f.hasLogLine("store does not answer") })
	status, _ = f.get("/a/", "k1")
	require.Equal(t, http.StatusOK, status, "the last known state is used")
	f.store.SetFailureStatus(0)
	f.eventually(func() bool { return f.hasLogLine("store answers again") })

	f.store.Compact()
	f.putConfiguration(2, "/a/", "/b/")
	f.eventually(func() bool { status, _ := f.get("/b/", "k1"); return status == http.StatusOK })

	f.writeSettings("{")
	f.eventually(func() bool { return f.hasLogLine("settings rejected") })
	f.writeSettings(strings.Replace(f.settingsText, `"cap_x": 2`, `"cap_x": 3`, 1))
	f.eventually(func() bool { return f.hasLogLine("settings read again") })

	// Requests succeed although another server answers at the address of i-2.
	f.store.Delete("servers", "i-1")
	f.putServer("i-2", startServer(t, "i-other"))
	f.putServer("i-3", startServer(t, "i-3"))
	f.eventually(func() bool { status, body := f.get("/a/", "k1"); return status == http.StatusOK && body != "" })

	f.stop <- syscall.SIGTERM
	f.eventually(func() bool { return !f.isReady() })
	status, _ = f.get("/a/", "k1")
	require.Equal(t, http.StatusOK, status, "it still serves until the load balancer has removed it")
	require.NoError(t, <-f.ended)
	require.True(t, f.hasLogLine("process stopped"))
}

// Guards against an evacuation that is read and not passed on to the choice of servers, or
// not withdrawn there.
func TestFrontFollowsEvacuations(t *testing.T) {
	f := startFront(t)
	f.putConfiguration(1, "/a/")
	f.putServer("i-1", startServer(t, "i-1"))
	f.eventually(f.isReady)
	f.eventually(func() bool { status, _ := f.get("/a/", "k1"); return status == http.StatusOK })
	require.NoError(t, f.store.Evacuate("elsewhere"))
	require.NoError(t, f.store.Evacuate("z"))
	f.eventually(func() bool { status, _ := f.get("/a/", "k1"); return status == http.StatusServiceUnavailable })
	f.eventually(func() bool { return f.hasLogLine("all data centres evacuated") })
	f.eventually(func() bool {
		return f.hasLogLine(`evacuated data centre unknown","node":"front-1","centre":"elsewhere"`)
	})
	f.store.WithdrawEvacuation("z")
	f.eventually(func() bool { status, _ := f.get("/a/", "k1"); return status == http.StatusOK })
	f.stop <- syscall.SIGTERM
	require.NoError(t, <-f.ended)
}

// TestInvalidSettings checks that invalid settings fail with an error that names
// the field.
func TestInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"node": "n"}`), 0o600))
	err := clemfront.Run(context.Background(), newConfig(path))
	require.ErrorContains(t, err, "listen")
	_, err = os.Stat(path)
	require.NoError(t, err)
}

// TestReadinessOnOneConnection sends the load balancer's readiness checks over a
// single connection.
func TestReadinessOnOneConnection(t *testing.T) {
	f := startFront(t)
	f.putConfiguration(1, "/a/")
	f.putServer("i-1", startServer(t, "i-1"))
	f.eventually(f.isReady)
	conn, err := net.Dial("tcp", f.readyAddress)
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err = io.WriteString(conn, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_ = response.Body.Close()
	}
	f.stop <- syscall.SIGTERM
	require.NoError(t, <-f.ended)
}
