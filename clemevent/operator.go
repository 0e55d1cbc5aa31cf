package clemevent

import "go.uber.org/zap/zapcore"

// Events of the operators' interface.
const (
	OperatorRefused         Event = 700
	OperatorTokenIsAPIKey   Event = 701
	OperatorRequestFailed   Event = 702
	OperatorRequestPanicked Event = 703
	ConfigChanged           Event = 710
	ClaimResolved           Event = 711
	MemberSilent            Event = 720
)

var operatorEvents = map[Event]Info{
	OperatorRefused:         {zapcore.WarnLevel, "operator not authenticated", "A request to the operators' interface had no valid token. Many from one address indicate a wrong setting or an attack."},
	OperatorTokenIsAPIKey:   {zapcore.ErrorLevel, "operator token is an API key", "A token of the settings is also an organisation's API key and was refused. Give the operator another token."},
	OperatorRequestFailed:   {zapcore.InfoLevel, "operator request failed", "An operator's request failed; kind, field and message are those of the response."},
	OperatorRequestPanicked: {zapcore.ErrorLevel, "operator request panicked", "The request failed as internal because of a defect in the software. Report it with the fields of this line."},
	ConfigChanged:           {zapcore.InfoLevel, "configuration changed", "An operator's change was committed as the given generation."},
	ClaimResolved:           {zapcore.WarnLevel, "claim resolved", "An operator resolved an at-most-once call whose outcome was unknown. The line records who decided."},
	MemberSilent:            {zapcore.WarnLevel, "host did not answer a report", "A listed host did not answer in time; the report names it as silent. Check the host if this persists."},
}
