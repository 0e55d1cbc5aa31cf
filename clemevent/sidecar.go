package clemevent

import "go.uber.org/zap/zapcore"

// Events of the sidecar.
const (
	OfferRefused        Event = 300
	WorkEnded           Event = 301
	IncarnationAcquired Event = 302
)

var sidecarEvents = map[Event]Info{
	OfferRefused:        {zapcore.DebugLevel, "offer refused", "The sidecar refused the work; the error field gives the reason. Frequent refusals of kind overloaded mean that the pool is too small for its load."},
	IncarnationAcquired: {zapcore.InfoLevel, "incarnation acquired", "The sidecar may run at-most-once work from now on. Until this event it refuses such work as not run; a long wait means that the platform's table is unavailable."},
	WorkEnded:           {zapcore.InfoLevel, "work ended", "The backend server completed the work or failed it."},
}
