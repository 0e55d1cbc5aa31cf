package clemevent

import "go.uber.org/zap/zapcore"

// Events of the claims on at-most-once calls.
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
	ClaimWriteFailed:     {zapcore.WarnLevel, "claim write failed", "A batch of claims could not be written, or the outcome of the write is unknown. The calls were refused as not run. Check the table service if this persists."},
	ClaimRetentionFailed: {zapcore.WarnLevel, "claim segment not deleted", "An expired segment of claims could not be deleted; the deletion is retried later. No data is lost, but the table grows."},
	ClaimOutcomePending:  {zapcore.WarnLevel, "claim outcome pending", "The outcome of a call could not be recorded yet; the write is retried until the process ends. Meanwhile repeats of the call are refused as in progress."},
	ClaimOutcomeRefused:  {zapcore.ErrorLevel, "claim outcome refused", "The ledger holds a state of the call that its outcome cannot follow, for instance after an operator resolved it. Compare the two."},
	ClaimOutcomeUnknown:  {zapcore.ErrorLevel, "claim outcome unknown", "The call was dispatched and its outcome is unknown. Ask the service's owner what happened, then resolve the claim."},
	ClaimVoided:          {zapcore.InfoLevel, "claim voided", "A claim whose call was never dispatched was voided in favour of a newer attempt."},
	ClaimSuperseded:      {zapcore.ErrorLevel, "claim superseded", "The sidecar that held the claim was restarted, and it is unknown whether the call ran. Make sure that the old process has ended, ask the service's owner what happened, then resolve the claim."},
}
