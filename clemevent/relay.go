package clemevent

import "go.uber.org/zap/zapcore"

// Events of the relay tree and of the propagation of configuration.
const (
	ConfigLoaded      Event = 500
	ConfigApplied     Event = 501
	ConfigRejected    Event = 502
	TableUnavailable  Event = 503
	TableRecovered    Event = 504
	ParentUnavailable Event = 505
	ParentRecovered   Event = 506
	SnapshotWritten   Event = 507
	SnapshotFailed    Event = 508
	ChildDropped      Event = 509
	LocationMismatch  Event = 510
	LocationMatch     Event = 511
)

var relayEvents = map[Event]Info{
	ConfigLoaded:      {zapcore.InfoLevel, "configuration loaded", "The process has loaded its first configuration; the generation field names it. If the source field says peers, the table has not confirmed it, and it may be a few changes behind until the table is reachable."},
	ConfigApplied:     {zapcore.DebugLevel, "configuration generation applied", "A newer generation is in force in this process."},
	ConfigRejected:    {zapcore.ErrorLevel, "configuration rejected", "A change or snapshot could not be decoded or does not follow the generation in force. The process keeps its configuration. Compare the versions of the processes."},
	TableUnavailable:  {zapcore.WarnLevel, "table unavailable", "Reads of the configuration log fail. The configuration in force stays; changes are applied once the table is reachable. Check the platform's table service."},
	TableRecovered:    {zapcore.InfoLevel, "table reachable again", "Reads of the configuration log succeed again."},
	ParentUnavailable: {zapcore.WarnLevel, "parent unavailable", "The next node of the relay tree is used instead. Check the named host if it stays unavailable."},
	ParentRecovered:   {zapcore.InfoLevel, "parent reachable again", "The node of the relay tree is used again."},
	SnapshotWritten:   {zapcore.InfoLevel, "snapshot written", "A snapshot of the configuration was written to the object store, for processes that start without peers."},
	SnapshotFailed:    {zapcore.WarnLevel, "snapshot write failed", "Another node or a later generation will write one. Until then, processes that start without peers read more of the log."},
	ChildDropped:      {zapcore.InfoLevel, "child dropped", "A node stopped reporting and no longer counts in the aggregated loads."},
	LocationMismatch:  {zapcore.WarnLevel, "host list contradicts settings", "The platform's list places this host in another region or data centre, which the event names, than the process's settings. The relay tree uses the list, the ranking of backend servers the settings. Correct whichever is wrong."},
	LocationMatch:     {zapcore.InfoLevel, "host list agrees with settings", "The platform's list and the process's settings name the same region and data centre again."},
}
