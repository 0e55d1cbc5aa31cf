package clemgate

import (
	"container/heap"
	"container/list"
	"time"
)

// flowMemory is how long an organisation without work counts for fair shares.
const flowMemory = 10 * time.Second

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
	name   string
	weight float64
	start  float64
	queues [classCount]list.List
	index  [classCount]int
	// idle is the flow's place among those without work, since when it has none.
	idle    *list.Element
	since   time.Time
	waiting int
	running int
	// tokens is the estimated output of the items that wait, by class.
	tokens [classCount]uint64
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
	// idle holds the flows without work, the longest idle first.
	idle   list.List
	expiry ranked[*Ticket]
	// virtual is the start tag of the item that was served last.
	virtual float64
	// weight is the sum over the flows with work, recent that over all flows.
	weight  float64
	recent  float64
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
		f = &flow{name: item.organisation, weight: float64(item.weight)}
		f.index = [classCount]int{absent, absent}
		b.flows[item.organisation] = f
		return f
	}
	if weight := float64(item.weight); weight != f.weight {
		if f.isActive() {
			b.weight += weight - f.weight
		}
		b.recent += weight - f.weight
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
	if f.idle != nil {
		b.idle.Remove(f.idle)
		f.idle = nil
	} else {
		b.recent += f.weight
	}
	b.weight += f.weight
	f.start = max(f.start, b.virtual)
}

// leave notes that a flow may have no work left.
func (b *backlog) leave(now time.Time, f *flow) {
	if f.isActive() {
		return
	}
	b.weight -= f.weight
	f.since = now
	f.idle = b.idle.PushBack(f)
	b.sweep(now)
}

// sweep drops the flows that have had no work for a while.
func (b *backlog) sweep(now time.Time) {
	for front := b.idle.Front(); front != nil; front = b.idle.Front() {
		f := front.Value.(*flow)
		if now.Sub(f.since) < flowMemory {
			return
		}
		b.idle.Remove(front)
		b.recent -= f.weight
		delete(b.flows, f.name)
	}
}

// forget drops a flow that was looked up for an item that was then refused.
func (b *backlog) forget(f *flow) {
	if !f.isActive() && f.idle == nil {
		delete(b.flows, f.name)
	}
}

// push appends a ticket to its flow.
func (b *backlog) push(t *Ticket) {
	f := t.flow
	b.enter(f)
	f.waiting++
	f.tokens[t.class] += t.item.output
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
	f.tokens[t.class] -= t.item.output
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
