package clembackend

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) {
	// A fixed seed makes runs reproducible; a flag on the command line
	// overrides it.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

var update = flag.Bool("update", false, "write the golden files")

const chatBody = `{"model":"m","stream":%v,"messages":[{"role":"user","content":"a cot from Howrah"}]}`

// recorder is a sink that records the response.
type recorder struct {
	starts int
	start  *clemwire.Start
	chunks int
	data   bytes.Buffer
	fail   error
}

func (r *recorder) Start(start *clemwire.Start) error {
	r.starts++
	r.start = start
	return nil
}

func (r *recorder) Data(data []byte) error {
	r.chunks++
	r.data.Write(data)
	return r.fail
}

// Priority implements prioritizer.
func (r *recorder) Priority() int { return 3 }

func chatOffer(stream bool) *clemwire.Offer {
	return &clemwire.Offer{Request: "r1", Body: fmt.Appendf(nil, chatBody, stream), Stream: stream, Media: "application/json", Mode: clemwire.Mode_MODE_IDEMPOTENT}
}

func reserveOffer() *clemwire.Offer {
	return &clemwire.Offer{Request: "r1", Service: "orders", Call: "reserve", Key: "k1", Mode: clemwire.Mode_MODE_AT_MOST_ONCE, Body: []byte("{}")}
}

// withBackend runs the test in a synctest bubble, with the handler as the
// backend server.
func withBackend(t *testing.T, handler http.Handler, test func(t *testing.T, b *Backend)) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		server := &http.Server{Handler: handler}
		ended := make(chan error, 1)
		listener := network.Listen("backend:80")
		go func() { ended <- server.Serve(listener) }()
		synctest.Wait()
		b := New(Config{URL: "http://backend:80/", Client: network.Client()})
		t.Cleanup(func() {
			b.Close()
			require.NoError(t, server.Close())
			require.ErrorIs(t, <-ended, http.ErrServerClosed)
		})
		test(t, b)
	})
}

func newEngine(faults clemstandin.EngineFaults) *clemstandin.Engine {
	return clemstandin.NewEngine(clemstandin.EngineConfig{Name: "engine-1", Model: "m", MeanOutputTokens: 6, Fencing: true, Faults: faults})
}

func requireKind(t *testing.T, kind clementineturn.Kind, notRun bool, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind.String(), clementineturn.AsError(err).Kind().String(), err)
	require.Equal(t, notRun, clementineturn.IsNotRun(err), err)
}

func TestRunStream(t *testing.T) {
	withBackend(t, newEngine(clemstandin.EngineFaults{}), func(t *testing.T, b *Backend) {
		var got recorder
		require.NoError(t, b.Run(t.Context(), chatOffer(true), &got))
		require.Equal(t, 1, got.starts)
		require.EqualValues(t, http.StatusOK, got.start.GetStatus())
		require.Greater(t, got.chunks, 3, "chunks are passed on as they are read")
		requireGolden(t, "testdata/stream.golden", got.data.Bytes())
	})
}

// requireGolden compares with a golden file, or writes it if -update is set.
func requireGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(file, got, 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

func TestRunForwardsRequestAndResponse(t *testing.T) {
	var seen *http.Request
	var body []byte
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "no")
	})
	withBackend(t, handler, func(t *testing.T, b *Backend) {
		var got recorder
		offer := reserveOffer()
		offer.Call = "a/b c"
		require.NoError(t, b.Run(t.Context(), offer, &got))
		require.EqualValues(t, http.StatusTeapot, got.start.GetStatus())
		require.Equal(t, "text/plain", got.start.GetMedia())
		require.Equal(t, "no", got.data.String())
		require.Equal(t, "/orders/a%2Fb%20c", seen.RequestURI)
		require.Equal(t, "{}", string(body))
		require.Equal(t, "k1", seen.Header.Get("Idempotency-Key"))
		require.Equal(t, "r1", seen.Header.Get("X-Request-Id"))
		require.Equal(t, "3", seen.Header.Get("X-Priority"))
		require.Equal(t, "application/json", seen.Header.Get("Content-Type"))
	})
}

