package clemevent

import (
	"maps"
	"slices"

	"go.uber.org/zap/zapcore"
)

// catalogue joins the components' tables. Numbers: 100 process, 200 entry,
// 300 sidecar, 400 claims, 500 relay and configuration, 600 membership,
// 700 operators, 800 orders, 900 entries without sidecars.
var catalogue = []map[Event]Info{
	processEvents, entryEvents, sidecarEvents, claimEvents,
	relayEvents, memberEvents, operatorEvents, orderEvents, routerEvents,
}

// Events returns every event of the catalogue in the order of the numbers.
func Events() []Event {
	var events []Event
	for _, part := range catalogue {
		events = slices.AppendSeq(events, maps.Keys(part))
	}
	slices.Sort(events)
	return events
}

// Events of every process.
const (
	ProcessStarted  Event = 100
	ProcessReady    Event = 101
	ProcessDraining Event = 102
	ProcessStopped  Event = 103
	ProcessFailed   Event = 104
)

var processEvents = map[Event]Info{
	ProcessStarted:  {zapcore.InfoLevel, "process started", "The process listens and looks for a configuration."},
	ProcessReady:    {zapcore.InfoLevel, "process ready", "The process holds a configuration and takes work."},
	ProcessDraining: {zapcore.InfoLevel, "process draining", "Readiness fails from now on and running work ends; the process exits afterwards."},
	ProcessStopped:  {zapcore.InfoLevel, "process stopped", "All work ended and the process exits."},
	ProcessFailed:   {zapcore.ErrorLevel, "process failed", "The process cannot go on and exits; the error field says why."},
}
