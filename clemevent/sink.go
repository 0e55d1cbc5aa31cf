package clemevent

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the lines that are buffered while the reader of
	// the output is blocked.
	maxBufferedBytes = 256 << 10
	// flushInterval is the minimum time between writes to the output.
	flushInterval = 50 * time.Millisecond
)

// Sink writes log lines in the background, so that logging never blocks. Lines
// are kept in a bounded buffer; those that do not fit are dropped and counted.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu       sync.Mutex
	buffered []byte
	dropped  int
}

// NewSink returns a Sink that writes to out once it is started.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, wake: make(chan struct{}, 1)} }

// Write implements zapcore.WriteSyncer. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.buffered)+len(line) > maxBufferedBytes {
		s.dropped++
	} else {
		s.buffered = append(s.buffered, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since lines are written
// in the background.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Start writes lines until the context ends and flushes the buffer then. The
// returned channel receives the context's error after the last write.
func (s *Sink) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				s.flush()
				done <- ctx.Err()
				return
			case <-s.wake:
				s.flush()
			}
			select {
			case <-ctx.Done():
			case <-time.After(flushInterval):
			}
		}
	}()
	return done
}

// flush writes the buffered lines. If the write fails, the lines are lost, since
// there is no other place to report them.
func (s *Sink) flush() {
	s.mu.Lock()
	lines := s.buffered
	s.buffered = nil
	s.mu.Unlock()
	if len(lines) > 0 {
		_, _ = s.out.Write(lines)
	}
}
