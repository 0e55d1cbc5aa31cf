package clempool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// event is a scheduled step of a simulation.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (q *eventQueue) add(at time.Time, do func(time.Time)) { heap.Push(q, event{at, do}) }

// simulation emulates servers with a number of slots each, which serve requests
// first come, first served, behind entries that exchange reports.
type simulation struct {
	events  eventQueue
	entries []*Directory
	// freeAt is the time at which each slot of a server becomes free.
	freeAt        map[string][]time.Time
	requested     map[string]int
	onTime        map[string]int
	refused       map[string]int
	latencyTarget time.Duration
}

func newSimulation(entries, servers, slots int) *simulation {
	s := &simulation{
		entries: newEntries(entries, servers, slots), freeAt: map[string][]time.Time{},
		requested: map[string]int{}, onTime: map[string]int{}, refused: map[string]int{}, latencyTarget: 150 * time.Millisecond,
	}
	for n := range servers {
		s.freeAt[newRecord(n, slots).ID()] = make([]time.Time, slots)
	}
	return s
}

// request sends a request of an organisation to an entry.
func (s *simulation) request(entry int, organisation string, work time.Duration, now time.Time) {
	s.requested[organisation]++
	lease, err := s.entries[entry].Acquire(Request{Service: "pool", Organisation: organisation}, now)
	if err != nil {
		s.refused[organisation]++
		return
	}
	slots := s.freeAt[lease.Server()]
	first := 0
	for i := range slots {
		if slots[i].Before(slots[first]) {
			first = i
		}
	}
	begin := now
	if slots[first].After(now) {
		begin = slots[first]
	}
	end := begin.Add(work)
	slots[first] = end
	if end.Sub(now) <= s.latencyTarget {
		s.onTime[organisation]++
	}
	s.events.add(end, func(now time.Time) { lease.Release(OutcomeServed, nil, now) })
}

// startLoad sends requests of an organisation to random entries, as a Poisson
// process with the given rate, until the end.
func (s *simulation) startLoad(rng *rand.Rand, organisation string, perSecond float64, work time.Duration, end time.Time) {
	var request func(time.Time)
	request = func(now time.Time) {
		s.request(rng.IntN(len(s.entries)), organisation, time.Duration((0.5+rng.Float64())*float64(work)), now)
		if at := now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))); at.Before(end) {
			s.events.add(at, request)
		}
	}
	s.events.add(epoch, request)
}

func (s *simulation) run(end time.Time) {
	var exchange func(time.Time)
	exchange = func(now time.Time) {
		exchangeState(s.entries, now)
		if now.Before(end) {
			s.events.add(now.Add(100*time.Millisecond), exchange)
		}
	}
	s.events.add(epoch, exchange)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		e.run(e.at)
	}
}

// One organisation sends more than the capacity of a service of three servers
// with six slots (hot_tenant), while nine others use a fifth of it together
// through four entries. The others are hardly affected, and the limit leaves no
// capacity idle.
func TestSurgeOfOneOrganisationDoesNotDelayOthers(t *testing.T) {
	const work = 30 * time.Millisecond
	rng := rand.New(rand.NewPCG(5, 8))
	s := newSimulation(4, 3, 6)
	end := epoch.Add(20 * time.Second)
	for n := range 9 {
		s.startLoad(rng, fmt.Sprint("usual-", n), 13, work, end)
	}
	s.startLoad(rng, "hot", 900, work, end)
	s.run(end)
	requested, onTime, served := 0, 0, 0
	for organisation, n := range s.requested {
		served += n - s.refused[organisation]
		if organisation != "hot" {
			requested, onTime = requested+n, onTime+s.onTime[organisation]
		}
	}
	t.Logf("usual: %d of %d on time; hot: %d of %d refused; served %d", onTime, requested, s.refused["hot"], s.requested["hot"], served)
	require.Greater(t, float64(onTime), 0.97*float64(requested))
	// Eighteen slots at 30 ms a request serve 600 requests a second.
	require.Greater(t, served, 11_000)
}
