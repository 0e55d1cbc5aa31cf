package clemsoak

import "time"

// kind is a kind of request that the soak's clients send.
type kind int

const (
	// kindOnce may run once, kindAgain may be repeated, kindChat is a stream
	// that may be resumed elsewhere and kindFeed one that may not; kindProbe
	// tests which configuration is in force.
	kindOnce kind = iota
	kindAgain
	kindChat
	kindFeed
	kindProbe
)

const (
	serviceApp  = "app"
	serviceChat = "chat"
	// chatEvents is the number of events of a stream.
	chatEvents = 8
	host       = "soak.example"
)

// kindInfo is what the soak knows of a kind of request.
type kindInfo struct {
	name, prefix, service, route string
	idempotent                   bool
	events, weight, attempts     int
	patience                     time.Duration
}

var kinds = [...]kindInfo{
	kindOnce:  {name: "once", prefix: "/once/", service: serviceApp, route: "unsafe", weight: 35, attempts: 1, patience: 2500 * time.Millisecond},
	kindAgain: {name: "again", prefix: "/again/", service: serviceApp, route: "safe", idempotent: true, weight: 25, attempts: 2, patience: 2500 * time.Millisecond},
	kindChat:  {name: "chat", prefix: "/chat/", service: serviceChat, route: "stream", idempotent: true, events: chatEvents, weight: 25, attempts: 2, patience: 5 * time.Second},
	kindFeed:  {name: "feed", prefix: "/feed/", service: serviceChat, route: "stream", events: chatEvents, weight: 15, attempts: 1, patience: 5 * time.Second},
	kindProbe: {name: "probe", service: serviceApp, route: "safe", idempotent: true, attempts: 2, patience: 2500 * time.Millisecond},
}

func (k kind) String() string          { return kinds[k].name }
func (k kind) isIdempotent() bool      { return kinds[k].idempotent }
func (k kind) events() int             { return kinds[k].events }
func (k kind) service() string         { return kinds[k].service }
func (k kind) patience() time.Duration { return kinds[k].patience }
