package clempool

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	scarceTarget  = 300 * time.Millisecond
	scarceTimeout = 3 * time.Second
	scarceWork    = 60 * time.Millisecond
	// scarceRate is the number of requests a second at the usual load. Eighteen slots
	// serve 300 requests of 60 ms a second.
	scarceRate = 156.0
)

// kind is one kind of caller of a scarce service.
type kind struct {
	organisation string
	rank         int
	perSecond    float64
}

// kindResult counts the requests of a kind by how they ended, by the time since the
// caller's first attempt.
type kindResult struct{ requested, onTime, late, refused int }

// scarceEmulation emulates plain servers with a bounded queue, first come, first served,
// behind entries whose reports reach the others 50 to 150 ms late, and callers that come
// back once if Retry-After is at most a third of the time that they have left.
type scarceEmulation struct {
	events  eventQueue
	rng     *rand.Rand
	entries []*Directory
	servers map[string]*scarceServer
	results map[string]*kindResult
	// from and until are the period that is measured, by the first attempts. busy is
	// the time in it for which slots were in use.
	from, until time.Time
	busy        time.Duration
	// idleRefusals counts refusals while under half of the slots are in use and nothing
	// waits at a server, longestHold is the longest time that a refused attempt was held.
	idleRefusals int
	longestHold  time.Duration
}

type scarceServer struct {
	slots, running int
	queue          []func(now time.Time)
}

// caller is a request over its attempts.
type caller struct {
	kind  kind
	first time.Time
	work  time.Duration
	// hasReturned is set at the second attempt.
	hasReturned bool
}

func newScarceEmulation(entries, servers, slots int) *scarceEmulation {
	e := &scarceEmulation{
		rng: rand.New(rand.NewPCG(8, 1)), entries: newEntries(entries, servers, slots), servers: map[string]*scarceServer{},
		results: map[string]*kindResult{}, from: epoch.Add(3 * time.Second), until: epoch.Add(13 * time.Second),
	}
	for n := range servers {
		e.servers[newRecord(n, slots).ID()] = &scarceServer{slots: slots}
	}
	return e
}

// count applies the change to the caller's result if its first attempt is measured.
func (e *scarceEmulation) count(c *caller, change func(r *kindResult)) {
	if !c.first.Before(e.from) && c.first.Before(e.until) {
		change(e.results[c.kind.organisation])
	}
}

// request returns the request of the caller's present attempt as clemrouter makes it.
func (e *scarceEmulation) request(c *caller) Request {
	return Request{
		Service: "pool", Organisation: c.kind.organisation, Rank: c.kind.rank, Target: scarceTarget, OwnTarget: scarceTarget,
		OnTimeBy: c.first.Add(scarceTarget), Deadline: c.first.Add(scarceTimeout),
	}
}

func (e *scarceEmulation) attempt(c *caller, now time.Time) {
	lease, waiter, err := e.entries[e.rng.IntN(len(e.entries))].AcquireOrWait(e.request(c), now)
	switch {
	case err != nil:
		e.refuse(c, err, now, now)
	case waiter != nil:
		e.wait(c, waiter, now, now)
	default:
		e.send(c, lease, now, now)
	}
}

// wait looks at a waiting request every two milliseconds; in clemrouter it is woken up.
func (e *scarceEmulation) wait(c *caller, waiter *Waiter, began, now time.Time) {
	if next := waiter.CheckAt(now); !next.After(now) {
		waiter.Check(now)
	}
	select {
	case <-waiter.Done():
		if lease, err := waiter.Result(); err != nil {
			e.refuse(c, err, began, now)
		} else {
			e.send(c, lease, began, now)
		}
	default:
		e.events.add(minTime(now.Add(2*time.Millisecond), waiter.CheckAt(now)), func(now time.Time) { e.wait(c, waiter, began, now) })
	}
}

