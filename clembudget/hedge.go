package clembudget

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeWindow is how long a pool's times to first byte are collected before
	// the delay is taken from them.
	hedgeWindow = 10 * time.Second
	// minHedgeSamples is the number of measurements that a delay requires.
	minHedgeSamples = 50
	// maxFirstByteTime is the highest value of the histograms; longer times count
	// as it.
	maxFirstByteTime = 10 * time.Minute
	// histogramDigits is the precision of the histograms in significant digits.
	histogramDigits = 2
)

// HedgePolicyConfig describes a HedgePolicy to construct.
type HedgePolicyConfig struct {
	// Quantile is the quantile of the time to first byte after which a second
	// attempt starts, for example 0.95.
	Quantile float64
	// Burst is the maximum balance of a pool's budget, in units of cost.
	Burst float64
	// Cooldown is how long a pool is not hedged after it refused work for overload.
	Cooldown time.Duration
	// MinDelay is the minimum delay.
	MinDelay time.Duration
}

// HedgePolicy decides when a second attempt of idempotent work may start (Dean
// and Barroso, "The Tail at Scale", 2013): after a quantile of the pool's
// recent times to first byte, within the pool's budget, and not during a
// cooldown after the pool refused work for overload. It is safe for concurrent
// use.
type HedgePolicy struct {
	quantile float64
	burst    float64
	cooldown time.Duration
	minDelay time.Duration

	mu    sync.Mutex
	pools map[string]*hedgePool
}

// hedgePool is the budget and the measurements of one pool.
type hedgePool struct {
	budget *Budget
	// current and previous hold the times to first byte of the current window and
	// the one before, which determines the delay.
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	windowStart time.Time
	// overloadedAt is when the pool last refused work for overload.
	overloadedAt  time.Time
	wasOverloaded bool
}

// NewHedgePolicy returns the policy that the configuration describes.
func NewHedgePolicy(c HedgePolicyConfig) *HedgePolicy {
	return &HedgePolicy{quantile: c.Quantile, burst: c.Burst, cooldown: c.Cooldown, minDelay: c.MinDelay, pools: map[string]*hedgePool{}}
}

// Deposit adds to the pool's budget for work of the given cost that a caller
// requested; ratio is the allowed ratio of hedges to that work.
func (h *HedgePolicy) Deposit(pool string, ratio, cost float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.budget.SetRatio(ratio)
	p.budget.Deposit(cost)
}

// Observe records the time to first byte of an attempt that was not a hedge.
func (h *HedgePolicy) Observe(now time.Time, pool string, first time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.rotate(now)
	_ = p.current.RecordValue(min(first, maxFirstByteTime).Microseconds())
}

// RecordOverload records that a sidecar of the pool refused work for overload.
func (h *HedgePolicy) RecordOverload(now time.Time, pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.overloadedAt, p.wasOverloaded = now, true
}

// Delay returns how long to wait for the first byte before a second attempt. It
// returns false during a cooldown and if there are too few measurements.
func (h *HedgePolicy) Delay(now time.Time, pool string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.rotate(now)
	if h.inCooldown(now, p) || p.previous.TotalCount() < minHedgeSamples {
		return 0, false
	}
	delay := time.Duration(p.previous.ValueAtQuantile(h.quantile*100)) * time.Microsecond
	return max(h.minDelay, delay), true
}

// TryWithdraw takes the cost of a second attempt from the pool's budget and
// reports whether the attempt may start.
func (h *HedgePolicy) TryWithdraw(now time.Time, pool string, cost float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	return !h.inCooldown(now, p) && p.budget.TryWithdraw(cost)
}

// inCooldown reports whether the pool refused work for overload recently.
func (h *HedgePolicy) inCooldown(now time.Time, p *hedgePool) bool {
	return p.wasOverloaded && now.Sub(p.overloadedAt) < h.cooldown
}

// pool returns the state of the pool, which it creates if necessary.
func (h *HedgePolicy) pool(name string) *hedgePool {
	p := h.pools[name]
	if p == nil {
		p = &hedgePool{budget: New(Config{Burst: h.burst}), current: newHistogram(), previous: newHistogram()}
		h.pools[name] = p
	}
	return p
}

// rotate starts a new window if the current one is over.
func (p *hedgePool) rotate(now time.Time) {
	if p.windowStart.IsZero() {
		p.windowStart = now
	}
	if now.Sub(p.windowStart) < hedgeWindow {
		return
	}
	p.current, p.previous = p.previous, p.current
	p.current.Reset()
	p.windowStart = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxFirstByteTime.Microseconds(), histogramDigits)
}
