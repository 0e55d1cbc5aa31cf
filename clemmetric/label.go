package clemmetric

import "sync"

// Other stands for the values of a label beyond its bound.
const Other = "other"

// Label bounds the values of a label, since each makes a metric of its own
// that lasts. Its zero value lets none through. It is safe for concurrent use.
type Label struct {
	most int

	mu     sync.Mutex
	values map[string]bool
}

// NewLabel returns a label that takes the given number of values.
func NewLabel(most int) *Label { return &Label{most: most, values: map[string]bool{}} }

// Of returns the value, or Other once the label has taken its most values.
func (l *Label) Of(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.values[value]:
	case len(l.values) >= l.most:
		return Other
	default:
		l.values[value] = true
	}
	return value
}
