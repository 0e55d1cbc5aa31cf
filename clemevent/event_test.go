package clemevent

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Event numbers and messages are unique, and every event has documentation that
// fits into a Markdown table.
func TestCatalogue(t *testing.T) {
	entries := 0
	for _, table := range catalogue {
		entries += len(table)
	}
	events := Events()
	require.Len(t, events, entries)
	texts := map[string]Event{}
	for i, event := range events {
		if i > 0 {
			require.NotEqual(t, events[i-1], event, "duplicate event number")
		}
		info := event.Info()
		require.NotContains(t, texts, info.Text(), "events %d and %d", event, texts[info.Text()])
		texts[info.Text()] = event
		require.NotEmpty(t, info.Doc(), "event %d", event)
		require.NotContains(t, info.Doc(), "|", "event %d", event)
	}
}

func TestEmit(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	New(zap.New(core)).With(zap.String("request", "r1")).Emit(ProcessStarted, zap.Int("x", 1))
	line := logs.All()[0]
	require.Equal(t, "process started", line.Message)
	require.Equal(t, map[string]any{"request": "r1", "x": int64(1), "event": int64(ProcessStarted)}, line.ContextMap())
	var none *Logger
	none.With(zap.String("a", "b")).Emit(ProcessStarted)
}
