package clempool

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clemwait"
)

const (
	// loadFactorMargin is the part of the guaranteed load factor that is used.
	// The rest allows for requests that peers sent after their last report.
	loadFactorMargin = 0.95
	// loadBoundSlack is the number of requests that a server may carry beyond
	// the load factor times the mean. It is part of the guarantee.
	loadBoundSlack = 3
	// plainRequestsPerSlot is the number of requests per slot that a plain
	// server may hold. With more, a request would wait longer than several of
	// its kind take to run.
	plainRequestsPerSlot = 3.0
	// engineRequestsPerSlot is the same for engines, whose batch slows down as
	// it fills.
	engineRequestsPerSlot = 1.25
	// maxReportLag bounds the time that a report of a peer counts as old: reports that
	// come later have expired before.
	maxReportLag = 5 * time.Second
	// runTimeWeight is the weight of a request in the smoothed run time.
	runTimeWeight = 1.0 / 32
	// fullRetryDelay is the delay before a retry that is suggested to a client
	// when every server is full.
	fullRetryDelay = 300 * time.Millisecond
)

// Config describes a Directory to construct.
type Config struct {
	// MaxLoadFactor returns the multiple of the service's mean load that a
	// server may carry.
	MaxLoadFactor func() float64
	// Centre is the data centre of this entry.
	Centre string
	// Dial opens a connection. It defaults to clemconn.Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Rand returns a random number, used to break ties.
	Rand func() uint64
	// OnLimited, if set, is called when a server's stated limit begins, changes by
	// minLimitChange or ends, which a nil limit means.
	OnLimited func(id string, limit *float64)
	// Address is the address of this entry among those of Entries.
	Address string
	// Entries returns the addresses of all known entries, and whether the list is complete;
	// nil means that this is the only entry. It is called without locks of the directory.
	Entries func() (addresses []string, isComplete bool)
	// ColdFigures returns the figures for the cold servers of a service; nil means that no
	// server is ever cold. It is called with the directory locked.
	ColdFigures func(service string) ColdFigures
	// StartedAt is when this entry started. Within a second after it, no request is sent to
	// a cold server, as the requests of the process before it are not known. Zero means
	// that there was none.
	StartedAt time.Time
	// OnAvailability, if set, is called after a server's state changed.
	OnAvailability func(id string, before, after Availability)
	// OnEjected, if set, is called after a server was ejected.
	OnEjected func(id string, outcome Outcome, failureRate float64, until time.Time)
	// OnScarcity, if set, is called after a change of what is known of a scarce service,
	// with the number of requests that wait for it. OnRefused, if set, is called for each
	// request that is refused because a service is short of capacity. Neither may call the
	// directory.
	OnScarcity func(service string, change Scarcity, waiting int)
	OnRefused  func(service, reason string)
}

// Directory holds the known backend servers with their load, health and cached
// prompt parts. It is safe for concurrent use.
type Directory struct {
	config Config
	// entriesAt is when the list of entries was last looked up.
	entriesAt atomic.Pointer[time.Time]

	// mu guards everything below.
	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*service
	// peers holds the latest report of each peer. The peer counts of a server
	// are the sums over them. nextExpiry is no later than the first time at
	// which a report expires.
	peers      map[string]peerStats
	nextExpiry time.Time
	cacheLog   cacheLog
	// reportedAt is when each peer last reported, reportLag the smoothed time between
	// reports.
	reportedAt map[string]time.Time
	reportLag  time.Duration
	// evacuated holds the evacuated data centres, with the time since which they are.
	evacuated map[string]time.Time
	// leaving holds the servers that announced that they leave, and rests those that asked
	// for no new requests for a time, by id. Both outlast the servers' rows.
	leaving map[string]*leavingMark
	rests   map[string]*rest
	// entries are those that may send requests to cold servers, unlisted holds what is
	// known of servers that were removed lately, and listReadAt is the last time at which
	// the list of servers was known to be up to date.
	entries    entryList
	unlisted   map[string]*coldness
	listReadAt time.Time
	scratch    scratch
	// sweptAt is when the states of all servers were last compared with those reported.
	sweptAt time.Time
	// fleet is what is known of a fleet of several groups.
	fleet fleet
	// knownPeers holds each peer's last report, also of those whose report expired.
	knownPeers map[string]knownPeer
}

