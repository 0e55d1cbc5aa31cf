package clemrouter

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemexplain"
)

// logBuffer collects the log lines of a fixture.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *logBuffer) Sync() error { return nil }

func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// The kinds of failed requests of docs/OPERATIONS.md can be explained from
// the logs with nothing but the request's id.
func TestFailuresAreExplained(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(testEvent(1)), testEvent(1)) + "!"
	for name, c := range map[string]struct {
		path      string
		responses []string
		occupied  int
		evacuated []string
		lines     []string
	}{
		"refused under load": {path: "/unsafe/", occupied: 72, lines: []string{"request refused", "is full", "ran=false", "status=429"}},
		"evacuated":          {path: "/unsafe/", evacuated: []string{""}, lines: []string{"request refused", "server s1 is evacuated", "ran=false", "status=503"}},
		"short of capacity":  {path: "/unsafe/", occupied: 66, lines: []string{"request refused", "short of capacity: no place became free", "ran=false", "status=429"}},
		"unknown outcome":    {path: "/unsafe/", responses: []string{connectionReset}, lines: []string{"attempt failed", "request failed", "ran=true", "status=502", `"server":"s`}},
		"cut midway":         {path: "/stream/", responses: []string{cut}, lines: []string{"answer cut", "broke off after 1 events", "events=1", `"server":"s`}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.responses...)
			out := &logBuffer{}
			core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zapcore.InfoLevel)
			f.router.config.Events = clemevent.New(zap.New(core)).With(zap.String("node", "front-1"))
			occupySlots(t, f, c.occupied)
			f.router.config.Directory.SetEvacuated(c.evacuated, time.Now())
			_, _, _, _ = f.post(c.path, http.Header{"Id": {"the-request"}})
			require.Eventually(t, func() bool { return f.router.ActiveRequests() == 0 }, waitLimit, waitInterval)
			var report bytes.Buffer
			require.NoError(t, clemexplain.Report(&report, "the-request", []io.Reader{bytes.NewReader([]byte(out.text()))}))
			for _, text := range c.lines {
				require.Contains(t, report.String(), text)
			}
			require.NotContains(t, out.text(), `"k"`, "no key may be logged")
		})
	}
}
