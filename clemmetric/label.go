package clemmetric

import "sync"

// Other replaces the values of a label above its limit.
const Other = "other"

// Label limits the number of distinct values of a label, since each value creates
// a metric that is never removed. The zero Label replaces every value with Other.
// It is safe for concurrent use.
type Label struct {
	maxValues int

	mu     sync.Mutex
	values map[string]bool
}

// NewLabel returns a Label that allows the given number of distinct values.
func NewLabel(maxValues int) *Label { return &Label{maxValues: maxValues, values: map[string]bool{}} }

// Of returns the value, or Other if the value is new and the limit is reached.
func (l *Label) Of(value string) string {
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
