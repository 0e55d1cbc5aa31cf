package clemnode

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// An entry is designed to relay 16,500 tokens per second in 65 concurrent
	// responses. 64 callers that get a token every 4 ms come close to that.
	benchCallers       = 64
	benchTokens        = 254
	benchTokenInterval = 4 * time.Millisecond
	// benchResponses is the number of responses that each caller reads in
	// sequence.
	benchResponses = 4
	timeField      = `"time":`
	// benchRequests is the number of short responses that one run reads.
	benchRequests = 2000
)

// pacedEngine streams tokens at a fixed rate. Each event contains its send time.
func pacedEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !bytes.Contains(body, []byte(`"stream":true`)) {
		_, _ = io.WriteString(w, "{}")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(benchTokenInterval)
	defer ticker.Stop()
	for range benchTokens {
		<-ticker.C
		_, _ = fmt.Fprintf(w, `data: {"id":"chatcmpl-1","object":"chat.completion.chunk",%s%d,"choices":[{"index":0,"delta":{"content":" Howrah"},"finish_reason":null}]}`+"\n\n", timeField, time.Now().UnixNano())
		_ = controller.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// newCopyingProxy returns a minimal proxy that copies the stream, as a baseline.
func newCopyingProxy(client *http.Client, backend string) http.Handler {
	router := chi.NewRouter()
	router.Post(chatPath, func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), http.MethodPost, backend+chatPath, r.Body)
		if err != nil {
			return
		}
		response, err := client.Do(request)
		if err != nil {
			return
		}
		defer response.Body.Close()
		w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
		controller, buffer := http.NewResponseController(w), make([]byte, 32<<10)
		for {
			n, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			if _ = controller.Flush(); err != nil {
				return
			}
		}
	})
	return router
}

// readFunc reads one response, numbered by index, and passes each part of it
// to event.
type readFunc func(index int, event func([]byte)) error

// usageRecorder records delays and the CPU time and allocations of the process
// during a run.
type usageRecorder struct {
	usage  syscall.Rusage
	allocs runtime.MemStats
	mu     sync.Mutex
	delays *hdrhistogram.Histogram
}

func newUsageRecorder(b *testing.B) *usageRecorder {
	m := &usageRecorder{delays: hdrhistogram.New(1, int64(time.Minute), 3)}
	runtime.GC()
	runtime.ReadMemStats(&m.allocs)
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &m.usage))
	return m
}

func (m *usageRecorder) record(delays []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, delay := range delays {
		_ = m.delays.RecordValue(max(1, int64(delay)))
	}
}

// report reports the use per unit since the start. There must be one recorded
// delay for each of the units.
func (m *usageRecorder) report(b *testing.B, unit string, want int) {
	var usage syscall.Rusage
	var allocs runtime.MemStats
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	runtime.ReadMemStats(&allocs)
	require.EqualValues(b, want, m.delays.TotalCount())
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((cpuTime(&usage)-cpuTime(&m.usage)).Microseconds())/float64(want), "cpu-µs/"+unit)
	b.ReportMetric(float64(allocs.Mallocs-m.allocs.Mallocs)/float64(want), "allocs/"+unit)
	b.ReportMetric(float64(m.delays.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(m.delays.ValueAtQuantile(99))/1e3, "p99-µs")
}

// measureTokens measures callers that read streams concurrently. A delay is the
// time from an event's sending to its receipt.
func measureTokens(b *testing.B, read readFunc) {
	m := newUsageRecorder(b)
	var callers sync.WaitGroup
	for caller := range benchCallers {
		callers.Go(func() {
			delays := make([]time.Duration, 0, benchTokens*benchResponses)
			for i := range benchResponses {
				err := read(caller*benchResponses+i, func(data []byte) {
					if at := bytes.Index(data, []byte(timeField)); at >= 0 {
						delays = append(delays, time.Duration(time.Now().UnixNano()-leadingNumber(data[at+len(timeField):])))
					}
				})
				if err != nil {
					b.Error(err)
				}
			}
			m.record(delays)
		})
	}
	callers.Wait()
	m.report(b, "token", benchCallers*benchResponses*benchTokens)
}

