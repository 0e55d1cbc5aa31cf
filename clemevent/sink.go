package clemevent

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// sinkBytes bounds the lines that wait for a reader that stands still.
	sinkBytes = 256 << 10
	// sinkPace gathers the lines of a moment into one write.
	sinkPace = 50 * time.Millisecond
)

// Sink writes log lines without ever blocking who logs: lines wait in a
// bounded buffer, and those that find it full are counted and dropped.
type Sink struct {
	out   io.Writer
	ready chan struct{}

	mu      sync.Mutex
	waiting []byte
	dropped int
}

// NewSink returns a sink that writes to out once it is started.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, ready: make(chan struct{}, 1)} }

// Write implements zapcore.WriteSyncer. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.waiting)+len(line) > sinkBytes {
		s.dropped++
	} else {
		s.waiting = append(s.waiting, line...)
	}
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written by the sink's goroutine.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Start writes lines until the context ends, and what waits then.
func (s *Sink) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				s.flush()
				ended <- ctx.Err()
				return
			case <-s.ready:
				s.flush()
			}
			select {
			case <-ctx.Done():
			case <-time.After(sinkPace):
			}
		}
	}()
	return ended
}

// flush writes what waits. A failed write loses its lines: there is nowhere to tell.
func (s *Sink) flush() {
	s.mu.Lock()
	lines := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	if len(lines) > 0 {
		_, _ = s.out.Write(lines)
	}
}
