// Package clemwait decides which requests to a service that is short of capacity are
// sent to a server now, which wait in the entry and which are refused. It keeps no
// clock, starts no goroutine and takes no lock: its callers pass the time.
package clemwait

import (
	"math"
	"time"
)

const (
	// freeShare is the share of a service's slots up to which requests are sent
	// without any limit.
	freeShare = 0.5
	// waitShare is the part of the latency target that a request may be expected to
	// spend at a server, maxPerSlot the number of requests for each slot that are at
	// the servers at most. In the emulation of three servers with six slots at twice the
	// usual rate the slots were in use for 0.963 of the time with 1.9, and for 0.998 with
	// 2.7.
	waitShare  = 0.6
	maxPerSlot = 2.7
	// calmPerSlot is the number of known requests for each slot up to which requests are
	// sent without any limit while the service is not short of capacity: a burst at one
	// entry is no shortage. Organisations over their share keep to the limit.
	calmPerSlot = 2.0
	// slowShare is the part of the latency target above which an answer is slow. A service is
	// short of capacity if maxSlowAnswers of the last answers were slow or rejections, each
	// with the weight slowWeight, and for shortTime after that. Single answers are slow on
	// an idle service too: one of a hundred takes five times as long as the others.
	slowShare      = 0.75
	maxSlowAnswers = 0.25
	slowWeight     = 0.1
	shortTime      = 10 * time.Second
	// rankShare is how much less of the limit requests may use with each rank, so that
	// there is room for those that go first. minRankShare is the least.
	rankShare    = 0.15
	minRankShare = 0.3
	// overShare is the part of the limit that organisations over their share may use, so
	// that others find a place at once. Without it nine organisations with 94 % of a
	// service's capacity had 72 % of their requests answered on time beside one that sent
	// more than all of them, and 94 % without that one. They may use all of it while the
	// servers have no more than overUse requests for each slot.
	overShare = 0.6
	overUse   = 1.33
	// contendedTime is how long after a request that could be on time had to wait late
	// ones are held back. With 100 ms fewer answers were on time at twice the usual rate
	// (0.958 to 0.976, with 150 ms 0.973 to 0.986, three seeds). With 250 ms late callers
	// were refused after the end of a shortage while half of the slots were free.
	contendedTime = 150 * time.Millisecond
	// queuedStay is the multiple of the run time from which on the time at the servers shows
	// that requests wait there. It is known sooner than the counts of other entries.
	// stayWeight is the weight of a request in that time.
	queuedStay = 1.3
	stayWeight = 1.0 / 2
	// runTimeWeight is the weight of a request in the smoothed run time.
	runTimeWeight = 1.0 / 32
	// rateTime is the time constant with which the rate of started requests is measured.
	rateTime = time.Second
	// usageTime is the same for the usage of an organisation. In one second an
	// organisation within its share has two or three requests at an entry, so that chance
	// decided who was over it.
	usageTime = 5 * time.Second
)

// View is what an entry knows of a service's use.
type View struct {
	// Slots is the number of slots of the servers that take requests.
	Slots int
	// Own is the number of requests of this entry at the servers, Peers that of the
	// other entries by their last reports.
	Own, Peers int
	// Entries is the number of entries that use the service, this one included.
	Entries int
	// IsIsolated is set if most other entries have stopped to report, so that Peers is
	// not known.
	IsIsolated bool
	// IsFull is set if no server takes a further request.
	IsFull bool
	// IsUnlimited is set if another limit decides how many requests the servers get. That
	// is so while only cold servers are left, which have no slots.
	IsUnlimited bool
}

// IsFree reports whether at most half of the slots are in use with a further request.
func (v View) IsFree() bool {
	return !v.IsIsolated && float64(v.Own+v.Peers+1) <= freeShare*float64(v.Slots)
}

// hasRoom reports whether a further request leaves the servers with no more requests than
// the given number for each slot.
func (v View) hasRoom(perSlot float64) bool {
	return !v.IsIsolated && float64(v.Own+v.Peers+1) <= perSlot*float64(v.Slots)
}

// admission limits the requests that an entry has at the servers of a service. All
// entries together may have a number that the servers are expected to answer within a
// part of the latency target. Each entry may have an equal part of it, and an equal part
// of what the others leave unused.
type admission struct {
	// runTime is the smoothed time for which requests run, without their wait at the
	// server, or 0 if it is not known.
	runTime time.Duration
	// recentStay is the smoothed time that the last requests were at a server.
	recentStay time.Duration
	// slow is the smoothed share of slow answers, and shortAt when it last showed that the
	// service is short of capacity.
	slow    float64
	shortAt time.Time
	// extra is the limit that follows from what others left unused at extraAt.
	extra   float64
	extraAt time.Time
	// credit is the part of a request that an entry with a limit below 1 may send,
	// as of creditAt.
	credit   float64
	creditAt time.Time
	// contendedAt is when a request that could be on time last had to wait.
	contendedAt time.Time
}

