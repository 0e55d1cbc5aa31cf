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
	mu      sync.Mutex
	servers map[string]*server
	// changes counts the changes of the servers and their records.
	changes  uint64
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
		d.changes++
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
	d.changes++
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
	d.changes++
	old.cold.unlistedAt = time.Now()
	d.unlisted[id] = old.cold
	d.fleet.byName = nil
	svc := d.services[old.record.Service()]
	svc.servers = slices.DeleteFunc(svc.servers, func(o *server) bool { return o == old })
	old.pool.Close()
	return true
}

// Changes returns a number that rises with each change of the servers or their records.
func (d *Directory) Changes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes
}

// ListReadAt returns the last time at which the list of servers was known to be up to date.
func (d *Directory) ListReadAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReadAt
}

// Len returns the number of servers.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.servers)
}
