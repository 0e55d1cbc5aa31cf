package clemevent

import "go.uber.org/zap/zapcore"

// Events of membership.
const (
	HostsFailed   Event = 600
	HostsBack     Event = 601
	HostsShrunk   Event = 602
	ServerHeld    Event = 603
	ServerBack    Event = 604
	ServerGone    Event = 605
	ServerJoined  Event = 606
	SelfLeaving   Event = 607
	SelfRemaining Event = 608
)

var memberEvents = map[Event]Info{
	HostsFailed:   {zapcore.WarnLevel, "host list does not answer", "The last list stays in use; refusals and failed connections still take servers out. Look at the platform's list service."},
	HostsBack:     {zapcore.InfoLevel, "host list answers again", "Reads of the platform's list of hosts succeed again."},
	HostsShrunk:   {zapcore.ErrorLevel, "host list shrank suddenly", "The list lacks more than half of the hosts of a pool or role at once. The missing ones are kept as long as they answer. Check the platform's list; if the hosts are really gone, their failed connections take them out."},
	ServerHeld:    {zapcore.InfoLevel, "server takes no new work", "The backend server refused as draining or did not answer. No new work goes to it for the time in the hold field, which doubles while it flaps."},
	ServerBack:    {zapcore.InfoLevel, "server takes work again", "The hold on the backend server ended."},
	ServerGone:    {zapcore.InfoLevel, "host left", "The host is leaving or no longer on the platform's list."},
	ServerJoined:  {zapcore.InfoLevel, "host joined", "The host is new on the platform's list."},
	SelfLeaving:   {zapcore.InfoLevel, "own host is leaving", "The platform's list or an operator's drain names this host, so the process takes no new work."},
	SelfRemaining: {zapcore.InfoLevel, "own host is not leaving", "Neither the platform's list nor an operator's drain names this host any more."},
}
