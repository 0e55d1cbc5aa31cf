package clemsoak

import "time"

// kind is a kind of request that the soak's clients send.
type kind int

const (
	// kindUnsafe may run at most once and kindIdempotent may be retried.
	// kindResumableStream may be resumed at another server, kindStream may not.
	// kindSlow may run at most once, and takes longer than an entry goes on after it has
	// left the load balancer's rotation. kindProbe tests which configuration is in force.
	kindUnsafe kind = iota
	kindIdempotent
	kindResumableStream
	kindStream
	kindSlow
	kindProbe
)

const (
	serviceApp    = "app"
	serviceStream = "chat"
	// streamEvents is the number of events of a stream.
	streamEvents = 8
	host         = "soak.example"
)

// kindInfo describes a kind of request: its route, its weight among the requests
// that clients send and the client's timeout.
type kindInfo struct {
	name, prefix, service, route string
	idempotent                   bool
	events, weight, attempts     int
	timeout                      time.Duration
}

var kinds = [...]kindInfo{
	kindUnsafe:          {name: "once", prefix: "/once/", service: serviceApp, route: "unsafe", weight: 35, attempts: 1, timeout: 2500 * time.Millisecond},
	kindIdempotent:      {name: "again", prefix: "/again/", service: serviceApp, route: "safe", idempotent: true, weight: 25, attempts: 2, timeout: 2500 * time.Millisecond},
	kindResumableStream: {name: "chat", prefix: "/chat/", service: serviceStream, route: "stream", idempotent: true, events: streamEvents, weight: 25, attempts: 2, timeout: 5 * time.Second},
	kindStream:          {name: "feed", prefix: "/feed/", service: serviceStream, route: "stream", events: streamEvents, weight: 15, attempts: 1, timeout: 5 * time.Second},
	kindSlow:            {name: "slow", prefix: "/slow/", service: serviceApp, route: "unsafe", attempts: 1, timeout: 10 * time.Second},
	kindProbe:           {name: "probe", service: serviceApp, route: "safe", idempotent: true, attempts: 2, timeout: 2500 * time.Millisecond},
}

func (k kind) String() string         { return kinds[k].name }
func (k kind) isIdempotent() bool     { return kinds[k].idempotent }
func (k kind) events() int            { return kinds[k].events }
func (k kind) service() string        { return kinds[k].service }
func (k kind) timeout() time.Duration { return kinds[k].timeout }
