package clempool

import (
	"math"
	"time"
)

const (
	// minLimitChange is the share by which a stated limit must change to be reported.
	minLimitChange = 0.1
	// limitBurst is the time whose worth of requests a server gets at once, in addition
	// to one.
	limitBurst = 500 * time.Millisecond
	// minLimitRate is the rate of requests to a server whose limit is lower: without any
	// response nobody would learn that the limit has ended.
	minLimitRate = 0.25
	// maxLimitDebt is the time whose worth of requests beyond the limit is remembered.
	maxLimitDebt = 4 * time.Second
	// demandTime is the time constant with which the demand for a limited server is
	// measured.
	demandTime = time.Second
	// limitReportTime is how long after the end of a limit it is reported to peers.
	limitReportTime = 10 * time.Second
	// reportWeight is the weight of a report in the smoothed interval between reports.
	reportWeight = 1.0 / 8
	// rankShare is how much less of a server's limit requests may use with each rank, so
	// that there is room for those that go first. minRankShare is the least.
	rankShare    = 0.15
	minRankShare = 0.3
	// randomSteps is the number of different random numbers from 0 to 1.
	randomSteps = 1 << 16
)

// limitStatement is what a server stated of its limit: the requests a second that it
// takes from all entries together.
type limitStatement struct {
	isLimited bool
	limit     float64
	// at is when the response arrived, or zero if there was none with a limit yet.
	at time.Time
}

// rateLimit keeps the requests of all entries to a server within the limit that the
// server states. It is a leaky bucket: each request adds 1 to the level, which falls with
// the limit. Entries report to each other how many requests they have sent. Requests that
// are not reported yet are allowed for by chance: each request is admitted with a
// probability at which the expected number of requests until reports arrive, this one
// included, is no more than there is room for.
type rateLimit struct {
	// own is the last statement to this entry, peers the last one to a peer.
	own, peers limitStatement
	// reported is the limit that was last reported to Config.OnLimited.
	reported float64
	level    float64
	updated  time.Time
	// sent counts the requests that this entry sent, peerSent those that its peers
	// reported last.
	sent     uint64
	peerSent map[string]peerCount
	// demand is the decayed number of requests of this entry for which the server would
	// have been chosen, as of demandAt. peerDemand is the sum of the peers' rates.
	demand     float64
	demandAt   time.Time
	peerDemand float64
}

// peerCount is the number of requests that a peer, or the entries that the origin
// identifies, reported last.
type peerCount struct{ sent, origin uint64 }

// current returns the last statement to any entry.
func (l *rateLimit) current() limitStatement {
	if l.peers.at.After(l.own.at) {
		return l.peers
	}
	return l.own
}

// record applies a response to a request that was sent at the given time, and reports
// whether the limit has begun, changed or ended. A response to an older request than the
// last statement does not end the limit.
func (l *rateLimit) record(limit *float64, sentAt, now time.Time) bool {
	before := l.current()
	if limit == nil {
		if !before.isLimited || !sentAt.After(before.at) {
			return false
		}
		l.own = limitStatement{at: now}
		return true
	}
	l.own = limitStatement{isLimited: true, limit: *limit, at: now}
	return l.changed(before, now)
}

// recordPeer applies the report of a peer, and reports whether the limit has changed.
func (l *rateLimit) recordPeer(peer string, stats ServerStats, now time.Time) bool {
	if !stats.IsCounted {
		return false
	}
	before := l.current()
	if stats.LimitStatedAt.After(l.peers.at) {
		l.peers = limitStatement{isLimited: stats.IsLimited, limit: stats.Limit, at: stats.LimitStatedAt}
	}
	isChanged := l.changed(before, now)
	if l.peerSent == nil {
		l.peerSent = map[string]peerCount{}
	}
	last, isKnown := l.peerSent[peer]
	l.peerSent[peer] = peerCount{stats.Sent, stats.Origin}
	switch {
	case !isKnown:
	case stats.Origin != last.origin: // The growth of a sum over other entries is unknown.
	case stats.Sent < last.sent && stats.Origin != 0: // Another delegate's sum is older.
		l.peerSent[peer] = last
	case stats.Sent < last.sent: // The peer has restarted.
		l.add(float64(stats.Sent), now)
	default:
		l.add(float64(stats.Sent-last.sent), now)
	}
	return isChanged
}

