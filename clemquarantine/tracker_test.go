package clemquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func promptParts(ids ...uint64) []clementineturn.PromptPart {
	parts := make([]clementineturn.PromptPart, len(ids))
	for i, id := range ids {
		parts[i] = clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: id})
	}
	return parts
}

// run records an attempt that the server begins to answer, and its end 50 ms later.
func run(t *Tracker, server string, result Result, ms int, ids ...uint64) {
	a := t.Start(AttemptConfig{Service: "pool", Parts: promptParts(ids...), Server: server, Cancel: func() {}})
	a.Begin(at(ms))
	a.End(result, at(ms+50))
}

// crashThrice records three crashes with the part and another one that has been served.
func crashThrice(t *Tracker, part uint64) {
	for n := range 3 {
		run(t, "sound", ResultServed, 500*n, 1)
		run(t, fmt.Sprint("s", n), ResultCrashed, 500*n+100, 1, part)
	}
}

func isRefused(t *Tracker, ms int, ids ...uint64) bool {
	return clementineturn.IsKind(t.Check("pool", promptParts(ids...), at(ms)), clementineturn.KindQuarantined)
}

// Guards against refusals of sound requests that share a part with lethal ones, and
// against quarantines before peers could report successes.
func TestThreeCrashesQuarantineAPartThatWasNeverServed(t *testing.T) {
	tracker := New(Config{})
	crashThrice(tracker, 2)
	require.False(t, isRefused(tracker, 1200, 2))
	require.True(t, isRefused(tracker, 1600, 2))
	require.True(t, isRefused(tracker, 1600, 7, 2))
	require.False(t, isRefused(tracker, 1600, 1))
	require.NoError(t, tracker.Check("another pool", promptParts(2), at(1600)))
}

// Guards against quarantines of parts that crash no server: responses succeed with them.
func TestServedPartIsCleared(t *testing.T) {
	tracker := New(Config{})
	for n := range 12 {
		run(tracker, fmt.Sprint("s", n), ResultCrashed, 500*n, 3)
		run(tracker, "sound", ResultServed, 500*n+200, 3)
	}
	require.False(t, isRefused(tracker, 20_000, 3))
}

// Guards against the loss of evidence that is spread over entries, none of which has
// seen enough by itself.
func TestEvidenceOfEntriesIsSummedUp(t *testing.T) {
	entries := []*Tracker{New(Config{}), New(Config{}), New(Config{})}
	for n, entry := range entries {
		run(entry, fmt.Sprint("s", n), ResultCrashed, 500*n, 2)
	}
	for n, entry := range entries {
		for m, peer := range entries {
			if m != n {
				findings, last := peer.Findings(0)
				require.EqualValues(t, 1, last)
				entry.AddPeerFindings(findings, at(1200))
				// A message that comes twice adds nothing.
				entry.AddPeerFindings(findings, at(1200))
			}
		}
	}
	for _, entry := range entries {
		require.True(t, isRefused(entry, 1600, 2))
		require.Equal(t, 3, entry.Quarantines(at(1600))[0].Crashes)
	}
}

// Guards against one crash that counts once for each entry that saw it.
func TestCrashSeenByManyEntriesIsOne(t *testing.T) {
	tracker := New(Config{})
	for n := range 5 {
		tracker.AddPeerFindings([]Finding{{Service: "pool", Parts: []uint64{2}, Server: "s1", At: at(500 * n), HasBegun: true}}, at(500*n))
	}
	require.False(t, isRefused(tracker, 5000, 2))
}

// Guards against a crash of many servers at once, for which no request is to blame.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	tracker := New(Config{})
	for n := range 12 {
		run(tracker, fmt.Sprint("s", n), ResultCrashed, 3*n, 2)
	}
	require.False(t, isRefused(tracker, 5000, 2))
}

// Guards against crashes by requests that were on their way when their part was
// quarantined, and against the end of those that servers answer.
func TestQuarantineCancelsWaitingRequests(t *testing.T) {
	tracker := New(Config{})
	cancelled := 0
	waiting := tracker.Start(AttemptConfig{Service: "pool", Parts: promptParts(2), Server: "a", Cancel: func() { cancelled++ }})
	sound := tracker.Start(AttemptConfig{Service: "pool", Parts: promptParts(1), Server: "a", Cancel: func() { t.Error("cancelled") }})
	crashThrice(tracker, 2)
	require.True(t, isRefused(tracker, 1600, 2))
	require.Equal(t, 1, cancelled)
	require.True(t, waiting.IsCancelled())
	waiting.End(ResultOther, at(1601))
	require.False(t, sound.IsCancelled())
	sound.End(ResultServed, at(1700))
}

