package clemgate

import (
	"container/heap"
	"container/list"
)

// class is the size class of an item.
type class int

const (
	classShort class = iota
	classLong
	classCount
)

// flow is the queue of one organisation. Its start tag is the virtual time
// from which its next item is served.
type flow struct {
	name    string
	weight  float64
	start   float64
	queues  [classCount]list.List
	index   [classCount]int
	idle    int
	waiting int
	running int
	// tokens is the estimated output of the items that wait.
	tokens uint64
}

// head returns the class's next item, or nil.
func (f *flow) head(c class) *Ticket {
	front := f.queues[c].Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Ticket)
}

// charge moves the start tag on by the work's share of the flow's weight.
func (f *flow) charge(tokens uint64) { f.start += float64(tokens) / f.weight }

// ranked is a binary heap whose items know their place in it.
type ranked[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, index int)
}

// Len returns the number of items.
func (r *ranked[T]) Len() int { return len(r.items) }

// Less orders two items.
func (r *ranked[T]) Less(i, j int) bool { return r.less(r.items[i], r.items[j]) }

// Swap swaps two items.
func (r *ranked[T]) Swap(i, j int) {
	r.items[i], r.items[j] = r.items[j], r.items[i]
	r.place(r.items[i], i)
	r.place(r.items[j], j)
}

// Push appends an item.
func (r *ranked[T]) Push(x any) {
	item := x.(T)
	r.place(item, len(r.items))
	r.items = append(r.items, item)
}

// Pop removes the last item.
func (r *ranked[T]) Pop() any {
	last := len(r.items) - 1
	item := r.items[last]
	var zero T
	r.items[last] = zero
	r.items = r.items[:last]
	r.place(item, absent)
	return item
}

// absent is the place of an item that is in no heap.
const absent = -1

// first returns the smallest item; the heap must not be empty.
func (r *ranked[T]) first() T { return r.items[0] }

func (r *ranked[T]) add(item T)       { heap.Push(r, item) }
func (r *ranked[T]) remove(index int) { heap.Remove(r, index) }
func (r *ranked[T]) fix(index int)    { heap.Fix(r, index) }

// backlog is the queue of all organisations, served by start-time fair
// queueing (Goyal, Vin and Cheng, 1996): the flow with the smallest start tag
// comes next, and a flow that becomes active starts at the current virtual
// time. Every operation costs O(log n) in the number of organisations.
type backlog struct {
	flows  map[string]*flow
	active [classCount]ranked[*flow]
	// idle holds flows with nothing waiting or running until the virtual
	// time has passed their start tag.
	idle   ranked[*flow]
	expiry ranked[*Ticket]
	// virtual is the start tag of the item that was served last.
	virtual float64
	// weight is the sum over the flows with work.
	weight  float64
	waiting int
}

func newBacklog() *backlog {
	b := &backlog{flows: map[string]*flow{}}
	less := func(x, y *flow) bool {
		if x.start != y.start {
			return x.start < y.start
		}
		return x.name < y.name
	}
	for c := range b.active {
		b.active[c] = ranked[*flow]{less: less, place: func(f *flow, i int) { f.index[c] = i }}
	}
	b.idle = ranked[*flow]{less: less, place: func(f *flow, i int) { f.idle = i }}
	b.expiry = ranked[*Ticket]{
		less:  func(x, y *Ticket) bool { return x.latest.Before(y.latest) },
		place: func(t *Ticket, i int) { t.index = i },
	}
	return b
}

// flow returns the organisation's flow with the item's weight.
func (b *backlog) flow(item Item) *flow {
	f := b.flows[item.organisation]
	if f == nil {
		f = &flow{name: item.organisation, weight: float64(item.weight), idle: absent}
		f.index = [classCount]int{absent, absent}
		b.flows[item.organisation] = f
		return f
	}
	if weight := float64(item.weight); weight != f.weight {
		if f.isActive() {
			b.weight += weight - f.weight
		}
		f.weight = weight
	}
	return f
}

func (f *flow) isActive() bool { return f.waiting+f.running > 0 }

// enter makes the flow active if it was not.
func (b *backlog) enter(f *flow) {
	if f.isActive() {
		return
	}
	if f.idle != absent {
		b.idle.remove(f.idle)
	}
	b.weight += f.weight
	f.start = max(f.start, b.virtual)
}

// leave lets go of a flow that has no work left.
func (b *backlog) leave(f *flow) {
	if f.isActive() {
		return
	}
	b.weight -= f.weight
	b.idle.add(f)
	for b.idle.Len() > 0 && b.idle.first().start <= b.virtual {
		gone := b.idle.first()
		b.idle.remove(gone.idle)
		delete(b.flows, gone.name)
	}
	if b.idle.Len() == len(b.flows) {
		b.reset()
	}
}

// forget drops a flow that was looked up for an item that was then refused.
func (b *backlog) forget(f *flow) {
	if !f.isActive() && f.idle == absent {
		delete(b.flows, f.name)
	}
}

// reset ends a busy period: no organisation has work, so none has a claim on later service.
func (b *backlog) reset() {
	b.flows = map[string]*flow{}
	b.idle.items = nil
	b.virtual, b.weight = 0, 0
}

// push appends a ticket to its flow.
func (b *backlog) push(t *Ticket) {
	f := t.flow
	b.enter(f)
	f.waiting++
	f.tokens += t.item.output
	b.waiting++
	t.element = f.queues[t.class].PushBack(t)
	if f.index[t.class] == absent {
		b.active[t.class].add(f)
	}
	if !t.latest.IsZero() {
		b.expiry.add(t)
	}
}

// pull removes a waiting ticket; the flow stays until leave is called.
func (b *backlog) pull(t *Ticket) {
	f := t.flow
	f.queues[t.class].Remove(t.element)
	f.waiting--
	f.tokens -= t.item.output
	b.waiting--
	if f.queues[t.class].Len() == 0 {
		b.active[t.class].remove(f.index[t.class])
	}
	if t.index != absent {
		b.expiry.remove(t.index)
	}
}

// serve charges the flow for work that starts now.
func (b *backlog) serve(f *flow, tokens uint64) {
	b.virtual = max(b.virtual, f.start)
	b.charge(f, tokens)
}

// charge moves the flow's start tag on and restores the order of the heaps.
func (b *backlog) charge(f *flow, tokens uint64) {
	f.charge(tokens)
	for c := range b.active {
		if f.index[c] != absent {
			b.active[c].fix(f.index[c])
		}
	}
}
