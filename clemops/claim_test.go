package clemops

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	held    = clemwire.ClaimState_CLAIM_STATE_HELD
	void    = clemwire.ClaimState_CLAIM_STATE_VOID
	done    = clemwire.ClaimState_CLAIM_STATE_DONE
	unknown = clemwire.ClaimState_CLAIM_STATE_UNKNOWN
)

// putClaim adds a call in the given state to the ledger, held by incarnation 4
// of srv-1.
func (f *fixture) putClaim(t *testing.T, key string, state clemwire.ClaimState) {
	t.Helper()
	claim := &clemwire.Claim{Organisation: "acme", Key: key, Token: key, Server: "srv-1", Incarnation: 4, Request: "r", Time: timestamppb.New(time.Now())}
	_, err := f.ledger.Claim(t.Context(), claim)
	require.NoError(t, err)
	if state != held {
		require.NoError(t, f.ledger.Advance(t.Context(), &clemwire.Record{Claim: claim, State: state}))
	}
}

func (f *fixture) resolve(t *testing.T, token, key string, ran bool, outcome *clemwire.Outcome) (*clemwire.Record, error) {
	t.Helper()
	message := &clemwire.ResolveClaimRequest{Organisation: "acme", Key: key, Ran: ran, Outcome: outcome}
	r, err := f.client(t, "Bearer "+token).ResolveClaim(t.Context(), newRequest(message))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetRecord(), nil
}

func TestResolveUnknown(t *testing.T) {
	f := newFixture(t)
	_, err := f.resolve(t, anaToken, "none", true, nil)
	requireError(t, err, connect.CodeNotFound, clementineturn.KindNotFound, "")

	f.putClaim(t, "ran", unknown)
	answer := &clemwire.Outcome{Status: 201, Media: "application/json", Body: []byte("{}")}
	for range 2 {
		record, err := f.resolve(t, anaToken, "ran", true, answer)
		require.NoError(t, err, "a repeat returns the recorded result")
		require.Equal(t, done, record.GetState())
		require.True(t, proto.Equal(answer, record.GetOutcome()))
		require.Equal(t, "ana", record.GetAuthor())
	}
	require.Equal(t, 1, f.logs.FilterField(eventField(clemevent.ClaimResolved)).Len())
	_, err = f.resolve(t, benToken, "ran", true, &clemwire.Outcome{Status: 200})
	requireError(t, err, connect.CodeAborted, clementineturn.KindConflict, "")
	_, err = f.resolve(t, benToken, "ran", false, nil)
	requireError(t, err, connect.CodeAborted, clementineturn.KindConflict, "")

	f.putClaim(t, "void", unknown)
	record, err := f.resolve(t, anaToken, "void", false, nil)
	require.NoError(t, err)
	require.Equal(t, void, record.GetState())

	f.putClaim(t, "done", done)
	_, err = f.resolve(t, anaToken, "done", false, nil)
	requireError(t, err, connect.CodeAborted, clementineturn.KindConflict, "")
	require.Contains(t, err.Error(), "the call is done, only one")
	shown, err := f.anaClient(t).ShowClaim(t.Context(), newRequest(&clemwire.ShowClaimRequest{Organisation: "acme", Key: "done"}))
	require.NoError(t, err)
	require.Equal(t, done, shown.Msg.GetRecord().GetState())
}

// A held call can be resolved only if its holder can no longer complete it. A
// draining holder, which is not among the members, may still do so.
func TestResolveHeld(t *testing.T) {
	f := newFixture(t)
	f.putClaim(t, "k", held)
	f.board.Members().Set(clemboard.NewMembers(nil))
	refused := func(code connect.Code, kind clementineturn.Kind) {
		_, err := f.resolve(t, anaToken, "k", true, nil)
		requireError(t, err, code, kind, "")
	}
	refused(connect.CodeUnavailable, clementineturn.KindUnavailable)

	f.hosts.list = []*clemwire.Host{{Name: "srv-1", Address: "10.0.1.1:1", Role: "sidecar", Leaving: true}}
	f.peers.probed = map[string]*clemwire.Probed{"10.0.1.1:1": {Node: "srv-1", Incarnation: 4}}
	refused(connect.CodeAborted, clementineturn.KindConflict)
	f.peers.probed["10.0.1.1:1"] = nil
	refused(connect.CodeUnavailable, clementineturn.KindUnavailable)
	// The address now belongs to another server's sidecar.
	f.peers.probed["10.0.1.1:1"] = &clemwire.Probed{Node: "srv-2", Incarnation: 9}
	refused(connect.CodeUnavailable, clementineturn.KindUnavailable)

	f.peers.probed["10.0.1.1:1"] = &clemwire.Probed{Node: "srv-1", Incarnation: 5}
	record, err := f.resolve(t, anaToken, "k", true, nil)
	require.NoError(t, err)
	require.Equal(t, done, record.GetState())
	require.Nil(t, record.GetOutcome())

	f.putClaim(t, "gone", held)
	f.hosts.list = []*clemwire.Host{}
	record, err = f.resolve(t, anaToken, "gone", false, nil)
	require.NoError(t, err)
	require.Equal(t, void, record.GetState())
}

func TestClaimTableDown(t *testing.T) {
	f := newFixture(t)
	f.putClaim(t, "k", unknown)
	f.table.Inject(clemstandin.TableFaults{Down: true})
	_, err := f.resolve(t, anaToken, "k", true, nil)
	requireError(t, err, connect.CodeUnavailable, clementineturn.KindUnavailable, "")
}

// rivalLedger resolves each call on behalf of another operator just before it
// passes a resolution on.
type rivalLedger struct {
	clementineturn.Ledger
	answer *clemwire.Outcome
}

// Advance implements clementineturn.Ledger.
func (l rivalLedger) Advance(ctx context.Context, record *clemwire.Record) error {
	rival := proto.CloneOf(record)
	rival.Author, rival.Outcome = "ben", l.answer
	if err := l.Ledger.Advance(ctx, rival); err != nil {
		return err
	}
	return l.Ledger.Advance(ctx, record)
}

func TestResolveRace(t *testing.T) {
	f := newFixture(t)
	f.putClaim(t, "k", unknown)
	f.handler.ledger = rivalLedger{Ledger: f.ledger, answer: &clemwire.Outcome{Status: 200, Body: []byte("ben's")}}
	_, err := f.resolve(t, anaToken, "k", true, &clemwire.Outcome{Status: 200, Body: []byte("ana's")})
	requireError(t, err, connect.CodeAborted, clementineturn.KindConflict, "")
	require.ErrorContains(t, err, `"ben"`)
}
