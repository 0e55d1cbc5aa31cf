package clemgate

import (
	"container/list"
	"sync/atomic"
	"time"
)

// Priorities of items, for engines that support priorities. Lower values go
// first. Short items of an organisation above its fair share have
// PriorityAboveShare.
const (
	PriorityShort      = 0
	PriorityAboveShare = 1
	PriorityLong       = 2
)

type state int

const (
	stateWaiting state = iota
	stateGranted
	stateRefused
	stateDone
)

// Ticket is an item that was queued or granted by a Gate.
type Ticket struct {
	item          Item
	class         class
	state         state
	flow          *flow
	queueElement  *list.Element
	expiryIndex   int
	entered       time.Time
	latestStart   time.Time
	cost          uint64
	outputTokens  uint64
	granted       time.Time
	outputReports int
	lastOutput    time.Time
	priority      atomic.Int32
	err           error
	decided       chan struct{}
}

// Decided returns a channel that is closed when the item is granted or refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Err returns the refusal, which says that the item was not run, or nil if the
// item is granted or not decided yet.
func (t *Ticket) Err() error {
	select {
	case <-t.decided:
		return t.err
	default:
		return nil
	}
}

// Priority returns the item's priority for engines that support it. It becomes
// PriorityLong when the item overruns its estimate and counts as long.
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
