package clemorigin

import (
	"time"

	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// messageCopies is the number of messages to peers that name a stream, which go to
	// different peers as a rule. The peers write it to their rows, so that it is known although
	// the process that began it ends before its own next write.
	messageCopies = 3
	// maxMessageStreams bounds the streams of a message, and maxUnsentStreams those that are
	// to be sent. The oldest of these are left out.
	maxMessageStreams = 256
	maxUnsentStreams  = 4096
)

// unsentStream is a stream that messages to peers have still to name.
type unsentStream struct {
	key    Key
	origin Origin
	copies int
}

// queueMessage has the next messages to peers name the stream, if its service has several
// versions. The caller holds mu.
func (t *Tracker) queueMessage(key Key, origin Origin) {
	if !t.isMixed(origin.Service) {
		return
	}
	t.unsent = append(t.unsent, unsentStream{key: key, origin: origin, copies: messageCopies})
	t.unsent = t.unsent[max(len(t.unsent)-maxUnsentStreams, 0):]
}

// TakeMessage returns what the next message to a peer says of the origins of streams.
func (t *Tracker) TakeMessage() []*clemwire.StreamOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := min(len(t.unsent), maxMessageStreams)
	if count == 0 {
		return nil
	}
	var message []*clemwire.StreamOrigin
	byOrigin := map[Origin]*clemwire.StreamOrigin{}
	var rest []unsentStream
	for _, s := range t.unsent[:count] {
		named := byOrigin[s.origin]
		if named == nil {
			named = &clemwire.StreamOrigin{Service: s.origin.Service, Version: s.origin.Version}
			byOrigin[s.origin] = named
			message = append(message, named)
		}
		named.Streams = append(named.Streams, uint64(s.key))
		if s.copies--; s.copies > 0 {
			rest = append(rest, s)
		}
	}
	t.unsent = append(rest, t.unsent[count:]...)
	return message
}

// RecordMessage records what a peer's message says of the origins of streams.
func (t *Tracker) RecordMessage(message []*clemwire.StreamOrigin) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	recorded := 0
	for _, named := range message {
		for _, key := range named.GetStreams() {
			if recorded++; recorded > maxMessageStreams {
				return
			}
			t.record(Key(key), Origin{Service: named.GetService(), Version: named.GetVersion()}, "", now)
		}
	}
}
