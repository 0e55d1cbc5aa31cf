package clemevent

import "go.uber.org/zap/zapcore"

// Events of the sidecar.
const (
	OfferRefused Event = 300
	WorkEnded    Event = 301
)

var sidecarEvents = map[Event]Info{
	OfferRefused: {zapcore.DebugLevel, "offer refused", "The sidecar did not take the work; the error says why. Many of kind overloaded mean that the pool is too small for its load."},
	WorkEnded:    {zapcore.InfoLevel, "work ended", "The backend server finished the work or failed it."},
}
