package clemclaim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

func claim(token, server string, incarnation uint64, at time.Time) *clemwire.Claim {
	return &clemwire.Claim{
		Organisation: "shishu", Key: "k", Token: token, Server: server,
		Incarnation: incarnation, Time: timestamppb.New(at),
	}
}

func TestTransitions(t *testing.T) {
	at := time.Unix(1000, 0)
	type step struct {
		from, to clemwire.ClaimState
		author   string
	}
	allowed := map[step]bool{
		{stateHeld, stateDone, ""}:            true,
		{stateHeld, stateDone, "operator"}:    true,
		{stateHeld, stateUnknown, ""}:         true,
		{stateHeld, stateUnknown, "operator"}: true,
		{stateHeld, stateVoid, ""}:            true,
		{stateHeld, stateVoid, "operator"}:    true,
		{stateUnknown, stateDone, "operator"}: true,
		{stateUnknown, stateVoid, "operator"}: true,
	}
	states := []clemwire.ClaimState{stateHeld, stateVoid, stateDone, stateUnknown}
	for _, from := range states {
		for _, to := range states {
			for _, author := range []string{"", "operator"} {
				found := &clemwire.Record{Claim: claim("1", "a", 1, at), State: from}
				next := &clemwire.Record{Claim: claim("1", "a", 1, at), State: to, Author: author}
				err := checkTransition(found, next)
				if from == to || allowed[step{from, to, author}] {
					require.NoError(t, err, "%s to %s by %q", from, to, author)
					continue
				}
				require.True(t, clementineturn.IsKind(err, clementineturn.KindConflict), "%s to %s by %q", from, to, author)
			}
		}
	}
}

func TestFollowsSameClaimOnly(t *testing.T) {
	at := time.Unix(1000, 0)
	found := &clemwire.Record{Claim: claim("1", "a", 1, at), State: stateHeld}
	for name, other := range map[string]*clemwire.Claim{
		"token":       claim("2", "a", 1, at),
		"server":      claim("1", "b", 1, at),
		"incarnation": claim("1", "a", 2, at),
		"time":        claim("1", "a", 1, at.Add(time.Nanosecond)),
	} {
		err := checkTransition(found, &clemwire.Record{Claim: other, State: stateVoid})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindConflict), name)
	}
}

func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x08\x01\x12\x00"))
	f.Add([]byte("\x12\x0c\x0a\x0a\x0a\x06shishu\x12\x00\x18\x01"))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := DecodeSegment(value)
		if err != nil {
			require.True(t, clementineturn.IsKind(err, clementineturn.KindInternal))
			return
		}
		x := newIndex()
		for i, record := range s.GetRecords() {
			require.NotNil(t, record.GetClaim())
			x.add(claimIDOf(record), record, s.GetNumber(), i)
		}
		for _, record := range s.GetRecords() {
			id := claimIDOf(record)
			_, open := x.openRecords[id]
			_, done := x.doneInHead[id]
			require.NotEqual(t, open, done)
		}
	})
}