// changed prepares the level if the limit has just begun, and reports whether the limit
// has begun, ended or changed noticeably. The level starts at the top: what other entries
// have sent is not known yet.
func (l *rateLimit) changed(before limitStatement, now time.Time) bool {
	after := l.current()
	if !after.isLimited {
		return before.isLimited
	}
	if !before.isLimited {
		l.level, l.updated = l.burst(after), now
		clear(l.peerSent)
	}
	if before.isLimited && math.Abs(after.limit-l.reported) < minLimitChange*max(l.reported, 1) {
		return false
	}
	l.reported = after.limit
	return true
}

// burst returns the highest level at which the server gets a request, plus 1.
func (l *rateLimit) burst(s limitStatement) float64 { return 1 + s.limit*limitBurst.Seconds() }

// rate returns the rate at which the level falls.
func (s limitStatement) rate() float64 { return max(s.limit, minLimitRate) }

// drain lets the level fall for the time since its last change.
func (l *rateLimit) drain(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.level, l.updated = max(l.level-l.current().rate()*elapsed.Seconds(), 0), now
	}
}

// add adds requests to the level.
func (l *rateLimit) add(requests float64, now time.Time) {
	l.drain(now)
	s := l.current()
	l.level = min(l.level+requests, l.burst(s)+s.limit*maxLimitDebt.Seconds())
}

// countSent counts a request of this entry.
func (l *rateLimit) countSent(now time.Time) {
	l.sent++
	if l.current().isLimited {
		l.add(1, now)
	}
}

// ownDemand returns the rate of requests of this entry for which the server would have
// been chosen.
func (l *rateLimit) ownDemand(now time.Time) float64 {
	if elapsed := now.Sub(l.demandAt); elapsed > 0 {
		l.demand, l.demandAt = l.demand*math.Exp(-elapsed.Seconds()/demandTime.Seconds()), now
	}
	return l.demand / demandTime.Seconds()
}

// admits reports whether the limited server may get a request of the rank now. lag is
// the time until reports of requests arrive, and random a number from 0 to 1.
func (l *rateLimit) admits(rank int, lag time.Duration, random float64, now time.Time) bool {
	s := l.current()
	demand := (l.ownDemand(now) + l.peerDemand) * lag.Seconds()
	l.demand++
	l.drain(now)
	room := max(l.burst(s)*max(1-rankShare*float64(rank), minRankShare), 1) - l.level
	return room >= 1 && random*(1+demand) < room
}

// wait returns the time until the limited server may get a request.
func (l *rateLimit) wait(now time.Time) time.Duration {
	s := l.current()
	l.drain(now)
	return time.Duration(max(l.level+1-l.burst(s), 0) / s.rate() * float64(time.Second))
}

// isLimited reports whether the server states a limit.
func (s *server) isLimited() bool { return s.limit.current().isLimited }

// report adds the limit to what this entry reports to its peers, and reports whether
// there is anything to report.
func (l *rateLimit) report(stats *ServerStats, now time.Time) bool {
	if l.current().at.IsZero() || !l.current().isLimited && now.Sub(l.current().at) > limitReportTime {
		return false
	}
	stats.IsLimited, stats.Limit, stats.LimitStatedAt = l.own.isLimited, l.own.limit, l.own.at
	stats.IsCounted, stats.Sent, stats.Demand = true, l.sent, l.ownDemand(now)
	return true
}

// passes reports whether the server's limit admits the request. It records in the
// choice that the server was left out otherwise.
func (d *Directory) passes(s *server, r Request, now time.Time, result *choice) bool {
	if !s.isLimited() || s.limit.admits(r.Rank, d.lag(), float64(d.config.Rand()%randomSteps)/randomSteps, now) {
		return true
	}
	// A server with room was left out by chance, and may admit the next request.
	wait := max(s.limit.wait(now), d.lag(), time.Millisecond)
	if result.limitWait == 0 || wait < result.limitWait {
		result.limitWait = wait
	}
	return false
}

// recordReportInterval records the time between two reports of a peer.
func (d *Directory) recordReportInterval(peer string, now time.Time) {
	if last, isKnown := d.reportedAt[peer]; isKnown {
		elapsed := min(now.Sub(last), maxReportLag)
		if d.reportLag == 0 {
			d.reportLag = elapsed
		}
		d.reportLag += time.Duration(reportWeight * float64(elapsed-d.reportLag))
	}
	d.reportedAt[peer] = now
}
