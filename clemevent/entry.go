package clemevent

var entryEvents = map[Event]Info{}