// TestRunFailures covers the ways in which a run ends without a complete
// response.
func TestRunFailures(t *testing.T) {
	const soon = time.Second
	slow := clemstandin.EngineFaults{SlowdownFactor: 1000}
	cancelled := func(ctx context.Context) (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithCancel(ctx)
		time.AfterFunc(soon, cancel)
		return ctx, cancel
	}
	deadline := func(d time.Duration) func(context.Context) (context.Context, context.CancelFunc) {
		return func(ctx context.Context) (context.Context, context.CancelFunc) { return context.WithTimeout(ctx, d) }
	}
	tests := map[string]struct {
		faults  clemstandin.EngineFaults
		stream  bool
		context func(context.Context) (context.Context, context.CancelFunc)
		kind    clementineturn.Kind
		notRun  bool
	}{
		"stream cut":           {faults: clemstandin.EngineFaults{TruncatedResponses: 1}, stream: true, kind: clementineturn.KindCut},
		"stream without end":   {faults: clemstandin.EngineFaults{UnterminatedStreams: 1}, stream: true, kind: clementineturn.KindCut},
		"no answer":            {faults: clemstandin.EngineFaults{TruncatedResponses: 1}, kind: clementineturn.KindUnknown},
		"timeout in stream":    {faults: slow, stream: true, context: deadline(soon), kind: clementineturn.KindTimeout},
		"timeout before start": {faults: slow, context: deadline(soon), kind: clementineturn.KindTimeout},
		"cancel in stream":     {faults: slow, stream: true, context: cancelled, kind: clementineturn.KindCancelled},
		"cancel before start":  {faults: slow, context: cancelled, kind: clementineturn.KindCancelled},
		"expired":              {context: deadline(-soon), kind: clementineturn.KindExpired, notRun: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withBackend(t, newEngine(test.faults), func(t *testing.T, b *Backend) {
				ctx := t.Context()
				if test.context != nil {
					var cancel context.CancelFunc
					ctx, cancel = test.context(ctx)
					defer cancel()
				}
				requireKind(t, test.kind, test.notRun, b.Run(ctx, chatOffer(test.stream), &recorder{}))
			})
		})
	}
}

func TestRunCloseDelimited(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Reads the request completely: if the connection closed earlier, the
		// client could fail with a write error, which has another kind.
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n{\"half\":")
		_ = conn.Close()
	})
	withBackend(t, handler, func(t *testing.T, b *Backend) {
		requireKind(t, clementineturn.KindCut, false, b.Run(t.Context(), reserveOffer(), &recorder{}))
	})
}

func TestRunSinkError(t *testing.T) {
	withBackend(t, newEngine(clemstandin.EngineFaults{}), func(t *testing.T, b *Backend) {
		sink := &recorder{fail: io.ErrShortWrite}
		require.ErrorIs(t, b.Run(t.Context(), chatOffer(true), sink), io.ErrShortWrite)
		require.Equal(t, 1, sink.chunks)
	})
}

func TestRunRefusesInvalidNames(t *testing.T) {
	b := New(Config{URL: "http://127.0.0.1:1"})
	for _, change := range []func(*clemwire.Offer){
		func(o *clemwire.Offer) { o.Key = "k\r\nX-Evil: 1" },
		func(o *clemwire.Offer) { o.Media = "a\n" },
		func(o *clemwire.Offer) { o.Request = "\x00" },
		func(o *clemwire.Offer) { o.Call = ".." },
		func(o *clemwire.Offer) { o.Call = "" },
	} {
		offer := reserveOffer()
		change(offer)
		requireKind(t, clementineturn.KindInvalid, true, b.Run(t.Context(), offer, &recorder{}))
	}
	requireKind(t, clementineturn.KindUnavailable, true, b.Run(t.Context(), reserveOffer(), &recorder{}))
}