// send passes the request to the server of the lease, which rejects it if over four
// requests per slot wait there.
func (e *scarceEmulation) send(c *caller, lease *Lease, began, now time.Time) {
	s := e.servers[lease.Server()]
	if len(s.queue) >= 4*s.slots {
		lease.Release(OutcomeRefused, nil, now)
		e.refuse(c, clementineturn.NewError(clementineturn.ErrorConfig{Kind: clementineturn.KindUnavailable, NotRun: true, RetryAfter: 250 * time.Millisecond}), began, now)
		return
	}
	s.queue = append(s.queue, func(now time.Time) {
		s.running++
		end := now.Add(c.work)
		if first, last := maxTime(now, e.from), minTime(end, e.until); last.After(first) {
			e.busy += last.Sub(first)
		}
		e.events.add(end, func(now time.Time) {
			s.running--
			lease.Release(OutcomeServed, nil, now)
			e.count(c, func(r *kindResult) {
				if now.Sub(c.first) <= scarceTarget {
					r.onTime++
				} else {
					r.late++
				}
			})
			s.startQueued(now)
		})
	})
	s.startQueued(now)
}

// startQueued starts waiting requests while there are free slots.
func (s *scarceServer) startQueued(now time.Time) {
	for s.running < s.slots && len(s.queue) > 0 {
		start := s.queue[0]
		s.queue = s.queue[1:]
		start(now)
	}
}

// refuse ends an attempt that began at the given time.
func (e *scarceEmulation) refuse(c *caller, err error, began, now time.Time) {
	running, waiting, slots := 0, 0, 0
	for _, s := range e.servers {
		running, waiting, slots = running+s.running, waiting+len(s.queue), slots+s.slots
	}
	if 2*running < slots && waiting == 0 {
		e.idleRefusals++
	}
	e.longestHold = max(e.longestHold, now.Sub(began))
	var refusal *clementineturn.Error
	if !errors.As(err, &refusal) || !refusal.NotRun() {
		panic(err)
	}
	// clemrouter shortens the delay to a third of the time left.
	left := c.first.Add(scarceTimeout).Sub(now)
	if retry := min(refusal.RetryAfter(), left/3); !c.hasReturned {
		c.hasReturned = true
		e.events.add(now.Add(retry), func(now time.Time) { e.attempt(c, now) })
		return
	}
	e.count(c, func(r *kindResult) { r.refused++ })
}

// run plays the callers and returns the share of the slots' time that was used.
func (e *scarceEmulation) run(kinds ...kind) float64 {
	end := e.until.Add(2 * time.Second)
	for _, k := range kinds {
		e.results[k.organisation] = &kindResult{}
		var arrive func(time.Time)
		arrive = func(now time.Time) {
			c := &caller{kind: k, first: now, work: time.Duration((0.5 + e.rng.Float64()) * float64(scarceWork))}
			e.count(c, func(r *kindResult) { r.requested++ })
			e.attempt(c, now)
			if next := now.Add(time.Duration(e.rng.ExpFloat64() / k.perSecond * float64(time.Second))); next.Before(end) {
				e.events.add(next, arrive)
			}
		}
		e.events.add(epoch, arrive)
	}
	const interval, delay = 100 * time.Millisecond, 50 * time.Millisecond
	for i, from := range e.entries {
		var report func(time.Time)
		report = func(now time.Time) {
			stats := from.LocalStats(now)
			e.events.add(now.Add(delay), func(now time.Time) {
				for j, to := range e.entries {
					if i != j {
						to.SetPeerStats(fmt.Sprint(i), stats, now, peerStatsTTL)
					}
				}
			})
			// Callers come back after the end.
			if now.Before(end.Add(scarceTimeout)) {
				e.events.add(now.Add(interval), report)
			}
		}
		e.events.add(epoch.Add(time.Duration(i)*interval/time.Duration(len(e.entries))), report)
	}
	for e.events.Len() > 0 {
		event := heap.Pop(&e.events).(event)
		event.run(event.at)
	}
	slots := 0
	for _, s := range e.servers {
		slots += s.slots
	}
	return float64(e.busy) / float64(e.until.Sub(e.from)) / float64(slots)
}

