package clemevent

var sidecarEvents = map[Event]Info{}
