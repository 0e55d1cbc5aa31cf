// Package clemlab measures the policies. Small emulated engines, callers and
// entries run in virtual time, driven by an event heap; the gate, the rankers
// and the budgets are the real ones, called with the virtual time.
package clemlab

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a step to take at a time. Events of one time keep their order.
type event struct {
	at   time.Time
	seq  uint64
	step func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// simulator is a clock that jumps from event to event.
type simulator struct {
	now    time.Time
	seq    uint64
	events events
}

func newSimulator() *simulator { return &simulator{now: epoch} }

// at takes the step at the time, or next if the time has passed.
func (s *simulator) at(when time.Time, step func()) {
	s.seq++
	if when.Before(s.now) {
		when = s.now
	}
	heap.Push(&s.events, event{at: when, seq: s.seq, step: step})
}

// after takes the step once the time has gone by.
func (s *simulator) after(d time.Duration, step func()) { s.at(s.now.Add(d), step) }

// every takes the step now and then once per interval.
func (s *simulator) every(interval time.Duration, step func()) {
	step()
	s.after(interval, func() { s.every(interval, step) })
}

// run takes all steps up to the time.
func (s *simulator) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.step()
	}
	s.now = until
}
