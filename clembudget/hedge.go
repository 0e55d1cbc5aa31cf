package clembudget

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeWindow is the time after which a pool's measurements are renewed.
	hedgeWindow = 10 * time.Second
	// minHedgeCount is the number of measurements that a delay needs.
	minHedgeCount = 50
	maxFirst      = 10 * time.Minute
	firstDigits   = 2
)

// HedgeConfig describes a Hedge to construct.
type HedgeConfig struct {
	// Quantile of the time to first byte after which a second attempt is made, as 0.95.
	Quantile float64
	// Burst is the most extra work that a pool may save up, in units of cost.
	Burst float64
	// Quiet is the time without hedges after an overload refusal.
	Quiet time.Duration
	// Least is the shortest delay.
	Least time.Duration
}

// Hedge decides when a second attempt of idempotent work may start (Dean and
// Barroso, "The Tail at Scale", 2013): after a quantile of the pool's recent
// time to first byte, within a share of the pool's work, and never soon
// after the pool refused work for overload. It is safe for concurrent use.
type Hedge struct {
	quantile float64
	burst    float64
	quiet    time.Duration
	least    time.Duration

	mu    sync.Mutex
	pools map[string]*poolHedge
}

// poolHedge is what is known of one pool.
type poolHedge struct {
	budget   *Budget
	current  *hdrhistogram.Histogram
	last     *hdrhistogram.Histogram
	renewed  time.Time
	refused  time.Time
	refusals bool
}

// NewHedge returns the policy that the configuration describes.
func NewHedge(c HedgeConfig) *Hedge {
	return &Hedge{quantile: c.Quantile, burst: c.Burst, quiet: c.Quiet, least: c.Least, pools: map[string]*poolHedge{}}
}

// Earn counts work of a pool; share is the pool's extra work allowed for hedges.
func (h *Hedge) Earn(pool string, share, cost float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.budget.SetShare(share)
	p.budget.Earn(cost)
}

// Observe counts the time to first byte of one attempt that was not a hedge.
func (h *Hedge) Observe(now time.Time, pool string, first time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.renew(now)
	_ = p.current.RecordValue(min(first, maxFirst).Microseconds())
}

// Overloaded notes that a sidecar of the pool refused work for overload.
func (h *Hedge) Overloaded(now time.Time, pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.refused, p.refusals = now, true
}

// Delay returns the time to wait for the first byte before a second attempt,
// and false while the pool must not be hedged.
func (h *Hedge) Delay(now time.Time, pool string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	p.renew(now)
	if h.isQuiet(now, p) || p.last.TotalCount() < minHedgeCount {
		return 0, false
	}
	delay := time.Duration(p.last.ValueAtQuantile(h.quantile*100)) * time.Microsecond
	return max(h.least, delay), true
}

// Spend takes the cost of a second attempt from the pool's budget and reports
// whether the attempt may start.
func (h *Hedge) Spend(now time.Time, pool string, cost float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	return !h.isQuiet(now, p) && p.budget.Spend(cost)
}

func (h *Hedge) isQuiet(now time.Time, p *poolHedge) bool {
	return p.refusals && now.Sub(p.refused) < h.quiet
}

func (h *Hedge) pool(name string) *poolHedge {
	p := h.pools[name]
	if p == nil {
		p = &poolHedge{budget: New(Config{Burst: h.burst}), current: newHistogram(), last: newHistogram()}
		h.pools[name] = p
	}
	return p
}

// renew starts a new window once the current one is over.
func (p *poolHedge) renew(now time.Time) {
	if p.renewed.IsZero() {
		p.renewed = now
	}
	if now.Sub(p.renewed) < hedgeWindow {
		return
	}
	p.current, p.last = p.last, p.current
	p.current.Reset()
	p.renewed = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxFirst.Microseconds(), firstDigits)
}
