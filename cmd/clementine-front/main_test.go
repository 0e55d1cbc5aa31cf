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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemfront"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// waitLimit bounds waiting for what must happen; it is no measure of speed.
const (
	waitLimit = time.Minute
	waitPace  = 5 * time.Millisecond
)

// application is a backend server that answers as the platform's do.
func application(t *testing.T, id string) string {
	server := httptest.NewServer(clemstandin.NewServer(id))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// address returns an address of the loopback interface that nobody listens on.
func address(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// fleet is a front on the stand-ins.
type fleet struct {
	t            *testing.T
	store        *clemstandin.Provider
	front, ready string
	stop         chan os.Signal
	ended        chan error
	settings     string
	settingsText string
	mu           sync.Mutex
	lines        []string
}

// Write takes the front's log lines.
func (f *fleet) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, strings.Split(strings.TrimSpace(string(p)), "\n")...)
	return len(p), nil
}

func (f *fleet) hasLine(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Contains(strings.Join(f.lines, "\n"), text)
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, store: clemstandin.NewProvider(), front: address(t), ready: address(t),
		stop: make(chan os.Signal, 1), ended: make(chan error, 1),
		settings: filepath.Join(t.TempDir(), "settings.json"),
	}
	provider := httptest.NewServer(f.store)
	t.Cleanup(provider.Close)
	f.settingsText = fmt.Sprintf(`{"node": "front-1", "ip": "127.0.0.1", "zone": "z", "listen": {"front": %q, "ready": %q, "control": %q},
		"heartbeat_ms": 1200, "provider": {"address": %q},
		"bounds": {"grace_s": 8, "cap_x": 2, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 20}}`,
		f.front, f.ready, address(t), strings.TrimPrefix(provider.URL, "http://"))
	f.writeSettings(f.settingsText)
	config := newConfig(f.settings)
	config.Out, config.Stop = f, f.stop
	go func() { f.ended <- clemfront.Run(context.Background(), config) }()
	return f
}

func (f *fleet) writeSettings(text string) {
	require.NoError(f.t, os.WriteFile(f.settings, []byte(text), 0o600))
}

// configure writes a version of the configuration with the given routes.
func (f *fleet) configure(version int, prefixes ...string) {
	var routes []map[string]any
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r" + prefix, "host": "shop.example", "prefix": prefix, "route_type": "safe", "service": "app",
			"timeout_ms": 5000, "latency_target_ms": 1000, "attempts": 2,
		})
	}
	require.NoError(f.t, f.store.Put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "app"}},
		"tenants": []map[string]any{{"name": "acme", "api_keys": []string{"k1"}}},
	}))
}

func (f *fleet) serve(id, at string) {
	require.NoError(f.t, f.store.Put("servers", id, map[string]any{
		"service": "app", "address": at, "zone": "z", "slots": 4, "state": "ready", "seq": 1,
	}))
}

// ask returns the status of a request and its body.
func (f *fleet) ask(path, key string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.front+path, nil)
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

func (f *fleet) isReady() bool {
	response, err := http.Get("http://" + f.ready + "/")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) eventually(what func() bool) {
	f.t.Helper()
	require.Eventually(f.t, what, waitLimit, waitPace)
}

// The whole path on the stand-ins: start without a configuration, serve,
// follow changes, outlive an outage of the store, read settings again, leave.
func TestFrontOnStandins(t *testing.T) {
	f := newFleet(t)
	f.eventually(func() bool { status, _ := f.ask("/a/", "k1"); return status == http.StatusServiceUnavailable })
	require.False(t, f.isReady())

	f.configure(1, "/a/")
	f.serve("i-1", application(t, "i-1"))
	f.eventually(f.isReady)
	f.eventually(func() bool { status, _ := f.ask("/a/", "k1"); return status == http.StatusOK })
	_, body := f.ask("/a/x%2Fy?q=1", "k1")
	require.Equal(t, "GET /a/x%2Fy?q=1 acme", body)
	status, _ := f.ask("/a/", "k2")
	require.Equal(t, http.StatusUnauthorized, status)
	status, _ = f.ask("/b/", "k1")
	require.Equal(t, http.StatusNotFound, status)

	f.store.Fail(http.StatusServiceUnavailable)
	f.eventually(func() bool { return f.hasLine("store does not answer") })
	status, _ = f.ask("/a/", "k1")
	require.Equal(t, http.StatusOK, status, "what is known serves")
	f.store.Fail(0)
	f.eventually(func() bool { return f.hasLine("store answers again") })

	f.store.Compact()
	f.configure(2, "/a/", "/b/")
	f.eventually(func() bool { status, _ := f.ask("/b/", "k1"); return status == http.StatusOK })

	f.writeSettings("{")
	f.eventually(func() bool { return f.hasLine("settings rejected") })
	f.writeSettings(strings.Replace(f.settingsText, `"cap_x": 2`, `"cap_x": 3`, 1))
	f.eventually(func() bool { return f.hasLine("settings read again") })

	// A server whose address another one has got is not asked again.
	f.store.Drop("servers", "i-1")
	f.serve("i-2", application(t, "i-other"))
	f.serve("i-3", application(t, "i-3"))
	f.eventually(func() bool { status, body := f.ask("/a/", "k1"); return status == http.StatusOK && body != "" })

	f.stop <- syscall.SIGTERM
	f.eventually(func() bool { return !f.isReady() })
	status, _ = f.ask("/a/", "k1")
	require.Equal(t, http.StatusOK, status, "it still serves while the balancer takes it out")
	require.NoError(t, <-f.ended)
	require.True(t, f.hasLine("process stopped"))
}

// Settings that cannot be used are an error that names the field.
func TestInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"node": "n"}`), 0o600))
	err := clemfront.Run(context.Background(), newConfig(path))
	require.ErrorContains(t, err, "listen")
	_, err = os.Stat(path)
	require.NoError(t, err)
}

// The balancer's check works over a connection that stays open.
func TestReadinessOnOneConnection(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "/a/")
	f.serve("i-1", application(t, "i-1"))
	f.eventually(f.isReady)
	conn, err := net.Dial("tcp", f.ready)
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
