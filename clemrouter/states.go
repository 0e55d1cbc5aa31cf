package clemrouter

import (
	"sync"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
)

// maxLoggedStates bounds the servers and events that a onceLog remembers.
const maxLoggedStates = 4096

// onceLog records which events were logged of which servers. Its zero value is ready for
// use.
type onceLog struct {
	mu   sync.Mutex
	seen map[loggedState]bool
}

type loggedState struct {
	event  clemevent.Event
	server string
}

// isFirst reports whether the event is the first one of the server. When too many are
// remembered all are forgotten.
func (o *onceLog) isFirst(event clemevent.Event, server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen == nil || len(o.seen) >= maxLoggedStates {
		o.seen = map[loggedState]bool{}
	}
	key := loggedState{event, server}
	isFirst := !o.seen[key]
	o.seen[key] = true
	return isFirst
}

// recordStates records what the head of a response says about new requests to its
// server: that the server leaves, or that it rests for a time, which it reports. It is
// called before the body is read, since streams last long. Another server at the address
// says nothing about the intended one.
func (q *request) recordStates(lease *clempool.Lease, info clementineturn.ResponseInfo, now time.Time) (isResting bool) {
	if info.Misdirected() {
		return false
	}
	isLeaving, err := info.Leaving()
	if err != nil {
		q.logState(clemevent.ServerLeavingInvalid, lease, err)
	}
	if isLeaving {
		lease.RecordLeaving(now)
	}
	rest, err := info.Rest()
	if err != nil {
		q.logState(clemevent.ServerRestInvalid, lease, err)
	}
	if rest > clempool.MaxRest {
		q.router.config.Events.Emit(clemevent.ServerRestTooLong, zap.String("server", lease.Server()), zap.Duration("asked", rest))
	}
	lease.RecordHead(rest, now)
	return rest > 0
}

// logState logs an invalid statement, once for each server.
func (q *request) logState(event clemevent.Event, lease *clempool.Lease, err error) {
	if q.router.loggedStates.isFirst(event, lease.Server()) {
		q.router.config.Events.Emit(event, zap.String("server", lease.Server()), zap.Error(err))
	}
}
