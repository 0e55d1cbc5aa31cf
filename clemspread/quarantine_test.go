package clemspread

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquarantine"
)

var testPart = clemquarantine.Part{Service: "pool", ID: 0xdead}

func isQuarantined(s *Syncer) bool { return len(s.config.Quarantine.Quarantines(time.Now())) > 0 }

// Guards against quarantines that a restart of all entries loses, and against a write by
// each entry.
func TestQuarantineIsWrittenOnceAndReadAtTheStart(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		var entries []*Syncer
		running, stop := context.WithCancel(ctx)
		for _, name := range []string{"a", "b", "c"} {
			entries = append(entries, n.start(running, name, store, "a"))
		}
		time.Sleep(time.Second)
		before := store.currentVersion()
		now := time.Now()
		entries[1].config.Quarantine.Adopt(clemquarantine.Quarantine{Part: testPart, Crashes: 3, At: now, LastSeen: now}, now)
		time.Sleep(2 * time.Second)
		for _, entry := range entries {
			require.True(t, isQuarantined(entry))
		}
		require.Equal(t, before+1, store.currentVersion(), "one write")
		stop()
		time.Sleep(time.Second)
		n.leave("a", "b", "c")
		restarted := n.start(ctx, "d", store)
		time.Sleep(100 * time.Millisecond)
		require.True(t, restarted.IsReady())
		require.True(t, isQuarantined(restarted))
	})
}

// Guards against an entry that serves before it knows the quarantines, and against one that
// never does because the store is away while a peer knows them.
func TestEntryIsReadyOnceItKnowsTheQuarantines(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		first := n.start(ctx, "a", store)
		time.Sleep(time.Second)
		now := time.Now()
		first.config.Quarantine.Adopt(clemquarantine.Quarantine{Part: testPart, Crashes: 3, At: now, LastSeen: now}, now)
		away := newFakeStore()
		away.setFailing(true)
		second := n.start(ctx, "b", away, "a")
		require.False(t, second.IsReady())
		time.Sleep(2 * time.Second)
		require.True(t, second.IsReady())
		require.True(t, isQuarantined(second))
	})
}

// Guards against a refuted quarantine that entries read again when they start.
func TestRefutedQuarantineIsLiftedInTheStore(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entry := n.start(ctx, "a", store)
		time.Sleep(time.Second)
		now := time.Now()
		late := entry.config.Quarantine.Start(clemquarantine.AttemptConfig{
			Service: testPart.Service, Server: "s", Cancel: func() {},
			Parts: []clementineturn.PromptPart{clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: testPart.ID})},
		})
		late.Begin(now)
		entry.config.Quarantine.Adopt(clemquarantine.Quarantine{Part: testPart, Crashes: 3, At: now, LastSeen: now}, now)
		time.Sleep(time.Second)
		late.End(clemquarantine.ResultServed, time.Now())
		require.False(t, isQuarantined(entry))
		time.Sleep(time.Second)
		stored, err := ReadQuarantines(ctx, store)
		require.NoError(t, err)
		require.Len(t, stored, 1)
		require.True(t, stored[0].IsLifted)
		other := n.start(ctx, "b", store)
		time.Sleep(time.Second)
		require.False(t, isQuarantined(other))
	})
}

// Guards against rows of other writers that end an entry or hide the others.
func TestInvalidQuarantineRowsAreIgnored(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.set(clementineturn.SectionQuarantines, "x", "{")
		store.set(clementineturn.SectionQuarantines, "y", `{"service":"pool","part":"zz"}`)
		now := time.Now()
		require.NoError(t, writeQuarantine(ctx, store, clemquarantine.Quarantine{Part: testPart, At: now, LastSeen: now}, time.Time{}))
		entry := n.start(ctx, "a", store)
		time.Sleep(time.Second)
		require.True(t, entry.IsReady())
		require.True(t, isQuarantined(entry))
		_, err := ReadQuarantines(ctx, store)
		require.ErrorContains(t, err, "row ")
	})
	for field, value := range map[string]string{"part": `{"service":"pool","part":"zz"}`, "service": `{"part":"1"}`, "value": `[`} {
		_, _, err := decodeQuarantine([]byte(value))
		require.ErrorContains(t, err, field)
	}
}
