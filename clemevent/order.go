package clemevent

import "go.uber.org/zap/zapcore"

// Events of the orders to backend servers.
const (
	OrderGiven  Event = 800
	OrderFailed Event = 801
	OrderFenced Event = 802
)

var orderEvents = map[Event]Info{
	OrderGiven:  {zapcore.InfoLevel, "order given", "The backend server was made to load the version and adapters that its pool asks for."},
	OrderFailed: {zapcore.WarnLevel, "order failed", "The backend server could not be made to load what its pool asks for; the order is repeated with growing pauses. The engine serves what it has loaded. Look at the engine, the weight store and the table service."},
	OrderFenced: {zapcore.ErrorLevel, "order fenced", "A newer incarnation of this sidecar exists, so that this one gives no more orders. Stop the older process if it is still there."},
}
