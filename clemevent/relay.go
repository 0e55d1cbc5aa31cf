package clemevent

import "go.uber.org/zap/zapcore"

// Events of the relay tree and of the configuration's spread.
const (
	ConfigHeld      Event = 500
	ConfigApplied   Event = 501
	ConfigRejected  Event = 502
	TableFailed     Event = 503
	TableBack       Event = 504
	ParentFailed    Event = 505
	ParentBack      Event = 506
	SnapshotWritten Event = 507
	SnapshotFailed  Event = 508
	ChildDropped    Event = 509
	PlaceDiffers    Event = 510
	PlaceAgrees     Event = 511
)

var relayEvents = map[Event]Info{
	ConfigHeld:      {zapcore.InfoLevel, "configuration held", "The process holds its first configuration; the generation field names it. If the source field says peers, the table did not confirm it, and it may be a few changes behind until the table answers."},
	ConfigApplied:   {zapcore.DebugLevel, "generation in force", "A newer generation is in force in this process."},
	ConfigRejected:  {zapcore.ErrorLevel, "configuration rejected", "A change or snapshot could not be read or does not continue the generation in force. The process keeps what it holds. Compare versions of the processes."},
	TableFailed:     {zapcore.WarnLevel, "table does not answer", "Reads of the configuration log fail. The configuration in force stays; changes wait until the table answers. Look at the platform's table service."},
	TableBack:       {zapcore.InfoLevel, "table answers again", "Reads of the configuration log succeed again."},
	ParentFailed:    {zapcore.WarnLevel, "parent does not answer", "The next node of the relay tree serves instead. Look at the named host if it stays away."},
	ParentBack:      {zapcore.InfoLevel, "parent answers again", "The node of the relay tree is used again."},
	SnapshotWritten: {zapcore.InfoLevel, "snapshot written", "A snapshot of the configuration is in the object store, for processes that start without peers."},
	SnapshotFailed:  {zapcore.WarnLevel, "snapshot not written", "Another node or a later generation will write one. Processes that start without peers read more of the log until then."},
	ChildDropped:    {zapcore.InfoLevel, "child dropped", "A node stopped reporting and no longer counts in the sums of loads."},
	PlaceDiffers:    {zapcore.WarnLevel, "host list contradicts settings", "The platform's list places this host in another region or data centre, which the event names, than the process's settings. The relay tree follows the list, ranking of backend servers the settings. Correct whichever is wrong."},
	PlaceAgrees:     {zapcore.InfoLevel, "host list agrees with settings", "The platform's list and the process's settings name the same region and data centre again."},
}
