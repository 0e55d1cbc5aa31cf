package clemevent

var operatorEvents = map[Event]Info{}
