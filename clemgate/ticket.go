package clemgate

import (
	"container/list"
	"sync/atomic"
	"time"
)

// Priorities for engines that honour them; the lower goes first. Short work
// of an organisation above its fair share has PriorityAbove.
const (
	PriorityShort = 0
	PriorityAbove = 1
	PriorityLong  = 2
)

type state int

const (
	stateWaiting state = iota
	stateGranted
	stateRefused
	stateLeft
)

// Ticket is an item's place at the gate.
type Ticket struct {
	item     Item
	class    class
	state    state
	flow     *flow
	element  *list.Element
	index    int
	entered  time.Time
	latest   time.Time
	cost     uint64
	produced uint64
	granted  time.Time
	reports  int
	mark     time.Time
	priority atomic.Int32
	err      error
	decided  chan struct{}
}

// Decided returns a channel that is closed when the item is granted or refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Err returns nil if the item is granted or not decided yet, else a refusal
// that says it was not run.
func (t *Ticket) Err() error {
	select {
	case <-t.decided:
		return t.err
	default:
		return nil
	}
}

// Priority returns the item's priority for engines that honour it. It
// becomes PriorityLong when the item outruns its estimate.
func (t *Ticket) Priority() int { return int(t.priority.Load()) }

func (t *Ticket) setClass(c class) {
	t.class = c
	if c == classLong {
		t.priority.Store(PriorityLong)
		return
	}
	t.priority.Store(PriorityShort)
}

func (t *Ticket) decide(s state, err error) {
	t.state, t.err = s, err
	close(t.decided)
}
