package clemevent

import "go.uber.org/zap/zapcore"

// Events of the orders by which backend servers load models and adapters.
const (
	OrderCompleted Event = 800
	OrderFailed    Event = 801
	OrderFenced    Event = 802
)

var orderEvents = map[Event]Info{
	OrderCompleted: {zapcore.InfoLevel, "order completed", "The backend server was made to load the version and adapters that its pool specifies."},
	OrderFailed:    {zapcore.WarnLevel, "order failed", "The backend server could not be made to load what its pool specifies; the order is retried with increasing delays. The engine serves what it has loaded. Check the engine, the weight store and the table service."},
	OrderFenced:    {zapcore.ErrorLevel, "order fenced", "A newer incarnation of this sidecar exists, so this one sends no more orders. Stop the older process if it still runs."},
}
