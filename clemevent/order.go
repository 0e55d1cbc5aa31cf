package clemevent

var orderEvents = map[Event]Info{}
