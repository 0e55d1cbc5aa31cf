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

// sameClaim reports whether both claims are of the same acquisition. Two
// acquisitions with the same token differ in their time.
func sameClaim(a, b *clemwire.Claim) bool {
	return a.GetToken() == b.GetToken() && a.GetServer() == b.GetServer() &&
		a.GetIncarnation() == b.GetIncarnation() && a.GetTime().AsTime().Equal(b.GetTime().AsTime())
}

// checkTransition returns nil if the record may follow the one in force, which
// belongs to the same organisation and key: HELD may become DONE, UNKNOWN or
// VOID, and UNKNOWN may become DONE or VOID by a record with an author, as an
// operator's has. A record with the state in force is no error. Errors:
// KindConflict.
func checkTransition(found, next *clemwire.Record) error {
	if !sameClaim(found.GetClaim(), next.GetClaim()) {
		return clementineturn.Errorf(clementineturn.KindConflict, "key %q is held by token %q, not %q",
			next.GetClaim().GetKey(), found.GetClaim().GetToken(), next.GetClaim().GetToken())
	}
	if found.GetState() == next.GetState() {
		return nil
	}
	if !isReachable(found.GetState(), next) {
		return clementineturn.Errorf(clementineturn.KindConflict, "key %q is %s and cannot become %s",
			next.GetClaim().GetKey(), found.GetState(), next.GetState())
	}
	return nil
}

func isReachable(from clemwire.ClaimState, next *clemwire.Record) bool {
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
