package clemmetric

import "sync"

// Other replaces the values of a label above its limit.
const Other = "other"

// LabelLimiter limits the number of distinct values of a label, since each value
// creates a metric that is never removed. The zero LabelLimiter replaces every
// value with Other. It is safe for concurrent use.
type LabelLimiter struct {
	maxValues int

	mu     sync.Mutex
	values map[string]bool
}

// NewLabelLimiter returns a LabelLimiter that allows the given number of distinct
// values.
func NewLabelLimiter(maxValues int) *LabelLimiter {
	return &LabelLimiter{maxValues: maxValues, values: map[string]bool{}}
}

// Of returns the value, or Other if the value is new and the limit is reached.
func (l *LabelLimiter) Of(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.values[value]:
	case len(l.values) >= l.maxValues:
		return Other
	default:
		l.values[value] = true
	}
	return value
}
