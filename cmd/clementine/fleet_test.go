package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	operatorToken = "operator-token-0123456789"
	// waitTimeout bounds every wait, with room for a busy machine.
	waitTimeout  = 90 * time.Second
	pollInterval = 50 * time.Millisecond
)

// binaries is the directory that holds the commands under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clementine")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../clementine", "../clementine-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a small fleet of real processes on a loopback address of its own.
type fleet struct {
	t         *testing.T
	dir       string
	ip        string
	processes map[string]*exec.Cmd
	secret    string
}

// startFleet starts platform, engines, services, sidecars and entries, and
// configures them through the operators' interface.
func startFleet(t *testing.T, octet int) *fleet {
	pid := os.Getpid()
	f := &fleet{
		t: t, dir: t.TempDir(), ip: fmt.Sprintf("127.%d.%d", 1+pid%200, pid/200%200),
		processes: map[string]*exec.Cmd{},
	}
	f.ip += fmt.Sprintf(".%d", octet)
	t.Cleanup(f.stopAll)
	f.writeHosts()
	f.run("platform", "clementine-standin", "platform", "--listen", f.address("platform"), "--hosts", f.path("hosts.json"))
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		f.run(name, "clementine-standin", "engine", "--listen", f.address(name), "--model", "llama", "--name", name, "--step", "60ms", "--output", "40")
	}
	for _, name := range []string{"order-1", "order-2"} {
		f.run(name, "clementine-standin", "service", "--listen", f.address(name), "--name", name)
	}
	for _, name := range f.nodes() {
		f.startNode(name)
	}
	f.configure()
	return f
}

func (f *fleet) nodes() []string {
	return []string{"entry-1", "entry-2", "sidecar-engine-1", "sidecar-engine-2", "sidecar-engine-3", "sidecar-order-1", "sidecar-order-2"}
}

// ports assigns a port to each listener of the fleet.
var ports = map[string]int{
	"platform": 7000, "entry-1": 7101, "entry-2": 7102, "admin-1": 7201, "admin-2": 7202,
	"sidecar-engine-1": 7301, "sidecar-engine-2": 7302, "sidecar-engine-3": 7303, "sidecar-order-1": 7311, "sidecar-order-2": 7312,
	"engine-1": 7401, "engine-2": 7402, "engine-3": 7403, "order-1": 7411, "order-2": 7412,
}

func (f *fleet) address(name string) string { return fmt.Sprintf("%s:%d", f.ip, ports[name]) }

func (f *fleet) url(name, path string) string { return "http://" + f.address(name) + path }

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

// host returns the name of a node's host. A sidecar runs on the host of its
// backend server.
func host(node string) string { return strings.TrimPrefix(node, "sidecar-") }

func pool(node string) string {
	if strings.Contains(node, "order") {
		return "orders"
	}
	return "chat"
}

func (f *fleet) writeHosts() {
	type entry struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Region  string `json:"region"`
		Centre  string `json:"centre"`
		Role    string `json:"role"`
		Pool    string `json:"pool,omitempty"`
		Admin   string `json:"admin,omitempty"`
	}
	var hosts []entry
	for i, node := range f.nodes() {
		e := entry{Name: host(node), Address: f.address(node), Region: "bengal", Centre: []string{"kol-a", "kol-b", "kol-c"}[i%3], Role: "entry"}
		if node != host(node) {
			e.Role, e.Pool = "sidecar", pool(node)
		} else {
			e.Admin = f.address("admin" + strings.TrimPrefix(node, "entry"))
		}
		hosts = append(hosts, e)
	}
	f.writeJSON("hosts.json", map[string]any{"hosts": hosts})
}

func (f *fleet) writeJSON(name string, value any) {
	data, err := json.Marshal(value)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(f.path(name), data, 0o600))
}

// startNode writes a node's settings and starts it.
func (f *fleet) startNode(node string) {
	settings := map[string]any{
		"name": host(node), "region": "bengal", "centre": "kol-a", "listen": f.address(node),
		"platform": f.url("platform", ""), "fleet": "fleet-key-0123456789", "grace": "30s",
	}
	if node == host(node) {
		digest := sha256.Sum256([]byte(operatorToken))
		settings["role"], settings["settle"] = "entry", "100ms"
		settings["admin"] = f.address("admin" + strings.TrimPrefix(node, "entry"))
		settings["operators"] = []any{map[string]string{"name": "test", "digest": hex.EncodeToString(digest[:])}}
	} else {
		settings["role"], settings["pool"], settings["backend"] = "sidecar", pool(node), f.url(host(node), "")
	}
	f.writeJSON(node+".json", settings)
	f.run(node, "clementine", settings["role"].(string), f.path(node+".json"))
}

// run starts a process, which is killed at the end of the test.
func (f *fleet) run(name, binary string, args ...string) {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer log.Close()
	command := exec.Command(filepath.Join(binaries, binary), args...)
	command.Stdout, command.Stderr = log, log
	require.NoError(f.t, command.Start())
	f.processes[name] = command
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	require.NoError(f.t, f.processes[name].Process.Signal(signal))
}

// kill kills a process and waits for its exit.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	_ = f.processes[name].Wait()
	delete(f.processes, name)
}

// stop sends a process two stop signals and checks that it exits with 0.
func (f *fleet) stop(name string) {
	f.signal(name, syscall.SIGTERM)
	f.signal(name, syscall.SIGTERM)
	require.NoError(f.t, f.processes[name].Wait(), "%s exits with 0", name)
	delete(f.processes, name)
}

