package clemquarantine

import (
	"slices"
	"time"
)

// maxFindings bounds the findings kept for peers that have yet to receive them, and
// maxSentFindings those in one message.
const (
	maxFindings     = 1024
	maxSentFindings = 128
)

// Finding is one piece of evidence that an entry saw itself.
type Finding struct {
	Service string
	// Parts are the shared parts of a prompt.
	Parts []uint64
	// At is when it happened.
	At time.Time
	// IsServed is set if a response succeeded. Otherwise a server ended while it had a
	// request with the parts.
	IsServed bool
	// Server and Incarnation identify the server that ended, and HasBegun is set if it
	// had just begun the response.
	Server      string
	Incarnation int64
	HasBegun    bool
}

// findingLog is a bounded log of findings, numbered from 1.
type findingLog struct {
	findings []Finding
	// end is the number of the last finding.
	end uint64
}

func (l *findingLog) add(f Finding) {
	if len(l.findings) >= maxFindings {
		l.findings = slices.Delete(l.findings, 0, maxFindings/2)
	}
	l.findings = append(l.findings, f)
	l.end++
}

// Findings returns the findings of this entry after the given number, as many as fit
// into a message, and the number of the last one.
func (t *Tracker) Findings(since uint64) ([]Finding, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.findings
	since = max(min(since, l.end), l.end-uint64(len(l.findings)))
	from := len(l.findings) - int(l.end-since)
	to := min(from+maxSentFindings, len(l.findings))
	return slices.Clone(l.findings[from:to]), since + uint64(to-from)
}

// AddPeerFindings adds findings of a peer. Their times must be those of this entry's
// clock.
func (t *Tracker) AddPeerFindings(findings []Finding, now time.Time) {
	if len(findings) == 0 {
		return
	}
	t.mu.Lock()
	defer t.unlock()
	for _, f := range findings {
		if !f.IsServed {
			t.addCrash(f, now)
			continue
		}
		for _, id := range f.Parts {
			p := Part{f.Service, id}
			if t.suspects[p] != nil || t.quarantines[p] != nil {
				t.peerServed[p] = later(t.peerServed[p], f.At)
			}
		}
	}
	t.evaluate(now)
}
