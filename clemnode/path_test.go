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
	// An entry of the designed size relays 16,500 tokens a second in 65
	// answers; so do 64 callers whose tokens come every 4 ms.
	pathCallers = 64
	pathTokens  = 254
	pathStep    = 4 * time.Millisecond
	// pathAnswers is the number of answers that each caller reads in turn.
	pathAnswers = 4
	timeField   = `"time":`
	// pathRequests is the number of short answers that one run reads.
	pathRequests = 2000
)

// pacedEngine streams tokens at a steady pace. Each event tells when it was sent.
func pacedEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !bytes.Contains(body, []byte(`"stream":true`)) {
		_, _ = io.WriteString(w, "{}")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(pathStep)
	defer ticker.Stop()
	for range pathTokens {
		<-ticker.C
		_, _ = fmt.Fprintf(w, `data: {"id":"chatcmpl-1","object":"chat.completion.chunk",%s%d,"choices":[{"index":0,"delta":{"content":" Howrah"},"finish_reason":null}]}`+"\n\n", timeField, time.Now().UnixNano())
		_ = controller.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// copying is the baseline: a plain handler that copies the stream as it comes.
func copying(client *http.Client, backend string) http.Handler {
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

// load is what one caller does: it reads one answer and passes each piece on.
type load func(answer int, event func([]byte)) error

// meter is the use of the process's resources over a run.
type meter struct {
	usage  syscall.Rusage
	allocs runtime.MemStats
	mu     sync.Mutex
	delays *hdrhistogram.Histogram
}

func newMeter(b *testing.B) *meter {
	m := &meter{delays: hdrhistogram.New(1, int64(time.Minute), 3)}
	runtime.GC()
	runtime.ReadMemStats(&m.allocs)
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &m.usage))
	return m
}

func (m *meter) record(delays []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, delay := range delays {
		_ = m.delays.RecordValue(max(1, int64(delay)))
	}
}

// report divides what was used since the start by the recorded delays, one for each unit.
func (m *meter) report(b *testing.B, unit string, want int) {
	var usage syscall.Rusage
	var allocs runtime.MemStats
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	runtime.ReadMemStats(&allocs)
	require.EqualValues(b, want, m.delays.TotalCount())
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((used(&usage)-used(&m.usage)).Microseconds())/float64(want), "cpu-µs/"+unit)
	b.ReportMetric(float64(allocs.Mallocs-m.allocs.Mallocs)/float64(want), "allocs/"+unit)
	b.ReportMetric(float64(m.delays.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(m.delays.ValueAtQuantile(99))/1e3, "p99-µs")
}

// measureTokens lets all callers read streams; a delay is that of one token.
func measureTokens(b *testing.B, read load) {
	m := newMeter(b)
	var callers sync.WaitGroup
	for caller := range pathCallers {
		callers.Go(func() {
			delays := make([]time.Duration, 0, pathTokens*pathAnswers)
			for i := range pathAnswers {
				err := read(caller*pathAnswers+i, func(data []byte) {
					if at := bytes.Index(data, []byte(timeField)); at >= 0 {
						delays = append(delays, time.Duration(time.Now().UnixNano()-number(data[at+len(timeField):])))
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
	m.report(b, "token", pathCallers*pathAnswers*pathTokens)
}

// measureRequests lets one caller read short answers one after another; a
// delay is that of one request.
func measureRequests(b *testing.B, read load) {
	m := newMeter(b)
	delays := make([]time.Duration, 0, pathRequests)
	for i := range pathRequests {
		begun := time.Now()
		require.NoError(b, read(i, func([]byte) {}))
		delays = append(delays, time.Since(begun))
	}
	m.record(delays)
	m.report(b, "request", pathRequests)
}

// number returns the decimal number that the text starts with.
func number(text []byte) int64 {
	end := 0
	for end < len(text) && text[end] >= '0' && text[end] <= '9' {
		end++
	}
	n, _ := strconv.ParseInt(string(text[:end]), 10, 64)
	return n
}

func used(r *syscall.Rusage) time.Duration {
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// overHTTP reads answers as a caller does, line by line.
func overHTTP(client *http.Client, url, secret string, stream bool) load {
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

// overSidecar offers work and reads answers as an entry does.
func overSidecar(f *fleet, peers *clemrpc.Peers, stream bool) load {
	peer := peers.Peer(f.hosts["engine-1"])
	body := []byte(chatBody(16000, stream))
	return func(answer int, event func([]byte)) error {
		request := fmt.Sprintf("r%d-%d", answer, time.Now().UnixNano())
		verdict, err := peer.Offer(context.Background(), &clemwire.Offer{
			Request: request, Attempt: request + ".1", Organisation: "cribs", Pool: "chats", Mode: clemwire.Mode_MODE_IDEMPOTENT,
			Body: body, Stream: stream, Prompt: 20, Output: pathTokens, Generation: f.generation,
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

// BenchmarkPath measures whole answers over loopback: straight from the
// engine, through the plain handler, through a sidecar alone and through
// entry and sidecar. All parts run in this process, so that a part's cost is
// the difference between two lines.
func BenchmarkPath(b *testing.B) {
	f := newFleetOf(b, http.HandlerFunc(pacedEngine))
	transport := &http.Transport{MaxIdleConnsPerHost: pathCallers}
	client := &http.Client{Transport: transport}
	b.Cleanup(transport.CloseIdleConnections)
	engine := f.serve(http.HandlerFunc(pacedEngine))
	plain := f.serve(copying(client, engine))
	peers := clemrpc.NewPeers(clemrpc.ClientConfig{Key: fleetKey})
	b.Cleanup(peers.Close)
	for _, kind := range []struct {
		name    string
		stream  bool
		measure func(*testing.B, load)
	}{
		{"requests", false, measureRequests},
		{"tokens", true, measureTokens},
	} {
		for _, path := range []struct {
			name string
			read load
		}{
			{"direct", overHTTP(client, engine, "", kind.stream)},
			{"plain", overHTTP(client, plain, "", kind.stream)},
			{"sidecar", overSidecar(f, peers, kind.stream)},
			{"whole", overHTTP(client, f.entries[0], f.keys["cribs"], kind.stream)},
		} {
			b.Run(kind.name+"/"+path.name, func(b *testing.B) {
				for b.Loop() {
					kind.measure(b, path.read)
				}
			})
		}
	}
}
