package clempool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// event is something that happens in an emulated service.
type event struct {
	at time.Time
	do func(now time.Time)
}

type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func (a *agenda) add(at time.Time, do func(time.Time)) { heap.Push(a, event{at, do}) }

// application emulates servers with some slots each that work first come, first
// served, behind entries that tell each other their counts.
type application struct {
	agenda  agenda
	entries []*Directory
	// free is when each slot of a server is free.
	free      map[string][]time.Time
	asked     map[string]int
	onTime    map[string]int
	refused   map[string]int
	objective time.Duration
}

func newApplication(entries, servers, slots int) *application {
	a := &application{
		entries: fleet(entries, servers, slots), free: map[string][]time.Time{},
		asked: map[string]int{}, onTime: map[string]int{}, refused: map[string]int{}, objective: 150 * time.Millisecond,
	}
	for n := range servers {
		a.free[newRecord(n, slots).ID()] = make([]time.Time, slots)
	}
	return a
}

// request lets an organisation ask at an entry.
func (a *application) request(entry int, organisation string, work time.Duration, now time.Time) {
	a.asked[organisation]++
	lease, err := a.entries[entry].Take(Want{Service: "pool", Organisation: organisation}, now)
	if err != nil {
		a.refused[organisation]++
		return
	}
	slots := a.free[lease.Server()]
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
	if end.Sub(now) <= a.objective {
		a.onTime[organisation]++
	}
	a.agenda.add(end, func(now time.Time) { lease.Done(OutcomeServed, nil, now) })
}

// stream lets an organisation ask at random, so many times a second, until the end.
func (a *application) stream(rng *rand.Rand, organisation string, perSecond float64, work time.Duration, end time.Time) {
	var next func(time.Time)
	next = func(now time.Time) {
		a.request(rng.IntN(len(a.entries)), organisation, time.Duration((0.5+rng.Float64())*float64(work)), now)
		if at := now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))); at.Before(end) {
			a.agenda.add(at, next)
		}
	}
	a.agenda.add(epoch, next)
}

func (a *application) run(end time.Time) {
	var share func(time.Time)
	share = func(now time.Time) {
		exchange(a.entries, now)
		if now.Before(end) {
			a.agenda.add(now.Add(100*time.Millisecond), share)
		}
	}
	a.agenda.add(epoch, share)
	for a.agenda.Len() > 0 {
		e := heap.Pop(&a.agenda).(event)
		e.do(e.at)
	}
}

// The pattern "one organisation sends many times its usual" (hot_tenant): a
// service of three servers with six slots, four entries, nine organisations
// with a fifth of its capacity together, and one that sends more than all of
// it. The others must hardly notice, and the service must not idle for it.
func TestSurgeOfOneOrganisationStaysItsOwn(t *testing.T) {
	const work = 30 * time.Millisecond
	rng := rand.New(rand.NewPCG(5, 8))
	a := newApplication(4, 3, 6)
	end := epoch.Add(20 * time.Second)
	for n := range 9 {
		a.stream(rng, fmt.Sprint("usual-", n), 13, work, end)
	}
	a.stream(rng, "hot", 900, work, end)
	a.run(end)
	asked, onTime, served := 0, 0, 0
	for organisation, n := range a.asked {
		served += n - a.refused[organisation]
		if organisation != "hot" {
			asked, onTime = asked+n, onTime+a.onTime[organisation]
		}
	}
	t.Logf("usual: %d of %d on time; hot: %d of %d refused; served %d", onTime, asked, a.refused["hot"], a.asked["hot"], served)
	require.Greater(t, float64(onTime), 0.97*float64(asked))
	// Eighteen slots of 30 ms work 600 requests a second.
	require.Greater(t, served, 11_000)
}
