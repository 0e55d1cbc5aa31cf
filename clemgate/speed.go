package clemgate

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the time after which a measurement counts half.
	speedHalfLife = 500 * time.Millisecond
	// minSpeedTokens is the decayed number of tokens that a speed needs.
	minSpeedTokens = 16
	// slowEnter and slowLeave are the ratios to the median between which
	// hysteresis keeps the state.
	slowEnter = 1.6
	slowLeave = 1.25
	// minFactor is the smallest share that a slow server keeps.
	minFactor = 0.1
)

// meter measures the time per token over a decaying window.
type meter struct {
	elapsed float64
	tokens  float64
	last    time.Time
	slow    bool
}

// add counts tokens that took the elapsed time.
func (m *meter) add(now time.Time, elapsed time.Duration, tokens uint64) {
	if age := now.Sub(m.last); age > 0 {
		decay := math.Exp2(-float64(age) / float64(speedHalfLife))
		m.elapsed *= decay
		m.tokens *= decay
		m.last = now
	}
	m.elapsed += float64(elapsed)
	m.tokens += float64(tokens)
}

// speed returns the time per token, or 0 with too few measurements.
func (m *meter) speed() time.Duration {
	if m.tokens < minSpeedTokens {
		return 0
	}
	return time.Duration(math.Round(m.elapsed / m.tokens))
}

// slowness returns the speed relative to the median, or 0 if either is unknown.
func (m *meter) slowness(median time.Duration) float64 {
	if median <= 0 {
		return 0
	}
	return float64(m.speed()) / float64(median)
}

// factor returns the share of the bound that the server keeps.
func (m *meter) factor(median time.Duration) float64 {
	ratio := m.slowness(median)
	switch {
	case ratio == 0:
		m.slow = false
	case ratio >= slowEnter:
		m.slow = true
	case ratio < slowLeave:
		m.slow = false
	}
	if !m.slow {
		return 1
	}
	return max(minFactor, 1/ratio)
}
