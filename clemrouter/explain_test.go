package clemrouter

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemexplain"
)

// logBuffer takes the log lines of a world.
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

// The three kinds of failed requests of docs/OPERATIONS.md are explained from
// the logs by the request's id alone.
func TestFailuresAreExplained(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1)) + "!"
	for name, c := range map[string]struct {
		path    string
		answers []string
		holds   int
		lines   []string
	}{
		"refused under load": {path: "/unsafe/", holds: 72, lines: []string{"request refused", "is full", "ran=false", "status=429"}},
		"unknown outcome":    {path: "/unsafe/", answers: []string{reset}, lines: []string{"attempt failed", "request failed", "ran=true", "status=502", `"server":"s`}},
		"cut midway":         {path: "/stream/", answers: []string{cut}, lines: []string{"answer cut", "broke off after 1 events", "events=1", `"server":"s`}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, c.answers...)
			out := &logBuffer{}
			core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zapcore.InfoLevel)
			w.router.config.Events = clemevent.New(zap.New(core)).With(zap.String("node", "front-1"))
			fill(t, w, c.holds)
			_, _, _, _ = w.ask(c.path, http.Header{"Id": {"the-request"}})
			require.Eventually(t, func() bool { return w.router.Active() == 0 }, waitLimit, waitPace)
			var report bytes.Buffer
			require.NoError(t, clemexplain.Report(&report, "the-request", []io.Reader{bytes.NewReader([]byte(out.text()))}))
			for _, text := range c.lines {
				require.Contains(t, report.String(), text)
			}
			require.NotContains(t, out.text(), `"k"`, "no key in any line")
		})
	}
}
