package clemevent

var claimEvents = map[Event]Info{}