// measureRequests measures one caller that reads short responses in sequence. A
// delay is the duration of one request.
func measureRequests(b *testing.B, read readFunc) {
	m := newUsageRecorder(b)
	delays := make([]time.Duration, 0, benchRequests)
	for i := range benchRequests {
		started := time.Now()
		require.NoError(b, read(i, func([]byte) {}))
		delays = append(delays, time.Since(started))
	}
	m.record(delays)
	m.report(b, "request", benchRequests)
}

// leadingNumber returns the decimal number at the start of the text.
func leadingNumber(text []byte) int64 {
	end := 0
	for end < len(text) && text[end] >= '0' && text[end] <= '9' {
		end++
	}
	n, _ := strconv.ParseInt(string(text[:end]), 10, 64)
	return n
}

func cpuTime(r *syscall.Rusage) time.Duration {
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// readOverHTTP returns a function that reads responses like a caller, line by
// line.
func readOverHTTP(client *http.Client, url, secret string, stream bool) readFunc {
	body := []byte(chatBody(16000, stream))
	return func(_ int, event func([]byte)) error {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+chatPath, bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+secret)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		reader := bufio.NewReader(response.Body)
		for {
			line, err := reader.ReadSlice('\n')
			event(line)
			if err == io.EOF {
				return nil
			}
			if err != nil {
				return err
			}
		}
	}
}

// readFromSidecar returns a function that offers work and fetches answers like
// an entry.
func readFromSidecar(f *testFleet, peers *clemrpc.Peers, stream bool) readFunc {
	peer := peers.Peer(f.hosts["engine-1"])
	body := []byte(chatBody(16000, stream))
	return func(index int, event func([]byte)) error {
		request := fmt.Sprintf("r%d-%d", index, time.Now().UnixNano())
		verdict, err := peer.Offer(context.Background(), &clemwire.Offer{
			Request: request, Attempt: request + ".1", Organisation: "cribs", Pool: "chats", Mode: clemwire.Mode_MODE_IDEMPOTENT,
			Body: body, Stream: stream, Prompt: 20, Output: benchTokens, Generation: f.generation,
		})
		if err != nil || verdict.GetRefusal() != nil {
			return fmt.Errorf("%w %v", err, verdict)
		}
		fetch := &clemwire.Fetch{Request: request, Attempt: request + ".1", Organisation: "cribs"}
		return peer.Fetch(context.Background(), fetch, func(frame *clemwire.Frame) error {
			event(frame.GetData())
			return nil
		})
	}
}

// BenchmarkPath measures complete responses over loopback: directly from the
// engine, through a plain proxy, through a sidecar, and through entry and
// sidecar. All run in this process, so the cost of a component is the
// difference between two results.
func BenchmarkPath(b *testing.B) {
	f := newFleetWithEngines(b, http.HandlerFunc(pacedEngine))
	transport := &http.Transport{MaxIdleConnsPerHost: benchCallers}
	client := &http.Client{Transport: transport}
	b.Cleanup(transport.CloseIdleConnections)
	engine := f.serve(http.HandlerFunc(pacedEngine))
	plain := f.serve(newCopyingProxy(client, engine))
	peers := clemrpc.NewPeers(clemrpc.ClientConfig{Key: fleetKey})
	b.Cleanup(peers.Close)
	for _, kind := range []struct {
		name    string
		stream  bool
		measure func(*testing.B, readFunc)
	}{
		{"requests", false, measureRequests},
		{"tokens", true, measureTokens},
	} {
		for _, path := range []struct {
			name string
			read readFunc
		}{
			{"direct", readOverHTTP(client, engine, "", kind.stream)},
			{"plain", readOverHTTP(client, plain, "", kind.stream)},
			{"sidecar", readFromSidecar(f, peers, kind.stream)},
			{"whole", readOverHTTP(client, f.entries[0], f.keys["cribs"], kind.stream)},
		} {
			b.Run(kind.name+"/"+path.name, func(b *testing.B) {
				for b.Loop() {
					kind.measure(b, path.read)
				}
			})
		}
	}
}
