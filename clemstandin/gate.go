package clemstandin

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	clementineturn "github.com/clementineturn/clementineturn"
)

// TableFaults are the faults to inject into a service of the platform. The zero
// value injects none.
type TableFaults struct {
	// Delay is added before each call takes effect.
	Delay time.Duration
	// Down makes every call fail without effect.
	Down bool
	// LostAnswers is the number of upcoming writes that take effect but return
	// KindUnknown.
	LostAnswers int
	// LateWrites is the number of upcoming writes that return KindUnknown at once
	// and take effect only after LateWriteDelay.
	LateWrites     int
	LateWriteDelay time.Duration
	// MaxReadsPerSecond and MaxWritesPerSecond limit the calls; 0 means no limit.
	// Calls above the limit fail without effect.
	MaxReadsPerSecond  float64
	MaxWritesPerSecond float64
}

// errRateLimit is the cause of the error of a call above the rate limit.
var errRateLimit = errors.New("rate limit exceeded")

// faultInjector applies faults and rate limits to the calls of a service and
// counts the accepted ones.
type faultInjector struct {
	mu           sync.Mutex
	faults       TableFaults
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	reads        uint64
	writes       uint64
}

// Inject replaces the faults.
func (f *faultInjector) Inject(faults TableFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.readLimiter = newLimiter(faults.MaxReadsPerSecond)
	f.writeLimiter = newLimiter(faults.MaxWritesPerSecond)
}

// newLimiter returns a rate limiter with a burst of one second's calls, at least
// one, or nil if there is no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Counts returns the numbers of accepted reads and writes.
func (f *faultInjector) Counts() (reads, writes uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.writes
}

func (f *faultInjector) beginRead(ctx context.Context) error {
	return f.begin(ctx, func() (*rate.Limiter, *uint64) { return f.readLimiter, &f.reads })
}

func (f *faultInjector) beginWrite(ctx context.Context) error {
	return f.begin(ctx, func() (*rate.Limiter, *uint64) { return f.writeLimiter, &f.writes })
}

// begin waits for the injected delay, fails if the service is down or its rate
// limit is exceeded, and counts the call.
func (f *faultInjector) begin(ctx context.Context, limiterAndCount func() (*rate.Limiter, *uint64)) error {
	f.mu.Lock()
	delay := f.faults.Delay
	f.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "platform: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Down {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "the service is down")
	}
	limiter, count := limiterAndCount()
	if limiter != nil && !limiter.Allow() {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "platform: %w", errRateLimit)
	}
	*count++
	return nil
}

// sleep waits for the duration. It returns the context's error if the context
// ends first.
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
