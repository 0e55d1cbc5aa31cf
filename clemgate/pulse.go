package clemgate

import "time"

const (
	// stalledAfter is the least time without a report in the middle of
	// answers after which a server takes no new work.
	stalledAfter = 500 * time.Millisecond
	// stalledGaps is the least number of usual gaps between reports.
	stalledGaps = 4
	// gapReports is the number of reports over which gaps are averaged.
	gapReports = 16
)

// pulse notices when a server stops in the middle of answers. Its speed cannot
// show that, since a server that stands still makes no measurements.
type pulse struct {
	// open is the number of running items whose answers have begun.
	open int
	last time.Time
	gap  time.Duration
}

// beat notes that an answer went on; first says that it has just begun.
func (p *pulse) beat(now time.Time, first bool) {
	if p.open > 0 {
		p.gap += (now.Sub(p.last) - p.gap) / gapReports
	}
	if first {
		p.open++
	}
	p.last = now
}

// end notes that an answer which had begun has ended.
func (p *pulse) end() { p.open-- }

// isStalled reports whether answers have stood still for long. Answers that
// usually come in large pieces have longer gaps.
func (p *pulse) isStalled(now time.Time) bool {
	return p.open > 0 && now.Sub(p.last) >= max(stalledAfter, stalledGaps*p.gap)
}
