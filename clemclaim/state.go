package clemclaim

import (
	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	stateHeld    = clemwire.ClaimState_CLAIM_STATE_HELD
	stateVoid    = clemwire.ClaimState_CLAIM_STATE_VOID
	stateDone    = clemwire.ClaimState_CLAIM_STATE_DONE
	stateUnknown = clemwire.ClaimState_CLAIM_STATE_UNKNOWN
)

// sameClaim reports whether both are the claim of one acquisition. The time
// tells two acquisitions apart that were made with the same token.
func sameClaim(a, b *clemwire.Claim) bool {
	return a.GetToken() == b.GetToken() && a.GetServer() == b.GetServer() &&
		a.GetIncarnation() == b.GetIncarnation() && a.GetTime().AsTime().Equal(b.GetTime().AsTime())
}

// follows returns nil if the record may follow the one in force, which belongs
// to the same organisation and key: HELD may become DONE, UNKNOWN or VOID,
// and UNKNOWN may become DONE or VOID by an operator. A record that repeats
// the state in force is no error. Errors: KindConflict.
func follows(found, next *clemwire.Record) error {
	if !sameClaim(found.GetClaim(), next.GetClaim()) {
		return clementineturn.Errorf(clementineturn.KindConflict, "key %q is held by token %q, not %q",
			next.GetClaim().GetKey(), found.GetClaim().GetToken(), next.GetClaim().GetToken())
	}
	if found.GetState() == next.GetState() {
		return nil
	}
	if !reachable(found.GetState(), next) {
		return clementineturn.Errorf(clementineturn.KindConflict, "key %q is %s and cannot become %s",
			next.GetClaim().GetKey(), found.GetState(), next.GetState())
	}
	return nil
}

func reachable(from clemwire.ClaimState, next *clemwire.Record) bool {
	to := next.GetState()
	switch from {
	case stateHeld:
		return to == stateDone || to == stateUnknown || to == stateVoid
	case stateUnknown:
		return next.GetAuthor() != "" && (to == stateDone || to == stateVoid)
	default:
		return false
	}
}