// total returns the sum of the results.
func (e *scarceEmulation) total() (sum kindResult) {
	for _, r := range e.results {
		sum.requested, sum.onTime, sum.late, sum.refused = sum.requested+r.requested, sum.onTime+r.onTime, sum.late+r.late, sum.refused+r.refused
	}
	return sum
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// organisations returns ten organisations with equal shares of the usual rate times the
// factor, the first of which sends hot times that.
func organisations(factor, hot float64) []kind {
	kinds := make([]kind, 10)
	for i := range kinds {
		kinds[i] = kind{organisation: fmt.Sprint("o", i), perSecond: factor * scarceRate / 10}
	}
	kinds[0].perSecond *= hot
	return kinds
}

// Guards against a third of a scarce service's work being completed too late for its
// callers while many are refused (khat-large, 4 and 8 times the traffic at three servers
// of six slots), against slots that stay free meanwhile, and against refusals that were
// held for long or came while there was room.
func TestScarceServiceAnswersOnTime(t *testing.T) {
	for _, factor := range []float64{2, 4, 8, 16} {
		for _, hot := range []float64{1, 10} {
			t.Run(fmt.Sprintf("x%g, hot %g", factor, hot), func(t *testing.T) {
				e := newScarceEmulation(12, 3, 6)
				// The total rate is the same with and without a surge.
				utilisation := e.run(organisations(factor*10/(9+hot), hot)...)
				total := e.total()
				share := float64(total.onTime) / float64(total.onTime+total.late)
				t.Logf("%+v: on time %.3f of the answers, utilisation %.3f, longest hold %v, idle refusals %d", total, share, utilisation, e.longestHold, e.idleRefusals)
				require.GreaterOrEqual(t, share, 0.95)
				require.GreaterOrEqual(t, utilisation, 0.95)
				require.LessOrEqual(t, e.longestHold, scarceTarget/8)
				require.Zero(t, e.idleRefusals)
			})
		}
	}
}

// Guards against organisations that get less of a scarce service because another one
// sends ten times its usual.
func TestScarceServiceIsSharedFairly(t *testing.T) {
	for _, factor := range []float64{2, 4, 8, 16} {
		t.Run(fmt.Sprintf("x%g", factor), func(t *testing.T) {
			others := func(hot float64) (requested, onTime int) {
				e := newScarceEmulation(12, 3, 6)
				e.run(organisations(factor, hot)...)
				for name, r := range e.results {
					if name != "o0" {
						requested, onTime = requested+r.requested, onTime+r.onTime
					}
				}
				return requested, onTime
			}
			usualRequested, usual := others(1)
			surgeRequested, surge := others(10)
			t.Logf("others on time: %d of %d, in a surge %d of %d", usual, usualRequested, surge, surgeRequested)
			require.GreaterOrEqual(t, float64(surge)/float64(surgeRequested), 0.95*float64(usual)/float64(usualRequested))
		})
	}
}

// Guards against a less urgent kind of request being served better than a more urgent
// one of the same service.
func TestScarceServiceTakesUrgentRequestsFirst(t *testing.T) {
	for _, factor := range []float64{2, 4, 8, 16} {
		e := newScarceEmulation(12, 3, 6)
		e.run(kind{organisation: "first", rank: 0, perSecond: factor * scarceRate / 3}, kind{organisation: "second", rank: 1, perSecond: factor * scarceRate / 3},
			kind{organisation: "third", rank: 2, perSecond: factor * scarceRate / 3})
		share := func(name string) float64 { return float64(e.results[name].onTime) / float64(e.results[name].requested) }
		t.Logf("x%g: on time %.3f, %.3f, %.3f", factor, share("first"), share("second"), share("third"))
		require.GreaterOrEqual(t, share("first"), share("second"))
		require.GreaterOrEqual(t, share("second"), share("third"))
	}
}
