package clemevent

import "go.uber.org/zap/zapcore"

// Events of the entry.
const (
	RequestEnded Event = 200
	OfferStale   Event = 201
)

var entryEvents = map[Event]Info{
	RequestEnded: {zapcore.InfoLevel, "request ended", "A caller's request ended; kind is ok or the error kind that the caller was told."},
	OfferStale:   {zapcore.DebugLevel, "offer was stale", "Entry and sidecar held different generations and exchanged the missing changes. Frequent ones mean that configuration spreads slowly."},
}
