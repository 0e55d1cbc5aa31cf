package clemstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve passes one request to a handler and returns the recorded response. The
// header lists names and values alternately.
func serve(ctx context.Context, h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// aborts reports whether the call panics with http.ErrAbortHandler, by which a
// handler closes the connection without a response.
func aborts(call func()) (aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	call()
	return false
}

func chatBody(text string, extraFields string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]%s}`, text, extraFields)
}

func completeChat(t *testing.T, h http.Handler, text string, header ...string) completion {
	t.Helper()
	w := serve(t.Context(), h, http.MethodPost, "/v1/chat/completions", chatBody(text, ""), header...)
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	var c completion
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &c))
	return c
}

func numberedWords(n int, prefix string) string {
	list := make([]string, n)
	for i := range list {
		list[i] = prefix + strconv.Itoa(i)
	}
	return strings.Join(list, " ")
}

func TestEnginePrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{Name: "engine-1", Model: "m", CacheTokens: 8 * blockTokens, MeanOutputTokens: 1})
		first := completeChat(t, e, numberedWords(40, "a"))
		require.Zero(t, first.Usage.PromptTokensDetails.CachedTokens)
		again := completeChat(t, e, numberedWords(40, "a")+" "+numberedWords(20, "b"))
		require.Equal(t, 2*blockTokens, again.Usage.PromptTokensDetails.CachedTokens)
		require.True(t, strings.HasPrefix(first.Choices[0].Message.Content, "engine-1:"))
		require.Equal(t, first.Choices, completeChat(t, e, numberedWords(40, "a")).Choices, "the text depends only on the messages")
		completeChat(t, e, numberedWords(200, "c"))
		require.Zero(t, completeChat(t, e, numberedWords(40, "a")).Usage.PromptTokensDetails.CachedTokens, "evicted")
	})
}

func TestEngineFollowUpReusesCachedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{Model: "m", MeanOutputTokens: 40})
		first := completeChat(t, e, numberedWords(15, "a"))
		turn := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q},{"role":"assistant","content":%q},{"role":"user","content":"and?"}]}`,
			numberedWords(15, "a"), first.Choices[0].Message.Content)
		w := serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", turn)
		var second completion
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &second))
		want := first.Usage.TotalTokens + 1 // the assistant's role
		require.Equal(t, want-want%blockTokens, second.Usage.PromptTokensDetails.CachedTokens)
	})
}

// TestEngineAdmitsByPriority sends requests while the only slot is taken; they
// run by priority, and in order of arrival within one.
func TestEngineAdmitsByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{Model: "m", Slots: 1})
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		for _, name := range []string{"first 0", "late 5", "normal 0", "urgent -1", "normal2 0"} {
			wg.Go(func() {
				label, priority, _ := strings.Cut(name, " ")
				completeChat(t, e, label, "X-Priority", priority)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, label)
			})
			synctest.Wait()
		}
		wg.Wait()
		require.Equal(t, []string{"first", "urgent", "normal", "normal2", "late"}, order)
	})
}

// TestEngineCancelFreesSlots cancels a running and two waiting requests; neither
// the slot nor the places in the queue may stay taken.
func TestEngineCancelFreesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{Model: "m", Slots: 1, StepTime: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				require.True(t, aborts(func() { serve(ctx, e, http.MethodPost, "/v1/chat/completions", chatBody("a", "")) }))
			})
		}
		synctest.Wait()
		require.Equal(t, batchLoad{running: 1, waiting: 2, tokens: 2}, e.batch.history.at(0))
		cancel()
		wg.Wait()
		require.Equal(t, batchLoad{}, e.batch.history.at(0))
	})
}

func TestEngineStepTime(t *testing.T) {
	const step = 10 * time.Millisecond
	took := func(t *testing.T, faults EngineFaults, concurrent int) time.Duration {
		e := NewEngine(EngineConfig{Model: "m", StepTime: step, PrefillTokens: 4, BatchSlowdown: 0.5, Faults: faults})
		start := time.Now()
		var wg sync.WaitGroup
		for range concurrent {
			wg.Go(func() {
				serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", chatBody("a b c", `,"max_tokens":5`))
			})
		}
		wg.Wait()
		return time.Since(start)
	}
	synctest.Test(t, func(t *testing.T) {
		require.Equal(t, 6*step, took(t, EngineFaults{}, 1))
		require.Equal(t, 24*step, took(t, EngineFaults{SlowdownFactor: 4}, 1))
		require.Greater(t, took(t, EngineFaults{}, 3), 10*step, "a larger batch is slower")
	})
}

func TestEngineFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{Model: "m"})
		stream := chatBody("a", `,"stream":true`)
		put := func(faults string) int { return serve(t.Context(), e, http.MethodPut, "/faults", faults).Code }
		require.Equal(t, http.StatusNoContent, put(`{"refuse":1}`))
		refused := serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", stream)
		require.Equal(t, http.StatusServiceUnavailable, refused.Code)
		require.Equal(t, "1", refused.Header().Get("Retry-After"))
		require.Equal(t, http.StatusNoContent, put(`{"cut":1}`))
		require.True(t, aborts(func() { serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", stream) }))
		require.Equal(t, http.StatusNoContent, put(`{"short":1}`))
		short := serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", stream)
		require.NotContains(t, short.Body.String(), "[DONE]")
		whole := serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", stream)
		require.True(t, strings.HasSuffix(whole.Body.String(), "data: [DONE]\n\n"))
		for _, bad := range []string{`{"sloww":1}`, `{"lag":"-1s"}`, `{"lag":1}`, `{} {}`, ``} {
			require.Equal(t, http.StatusBadRequest, put(bad), bad)
		}
	})
}

func TestEngineBadInput(t *testing.T) {
	e := NewEngine(EngineConfig{Model: "m"})
	for body, want := range map[string]int{
		`{`:                           http.StatusBadRequest,
		`{"model":1}`:                 http.StatusBadRequest,
		`{"model":"m","messages":[]}`: http.StatusBadRequest,
		`{"model":"m","messages":[{"content":"no role"}]}`:       http.StatusBadRequest,
		chatBody("a", `,"max_tokens":0`):                         http.StatusBadRequest,
		`{"model":"x","messages":[{"role":"user"}]}`:             http.StatusNotFound,
		`{"model":"m"` + strings.Repeat(" ", maxChatBytes) + `}`: http.StatusRequestEntityTooLarge,
	} {
		w := serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", body)
		require.Equal(t, want, w.Code, w.Body)
		var response struct {
			Error struct{ Message, Type string }
		}
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
		require.NotEmpty(t, response.Error.Message)
		require.Equal(t, typeInvalidRequest, response.Error.Type)
	}
	require.Equal(t, http.StatusNotFound, serve(t.Context(), e, http.MethodGet, "/v2", "").Code)
}

// TestEngineResume resumes a stream after each of its events.
func TestEngineResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{Model: "m"})
		stream := func(last int) (string, time.Duration) {
			start := time.Now()
			w := serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", chatBody("a", `,"stream":true`), "Last-Event-ID", strconv.Itoa(last))
			created := regexp.MustCompile(`"created":\d+`)
			return created.ReplaceAllString(w.Body.String(), ""), time.Since(start)
		}
		whole, long := stream(0)
		events := strings.SplitAfter(whole, "\n\n")
		for last := range len(events) {
			rest, short := stream(last)
			require.Equal(t, strings.Join(events[last:], ""), rest)
			require.LessOrEqual(t, short, long)
		}
		_, short := stream(len(events))
		require.Less(t, short, defaultStepTime, "held tokens are not generated again")
	})
}

// TestEngineLoadOrders sends a newer load order while an older one is loading.
// With fencing the older one is refused when it ends; without, it wins.
func TestEngineLoadOrders(t *testing.T) {
	order := func(e *Engine, version string, fence int) int {
		return serve(context.Background(), e, http.MethodPost, "/v1/load", fmt.Sprintf(`{"version":%q,"adapters":["cots"],"fence":%d}`, version, fence)).Code
	}
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := NewEngine(EngineConfig{Model: "m", Fencing: fencing, Faults: EngineFaults{LoadDelay: Duration(time.Second)}})
				var wg sync.WaitGroup
				wg.Go(func() {
					want := http.StatusOK
					if fencing {
						want = http.StatusConflict
					}
					require.Equal(t, want, order(e, "old", 1), "a newer order arrived during loading")
				})
				synctest.Wait()
				e.Inject(EngineFaults{})
				require.Equal(t, http.StatusOK, order(e, "new", 2))
				wg.Wait()
				want := "new"
				if !fencing {
					want = "old"
				}
				require.Equal(t, want, e.loadOrders.current().Version)
				require.Equal(t, http.StatusOK, serve(t.Context(), e, http.MethodPost, "/v1/chat/completions", `{"model":"cots","messages":[{"role":"user"}]}`).Code)
			})
		})
	}
}

