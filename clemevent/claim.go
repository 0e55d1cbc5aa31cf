package clemevent

import "go.uber.org/zap/zapcore"

// Events of the at-most-once claims.
const (
	ClaimWriteFailed     Event = 400
	ClaimRetentionFailed Event = 401
	ClaimOutcomePending  Event = 402
	ClaimOutcomeRefused  Event = 403
	ClaimOutcomeUnknown  Event = 404
	ClaimVoided          Event = 405
	ClaimSuperseded      Event = 406
)

var claimEvents = map[Event]Info{
	ClaimWriteFailed:     {zapcore.WarnLevel, "claim write failed", "A batch of claims could not be written or its outcome is not known. The calls were refused as not run. Look at the table service if it lasts."},
	ClaimRetentionFailed: {zapcore.WarnLevel, "claim retention failed", "An outdated segment of claims could not be dropped; it is tried again later. Nothing is lost, the table grows."},
	ClaimOutcomePending:  {zapcore.WarnLevel, "claim outcome pending", "The outcome of a call could not be recorded yet and is tried again until the process ends. Repeats of the call are refused as in progress meanwhile."},
	ClaimOutcomeRefused:  {zapcore.ErrorLevel, "claim outcome refused", "The ledger holds another state for the call than its outcome can follow, for instance after an operator resolved it. Compare both."},
	ClaimOutcomeUnknown:  {zapcore.ErrorLevel, "claim outcome unknown", "The call was dispatched and its outcome is not known. Ask the service's owner what happened, then resolve the claim."},
	ClaimVoided:          {zapcore.InfoLevel, "claim voided", "A claim whose call was never dispatched was given up in favour of a newer attempt."},
	ClaimSuperseded:      {zapcore.ErrorLevel, "claim superseded", "The sidecar that held the claim was restarted, and whether the call ran is not known. Make sure that the old process has ended, ask the service's owner what happened, then resolve the claim."},
}
