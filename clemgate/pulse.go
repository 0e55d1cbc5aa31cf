package clemgate

import "time"

const (
	// minStallTime is the shortest pause in the output of all answers that
	// counts as a stall. A stalled server takes no new work.
	minStallTime = 500 * time.Millisecond
	// stallGapFactor is the shortest stall as a multiple of the mean gap
	// between reports.
	stallGapFactor = 4
	// gapAveragingReports is the number of reports over which gaps are
	// averaged.
	gapAveragingReports = 16
)

// stallDetector detects a server that stops in the middle of answers. The speed
// does not show this, since a stalled server produces nothing to measure.
type stallDetector struct {
	// streaming is the number of running items whose answers have begun.
	streaming  int
	lastOutput time.Time
	meanGap    time.Duration
}

// recordOutput records that an answer made progress. first marks its first
// output.
func (d *stallDetector) recordOutput(now time.Time, first bool) {
	if d.streaming > 0 {
		d.meanGap += (now.Sub(d.lastOutput) - d.meanGap) / gapAveragingReports
	}
	if first {
		d.streaming++
	}
	d.lastOutput = now
}

// endAnswer records the end of an answer that had begun.
func (d *stallDetector) endAnswer() { d.streaming-- }

// isStalled reports whether no answer has made progress for too long. Answers
// that usually come in large pieces have longer gaps.
func (d *stallDetector) isStalled(now time.Time) bool {
	return d.streaming > 0 && now.Sub(d.lastOutput) >= max(minStallTime, stallGapFactor*d.meanGap)
}