// knownPeer is when a peer last reported, and the number of entries of the report.
type knownPeer struct {
	at      time.Time
	entries int
}

// peerStats is the latest report of a peer, or of the number of entries given.
type peerStats struct {
	expires time.Time
	entries int
	servers map[string]ServerStats
}

type server struct {
	record      Record
	digest      uint64
	pool        *clemconn.Pool
	running     int
	peerRunning int
	// pendingTokens is the number of prompt tokens in this entry's requests
	// that the server has still to read; peerPendingTokens is the same for its
	// peers.
	pendingTokens, peerPendingTokens int
	load                             clementineturn.Load
	health                           health
	limit                            rateLimit
	// evacuatedSince is when the server's data centre was evacuated, or zero.
	evacuatedSince time.Time
	// leaving is the server's own announcement that it leaves, of this incarnation or an
	// earlier one, and rest the time for which it asked for no new requests. Either may be
	// nil.
	leaving *leavingMark
	rest    *rest
	// reported is the state that was last reported to Config.OnAvailability.
	reported Availability
	// cold is what is known of whether the server is cold, and isCold whether it is, as of
	// the last choice among the service's servers.
	cold   *coldness
	isCold bool
	// hasEnded is set once the server was found to have ended.
	hasEnded bool
	// cached holds the prompt parts that the server has read or will have read,
	// by digest, with the time at which each becomes available.
	cached map[uint64]time.Time
	// prefill is that of the service.
	prefill *prefillRate
}

// prefillWait returns the estimated time to read the prompts that are queued at
// the server.
func (s *server) prefillWait() time.Duration {
	return time.Duration(s.pendingTokens+s.peerPendingTokens) * s.prefill.tokenTime()
}

type service struct {
	name    string
	servers []*server
	// usage holds the requests of each organisation at this entry, and running
	// is their sum. lastPruned is when idle organisations were last removed.
	usage      map[string]*organisationUsage
	running    int
	lastPruned time.Time
	// runTime is the smoothed time for which requests run.
	runTime time.Duration
	// prefill measures how fast the engines read prompts.
	prefill prefillRate
	// wait decides on requests without a prefix that have a latency target, and holds
	// those that wait. users are the peers that lately had requests at the service.
	wait  clemwait.Service
	users map[string]time.Time
	// target is the latency target of the last such request, or 0 if there was none.
	target time.Duration
	// scarcity is when each condition of the service last held.
	scarcity [scarcityCount]time.Time
	// returns spreads the returns of refused callers.
	returns returnSchedule
}

// observe records a request that ended.
func (s *service) observe(l *Lease, outcome Outcome, now time.Time) {
	elapsed := now.Sub(l.acquiredAt)
	if l.isQueued && (outcome == OutcomeServed || outcome == OutcomeRefused) {
		s.wait.Observe(elapsed, s.target, outcome == OutcomeRefused, now)
	}
	if outcome != OutcomeServed {
		return
	}
	s.returns.recordServed(now)
	if l.isAtColdServer(now) {
		return
	}
	if s.runTime == 0 {
		s.runTime = elapsed
	}
	s.runTime += time.Duration(runTimeWeight * float64(elapsed-s.runTime))
	if l.isQueued {
		s.wait.Ended(elapsed, l.load, l.server.record.Slots())
	}
}

// queueWait returns the expected time that a request waits for a slot of the
// server: the slots become free one after the other over the time for which a
// request runs.
func (s *service) queueWait(o *server) time.Duration {
	waiting := o.running + o.peerRunning + 1 - o.record.Slots()
	if waiting <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / float64(max(o.record.Slots(), 1)) * float64(s.runTime))
}

// New returns an empty directory.
func New(c Config) *Directory {
	d := &Directory{
		config: c, servers: map[string]*server{}, services: map[string]*service{}, peers: map[string]peerStats{}, reportedAt: map[string]time.Time{}, knownPeers: map[string]knownPeer{},
		leaving: map[string]*leavingMark{}, rests: map[string]*rest{},
		unlisted: map[string]*coldness{},
	}
	if c.Entries == nil {
		d.setEntries(nil, true)
	}
	return d
}

// Put adds or updates a server and reports whether anything changed.
func (d *Directory) Put(record Record) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(record, time.Time{})
}

