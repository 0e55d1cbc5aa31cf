package clemspread

import (
	"slices"
	"time"

	"github.com/clementineturn/clementineturn/clemquarantine"
)

// findingRelay is a bounded log of findings of other entries to pass on, numbered from 1.
type findingRelay struct {
	findings []clemquarantine.Finding
	addedAt  []time.Time
	end      uint64
}

// add adds findings that are not in the log yet.
func (r *findingRelay) add(findings []clemquarantine.Finding, now time.Time) {
	for _, f := range findings {
		if slices.ContainsFunc(r.findings, func(o clemquarantine.Finding) bool { return isSameFinding(o, f) }) {
			continue
		}
		if len(r.findings) >= maxRelayedFindings {
			r.findings = slices.Delete(r.findings, 0, maxRelayedFindings/2)
			r.addedAt = slices.Delete(r.addedAt, 0, maxRelayedFindings/2)
		}
		r.findings, r.addedAt = append(r.findings, f), append(r.addedAt, now)
		r.end++
	}
}

// isSameFinding reports whether two findings are the same but for the error of their times.
func isSameFinding(a, b clemquarantine.Finding) bool {
	return a.Service == b.Service && a.Server == b.Server && a.Incarnation == b.Incarnation && a.HasBegun == b.HasBegun &&
		a.IsServed == b.IsServed && slices.Equal(a.Parts, b.Parts) && a.At.Sub(b.At).Abs() < relayTime
}

// since returns the findings after the number that were added lately, as many as fit into
// a message, and the number to continue from.
func (r *findingRelay) since(number uint64, now time.Time) ([]clemquarantine.Finding, uint64) {
	number = max(min(number, r.end), r.end-uint64(len(r.findings)))
	from := len(r.findings) - int(r.end-number)
	for from < len(r.findings) && now.Sub(r.addedAt[from]) > relayTime {
		from, number = from+1, number+1
	}
	to := min(from+maxSentRelayed, len(r.findings))
	return slices.Clone(r.findings[from:to]), number + uint64(to-from)
}

// relayFindings records findings of a peer to pass on: those of members to other groups,
// and those of other groups to members. Findings that were passed on within a group go no
// further.
func (t *sumTable) relayFindings(isMember bool, findings, relayed []clemquarantine.Finding, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isMember {
		t.outward.add(findings, now)
		return
	}
	t.inward.add(findings, now)
	t.inward.add(relayed, now)
}

// relayedSince returns the findings to pass on to a peer after the number.
func (t *sumTable) relayedSince(isMember bool, number uint64, now time.Time) ([]clemquarantine.Finding, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isMember {
		return t.inward.since(number, now)
	}
	return t.outward.since(number, now)
}
