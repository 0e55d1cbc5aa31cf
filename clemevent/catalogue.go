package clemevent

import (
	"maps"
	"slices"

	"go.uber.org/zap/zapcore"
)

// catalogue lists the event tables of the components. The hundreds of an event's
// number give its component: 100 process, 200 entry, 300 sidecar, 400 claims,
// 500 relay and configuration, 600 membership, 700 operators, 800 orders,
// 900 entries without sidecars.
var catalogue = []map[Event]Info{
	processEvents, entryEvents, sidecarEvents, claimEvents,
	relayEvents, memberEvents, operatorEvents, orderEvents, routerEvents,
}

// Events returns every event of the catalogue, sorted by number.
func Events() []Event {
	var events []Event
	for _, table := range catalogue {
		events = slices.AppendSeq(events, maps.Keys(table))
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
	RequestsEnded   Event = 105
)

var processEvents = map[Event]Info{
	ProcessStarted:  {zapcore.InfoLevel, "process started", "The process listens on its addresses and loads a configuration."},
	ProcessReady:    {zapcore.InfoLevel, "process ready", "The process has a configuration and accepts work."},
	ProcessDraining: {zapcore.InfoLevel, "process draining", "Readiness checks fail from now on. The process finishes the work in progress and then exits."},
	ProcessStopped:  {zapcore.InfoLevel, "process stopped", "All work has ended and the process exits."},
	ProcessFailed:   {zapcore.ErrorLevel, "process failed", "The process cannot continue and exits; the error field gives the reason."},
	RequestsEnded:   {zapcore.WarnLevel, "requests ended by the stop", "The grace period is nearly over. The requests in progress, as many as the running field says, are ended: those that a backend server may have run with 502, others as not run, streams by closing the connection."},
}
