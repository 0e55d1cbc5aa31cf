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

// measure runs all callers and reports time and allocations of the process.
func measure(b *testing.B, read load) {
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var before, after syscall.Rusage
	var allocs, allocsAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&allocs)
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	var callers sync.WaitGroup
	for caller := range pathCallers {
		callers.Go(func() {
			delays := make([]int64, 0, pathTokens*pathAnswers)
			for i := range pathAnswers {
				err := read(caller*pathAnswers+i, func(data []byte) {
					if at := bytes.Index(data, []byte(timeField)); at >= 0 {
						delays = append(delays, time.Now().UnixNano()-number(data[at+len(timeField):]))
					}
				})
				if err != nil {
					b.Error(err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			for _, delay := range delays {
				_ = histogram.RecordValue(max(1, delay))
			}
		})
	}
	callers.Wait()
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	runtime.ReadMemStats(&allocsAfter)
	require.EqualValues(b, pathCallers*pathAnswers*pathTokens, histogram.TotalCount())
	tokens := float64(histogram.TotalCount())
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(used(&after)-used(&before))/1e3/tokens, "cpu-µs/token")
	b.ReportMetric(float64(allocsAfter.Mallocs-allocs.Mallocs)/tokens, "allocs/token")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
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
func overHTTP(client *http.Client, url, secret string) load {
	body := []byte(chatBody(16000, true))
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
func overSidecar(f *fleet, peers *clemrpc.Peers) load {
	peer := peers.Peer(f.hosts["engine-1"])
	body := []byte(chatBody(16000, true))
	return func(answer int, event func([]byte)) error {
		request := fmt.Sprintf("r%d-%d", answer, time.Now().UnixNano())
		verdict, err := peer.Offer(context.Background(), &clemwire.Offer{
			Request: request, Attempt: request + ".1", Organisation: "cribs", Pool: "chats", Mode: clemwire.Mode_MODE_IDEMPOTENT,
			Body: body, Stream: true, Prompt: 20, Output: 254, Generation: f.generation,
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
	for _, path := range []struct {
		name string
		read load
	}{
		{"direct", overHTTP(client, engine, "")},
		{"plain", overHTTP(client, plain, "")},
		{"sidecar", overSidecar(f, peers)},
		{"whole", overHTTP(client, f.entries[0], f.keys["cribs"])},
	} {
		b.Run(path.name, func(b *testing.B) {
			for b.Loop() {
				measure(b, path.read)
			}
		})
	}
}
