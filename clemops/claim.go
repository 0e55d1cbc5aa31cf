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
	// maxAnswerBytes is the largest answer body that an operator may record.
	maxAnswerBytes = 64 << 10
	maxKeyBytes    = 256
	minStatus      = 200
	maxStatus      = 599
)

// ShowClaim implements clemwire.OperatorsHandler.
func (h *Handler) ShowClaim(ctx context.Context, r *connect.Request[clemwire.ShowClaimRequest]) (*connect.Response[clemwire.ShowClaimResponse], error) {
	record, err := h.lookup(ctx, r.Msg.GetOrganisation(), r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&clemwire.ShowClaimResponse{Record: record}), nil
}

// ResolveClaim implements clemwire.OperatorsHandler. It resolves only a call
// whose outcome is unknown or whose holder can no longer complete it. A request
// for the result that is already recorded succeeds without a change.
func (h *Handler) ResolveClaim(ctx context.Context, r *connect.Request[clemwire.ResolveClaimRequest]) (*connect.Response[clemwire.ShowClaimResponse], error) {
	if err := checkOutcome(r.Msg); err != nil {
		return nil, err
	}
	found, err := h.lookup(ctx, r.Msg.GetOrganisation(), r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	record := resolvedRecord(found, r.Msg, operatorName(ctx))
	if sameResult(found, record) {
		return connect.NewResponse(&clemwire.ShowClaimResponse{Record: found}), nil
	}
	if err := h.checkResolvable(ctx, found); err != nil {
		return nil, err
	}
	if err := h.ledger.Advance(ctx, record); err != nil {
		return nil, err
	}
	// The ledger accepts a record with the current state without a change, so
	// reading the record is the only way to find out that another operator
	// resolved the call first.
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

// resolvedRecord returns the record that the request asks for. If a call ran and
// no answer is given, repeats of the call are refused because its answer is no
// longer available.
func resolvedRecord(found *clemwire.Record, r *clemwire.ResolveClaimRequest, author string) *clemwire.Record {
	record := &clemwire.Record{Claim: found.GetClaim(), State: clemwire.ClaimState_CLAIM_STATE_VOID, Author: author}
	if r.GetRan() {
		record.State, record.Outcome = clemwire.ClaimState_CLAIM_STATE_DONE, r.GetOutcome()
	}
	return record
}

func sameResult(a, b *clemwire.Record) bool {
	return a.GetState() == b.GetState() && proto.Equal(a.GetOutcome(), b.GetOutcome())
}

// checkResolvable refuses calls that their holder may still complete. A held
// call can be resolved if its holder is no longer on the list of hosts or runs as
// a later incarnation. If neither can be determined, the operator must wait.
func (h *Handler) checkResolvable(ctx context.Context, record *clemwire.Record) error {
	switch record.GetState() {
	case clemwire.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil
	case clemwire.ClaimState_CLAIM_STATE_HELD:
	default:
		return clementineturn.Refuse(clementineturn.KindConflict, "the call is %s, only one whose outcome is unknown can be resolved", stateName(record.GetState()))
	}
	hosts, err := h.listHosts(ctx)
	if err != nil {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "whether the holder left the list of hosts cannot be read: %w", err)
	}
	claim := record.GetClaim()
	i := slices.IndexFunc(hosts, func(host *clemwire.Host) bool { return host.GetName() == claim.GetServer() })
	if i < 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	probed, err := h.peers.Peer(hosts[i].GetAddress()).Probe(ctx)
	if err != nil {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "the holder %q does not answer and may still run the call: %w", claim.GetServer(), err)
	}
	// The address may belong to another process since the list was read.
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
	if key == "" || len(key) > maxKeyBytes {
		return nil, clementineturn.Invalid("key", "found %d bytes, an idempotency key of 1 to %d is needed", len(key), maxKeyBytes)
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
	if len(outcome.GetBody()) > maxAnswerBytes {
		return clementineturn.Invalid("outcome.body", "found %d bytes, at most %d are allowed", len(outcome.GetBody()), maxAnswerBytes)
	}
	return nil
}

// stateName returns the state's name in lower case and without the enum prefix.
func stateName(state clemwire.ClaimState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "CLAIM_STATE_"))
}