// put is Put for callers that hold mu.
func (d *Directory) put(record Record, now time.Time) bool {
	record = record.withoutCold()
	old := d.servers[record.ID()]
	if old != nil && old.record == record {
		return false
	}
	cold := d.coldnessOf(record.ID(), now)
	if old != nil && old.record.Address() == record.Address() && old.record.Service() == record.Service() &&
		old.record.Incarnation() == record.Incarnation() {
		old.record = record
		old.evacuatedSince = d.evacuated[record.Centre()]
		return true
	}
	d.remove(record.ID())
	delete(d.unlisted, record.ID())
	added := &server{
		cold:   cold,
		record: record, digest: xxhash.Sum64String(record.ID()),
		pool:   clemconn.New(clemconn.Config{Address: record.Address(), Dial: d.config.Dial}),
		cached: map[uint64]time.Time{}, evacuatedSince: d.evacuated[record.Centre()],
		leaving: d.leaving[record.ID()], rest: d.rests[record.ID()],
	}
	if old != nil {
		added.reported = old.reported
	}
	d.fleet.byName = nil
	for _, stats := range d.peers {
		added.addPeerStats(stats.servers[record.ID()], 1)
	}
	d.servers[record.ID()] = added
	svc := d.services[record.Service()]
	if svc == nil {
		svc = &service{name: record.Service(), usage: map[string]*organisationUsage{}, users: map[string]time.Time{}}
		d.services[record.Service()] = svc
	}
	added.prefill = &svc.prefill
	svc.servers = append(svc.servers, added)
	return true
}

// Remove drops a server and reports whether it was present.
func (d *Directory) Remove(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(id)
}

func (d *Directory) remove(id string) bool {
	old := d.servers[id]
	if old == nil {
		return false
	}
	delete(d.servers, id)
	old.cold.unlistedAt = time.Now()
	d.unlisted[id] = old.cold
	d.fleet.byName = nil
	svc := d.services[old.record.Service()]
	svc.servers = slices.DeleteFunc(svc.servers, func(o *server) bool { return o == old })
	old.pool.Close()
	return true
}

// Len returns the number of servers.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.servers)
}

// ServerStats is what an entry reports to its peers about a server: the
// requests it has running there and its recent outcomes, which decay over time.
type ServerStats struct {
	Running int
	// PendingTokens is the number of prompt tokens in requests that have no
	// first event yet.
	PendingTokens       int
	Successes, Failures float64
	// LimitStatedAt is when the server last stated a limit to the entry, or that it has
	// none any more. It is zero if it never did.
	LimitStatedAt time.Time
	IsLimited     bool
	Limit         float64
	// IsCounted is set if the entry knows of the limit. Then Sent is the number of
	// requests that it has sent to the server, and Demand the rate of those for which
	// the server would have been chosen.
	IsCounted bool
	Sent      uint64
	Demand    float64
	// IsLeaving is set if the entry has seen a response in which the server announces that
	// it takes no new requests any more, of the incarnation.
	IsLeaving          bool
	LeavingIncarnation int64
	// Origin is 0 in the report of one entry. In a sum it identifies the entries whose
	// requests Sent counts.
	Origin uint64
}

// minReportedOutcomes is the decayed number of outcomes below which they are
// not reported.
const minReportedOutcomes = 0.02

// LocalStats returns what this entry reports to its peers, leaving out servers
// without requests or recent failures. Successes alone are reported only for
// servers at which peers have failures.
func (d *Directory) LocalStats(now time.Time) map[string]ServerStats {
	d.mu.Lock()
	changes := d.sweepIfDue(now)
	defer func() {
		d.mu.Unlock()
		d.notifyAvailability(changes)
	}()
	d.expirePeers(now)
	stats := map[string]ServerStats{}
	for id, s := range d.servers {
		s.health.own.decay(now)
		own := s.health.own
		reported := ServerStats{Running: s.running, PendingTokens: s.pendingTokens, Successes: own.successes, Failures: own.failures}
		hasLimit := s.limit.report(&reported, now)
		isLeaving := s.reportLeaving(&reported)
		if hasLimit || isLeaving || s.running > 0 || own.failures > minReportedOutcomes || own.successes > minReportedOutcomes && s.health.peers.failures > minReportedOutcomes {
			stats[id] = reported
		}
	}
	return stats
}

// SetPeerStats applies the report of a peer in place of its last one, for at
// most the given time. It ejects servers that the report shows to be outliers.
func (d *Directory) SetPeerStats(peer string, stats map[string]ServerStats, now time.Time, ttl time.Duration) {
	d.mu.Lock()
	d.recordReportInterval(peer, now)
	d.setPeerStats(peer, 1, stats, now, ttl)
}

// setPeerStats is SetPeerStats for the report of a number of entries. The caller holds
// mu, which is released.
func (d *Directory) setPeerStats(peer string, entries int, stats map[string]ServerStats, now time.Time, ttl time.Duration) {
	var changed []*server
	d.dropPeer(peer)
	d.peers[peer] = peerStats{expires: now.Add(ttl), entries: entries, servers: stats}
	if d.peers[peer].expires.Before(d.nextExpiry) {
		d.nextExpiry = d.peers[peer].expires
	}
	hasMark := false
	for id, serverStats := range stats {
		hasMark = d.recordPeerLeaving(id, serverStats, now) || hasMark
		if s := d.servers[id]; s != nil {
			s.addPeerStats(serverStats, 1)
			if s.limit.recordPeer(peer, serverStats, now) {
				changed = append(changed, s)
			}
		}
	}
	d.expirePeers(now)
	d.updateWaiting(peer, stats, now)
	var ejected []*server
	for id, serverStats := range stats {
		if s := d.servers[id]; s != nil && serverStats.Failures > 0 && d.isOutlier(s, now) && s.health.eject(now) {
			ejected = append(ejected, s)
		}
	}
	var changes []availabilityChange
	if hasMark {
		changes = d.sweep(now)
	}
	d.mu.Unlock()
	d.notifyAvailability(changes)
	for _, s := range ejected {
		d.notifyEjected(s, OutcomeFailed, now)
	}
	for _, s := range changed {
		d.notifyLimited(s)
	}
}

// notifyLimited calls Config.OnLimited with the present limit.
func (d *Directory) notifyLimited(s *server) {
	if d.config.OnLimited == nil {
		return
	}
	d.mu.Lock()
	current := s.limit.current()
	d.mu.Unlock()
	if !current.isLimited {
		d.config.OnLimited(s.record.ID(), nil)
		return
	}
	d.config.OnLimited(s.record.ID(), &current.limit)
}

// dropPeer removes the report of a peer and subtracts it from the servers'
// counts.
func (d *Directory) dropPeer(peer string) {
	for id, stats := range d.peers[peer].servers {
		if s := d.servers[id]; s != nil {
			s.addPeerStats(stats, -1)
		}
	}
	delete(d.peers, peer)
}

// expirePeers drops the reports that are too old. It must run before any use of
// the counts, or an entry that is cut off from its peers would keep counting
// their last requests.
func (d *Directory) expirePeers(now time.Time) {
	if !now.After(d.nextExpiry) {
		return
	}
	d.nextExpiry = now.Add(time.Hour)
	for peer, stats := range d.peers {
		switch {
		case now.After(stats.expires):
			d.dropPeer(peer)
			delete(d.reportedAt, peer)
		case stats.expires.Before(d.nextExpiry):
			d.nextExpiry = stats.expires
		}
	}
}

// addPeerStats adds the counts of a peer to the server, or subtracts them if
// sign is -1.
func (s *server) addPeerStats(stats ServerStats, sign int) {
	s.peerRunning += sign * stats.Running
	s.peerPendingTokens += sign * stats.PendingTokens
	s.limit.peerDemand = max(s.limit.peerDemand+float64(sign)*stats.Demand, 0)
	s.health.peers.successes += float64(sign) * stats.Successes
	s.health.peers.failures += float64(sign) * stats.Failures
}

// notifyEjected calls Config.OnEjected.
func (d *Directory) notifyEjected(s *server, outcome Outcome, now time.Time) {
	if d.config.OnEjected == nil {
		return
	}
	d.mu.Lock()
	failureRate, _ := s.health.failureRate(now)
	ejectedUntil := s.health.ejectedUntil
	d.mu.Unlock()
	d.config.OnEjected(s.record.ID(), outcome, failureRate, ejectedUntil)
}
