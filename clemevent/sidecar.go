package clemevent

import "go.uber.org/zap/zapcore"

// Events of the sidecar.
const (
	OfferRefused     Event = 300
	WorkEnded        Event = 301
	IncarnationTaken Event = 302
)

var sidecarEvents = map[Event]Info{
	OfferRefused:     {zapcore.DebugLevel, "offer refused", "The sidecar did not take the work; the error says why. Many of kind overloaded mean that the pool is too small for its load."},
	IncarnationTaken: {zapcore.InfoLevel, "incarnation taken", "The sidecar may run at-most-once work from now on. Until this event it refuses such work as not run; a long wait means that the platform's table is down."},
	WorkEnded:        {zapcore.InfoLevel, "work ended", "The backend server finished the work or failed it."},
}
