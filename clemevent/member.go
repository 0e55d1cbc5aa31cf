package clemevent

var memberEvents = map[Event]Info{}
