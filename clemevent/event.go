// Package clemevent is the catalogue of numbered log events and the logger
// that writes them. Nothing else in the system writes a log line.
package clemevent

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is the number of a log event. The hundreds name the component.
type Event int

// Info describes an event.
type Info struct {
	level zapcore.Level
	text  string
	doc   string
}

// Level returns the level the event is logged at.
func (i Info) Level() zapcore.Level { return i.level }

// Text returns the message of the log line.
func (i Info) Text() string { return i.text }

// Doc returns what the event means and what an operator should do.
func (i Info) Doc() string { return i.doc }

// Info returns the catalogue's entry of the event.
func (e Event) Info() Info {
	for _, part := range catalogue {
		if info, ok := part[e]; ok {
			return info
		}
	}
	return Info{level: zapcore.ErrorLevel, text: "unknown event"}
}

// Logger writes events of the catalogue. A nil Logger writes nothing.
type Logger struct {
	zap   *zap.Logger
	limit *Limit
}

// New returns a logger on top of the given one.
func New(z *zap.Logger) *Logger { return &Logger{zap: z} }

// Emit writes one event with its fields.
func (l *Logger) Emit(e Event, fields ...zap.Field) {
	if l == nil {
		return
	}
	info := e.Info()
	if l.limit != nil && !l.limit.allow(l, e, info.level, time.Now()) {
		return
	}
	if entry := l.zap.Check(info.level, info.text); entry != nil {
		entry.Write(append(fields, zap.Int("event", int(e)))...)
	}
}

// With returns a logger that adds the fields to every line.
func (l *Logger) With(fields ...zap.Field) *Logger {
	if l == nil {
		return nil
	}
	return &Logger{zap: l.zap.With(fields...), limit: l.limit}
}
