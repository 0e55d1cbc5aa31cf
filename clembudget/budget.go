// Package clembudget holds the retry and hedging budgets of an entry. They limit
// the extra work of retries and hedges to a ratio of the work that callers
// requested, so that it cannot amplify an overload.
package clembudget

import "sync"

// Config describes a Budget to construct.
type Config struct {
	// Ratio is the allowed ratio of extra work to requested work.
	Ratio float64
	// Burst is the maximum balance and the initial one, in units of cost.
	Burst float64
}

// Budget is a token bucket that requested work fills and extra work empties. It
// is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	burst   float64
	balance float64
}

// New returns the budget that the configuration describes.
func New(c Config) *Budget {
	return &Budget{ratio: c.Ratio, burst: c.Burst, balance: c.Burst}
}

// Deposit adds the ratio of the cost of work that a caller requested.
func (b *Budget) Deposit(cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.burst, b.balance+b.ratio*cost)
}

// TryWithdraw takes the cost of extra work from the budget and reports whether
// the balance was sufficient. If not, it takes nothing.
func (b *Budget) TryWithdraw(cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cost > b.balance {
		return false
	}
	b.balance -= cost
	return true
}

// SetRatio changes the ratio. A ratio of 0 or less also clears the balance.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
	if ratio <= 0 {
		b.balance = 0
	}
}
