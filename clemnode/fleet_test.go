package clemnode

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	operatorToken = "operator-token-of-the-test"
	fleetKey      = "fleet-key-of-the-test"
	model         = "cots-7b"
	// waitTimeout bounds each wait for the fleet. It is not a performance
	// requirement.
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testFleet runs a complete fleet in the test process, on loopback: the
// platform, engines, a plain service, their sidecars and two entries.
type testFleet struct {
	t        testing.TB
	files    *tlsFiles
	client   *http.Client
	platform *clemstandin.Platform
	url      string
	engines  []*recordingHandler
	service  *clemstandin.Service
	// entries are the base URLs for callers, admin is that for operators.
	entries []string
	admin   string
	keys    map[string]string
	// stop holds, by node name, a function that signals the node to stop. The
	// channel it returns is closed when the node has ended.
	stop map[string]func() <-chan struct{}
	// hosts holds addresses by node name, generation is the latest one created.
	hosts      map[string]string
	generation uint64
}

// recordingHandler wraps a backend server and records the requests that reach
// it.
type recordingHandler struct {
	http.Handler

	mu      sync.Mutex
	running int
	bodies  []string
}

func (c *recordingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	c.count(1, string(body))
	defer c.count(-1, "")
	c.Handler.ServeHTTP(w, r)
}

func (c *recordingHandler) count(n int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	if n > 0 {
		c.bodies = append(c.bodies, body)
	}
}

func (c *recordingHandler) snapshot() (running int, bodies []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, slices.Clone(c.bodies)
}

// newFleet starts a fleet with two engines of the given configuration.
func newFleet(t testing.TB, config clemstandin.EngineConfig) *testFleet {
	t.Helper()
	var engines []http.Handler
	for i := range 2 {
		config.Name, config.Model = fmt.Sprintf("engine-%d", i+1), model
		engines = append(engines, clemstandin.NewEngine(config))
	}
	return newFleetWithEngines(t, engines...)
}

// newFleetWithEngines starts a fleet with the given engines.
func newFleetWithEngines(t testing.TB, engines ...http.Handler) *testFleet {
	t.Helper()
	return newFleetWithTLS(t, nil, engines...)
}

// newFleetWithTLS starts a fleet with the given engines. Unless files is nil, it
// uses TLS between the processes and for callers and operators.
func newFleetWithTLS(t testing.TB, files *tlsFiles, engines ...http.Handler) *testFleet {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: files.client()}
	f := &testFleet{t: t, files: files, client: &http.Client{Transport: transport}, keys: map[string]string{}, hosts: map[string]string{}, stop: map[string]func() <-chan struct{}{}}
	t.Cleanup(transport.CloseIdleConnections)
	var err error
	f.platform, err = clemstandin.NewPlatform(clemstandin.PlatformConfig{})
	require.NoError(t, err)
	f.url = f.serve(f.platform)
	for _, name := range []string{"entry-1", "entry-2"} {
		p := f.start(map[string]any{"role": clemsetting.RoleEntry, "name": name, "admin": "127.0.0.1:0", "operators": []any{
			map[string]any{"name": "ana", "digest": digestOf(operatorToken)},
		}})
		f.entries = append(f.entries, files.scheme()+p.servers[0].listener.Addr().String())
		f.admin = files.scheme() + p.servers[1].listener.Addr().String()
	}
	for i, engine := range engines {
		f.engines = append(f.engines, &recordingHandler{Handler: engine})
		f.startSidecar(fmt.Sprintf("engine-%d", i+1), "chats", f.serve(f.engines[i]))
	}
	f.service = clemstandin.NewService(clemstandin.ServiceConfig{Name: "orders-1"})
	f.startSidecar("orders-1", "orders", f.serve(f.service))
	f.configure()
	return f
}

// serve runs a handler on a free port until the test ends and returns its URL.
func (f *testFleet) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: waitTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	f.t.Cleanup(func() {
		require.NoError(f.t, server.Close())
		require.ErrorIs(f.t, <-ended, http.ErrServerClosed)
	})
	return "http://" + listener.Addr().String()
}

