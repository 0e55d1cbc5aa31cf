package clemevent

var relayEvents = map[Event]Info{}
