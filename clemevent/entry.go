package clemevent

import "go.uber.org/zap/zapcore"

// Events of the entry.
const (
	RequestEnded Event = 200
	OfferStale   Event = 201
)

var entryEvents = map[Event]Info{
	RequestEnded: {zapcore.InfoLevel, "request ended", "A caller's request ended; kind is ok or the error kind that the caller received."},
	OfferStale:   {zapcore.DebugLevel, "offer with a different generation", "Entry and sidecar had different generations of the configuration and exchanged the missing changes. Frequent events mean that configuration changes propagate slowly."},
}