// start runs a node until the test ends and adds it to the platform's host list.
func (f *testFleet) start(object map[string]any) *process {
	f.t.Helper()
	for key, value := range map[string]any{
		"region": "bengal", "centre": "kol-a", "listen": "127.0.0.1:0", "platform": f.url, "fleet": fleetKey,
		"level": "error", "settle": "0s", "grace": "20s",
	} {
		if _, ok := object[key]; !ok {
			object[key] = value
		}
	}
	if f.files != nil {
		object["tls"] = f.files.settings()
	}
	data, err := json.Marshal(object)
	require.NoError(f.t, err)
	settings, err := clemsetting.Parse(data)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p, err := assemble(ctx, settings)
	require.NoError(f.t, err)
	stop, ended := make(chan os.Signal, 2), make(chan struct{})
	go func() {
		defer close(ended)
		assert.NoError(f.t, p.run(ctx, stop))
	}()
	f.stop[settings.Name()] = func() <-chan struct{} {
		stop <- os.Interrupt
		return ended
	}
	f.t.Cleanup(func() {
		select {
		case stop <- os.Interrupt:
		default: // The test has already stopped it.
		}
		<-ended
		cancel()
	})
	host := newSelf(settings)
	host.Address = p.servers[0].listener.Addr().String()
	f.hosts[host.GetName()] = host.GetAddress()
	f.platform.Hosts().Set(host)
	return p
}

func (f *testFleet) startSidecar(name, pool, backend string) {
	f.start(map[string]any{"role": clemsetting.RoleSidecar, "name": name, "pool": pool, "backend": backend, "linger": "1s"})
}

// configure creates two organisations with keys, the pools and the service
// through the operator API, and waits until both entries serve them.
func (f *testFleet) configure() {
	f.t.Helper()
	operators := f.operators()
	for i, entity := range []*clemwire.Entity{
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "chats", Kind: clemwire.PoolKind_POOL_KIND_MODEL, Model: model, Bound: 2, Slots: 64, LongCost: 8000, LongShare: 0.5}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "orders", Kind: clemwire.PoolKind_POOL_KIND_PLAIN, Bound: 2, Slots: 8, LongCost: 8000, LongShare: 0.5}}},
		{Kind: &clemwire.Entity_Service{Service: &clemwire.Service{Name: "orders", Pool: "orders"}}},
		{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: "cribs", Weight: 1, Queue: 500}}},
		{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: "cradles", Weight: 1, Queue: 100}}},
	} {
		request := connect.NewRequest(&clemwire.CreateRequest{Id: fmt.Sprintf("create-%d", i), Entity: entity})
		request.Header().Set("Authorization", "Bearer "+operatorToken)
		_, err := operators.Create(context.Background(), request)
		require.NoError(f.t, err)
	}
	for _, organisation := range []string{"cribs", "cradles"} {
		request := connect.NewRequest(&clemwire.AddKeyRequest{Id: "key-" + organisation, Organisation: organisation, Name: "first"})
		request.Header().Set("Authorization", "Bearer "+operatorToken)
		response, err := operators.AddKey(context.Background(), request)
		require.NoError(f.t, err)
		f.keys[organisation], f.generation = response.Msg.GetSecret(), response.Msg.GetGeneration()
	}
	for _, entry := range f.entries {
		require.Eventually(f.t, func() bool { return f.isServing(entry) }, waitTimeout, pollInterval)
	}
}

func (f *testFleet) operators() clemwire.OperatorsClient {
	return clemwire.NewOperatorsClient(f.client, f.admin)
}

// isServing reports whether the entry accepts both keys and serves both pools.
func (f *testFleet) isServing(entry string) bool {
	for _, organisation := range []string{"cribs", "cradles"} {
		response, err := f.post(entry, organisation, "/v1/chat/completions", chatBody(1, false), nil)
		if err != nil || response.status != http.StatusOK {
			return false
		}
	}
	response, err := f.post(entry, "cribs", "/v1/services/orders/reserve", `{}`, map[string]string{"Idempotency-Key": "warm"})
	return err == nil && response.status == http.StatusOK
}

// httpResponse is a response that was read completely.
type httpResponse struct {
	status int
	header http.Header
	body   string
}

// errorCode returns the code and param of an error in the OpenAI format.
func (a *httpResponse) errorCode(t *testing.T) (code, param string) {
	t.Helper()
	var body struct {
		Error struct {
			Code  string `json:"code"`
			Param string `json:"param"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	return body.Error.Code, body.Error.Param
}

func (f *testFleet) post(entry, organisation, path, body string, header map[string]string) (*httpResponse, error) {
	response, err := f.open(context.Background(), entry, organisation, path, body, header)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return &httpResponse{status: response.StatusCode, header: response.Header, body: string(data)}, err
}

func (f *testFleet) open(ctx context.Context, entry, organisation, path, body string, header map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+f.keys[organisation])
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return f.client.Do(request)
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"a cot from Howrah"}]}`, model, stream, tokens)
}

func digestOf(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }
