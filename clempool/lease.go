package clempool

import (
	"context"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
)

// Lease is the place of one request at the server that was chosen for it. It
// must be ended with Release.
type Lease struct {
	directory *Directory
	server    *server
	service   *service
	// organisation is the organisation that the request is served for.
	organisation string
	pool         *clemconn.Pool
	id           string
	incarnation  int64
	software     string
	acquiredAt   time.Time
	// cold is that of the server. isReserved is set while the request has a place there as
	// at a cold server and is not sent yet, sentAt is when it was sent.
	cold *coldness
	// wasCold is set if the server was cold when it was chosen.
	isReserved, wasCold bool
	sentAt              time.Time
	// returnTo is the rest at the end of which the request is sent, until its response; nil
	// for other requests.
	returnTo *rest
	// isQueued is set if clemwait decided on the request.
	isQueued      bool
	cacheSource   string
	pendingTokens int
	// tokensAhead is the number of prompt tokens that the server had to read before it could
	// begin the response, those of this request included.
	tokensAhead  int
	cachedTokens int
	prefillWait  time.Duration
	load         int
	meanLoad     float64
	rank         int
}

// Pool returns the connection pool of the server.
func (l *Lease) Pool() *clemconn.Pool { return l.pool }

// Server returns the id of the server.
func (l *Lease) Server() string { return l.id }

// Incarnation returns a number that distinguishes two starts of the server under one
// id.
func (l *Lease) Incarnation() int64 { return l.incarnation }

// SoftwareVersion returns the version of the server's software when it was chosen, or "" if it
// was not known.
func (l *Lease) SoftwareVersion() string { return l.software }

// ServerHasEnded reports whether the process of a server that broke off a response has
// ended unplanned: the server is listed and neither
// draining nor leaving nor evacuated, and refuses connections. If
// it accepts one, the connection is kept for another request.
func (l *Lease) ServerHasEnded(ctx context.Context) bool {
	d := l.directory
	d.mu.Lock()
	state := l.server.closed(time.Now()).state
	isPlanned := state == StateDraining || state == StateLeaving || state == StateEvacuated
	isExpected, hasEnded := d.servers[l.id] == l.server && !isPlanned, l.server.hasEnded
	d.mu.Unlock()
	if !isExpected || hasEnded || !l.pool.RefusesConnections(ctx) {
		return isExpected && hasEnded
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l.server.hasEnded = true
	return true
}

// RecordRateLimit records whether a response to this request states a limit, in requests
// a second of all entries together; nil means that it states none.
func (l *Lease) RecordRateLimit(limit *float64, now time.Time) {
	d := l.directory
	d.mu.Lock()
	isChanged := l.server.limit.record(limit, l.acquiredAt, now)
	d.mu.Unlock()
	if isChanged {
		d.notifyLimited(l.server)
	}
}

// CacheSource returns the address of a server from which the chosen one can
// fetch cached parts of the prompt that it lacks, or "".
func (l *Lease) CacheSource() string { return l.cacheSource }

// CachedTokens returns the number of prompt tokens that the server was believed
// to have in its prefix cache, or to have there once its pending prompts are
// read.
func (l *Lease) CachedTokens() int { return l.cachedTokens }

// PrefillWait returns the estimated time to prefill the prompts that were
// queued at the server before this one.
func (l *Lease) PrefillWait() time.Duration { return l.prefillWait }

// Load returns the number of requests, as far as known, that the server had
// when it was chosen.
func (l *Lease) Load() int { return l.load }

// MeanLoad returns the mean load of the service's servers when the server was
// chosen.
func (l *Lease) MeanLoad() float64 { return l.meanLoad }

// Rank returns the position of the server in the rendezvous order of the chat,
// from 0. It is 0 for requests without a prefix, and the number of candidates
// if every one of them was at the load bound.
func (l *Lease) Rank() int { return l.rank }

// ResponseStarted records the first event of the response, which means that the
// prompt has been read.
func (l *Lease) ResponseStarted() {
	l.directory.mu.Lock()
	defer l.directory.mu.Unlock()
	l.promptRead()
}

// isAtColdServer reports whether the server was or is cold, so that the request's times are
// not those of the service's other servers. The caller holds the directory's lock.
func (l *Lease) isAtColdServer(now time.Time) bool {
	return l.wasCold || l.directory.coldAvailability(l.server, now).state == StateCold
}

// promptRead removes the prompt from those that the server has to read. The caller holds
// the directory's lock.
func (l *Lease) promptRead() {
	l.server.pendingTokens -= l.pendingTokens
	l.pendingTokens = 0
}

// Release ends the lease and records the outcome and, unless it is nil, the
// load that the server reported.
func (l *Lease) Release(outcome Outcome, load *clementineturn.Load, now time.Time) {
	d, s := l.directory, l.server
	d.mu.Lock()
	d.expirePeers(now)
	s.running--
	l.unreserve()
	if outcome == OutcomeUnreached || outcome == OutcomeCrashed {
		l.suspectCold(now)
	}
	l.service.removeRunning(l.organisation)
	l.service.observe(l, outcome, now)
	l.promptRead()
	d.endReturn(l)
	if load != nil {
		s.load = *load
	}
	if outcome == OutcomeServed {
		s.hasEnded = false
	}
	ejected := s.health.record(outcome, now) || outcome == OutcomeFailed && d.isOutlier(s, now) && s.health.eject(now)
	d.dispatch(l.service, now)
	d.mu.Unlock()
	if ejected {
		d.notifyEjected(s, outcome, now)
	}
}
