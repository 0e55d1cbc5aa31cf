package clemevent

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// LimitConfig describes a Limit to construct.
type LimitConfig struct {
	// Common is the most lines of one event in a second below warning level.
	Common int
	// Failures is the same from warning level on.
	Failures int
}

// Limit bounds the lines of each event. What is left out is counted and told
// in a line of its own with the first line of a later second.
type Limit struct {
	config LimitConfig

	mu     sync.Mutex
	counts map[Event]*count
}

// count is what came of one event within a second.
type count struct {
	since   time.Time
	written int
	dropped int
}

// NewLimit returns the limit that the configuration describes.
func NewLimit(c LimitConfig) *Limit { return &Limit{config: c, counts: map[Event]*count{}} }

// WithLimit returns a logger that keeps to the limit.
func (l *Logger) WithLimit(limit *Limit) *Logger { return &Logger{zap: l.zap, limit: limit} }

// allow reports whether a line may be written.
func (m *Limit) allow(l *Logger, e Event, level zapcore.Level, now time.Time) bool {
	if e == LinesSuppressed {
		return true
	}
	most := m.config.Common
	if level >= zapcore.WarnLevel {
		most = m.config.Failures
	}
	m.mu.Lock()
	c := m.counts[e]
	if c == nil {
		c = &count{since: now}
		m.counts[e] = c
	}
	dropped := 0
	if now.Sub(c.since) >= time.Second {
		dropped = c.dropped
		*c = count{since: now}
	}
	allowed := c.written < most
	if allowed {
		c.written++
	} else {
		c.dropped++
	}
	m.mu.Unlock()
	if dropped > 0 {
		l.Emit(LinesSuppressed, zap.Int("of", int(e)), zap.Int("count", dropped))
	}
	return allowed
}
