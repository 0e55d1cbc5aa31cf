// Package clemlab compares routing and admission policies by simulation. Emulated
// engines, callers and entries run in virtual time, driven by an event heap, while
// the gate, the rankers and the budgets are the real ones, called with the virtual
// time.
package clemlab

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to call at a time. Events with the same time are called in
// the order in which they were added.
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

// simulator is a discrete-event simulator with a virtual clock.
type simulator struct {
	now    time.Time
	seq    uint64
	events events
}

func newSimulator() *simulator { return &simulator{now: epoch} }

// at calls step at the time, or as soon as possible if the time has passed.
func (s *simulator) at(when time.Time, step func()) {
	s.seq++
	if when.Before(s.now) {
		when = s.now
	}
	heap.Push(&s.events, event{at: when, seq: s.seq, step: step})
}

// after calls step after the duration.
func (s *simulator) after(d time.Duration, step func()) { s.at(s.now.Add(d), step) }

// every calls step now and then once per interval.
func (s *simulator) every(interval time.Duration, step func()) {
	step()
	s.after(interval, func() { s.every(interval, step) })
}

// run runs all events up to the time.
func (s *simulator) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.step()
	}
	s.now = until
}
