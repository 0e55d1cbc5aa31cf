package clemgate

import (
	"container/heap"
	"container/list"
	"time"
)

// idleFlowTTL is how long an organisation without work counts in fair shares.
const idleFlowTTL = 10 * time.Second

// class is the size class of an item.
type class int

const (
	classShort class = iota
	classLong
	classCount
)

// flow is the queue of one organisation, in terms of start-time fair queueing.
// startTag is the virtual time at which its next item starts service.
type flow struct {
	name      string
	weight    float64
	startTag  float64
	queues    [classCount]list.List
	heapIndex [classCount]int
	// idleElement is the flow's element in backlog.idle while it has no work,
	// and idleSince the time at which its work ended.
	idleElement *list.Element
	idleSince   time.Time
	waiting     int
	running     int
	// waitingTokens is the estimated output of the waiting items, by class.
	waitingTokens [classCount]uint64
}

// head returns the class's next item, or nil.
func (f *flow) head(c class) *Ticket {
	front := f.queues[c].Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Ticket)
}

// charge advances the start tag by the work divided by the flow's weight.
func (f *flow) charge(tokens uint64) { f.startTag += float64(tokens) / f.weight }

// indexedHeap is a binary heap whose items know their index in it, so that any
// of them can be removed or moved.
type indexedHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

// Len returns the number of items. It implements heap.Interface, as do the next
// four methods.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less reports whether item i comes before item j.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap swaps two items.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// Push appends an item.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	h.setIndex(item, len(h.items))
	h.items = append(h.items, item)
}

// Pop removes the last item.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(item, notInHeap)
	return item
}

// notInHeap is the index of an item that is in no heap.
const notInHeap = -1

// first returns the smallest item. The heap must not be empty.
func (h *indexedHeap[T]) first() T { return h.items[0] }

func (h *indexedHeap[T]) add(item T)       { heap.Push(h, item) }
func (h *indexedHeap[T]) remove(index int) { heap.Remove(h, index) }
func (h *indexedHeap[T]) fix(index int)    { heap.Fix(h, index) }

// backlog queues the items of all organisations by start-time fair queueing
// (Goyal, Vin and Cheng, 1996): the flow with the smallest start tag is served
// next, and a flow that becomes active starts at the current virtual time.
// Every operation costs O(log n) in the number of organisations.
type backlog struct {
	flows  map[string]*flow
	active [classCount]indexedHeap[*flow]
	// idle holds the flows without work, the longest idle first.
	idle   list.List
	expiry indexedHeap[*Ticket]
	// virtualTime is the start tag of the item that was served last.
	virtualTime float64
	// activeWeight is the sum over the flows with work, and recentWeight the
	// sum over all flows, including those idle for less than idleFlowTTL.
	activeWeight float64
	recentWeight float64
	waiting      int
}

func newBacklog() *backlog {
	b := &backlog{flows: map[string]*flow{}}
	less := func(x, y *flow) bool {
		if x.startTag != y.startTag {
			return x.startTag < y.startTag
		}
		return x.name < y.name
	}
	for c := range b.active {
		b.active[c] = indexedHeap[*flow]{less: less, setIndex: func(f *flow, i int) { f.heapIndex[c] = i }}
	}
	b.expiry = indexedHeap[*Ticket]{
		less:     func(x, y *Ticket) bool { return x.latestStart.Before(y.latestStart) },
		setIndex: func(t *Ticket, i int) { t.expiryIndex = i },
	}
	return b
}

// flow returns the organisation's flow and updates its weight to the item's.
func (b *backlog) flow(item Item) *flow {
	f := b.flows[item.organisation]
	if f == nil {
		f = &flow{name: item.organisation, weight: float64(item.weight)}
		f.heapIndex = [classCount]int{notInHeap, notInHeap}
		b.flows[item.organisation] = f
		return f
	}
	if weight := float64(item.weight); weight != f.weight {
		if f.isActive() {
			b.activeWeight += weight - f.weight
		}
		b.recentWeight += weight - f.weight
		f.weight = weight
	}
	return f
}

func (f *flow) isActive() bool { return f.waiting+f.running > 0 }

// activate gives the flow its weight and start tag if it has no work yet. It
// must come before the flow's counts are raised.
func (b *backlog) activate(f *flow) {
	if f.isActive() {
		return
	}
	if f.idleElement != nil {
		b.idle.Remove(f.idleElement)
		f.idleElement = nil
	} else {
		b.recentWeight += f.weight
	}
	b.activeWeight += f.weight
	f.startTag = max(f.startTag, b.virtualTime)
}

// deactivateIfIdle moves the flow to the idle ones if it has no work left.
func (b *backlog) deactivateIfIdle(now time.Time, f *flow) {
	if f.isActive() {
		return
	}
	b.activeWeight -= f.weight
	f.idleSince = now
	f.idleElement = b.idle.PushBack(f)
	b.dropIdle(now)
}

// dropIdle drops the flows that have been idle for idleFlowTTL.
func (b *backlog) dropIdle(now time.Time) {
	for front := b.idle.Front(); front != nil; front = b.idle.Front() {
		f := front.Value.(*flow)
		if now.Sub(f.idleSince) < idleFlowTTL {
			return
		}
		b.idle.Remove(front)
		b.recentWeight -= f.weight
		delete(b.flows, f.name)
	}
}

// dropUnused drops a flow that was created for an item that was then refused.
func (b *backlog) dropUnused(f *flow) {
	if !f.isActive() && f.idleElement == nil {
		delete(b.flows, f.name)
	}
}

// push appends a ticket to its flow.
func (b *backlog) push(t *Ticket) {
	f := t.flow
	b.activate(f)
	f.waiting++
	f.waitingTokens[t.class] += t.item.outputTokens
	b.waiting++
	t.queueElement = f.queues[t.class].PushBack(t)
	if f.heapIndex[t.class] == notInHeap {
		b.active[t.class].add(f)
	}
	if !t.latestStart.IsZero() {
		b.expiry.add(t)
	}
}

// remove removes a waiting ticket. The flow stays active until deactivateIfIdle
// is called.
func (b *backlog) remove(t *Ticket) {
	f := t.flow
	f.queues[t.class].Remove(t.queueElement)
	f.waiting--
	f.waitingTokens[t.class] -= t.item.outputTokens
	b.waiting--
	if f.queues[t.class].Len() == 0 {
		b.active[t.class].remove(f.heapIndex[t.class])
	}
	if t.expiryIndex != notInHeap {
		b.expiry.remove(t.expiryIndex)
	}
}

// startService sets the virtual time to the flow's start tag and charges the
// flow for the work.
func (b *backlog) startService(f *flow, tokens uint64) {
	b.virtualTime = max(b.virtualTime, f.startTag)
	b.charge(f, tokens)
}

// charge advances the flow's start tag and restores the order of the heaps.
func (b *backlog) charge(f *flow, tokens uint64) {
	f.charge(tokens)
	for c := range b.active {
		if f.heapIndex[c] != notInHeap {
			b.active[c].fix(f.heapIndex[c])
		}
	}
}
