// Package clembudget limits the extra work of retries and hedges to a share
// of the work that callers asked for, so that they cannot feed an overload.
package clembudget

import "sync"

// Config describes a Budget to construct.
type Config struct {
	// Share is the extra work allowed as a share of all work.
	Share float64
	// Burst is the most that may be saved up, in units of cost. The budget starts with it.
	Burst float64
}

// Budget is a token bucket that work fills and extra work empties. It is safe
// for concurrent use.
type Budget struct {
	mu    sync.Mutex
	share float64
	burst float64
	saved float64
}

// New returns the budget that the configuration describes.
func New(c Config) *Budget {
	return &Budget{share: c.Share, burst: c.Burst, saved: c.Burst}
}

// Earn counts work of the given cost that a caller asked for.
func (b *Budget) Earn(cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.burst, b.saved+b.share*cost)
}

// Spend takes the cost of extra work from the budget and reports whether the budget had it.
func (b *Budget) Spend(cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cost > b.saved {
		return false
	}
	b.saved -= cost
	return true
}

// SetShare changes the share. With a share of 0 nothing more is earned and what was saved is lost.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	if share <= 0 {
		b.saved = 0
	}
}