// TestAtMostOnceIsSentOnce runs calls against a service that loses responses.
// Each run must reach the service at most once, even if earlier calls left idle
// connections, on which net/http retries some failed requests.
func TestAtMostOnceIsSentOnce(t *testing.T) {
	service := clemstandin.NewService(clemstandin.ServiceConfig{Name: "orders-1"})
	withBackend(t, service, func(t *testing.T, b *Backend) {
		idempotent := reserveOffer()
		idempotent.Mode, idempotent.Key = clemwire.Mode_MODE_IDEMPOTENT, ""
		for i, faults := range []clemstandin.ServiceFaults{{}, {AbortsAfterRun: 1}, {AbortsBeforeRun: 1}} {
			service.Inject(clemstandin.ServiceFaults{})
			require.NoError(t, b.Run(t.Context(), idempotent, &recorder{}))
			service.Inject(faults)
			offer := reserveOffer()
			offer.Key = fmt.Sprint("k", i)
			err := b.Run(t.Context(), offer, &recorder{})
			require.Equal(t, 1-faults.AbortsBeforeRun, service.Runs().ByKey[offer.Key])
			if i > 0 {
				requireKind(t, clementineturn.KindUnknown, false, err)
			}
		}
	})
}

func TestOrder(t *testing.T) {
	withBackend(t, newEngine(clemstandin.EngineFaults{}), func(t *testing.T, b *Backend) {
		pool := &clemwire.Pool{Version: "2026-11", Adapters: []string{"cots"}}
		require.NoError(t, b.Order(t.Context(), pool, 7))
		require.NoError(t, b.Order(t.Context(), pool, 7), "a repeat")
		requireKind(t, clementineturn.KindConflict, false, b.Order(t.Context(), pool, 6))
	})
	plain := New(Config{URL: "http://127.0.0.1:1", Plain: true})
	require.NoError(t, plain.Order(t.Context(), &clemwire.Pool{}, 1))
	engines := New(Config{URL: "http://127.0.0.1:1"})
	require.NoError(t, engines.Order(t.Context(), &clemwire.Pool{Kind: clemwire.PoolKind_POOL_KIND_PLAIN}, 1))
	gone := New(Config{URL: "http://127.0.0.1:1"})
	requireKind(t, clementineturn.KindUnavailable, true, gone.Order(t.Context(), &clemwire.Pool{}, 1))
}

func TestLoadReportLags(t *testing.T) {
	const lag = 200 * time.Millisecond
	withBackend(t, newEngine(clemstandin.EngineFaults{MetricsLag: clemstandin.Duration(lag), SlowdownFactor: 100}), func(t *testing.T, b *Backend) {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- b.Run(ctx, chatOffer(true), &recorder{}) }()
		time.Sleep(lag / 2)
		running, tokens, err := b.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, running)
		require.Zero(t, tokens)
		time.Sleep(lag)
		running, tokens, err = b.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, running)
		require.EqualValues(t, 5, tokens)
		cancel()
		requireKind(t, clementineturn.KindCancelled, false, <-ended)
	})
}

func FuzzReadLoad(f *testing.F) {
	f.Add("# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{model_name=\"m\"} 3.0\nvllm:kv_cache_usage_perc 0.5 1700000000\nvllm:cache_config_info{block_size=\"16\",num_gpu_blocks=\"100\"} 1")
	f.Add("vllm:num_requests_running NaN\nvllm:num_requests_running{ -Inf")
	f.Fuzz(func(t *testing.T, text string) {
		running, _, err := readLoad(strings.NewReader(text))
		if err == nil {
			require.GreaterOrEqual(t, running, 0)
		}
	})
}

func ExampleBackend_Run() {
	server := httptest.NewServer(clemstandin.NewService(clemstandin.ServiceConfig{Name: "orders-1"}))
	defer server.Close()
	backend := New(Config{URL: server.URL, Plain: true})
	defer backend.Close()
	var response recorder
	offer := &clemwire.Offer{Service: "orders", Call: "reserve", Key: "cot-17", Mode: clemwire.Mode_MODE_AT_MOST_ONCE}
	err := backend.Run(context.Background(), offer, &response)
	fmt.Println(err, response.start.GetStatus(), strings.TrimSpace(response.data.String()))
	// Output: <nil> 200 {"server":"orders-1","service":"orders","call":"reserve","key":"cot-17","run":1}
}
