package clemstandin

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	clementineturn "github.com/clementineturn/clementineturn"
)

// TableFaults are the faults that a service of the platform injects. The zero
// value injects none.
type TableFaults struct {
	// Delay is added before each call takes effect.
	Delay time.Duration
	// Down makes every call fail without effect.
	Down bool
	// LostAnswers is the number of coming writes that take effect but answer KindUnknown.
	LostAnswers int
	// LateWrites is the number of coming writes that answer KindUnknown at
	// once and take effect only after Late.
	LateWrites int
	Late       time.Duration
	// Reads and Writes are the most calls a second; 0 sets no limit. Calls
	// above the limit fail without effect.
	Reads  float64
	Writes float64
}

// errRate is the cause of a call that exceeds the rate limit.
var errRate = errors.New("rate limit exceeded")

// gate is the part of a service that every call passes: faults, rate limits and counts.
type gate struct {
	mu         sync.Mutex
	faults     TableFaults
	readLimit  *rate.Limiter
	writeLimit *rate.Limiter
	reads      uint64
	writes     uint64
}

// Inject replaces the faults.
func (g *gate) Inject(faults TableFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
	g.readLimit = limiter(faults.Reads)
	g.writeLimit = limiter(faults.Writes)
}

// limiter allows bursts of one second's calls, at least one.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Counts returns how many reads and writes passed the faults.
func (g *gate) Counts() (reads, writes uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads, g.writes
}

func (g *gate) enterRead(ctx context.Context) error {
	return g.enter(ctx, func() (*rate.Limiter, *uint64) { return g.readLimit, &g.reads })
}

func (g *gate) enterWrite(ctx context.Context) error {
	return g.enter(ctx, func() (*rate.Limiter, *uint64) { return g.writeLimit, &g.writes })
}

// enter waits for the injected delay, fails if the service is down or its
// rate limit is exceeded, and counts the call.
func (g *gate) enter(ctx context.Context, side func() (*rate.Limiter, *uint64)) error {
	g.mu.Lock()
	delay := g.faults.Delay
	g.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "platform: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Down {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "the service is down")
	}
	limit, count := side()
	if limit != nil && !limit.Allow() {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "platform: %w", errRate)
	}
	*count++
	return nil
}

// sleep waits for the time or the context's end, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
