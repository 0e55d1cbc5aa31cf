package clemops

import (
	"context"
	"mime"
	"net/http"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxAnswer is the largest answer in bytes that an operator may set.
	maxAnswer = 64 << 10
	maxKey    = 256
)

// ShowClaim implements clemwire.OperatorsHandler.
func (h *Handler) ShowClaim(ctx context.Context, r *connect.Request[clemwire.ShowClaimRequest]) (*connect.Response[clemwire.ShowClaimResponse], error) {
	record, err := h.lookup(ctx, r.Msg.GetOrganisation(), r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&clemwire.ShowClaimResponse{Record: record}), nil
}

// ResolveClaim implements clemwire.OperatorsHandler. Only a call whose
// outcome is unknown can be resolved; a repeat that asks for what stands
// already is answered with it.
func (h *Handler) ResolveClaim(ctx context.Context, r *connect.Request[clemwire.ResolveClaimRequest]) (*connect.Response[clemwire.ShowClaimResponse], error) {
	if err := checkOutcome(r.Msg); err != nil {
		return nil, err
	}
	found, err := h.lookup(ctx, r.Msg.GetOrganisation(), r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	record := resolution(found, r.Msg, operator(ctx))
	if found.GetState() == record.GetState() && proto.Equal(found.GetOutcome(), record.GetOutcome()) {
		return connect.NewResponse(&clemwire.ShowClaimResponse{Record: found}), nil
	}
	if found.GetState() != clemwire.ClaimState_CLAIM_STATE_UNKNOWN {
		return nil, clementineturn.Refuse(clementineturn.KindConflict, "the call is in state %v, only one whose outcome is unknown can be resolved", found.GetState())
	}
	if err := h.ledger.Advance(ctx, record); err != nil {
		return nil, err
	}
	h.events.Emit(
		clemevent.ClaimResolved,
		zap.String("operator", record.GetAuthor()), zap.String("organisation", r.Msg.GetOrganisation()), zap.String("key", r.Msg.GetKey()),
		zap.String("request", record.GetClaim().GetRequest()), zap.Bool("ran", r.Msg.GetRan()),
	)
	return connect.NewResponse(&clemwire.ShowClaimResponse{Record: record}), nil
}

func resolution(found *clemwire.Record, r *clemwire.ResolveClaimRequest, author string) *clemwire.Record {
	record := &clemwire.Record{Claim: found.GetClaim(), State: clemwire.ClaimState_CLAIM_STATE_VOID, Author: author}
	if r.GetRan() {
		record.State = clemwire.ClaimState_CLAIM_STATE_DONE
		record.Outcome = r.GetOutcome()
		if record.Outcome == nil {
			record.Outcome = &clemwire.Outcome{Status: http.StatusNoContent}
		}
	}
	return record
}

func (h *Handler) lookup(ctx context.Context, organisation, key string) (*clemwire.Record, error) {
	if organisation == "" {
		return nil, clementineturn.Invalid("organisation", "found nothing, the organisation's name is needed")
	}
	if key == "" || len(key) > maxKey {
		return nil, clementineturn.Invalid("key", "found %d bytes, an idempotency key of 1 to %d is needed", len(key), maxKey)
	}
	return h.ledger.Lookup(ctx, organisation, key)
}

func checkOutcome(r *clemwire.ResolveClaimRequest) error {
	outcome := r.GetOutcome()
	if outcome == nil {
		return nil
	}
	if !r.GetRan() {
		return clementineturn.Invalid("outcome", "found an answer for a call that did not run, allowed only with ran")
	}
	if outcome.GetStatus() < http.StatusOK || outcome.GetStatus() > 599 {
		return clementineturn.Invalid("outcome.status", "found %d, allowed is 200 to 599", outcome.GetStatus())
	}
	if outcome.GetMedia() != "" {
		if _, _, err := mime.ParseMediaType(outcome.GetMedia()); err != nil {
			return clementineturn.Invalid("outcome.media", "found %.80q, a media type is needed", outcome.GetMedia())
		}
	}
	if len(outcome.GetBody()) > maxAnswer {
		return clementineturn.Invalid("outcome.body", "found %d bytes, at most %d are allowed", len(outcome.GetBody()), maxAnswer)
	}
	return nil
}
