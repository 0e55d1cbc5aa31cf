package clemrouter

import (
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clemroute"
)

const (
	// lateRanks is how many ranks a request stands back that cannot be on time any
	// more: those that still can go first.
	lateRanks = 2
	// patienceWindow is how long the longest time limit of a route's clients is
	// remembered at least.
	patienceWindow = 10 * time.Second
	// maxPatienceRoutes is the number of routes above which all limits are
	// forgotten.
	maxPatienceRoutes = 1024
)

// setPrecedence sets the request's rank and the latency target by which a busy
// service takes it. The target is the shortest of the requests that are at least as
// urgent, so that none of these is refused while a less urgent one is taken.
func (q *request) setPrecedence(configuration *clemroute.Configuration) {
	q.rank, q.shortestTarget = configuration.Urgency(q.service, q.priority)
	q.urgency = q.rank
	if q.requestInfo.LastEventID() != "" {
		// The client already has a part of the response.
		return
	}
	q.waited = q.router.patience.waited(q.route.Name(), q.requestInfo.Timeout(), q.arrived)
	if own := q.route.LatencyTarget(); own > 0 && q.waited > own/2 {
		q.rank += lateRanks
	}
}

// patienceTracker estimates for how long a client has been waiting when its request
// arrives. A client that comes back after a refusal has less time left than others
// have at their first attempt. It is safe for concurrent use.
type patienceTracker struct {
	mu     sync.Mutex
	routes map[string]*patience
}

// patience holds the longest time limit in the present window and in the last one.
type patience struct {
	start             time.Time
	longest, previous time.Duration
}

func newPatienceTracker() *patienceTracker { return &patienceTracker{routes: map[string]*patience{}} }

// waited records a client's time limit, if it is positive, and returns by how much
// it is below the longest one of the route's clients.
func (t *patienceTracker) waited(route string, limit time.Duration, now time.Time) time.Duration {
	if limit <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.routes[route]
	if p == nil {
		if len(t.routes) >= maxPatienceRoutes {
			clear(t.routes)
		}
		p = &patience{start: now}
		t.routes[route] = p
	}
	if now.Sub(p.start) > patienceWindow {
		p.start, p.previous, p.longest = now, p.longest, 0
	}
	p.longest = max(p.longest, limit)
	return max(p.longest, p.previous) - limit
}
