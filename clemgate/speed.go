package clemgate

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the time in which the weight of a measurement halves.
	speedHalfLife = 500 * time.Millisecond
	// minSpeedTokens is the decayed number of tokens from which the speed
	// counts as known.
	minSpeedTokens = 16
	// slowEnter and slowLeave are the ratios to the median at which a server
	// becomes slow and stops being slow. They differ to provide hysteresis.
	slowEnter = 1.6
	slowLeave = 1.25
	// minSpeedFactor is the smallest share of the bound that a slow server
	// keeps.
	minSpeedFactor = 0.1
)

// speedMeter measures the time per token with exponential decay.
type speedMeter struct {
	elapsed float64
	tokens  float64
	updated time.Time
	slow    bool
}

// add counts tokens that took the elapsed time.
func (m *speedMeter) add(now time.Time, elapsed time.Duration, tokens uint64) {
	if age := now.Sub(m.updated); age > 0 {
		decay := math.Exp2(-float64(age) / float64(speedHalfLife))
		m.elapsed *= decay
		m.tokens *= decay
		m.updated = now
	}
	m.elapsed += float64(elapsed)
	m.tokens += float64(tokens)
}

// speed returns the time per token, or 0 with too few measurements.
func (m *speedMeter) speed() time.Duration {
	if m.tokens < minSpeedTokens {
		return 0
	}
	return time.Duration(math.Round(m.elapsed / m.tokens))
}

// slowness returns the time per token relative to the median, or 0 if either is
// unknown.
func (m *speedMeter) slowness(median time.Duration) float64 {
	if median <= 0 {
		return 0
	}
	return float64(m.speed()) / float64(median)
}

// factor returns the share of the load bound and of the slots that the server
// keeps.
func (m *speedMeter) factor(median time.Duration) float64 {
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
	return max(minSpeedFactor, 1/ratio)
}
