package clemops

import (
	"context"
	"mime"
	"slices"
	"strings"

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
	minStatus = 200
	maxStatus = 599
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
// outcome is unknown can be resolved, or one whose holder can no longer end
// it. A repeat that asks for what stands already is answered with it.
func (h *Handler) ResolveClaim(ctx context.Context, r *connect.Request[clemwire.ResolveClaimRequest]) (*connect.Response[clemwire.ShowClaimResponse], error) {
	if err := checkOutcome(r.Msg); err != nil {
		return nil, err
	}
	found, err := h.lookup(ctx, r.Msg.GetOrganisation(), r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	record := resolution(found, r.Msg, operator(ctx))
	if sameResult(found, record) {
		return connect.NewResponse(&clemwire.ShowClaimResponse{Record: found}), nil
	}
	if err := h.checkResolvable(ctx, found); err != nil {
		return nil, err
	}
	if err := h.ledger.Advance(ctx, record); err != nil {
		return nil, err
	}
	// The ledger takes a record that repeats the state in force as no change,
	// so an operator who lost a race finds out only by reading.
	found, err = h.lookup(ctx, r.Msg.GetOrganisation(), r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	if !sameResult(found, record) {
		return nil, clementineturn.Refuse(clementineturn.KindConflict, "%q resolved the call first", found.GetAuthor())
	}
	h.events.Emit(
		clemevent.ClaimResolved,
		zap.String("operator", record.GetAuthor()), zap.String("organisation", r.Msg.GetOrganisation()), zap.String("key", r.Msg.GetKey()),
		zap.String("request", record.GetClaim().GetRequest()), zap.Bool("ran", r.Msg.GetRan()),
	)
	return connect.NewResponse(&clemwire.ShowClaimResponse{Record: found}), nil
}

// resolution returns the record that the request asks for. Without an answer
// repeats of a call that ran are told that its answer is no longer held.
func resolution(found *clemwire.Record, r *clemwire.ResolveClaimRequest, author string) *clemwire.Record {
	record := &clemwire.Record{Claim: found.GetClaim(), State: clemwire.ClaimState_CLAIM_STATE_VOID, Author: author}
	if r.GetRan() {
		record.State, record.Outcome = clemwire.ClaimState_CLAIM_STATE_DONE, r.GetOutcome()
	}
	return record
}

func sameResult(a, b *clemwire.Record) bool {
	return a.GetState() == b.GetState() && proto.Equal(a.GetOutcome(), b.GetOutcome())
}

// checkResolvable refuses calls that may still end by themselves. A held call
// cannot if its holder left the list of hosts or is of a later incarnation;
// with neither known, the operator must wait.
func (h *Handler) checkResolvable(ctx context.Context, record *clemwire.Record) error {
	switch record.GetState() {
	case clemwire.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil
	case clemwire.ClaimState_CLAIM_STATE_HELD:
	default:
		return clementineturn.Refuse(clementineturn.KindConflict, "the call is %s, only one whose outcome is unknown can be resolved", stateName(record.GetState()))
	}
	hosts, err := h.listed(ctx)
	if err != nil {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "whether the holder left the list of hosts cannot be read: %w", err)
	}
	claim := record.GetClaim()
	i := slices.IndexFunc(hosts, func(host *clemwire.Host) bool { return host.GetName() == claim.GetServer() })
	if i < 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	probed, err := h.peers.Peer(hosts[i].GetAddress()).Probe(ctx)
	if err != nil {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "the holder %q does not answer and may still run the call: %w", claim.GetServer(), err)
	}
	// The holder's address may have passed to another process since the list was read.
	if probed.GetNode() != claim.GetServer() {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "%q answers at the address of the holder %q, which may still run the call", probed.GetNode(), claim.GetServer())
	}
	if probed.GetIncarnation() <= claim.GetIncarnation() {
		return clementineturn.Refuse(clementineturn.KindConflict, "the holder %q still holds the call", claim.GetServer())
	}
	return nil
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
	if outcome.GetStatus() < minStatus || outcome.GetStatus() > maxStatus {
		return clementineturn.Invalid("outcome.status", "found %d, allowed is %d to %d", outcome.GetStatus(), minStatus, maxStatus)
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

// stateName returns the state as operators read it.
func stateName(state clemwire.ClaimState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "CLAIM_STATE_"))
}
