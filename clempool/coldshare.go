package clempool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemrank"
)

// entryList is the list of the entries that may send requests to cold servers.
type entryList struct {
	addresses []string
	digests   []uint64
	own       uint64
	// isKnown is set once the list is complete. number is increased with each change.
	isKnown bool
	number  uint64
}

// lookUpEntries looks the list of entries up if that was not done lately. The caller does
// not hold mu: whoever keeps the list may call the directory under locks of its own.
func (d *Directory) lookUpEntries(now time.Time) {
	if d.config.Entries == nil || d.config.ColdFigures == nil {
		return
	}
	last := d.entriesAt.Load()
	if last != nil && now.Sub(*last) < entriesInterval {
		return
	}
	lookedUpAt := now
	if !d.entriesAt.CompareAndSwap(last, &lookedUpAt) {
		return
	}
	addresses, isKnown := d.config.Entries()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setEntries(slices.Clone(addresses), isKnown)
}

// setEntries sets the list of entries, to which this one is added. The caller holds mu.
func (d *Directory) setEntries(addresses []string, isKnown bool) {
	l := &d.entries
	addresses = append(addresses, d.config.Address)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if l.number > 0 && isKnown == l.isKnown && slices.Equal(addresses, l.addresses) {
		return
	}
	l.addresses, l.isKnown = addresses, isKnown
	l.number++
	l.own, l.digests = xxhash.Sum64String(d.config.Address), l.digests[:0]
	for _, address := range addresses {
		l.digests = append(l.digests, xxhash.Sum64String(address))
	}
}

// coldShare returns how many requests this entry may send to the cold server in any
// second. All entries that know the same entries come to shares whose sum is at most the
// allowance. The order does not depend on the incarnation: while entries disagree about it,
// those of two orders would send together.
func (d *Directory) coldShare(s *server, f ColdFigures, now time.Time) int {
	l, c, allowance := &d.entries, s.cold, s.cold.allowance(f, now)
	if !l.isKnown || !d.config.StartedAt.IsZero() && now.Sub(d.config.StartedAt) <= coldWindow {
		return 0
	}
	if c.shareList == l.number && c.shareAllowance == allowance {
		return c.share
	}
	c.shareList, c.shareAllowance, c.share = l.number, allowance, 0
	senders := min(len(l.digests), allowance)
	if senders == 0 {
		return 0
	}
	position, own := 0, clemrank.Weight(s.digest, l.own)
	for i, digest := range l.digests {
		weight := clemrank.Weight(s.digest, digest)
		if weight > own || weight == own && l.addresses[i] < d.config.Address {
			position++
		}
	}
	if position < senders {
		c.share = allowance / senders
	}
	return c.share
}

// checkCold returns an error if the server is cold and this entry has used up its share.
// Otherwise it counts the request as sent. The caller holds mu.
func (l *Lease) checkCold(s *server, now time.Time) error {
	l.unreserve()
	f := l.directory.coldFigures(s.record.Service())
	if f.Limit <= 0 {
		return nil
	}
	if s.cold.isCold(f, now) {
		if wait := s.cold.wait(l.directory.coldShare(s, f, now), now); wait != 0 {
			return clementineturn.Refuse(clementineturn.KindOverloaded, "server %s is %s and has had this entry's share of requests", l.id, l.directory.coldAvailability(s, now))
		}
	}
	s.cold.recordSent(f, now)
	l.sentAt = now
	return nil
}

// unreserve gives the place of a request at a cold server back that has not been sent.
func (l *Lease) unreserve() {
	if l.isReserved {
		l.cold.reserved--
		l.isReserved = false
	}
}

// coldRefusal returns the refusal of a request for which only cold servers are left that
// have had this entry's share of requests. wait is the time until this entry may send to
// one of them, or 0 if it has no share at any.
func (d *Directory) coldRefusal(svc *service, r Request, wait time.Duration, now time.Time) error {
	var first *server
	var reason Availability
	for _, s := range svc.servers {
		if r.excludes(s) || s.closedState(now) != StateOpen {
			continue
		}
		a := d.coldAvailability(s, now)
		if a.state == StateCold && (first == nil || cmp.Or(boolOrder(a.until.IsZero(), reason.until.IsZero()), a.until.Compare(reason.until)) < 0) {
			first, reason = s, a
		}
	}
	if first == nil {
		return nil
	}
	if wait <= 0 {
		// Other entries have shares: the caller may come to one of them.
		wait = fullRetryDelay
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindOverloaded, NotRun: true, RetryAfter: svc.returns.delay(r.Rank, wait, now),
		Message: "every backend server of service " + r.Service + " that is left is cold and has had this entry's share of requests: server " + first.record.ID() + " is " + reason.String(),
	})
}

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
