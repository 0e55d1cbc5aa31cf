package clemevent

import "go.uber.org/zap/zapcore"

// Events of the fleet membership.
const (
	HostListUnavailable Event = 600
	HostListRecovered   Event = 601
	HostListShrank      Event = 602
	ServerHoldStarted   Event = 603
	ServerHoldEnded     Event = 604
	HostLeft            Event = 605
	HostJoined          Event = 606
	SelfDraining        Event = 607
	SelfUndrained       Event = 608
	HostInvalid         Event = 609
)

var memberEvents = map[Event]Info{
	HostListUnavailable: {zapcore.WarnLevel, "host list unavailable", "The last list stays in use; refusals and failed connections still take servers out. Check the platform's list service."},
	HostListRecovered:   {zapcore.InfoLevel, "host list reachable again", "Reads of the platform's list of hosts succeed again."},
	HostListShrank:      {zapcore.ErrorLevel, "host list shrank suddenly", "More than half of the hosts of a pool or role are missing from the list at once. They stay in use as long as they answer. Check the platform's list; if the hosts are really gone, their failed connections take them out."},
	ServerHoldStarted:   {zapcore.InfoLevel, "server on hold", "The backend server refused work as draining or did not answer. It gets no new work for the time in the hold field, which doubles while the server flaps."},
	ServerHoldEnded:     {zapcore.InfoLevel, "server hold ended", "The backend server gets new work again."},
	HostLeft:            {zapcore.InfoLevel, "host left", "The host is draining or no longer on the platform's list."},
	HostJoined:          {zapcore.InfoLevel, "host joined", "The host is new on the platform's list."},
	SelfDraining:        {zapcore.InfoLevel, "own host draining", "The platform's list or an operator's drain names this host, so the process takes no new work."},
	SelfUndrained:       {zapcore.InfoLevel, "own host drain reason ended", "The reason for draining in the reason field no longer applies. The process takes new work once no reason is left."},
	HostInvalid:         {zapcore.WarnLevel, "listed host invalid", "An element of the platform's list describes no host that can be called; the error names the field. It is left out, the others hold. Find out what writes it."},
}