// TestEngineWeights loads versions from a weight store with a rate limit of one
// read per second.
func TestEngineWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		p, err := NewPlatform(PlatformConfig{Faults: PlatformFaults{Weights: Faults{MaxReadsPerSecond: 1}}})
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, serve(t.Context(), p, http.MethodPut, "/weights/v1", "weights").Code)
		server := &http.Server{Handler: p}
		ended := make(chan error, 1)
		listener := network.Listen("platform:80")
		go func() { ended <- server.Serve(listener) }()
		synctest.Wait()
		client := network.Client()
		e := NewEngine(EngineConfig{Model: "m", WeightsURL: "http://platform:80", Client: client})
		load := func(version string) int {
			return serve(t.Context(), e, http.MethodPost, "/v1/load", fmt.Sprintf(`{"version":%q}`, version)).Code
		}
		require.Equal(t, http.StatusOK, load("v1"))
		require.Equal(t, http.StatusOK, load("v1"), "a loaded version is not fetched again")
		require.Equal(t, http.StatusServiceUnavailable, load("v2"), "above the rate limit")
		time.Sleep(time.Second)
		require.Equal(t, http.StatusBadRequest, load("v2"), "no such version")
		client.CloseIdleConnections()
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
		require.Equal(t, http.StatusServiceUnavailable, load("v3"), "store down")
	})
}

func TestEngineCacheEvents(t *testing.T) {
	const delay = 3 * time.Second
	numbers := func(t *testing.T, e *Engine, after uint64) []uint64 {
		var list struct{ Events []CacheEvent }
		w := serve(t.Context(), e, http.MethodGet, fmt.Sprintf("/v1/cache/events?after=%d", after), "")
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &list))
		found := []uint64{}
		for _, event := range list.Events {
			found = append(found, event.Number)
		}
		return found
	}
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{Model: "m", MeanOutputTokens: 1, Seed: 1, Faults: EngineFaults{EventDelay: Duration(delay), EventLossRatio: 0.5}})
		completeChat(t, e, numberedWords(8*blockTokens, "a"))
		require.Empty(t, numbers(t, e, 0))
		time.Sleep(delay)
		got := numbers(t, e, 0)
		require.Equal(t, []uint64{2, 3, 4, 6, 7, 8}, got, "late and with gaps")
		require.Equal(t, []uint64{6, 7, 8}, numbers(t, e, 5))
	})
}

func TestEngineCacheExport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := NewEngine(EngineConfig{Model: "m", MeanOutputTokens: 1})
		target := NewEngine(EngineConfig{Model: "m", MeanOutputTokens: 1})
		completeChat(t, source, numberedWords(100, "a"))
		export := serve(t.Context(), source, http.MethodGet, "/v1/cache?limit=4", "")
		require.Equal(t, http.StatusNoContent, serve(t.Context(), target, http.MethodPost, "/v1/cache", export.Body.String()).Code)
		require.Equal(t, 4*blockTokens, completeChat(t, target, numberedWords(100, "a")).Usage.PromptTokensDetails.CachedTokens)
		require.Equal(t, http.StatusBadRequest, serve(t.Context(), target, http.MethodPost, "/v1/cache", `{"blocks":["x"]}`).Code)
	})
}

func TestServiceFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(ServiceConfig{Name: "orders-1", Faults: ServiceFaults{Delay: Duration(time.Second)}})
		reserve := func() *httptest.ResponseRecorder {
			return serve(t.Context(), s, http.MethodPost, "/orders/reserve", `{}`, "Idempotency-Key", "k")
		}
		start := time.Now()
		require.JSONEq(t, `{"server":"orders-1","service":"orders","call":"reserve","key":"k","run":1}`, reserve().Body.String())
		require.Equal(t, time.Second, time.Since(start))
		require.Equal(t, http.StatusNoContent, serve(t.Context(), s, http.MethodPut, "/faults", `{"refuse":1}`).Code)
		require.Equal(t, http.StatusServiceUnavailable, reserve().Code)
		s.Inject(ServiceFaults{AbortsBeforeRun: 1})
		require.True(t, aborts(func() { reserve() }))
		require.Equal(t, 1, s.Runs().ByKey["k"])
		s.Inject(ServiceFaults{AbortsAfterRun: 1})
		require.True(t, aborts(func() { reserve() }))
		runs := serve(t.Context(), s, http.MethodGet, "/runs", "")
		require.JSONEq(t, `{"keys":{"k":2},"calls":{"orders/reserve":2}}`, runs.Body.String())
	})
}

func ExampleNewEngine() {
	server := httptest.NewServer(NewEngine(EngineConfig{Name: "engine-1", Model: "small", StepTime: time.Millisecond}))
	defer server.Close()
	body := strings.NewReader(`{"model":"small","max_tokens":4,"messages":[{"role":"user","content":"Is the cot still there?"}]}`)
	resp, err := http.Post(server.URL+"/v1/chat/completions", "application/json", body)
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	var c completion
	_ = json.Unmarshal(text, &c)
	fmt.Println(c.Choices[0].Message.Content)
	// Output: engine-1: will only be
}
