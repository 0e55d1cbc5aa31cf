package clemevent

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// buffer is a concurrency-safe writer whose lines tests can read.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) Sync() error { return nil }

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

func newTestLogger(out zapcore.WriteSyncer) *Logger {
	return New(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zapcore.InfoLevel)))
}

// Lines above the limit are dropped and counted. Events at warning level have a
// limit of their own.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		logger := newTestLogger(out).WithRateLimit(NewRateLimit(RateLimitConfig{MaxInfoPerSecond: 2, MaxWarnPerSecond: 4})).With(zap.Int("n", 1))
		for range 10 {
			logger.Emit(RequestAnswered)
			logger.Emit(RequestFailed)
		}
		require.Len(t, out.lines(), 6)
		time.Sleep(time.Second)
		logger.Emit(RequestFailed)
		lines := out.lines()
		require.Len(t, lines, 8)
		require.Contains(t, lines[6], `"of":923,"count":6`)
	})
}

// Writes to the sink must not block while the reader of the output is blocked.
// Lines that do not fit into the buffer are dropped and counted.
func TestSinkNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	sink := NewSink(writer)
	ctx, cancel := context.WithCancel(context.Background())
	ended := sink.Start(ctx)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxBufferedBytes / len(line) {
		_, err := sink.Write(line)
		require.NoError(t, err)
	}
	for range 2 * maxBufferedBytes / len(line) {
		_, _ = sink.Write(line)
	}
	require.Positive(t, sink.Dropped())
	cancel()
	_ = reader.Close()
	<-ended
}

// Buffered lines are written before the sink stops.
func TestSinkFlushesOnShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		sink := NewSink(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := sink.Start(ctx)
		_, _ = sink.Write([]byte("a\n"))
		time.Sleep(time.Second)
		_, _ = sink.Write([]byte("b\n"))
		cancel()
		<-ended
		require.Equal(t, []string{"a", "b"}, out.lines())
	})
}
