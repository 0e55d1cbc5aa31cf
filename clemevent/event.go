// Package clemevent defines the catalogue of numbered log events and the logger
// that writes them. Every log line of the system goes through it.
package clemevent

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is the number of a log event. Its hundreds identify the component.
type Event int

// Info describes an event: level, log message and documentation.
type Info struct {
	level zapcore.Level
	text  string
	doc   string
}

// Level returns the level at which the event is logged.
func (i Info) Level() zapcore.Level { return i.level }

// Text returns the message of the log line.
func (i Info) Text() string { return i.text }

// Doc returns the meaning of the event and what an operator should do about it.
func (i Info) Doc() string { return i.doc }

// Info returns the catalogue entry of the event. An event that is not in the
// catalogue is described as an unknown event at error level.
func (e Event) Info() Info {
	for _, table := range catalogue {
		if info, ok := table[e]; ok {
			return info
		}
	}
	return Info{level: zapcore.ErrorLevel, text: "unknown event"}
}

// Logger logs events of the catalogue. A nil Logger logs nothing.
type Logger struct {
	zap   *zap.Logger
	limit *RateLimit
}

// New returns a Logger that writes to the given zap logger.
func New(z *zap.Logger) *Logger { return &Logger{zap: z} }

// Emit logs the event with the given fields and its number.
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