// perSlot returns the number of requests for each slot that may be at the servers.
func (a *admission) perSlot(target time.Duration) float64 {
	if a.runTime <= 0 {
		return maxPerSlot
	}
	return min(max(waitShare*float64(target)/float64(a.runTime), 1), maxPerSlot)
}

// update distributes what the other entries leave unused. It has an effect once per
// interval, the time after which reports show what the entries did with it.
func (a *admission) update(v View, target, interval time.Duration, now time.Time) {
	if now.Sub(a.extraAt) < interval {
		return
	}
	a.extraAt = now
	room := a.perSlot(target)*float64(v.Slots) - float64(v.Own+v.Peers)
	if room > 0 {
		room /= float64(max(v.Entries, 1))
	}
	a.extra = max(float64(v.Own)+room, 0)
}

// limit returns the number of requests of this entry that may be at the servers.
func (a *admission) limit(v View, target time.Duration) float64 {
	share := a.perSlot(target) * float64(v.Slots) / float64(max(v.Entries, 1))
	if v.IsIsolated {
		return share
	}
	return max(share, a.extra)
}

// isShort reports whether answers lately showed that the service is short of capacity.
func (a *admission) isShort(now time.Time) bool {
	return !a.shortAt.IsZero() && now.Sub(a.shortAt) < shortTime
}

// observe records whether an answer was slow or a rejection.
func (a *admission) observe(isSlow bool, now time.Time) {
	a.slow *= 1 - slowWeight
	if isSlow {
		a.slow += slowWeight
	}
	if a.slow >= maxSlowAnswers {
		a.shortAt = now
	}
}

// admits reports whether a further request may be sent. While requests
// that can be on time had to wait lately, a late one is sent only within the entry's
// share of the slots. One of an organisation over its share leaves a
// part of the limit to others.
func (a *admission) admits(r Request, isLate, isOver bool, v View, now time.Time) bool {
	isCalm := v.hasRoom(calmPerSlot) && !a.isShort(now)
	if v.IsUnlimited || v.IsFree() || v.Own == 0 && v.hasRoom(1) || isCalm && !isOver {
		return true
	}
	isContended := now.Sub(a.contendedAt) < contendedTime && float64(a.recentStay) > queuedStay*float64(a.runTime)
	if isLate && isContended {
		return float64(v.Own+1) <= float64(v.Slots)/float64(max(v.Entries, 1))
	}
	limit := a.limit(v, r.Target) * max(1-rankShare*float64(r.Rank), minRankShare)
	if isOver && isContended && !v.hasRoom(overUse) {
		limit *= overShare
	}
	if limit >= 1 {
		return float64(v.Own+1) <= limit
	}
	// Many entries share few slots: each sends one request at a time, at its share of
	// the servers' rate.
	a.accrue(limit, r.Target, now)
	return v.Own == 0 && a.credit >= 1
}

// accrue adds to the credit of an entry whose limit is below 1.
func (a *admission) accrue(limit float64, target time.Duration, now time.Time) {
	stay := max(time.Duration(float64(a.runTime)*a.perSlot(target)), time.Millisecond)
	a.credit = min(a.credit+limit*float64(now.Sub(a.creditAt))/float64(stay), 1)
	a.creditAt = now
}

// started records that a request was sent.
func (a *admission) started() { a.credit = max(a.credit-1, 0) }

// ended records a request that was answered after the elapsed time by a server with the
// number of slots, at which the load was known when it was sent.
func (a *admission) ended(elapsed time.Duration, load, slots int) {
	run := time.Duration(float64(elapsed) / max(float64(load+1)/float64(max(slots, 1)), 1))
	if a.runTime == 0 {
		a.runTime = run
	}
	a.runTime += time.Duration(runTimeWeight * float64(run-a.runTime))
	a.recentStay += time.Duration(stayWeight * float64(elapsed-a.recentStay))
}

// stay returns the expected time that a request sent now is at a server.
func (a *admission) stay(v View) time.Duration {
	return time.Duration(float64(a.runTime) * max(float64(v.Own+v.Peers+1)/float64(max(v.Slots, 1)), 1))
}

// rate measures events a second with exponential decay.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) add(events float64, now time.Time, over time.Duration) {
	r.count, r.at = r.perSecond(now, over)*over.Seconds()+events, now
}

func (r *rate) perSecond(now time.Time, over time.Duration) float64 {
	return r.count * math.Exp(-max(now.Sub(r.at), 0).Seconds()/over.Seconds()) / over.Seconds()
}