// Guards against a quarantine that never ends, and against as many crashes as before once
// it has ended.
func TestQuarantineEndsAndOneCrashRenewsIt(t *testing.T) {
	tracker := New(Config{Term: time.Minute})
	crashThrice(tracker, 2)
	require.True(t, isRefused(tracker, 50_000, 2))
	require.True(t, isRefused(tracker, 109_000, 2), "requests with the part keep the quarantine in force")
	require.False(t, isRefused(tracker, 170_000, 2))
	run(tracker, "s9", ResultCrashed, 171_000, 2)
	require.True(t, isRefused(tracker, 171_100, 2))

	tracker = New(Config{Term: time.Minute})
	crashThrice(tracker, 2)
	require.True(t, isRefused(tracker, 2000, 2))
	require.False(t, isRefused(tracker, 63_000, 2))
	run(tracker, "sound", ResultServed, 64_000, 2)
	run(tracker, "s9", ResultCrashed, 65_000, 2)
	require.False(t, isRefused(tracker, 66_000, 2), "it was served in between")
}

// Guards against a wrong quarantine that stays in force: a response with the part that
// succeeds ends it, here and at peers, as does an operator.
func TestWrongQuarantineIsReleased(t *testing.T) {
	tracker, peer := New(Config{}), New(Config{})
	late := tracker.Start(AttemptConfig{Service: "pool", Parts: promptParts(2), Server: "a", Cancel: func() {}})
	late.Begin(at(1500))
	crashThrice(tracker, 2)
	require.True(t, isRefused(tracker, 1600, 2))
	for _, v := range tracker.Quarantines(at(1600)) {
		peer.Adopt(v, at(1650))
	}
	require.True(t, isRefused(peer, 1700, 2))
	late.End(ResultServed, at(1800))
	require.False(t, isRefused(tracker, 1800, 2))
	findings, _ := tracker.Findings(0)
	peer.AddPeerFindings(findings, at(1850))
	require.False(t, isRefused(peer, 1900, 2))
	peer.Adopt(Quarantine{Part: Part{"pool", 2}, At: at(1600), LastSeen: at(1600)}, at(2000))
	require.False(t, isRefused(peer, 2000, 2), "a quarantine older than the response")

	lifted := New(Config{})
	crashThrice(lifted, 2)
	require.True(t, isRefused(lifted, 1600, 2))
	lifted.Lift(Part{"pool", 2}, at(1000), at(1700))
	require.True(t, isRefused(lifted, 1700, 2), "an order that is older than the quarantine")
	lifted.Lift(Part{"pool", 2}, at(1650), at(1700))
	require.False(t, isRefused(lifted, 1800, 2))
}

// Guards against quarantines that entries prolong for each other by the time that
// messages take.
func TestExchangeDoesNotProlongQuarantines(t *testing.T) {
	a, b := New(Config{Term: time.Minute}), New(Config{Term: time.Minute})
	crashThrice(a, 2)
	require.True(t, isRefused(a, 1600, 2))
	const transit = 50
	for ms := 1600; ms < 70_000; ms += 2 * transit {
		for i, pair := range [][2]*Tracker{{a, b}, {b, a}} {
			for _, v := range pair[0].Quarantines(at(ms + i*transit)) {
				v.At, v.LastSeen = v.At.Add(transit*time.Millisecond), v.LastSeen.Add(transit*time.Millisecond)
				pair[1].Adopt(v, at(ms+(i+1)*transit))
			}
		}
	}
	require.Empty(t, a.Quarantines(at(70_000)))
	require.Empty(t, b.Quarantines(at(70_000)))
}

// Guards against memory that grows with the traffic.
func TestEvidenceIsBounded(t *testing.T) {
	tracker := New(Config{})
	for n := range 20_000 {
		id := uint64(100 + 3*n)
		run(tracker, "sound", ResultServed, n, id, id+1)
		if n%10 == 0 {
			run(tracker, fmt.Sprint("s", n), ResultCrashed, n, id+2)
		}
	}
	require.LessOrEqual(t, len(tracker.crashes), maxCrashes)
	require.LessOrEqual(t, len(tracker.suspects), maxCrashes)
	require.LessOrEqual(t, len(tracker.served)+len(tracker.servedBefore), 2*maxServed)
	require.LessOrEqual(t, len(tracker.findings.findings), maxFindings)
	require.Empty(t, tracker.attempts)
	require.LessOrEqual(t, len(tracker.undecided), maxCrashes)
}