func (f *fleet) stopAll() {
	for name, command := range f.processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
		if f.t.Failed() {
			if log, err := os.ReadFile(f.path(name + ".log")); err == nil {
				f.t.Logf("%s:\n%s", name, log[max(0, len(log)-2000):])
			}
		}
	}
}

// ctl runs one command of the operators' command line.
func (f *fleet) ctl(input string, args ...string) (string, error) {
	command := exec.Command(filepath.Join(binaries, "clementine"), append([]string{"ctl"}, args...)...)
	command.Env = append(os.Environ(), "CLEMENTINE_TOKEN="+operatorToken, "CLEMENTINE_ADDRESS="+f.url("admin-1", ""))
	command.Stdin = strings.NewReader(input)
	out, err := command.CombinedOutput()
	return string(out), err
}

func (f *fleet) configure() {
	f.eventually("the operators' interface answers", func() bool {
		_, err := f.ctl("", "list", "pool")
		return err == nil
	})
	for _, step := range []struct{ kind, entity string }{
		{"organisation", `{"organisation":{"name":"khat","weight":1,"queue":100}}`},
		{"pool", `{"pool":{"name":"chat","kind":"POOL_KIND_MODEL","model":"llama","bound":2,"slots":8,"longCost":"4000","longShare":0.5}}`},
		{"pool", `{"pool":{"name":"orders","kind":"POOL_KIND_PLAIN","bound":2,"slots":16,"longCost":"4000","longShare":0.5}}`},
		{"service", `{"service":{"name":"orders","pool":"orders"}}`},
	} {
		out, err := f.ctl(step.entity, "create", step.kind, "--file", "-")
		require.NoError(f.t, err, out)
	}
	out, err := f.ctl("", "key", "add", "khat", "main", "--json")
	require.NoError(f.t, err, out)
	var key struct{ Secret string }
	require.NoError(f.t, json.Unmarshal([]byte(out), &key), out)
	f.secret = key.Secret
	for _, entry := range []string{"entry-1", "entry-2"} {
		f.eventually(entry+" serves chats", func() bool {
			r := f.chat(entry, "warm up "+entry, "")
			return r.status == http.StatusOK && r.isComplete()
		})
	}
	f.eventually("reserves are served", func() bool { return f.reserve("entry-1", "warm-up").status == http.StatusOK })
	for _, name := range []string{"order-1", "order-2"} {
		f.setFaults(name, `{"answer":"2s"}`)
	}
}

func (f *fleet) eventually(what string, done func() bool) {
	require.Eventually(f.t, done, waitTimeout, pollInterval, what)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	server string
	body   string
	// lastEventID is the id of the last event received.
	lastEventID string
	err         error
}

func (a *callerResponse) isComplete() bool {
	return strings.HasSuffix(a.body, "data: [DONE]\n\n") && a.err == nil
}

// text returns the generated text of a stream.
func (a *callerResponse) text() string {
	var text strings.Builder
	for _, line := range strings.Split(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// chat sends a streamed chat. watch, if given, is called with the body received
// so far after each read.
func (f *fleet) chat(entry, question, lastEventID string, watch ...func(body string)) *callerResponse {
	body := fmt.Sprintf(`{"model":"llama","stream":true,"max_tokens":40,"messages":[{"role":"user","content":%q}]}`, question)
	return f.post(entry, "/v1/chat/completions", body, map[string]string{"Last-Event-ID": lastEventID}, watch...)
}

func (f *fleet) reserve(entry, key string) *callerResponse {
	return f.post(entry, "/v1/services/orders/reserve", `{"cot":7}`, map[string]string{"Idempotency-Key": key})
}

func (f *fleet) post(entry, path, body string, header map[string]string, watch ...func(string)) *callerResponse {
	request, err := http.NewRequest(http.MethodPost, f.url(entry, path), strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+f.secret)
	for key, value := range header {
		if value != "" {
			request.Header.Set(key, value)
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &callerResponse{err: err}
	}
	defer response.Body.Close()
	a := &callerResponse{status: response.StatusCode, server: response.Header.Get("X-Backend-Server")}
	a.read(response.Body, watch)
	return a
}

func (a *callerResponse) read(from io.Reader, watch []func(string)) {
	var text bytes.Buffer
	buffer := make([]byte, 4096)
	for a.err == nil {
		var n int
		n, a.err = from.Read(buffer)
		text.Write(buffer[:n])
		for _, callback := range watch {
			callback(text.String())
		}
	}
	if a.err == io.EOF {
		a.err = nil
	}
	a.body = text.String()
	for _, line := range strings.Split(a.body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.lastEventID = id
		}
	}
}

// runs returns how often the services ran the call of a key.
func (f *fleet) runs(key string) int {
	total := 0
	for _, name := range []string{"order-1", "order-2"} {
		response, err := http.Get(f.url(name, "/runs"))
		require.NoError(f.t, err)
		var counts struct{ Keys map[string]int }
		require.NoError(f.t, json.NewDecoder(response.Body).Decode(&counts))
		_ = response.Body.Close()
		total += counts.Keys[key]
	}
	return total
}

// setFaults sets the faults of a stand-in.
func (f *fleet) setFaults(name, faults string) {
	request, err := http.NewRequest(http.MethodPut, f.url(name, "/faults"), strings.NewReader(faults))
	require.NoError(f.t, err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	_ = response.Body.Close()
	require.Less(f.t, response.StatusCode, 300)
}
