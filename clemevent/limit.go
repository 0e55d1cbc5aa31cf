package clemevent

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// RateLimitConfig describes a RateLimit to construct.
type RateLimitConfig struct {
	// MaxInfoPerSecond is the maximum number of lines per second of each event
	// below warning level.
	MaxInfoPerSecond int
	// MaxWarnPerSecond is the maximum number of lines per second of each event
	// at warning level and above.
	MaxWarnPerSecond int
}

// RateLimit bounds the rate of log lines of each event. Lines above it are dropped;
// their number is logged with the first line of the event in a later second.
type RateLimit struct {
	config RateLimitConfig

	mu     sync.Mutex
	counts map[Event]*lineCount
}

// lineCount counts the lines of one event in the current one-second window.
type lineCount struct {
	windowStart time.Time
	written     int
	dropped     int
}

// NewRateLimit returns the limit that the configuration describes.
func NewRateLimit(c RateLimitConfig) *RateLimit {
	return &RateLimit{config: c, counts: map[Event]*lineCount{}}
}

// WithRateLimit returns a logger that drops lines above the limit.
func (l *Logger) WithRateLimit(limit *RateLimit) *Logger { return &Logger{zap: l.zap, limit: limit} }

// allow reports whether a line of the event may be written now. It logs the
// number of lines that were dropped in the last window.
func (m *RateLimit) allow(l *Logger, e Event, level zapcore.Level, now time.Time) bool {
	if e == LogLinesRateLimited {
		return true
	}
	maxLines := m.config.MaxInfoPerSecond
	if level >= zapcore.WarnLevel {
		maxLines = m.config.MaxWarnPerSecond
	}
	m.mu.Lock()
	c := m.counts[e]
	if c == nil {
		c = &lineCount{windowStart: now}
		m.counts[e] = c
	}
	dropped := 0
	if now.Sub(c.windowStart) >= time.Second {
		dropped = c.dropped
		*c = lineCount{windowStart: now}
	}
	allowed := c.written < maxLines
	if allowed {
		c.written++
	} else {
		c.dropped++
	}
	m.mu.Unlock()
	if dropped > 0 {
		l.Emit(LogLinesRateLimited, zap.Int("of", int(e)), zap.Int("count", dropped))
	}
	return allowed
}
