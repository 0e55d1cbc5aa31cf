package clemevent

import "go.uber.org/zap/zapcore"

// Events of the operators' interface.
const (
	OperatorRefused Event = 700
	OperatorShared  Event = 701
	OperatorFailed  Event = 702
	OperatorPanic   Event = 703
	ConfigChanged   Event = 710
	ClaimResolved   Event = 711
	MemberSilent    Event = 720
)

var operatorEvents = map[Event]Info{
	OperatorRefused: {zapcore.WarnLevel, "operator refused", "A request to the operators' interface had no valid token. Many from one address mean a wrong setting or an attack."},
	OperatorShared:  {zapcore.ErrorLevel, "operator token is an API key", "A token of the settings is also an organisation's API key and was refused. Give the operator another token."},
	OperatorFailed:  {zapcore.InfoLevel, "operator request failed", "A request of an operator failed; kind, field and message are those of the answer."},
	OperatorPanic:   {zapcore.ErrorLevel, "operator request panicked", "A fault of the system; the request failed as internal. Report it with the line's fields."},
	ConfigChanged:   {zapcore.InfoLevel, "configuration changed", "An operator's change was accepted as the generation given."},
	ClaimResolved:   {zapcore.WarnLevel, "claim resolved", "An operator settled an at-most-once call whose outcome was unknown. The line is the record of who decided."},
	MemberSilent:    {zapcore.WarnLevel, "member silent", "A listed host did not answer a report in time; the report names it as silent. Look at the host if it lasts."},
}
