package clemspread

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// silentStore is a store whose long polls become unresponsive without a reset while
// other calls are answered.
type silentStore struct {
	*fakeStore
	isSilent atomic.Bool
	// polls counts the long polls, reads the reads of the operator's changes beside them.
	polls, reads atomic.Int64
}

func (s *silentStore) Follow(ctx context.Context, section clementineturn.Section, after uint64, wait time.Duration) (clementineturn.Batch, error) {
	if section == clementineturn.SectionOperator && after > 0 {
		if wait == 0 {
			s.reads.Add(1)
		} else {
			s.polls.Add(1)
		}
	}
	if wait > 0 && s.isSilent.Load() {
		ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
		defer cancel()
		<-ctx.Done()
		return clementineturn.Batch{}, clementineturn.Errorf(clementineturn.KindUnavailable, "store: %w", ctx.Err())
	}
	return s.fakeStore.Follow(ctx, section, after, wait)
}

// Guards against requests at an evacuated data centre from an entry that the store
// refuses while it serves others, and against an evacuation that outlasts its withdrawal
// there.
func TestEvacuationReachesEntriesThatTheStoreRefuses(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		cut := &cuttableStore{fakeStore: store}
		entries := []*Syncer{n.start(ctx, "a", cut), n.start(ctx, "b", store), n.start(ctx, "c", store)}
		time.Sleep(5 * time.Second)
		cut.isCut.Store(true)
		for range 2 {
			store.set(clementineturn.SectionOperator, "away/east", "{}")
			store.set(clementineturn.SectionOperator, "away/west", "{}")
			time.Sleep(time.Second)
			for _, e := range entries {
				require.Equal(t, []string{"east", "west"}, e.Evacuated())
			}
			store.set(clementineturn.SectionOperator, "away/east", "")
			time.Sleep(time.Second)
			for _, e := range entries {
				require.Equal(t, []string{"west"}, e.Evacuated(), "they apply independently")
			}
		}
	})
}

// Guards against long polls that became unresponsive without a reset delaying
// evacuations, keys or the configuration beyond 2 s: a removed key was served for
// another 11.5 s.
func TestSilentLongPollsDelayNothing(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		silent := &silentStore{fakeStore: store}
		entries := []*Syncer{n.start(ctx, "a", silent), n.start(ctx, "b", silent), n.start(ctx, "c", silent)}
		time.Sleep(5 * time.Second)
		silent.isSilent.Store(true)
		for version, offset := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
			time.Sleep(offset)
			document := string(rune('2' + version))
			store.set(clementineturn.SectionOperator, "config", document)
			store.set(clementineturn.SectionOperator, "away/east", "{}")
			time.Sleep(2 * time.Second)
			for _, e := range entries {
				require.Equal(t, document, string(e.config.Table.Current().Document()))
				require.Equal(t, []string{"east"}, e.Evacuated())
			}
			store.set(clementineturn.SectionOperator, "away/east", "")
			time.Sleep(2 * time.Second)
			for _, e := range entries {
				require.Empty(t, e.Evacuated())
			}
		}
	})
}

// A long poll that missed a change is replaced by one on another connection, and that is
// no failure of the store.
func TestSilentLongPollIsRenewed(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		silent := &silentStore{fakeStore: store}
		core, logs := observer.New(zapcore.InfoLevel)
		n.events = clemevent.New(zap.New(core))
		n.start(ctx, "a", silent)
		time.Sleep(5 * time.Second)
		silent.isSilent.Store(true)
		time.Sleep(longPollWait)
		silent.isSilent.Store(false)
		before := silent.polls.Load()
		store.set(clementineturn.SectionOperator, "config", "2")
		time.Sleep(2500 * time.Millisecond)
		require.Greater(t, silent.polls.Load(), before)
		require.Equal(t, 1, logs.FilterField(zap.Int("event", int(clemevent.LongPollRenewed))).Len())
		require.Zero(t, logs.FilterField(zap.Int("event", int(clemevent.StoreUnavailable))).Len())
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, logs.FilterField(zap.Int("event", int(clemevent.LongPollRenewed))).Len())
	})
}

// Guards against a second reader at every entry: the store serves one extra read a
// second whatever the number of entries.
func TestOneEntryReadsTheOperatorsChanges(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		counting := &silentStore{fakeStore: store}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			n.start(ctx, name, counting)
		}
		time.Sleep(10 * time.Second)
		before := counting.reads.Load()
		time.Sleep(20 * time.Second)
		require.InDelta(t, 20, counting.reads.Load()-before, 1)
	})
}

// An entry that starts without the store is ready only with the evacuations of its
// peers, or it would send requests to an evacuated data centre.
func TestStartingEntryIsReadyWithTheEvacuations(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.set(clementineturn.SectionOperator, "away/east", "{}")
		n.start(ctx, "a", store)
		time.Sleep(5 * time.Second)
		hanging := newFakeStore()
		hanging.setHanging(true)
		for _, own := range []clementineturn.Store{hanging, store} {
			e := n.start(ctx, "b", own, "a")
			for !e.IsReady() {
				time.Sleep(time.Millisecond)
			}
			require.Equal(t, []string{"east"}, e.Evacuated())
		}
	})
}

// Guards against an evacuation that ends because the store is unavailable.
func TestEvacuationOutlastsAnOutage(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entries := []*Syncer{n.start(ctx, "a", store), n.start(ctx, "b", store)}
		time.Sleep(5 * time.Second)
		store.set(clementineturn.SectionOperator, "away/east", "{}")
		time.Sleep(2 * time.Second)
		store.setHanging(true)
		store.set(clementineturn.SectionOperator, "away/east", "")
		time.Sleep(time.Minute)
		for _, e := range entries {
			require.Equal(t, []string{"east"}, e.Evacuated())
		}
		store.setHistoryLost(true)
		store.setHanging(false)
		time.Sleep(4 * time.Second)
		for _, e := range entries {
			require.Empty(t, e.Evacuated(), "the row is absent from a full read")
		}
	})
}

// evacuationRow returns a row of the operator's table that evacuates east.
func evacuationRow(version uint64, isRemoved bool) clementineturn.Change {
	return clementineturn.NewChange(clementineturn.ChangeConfig{Key: "east", Version: version, Removed: isRemoved})
}

// newTestTable returns a table, the log and the calls of OnEvacuated.
func newTestTable() (table *evacuationTable, logs *observer.ObservedLogs, calls *[][]string) {
	core, logs := observer.New(zapcore.InfoLevel)
	calls = &[][]string{}
	table = newEvacuationTable(Config{
		Events: clemevent.New(zap.New(core)), OnEvacuated: func(centres []string) { *calls = append(*calls, centres) },
	})
	return table, logs, calls
}

func anyKey(key string) (string, bool) { return key, true }

// Guards against an older state of a data centre replacing a newer one, whichever way
// it comes.
func TestHigherVersionOfAnEvacuationWins(t *testing.T) {
	now := time.Now()
	peer := func(version uint64, isWithdrawn bool) []*clemwire.Evacuation {
		return []*clemwire.Evacuation{{Centre: "east", Version: version, Withdrawn: isWithdrawn}}
	}
	for name, c := range map[string]struct {
		apply       func(table *evacuationTable)
		isEvacuated bool
	}{
		"peer that missed the withdrawal": {func(table *evacuationTable) {
			table.Apply(clementineturn.NewBatch([]clementineturn.Change{evacuationRow(7, true)}, 7), false, anyKey, now)
			table.ApplyPeer(peer(5, false), "p", now)
		}, false},
		"peer that missed a withdrawal from before the first read": {func(table *evacuationTable) {
			table.Apply(clementineturn.NewBatch(nil, 7), true, anyKey, now)
			table.ApplyPeer(peer(5, false), "p", now)
		}, false},
		"peer with a newer evacuation": {func(table *evacuationTable) {
			table.Apply(clementineturn.NewBatch(nil, 7), true, anyKey, now)
			table.ApplyPeer(peer(9, false), "p", now)
		}, true},
		"stale read without the row": {func(table *evacuationTable) {
			table.Apply(clementineturn.NewBatch([]clementineturn.Change{evacuationRow(9, false)}, 9), false, anyKey, now)
			table.Apply(clementineturn.NewBatch(nil, 7), true, anyKey, now)
		}, true},
		"stale read with the row": {func(table *evacuationTable) {
			table.Apply(clementineturn.NewBatch([]clementineturn.Change{evacuationRow(9, true)}, 9), false, anyKey, now)
			table.Apply(clementineturn.NewBatch([]clementineturn.Change{evacuationRow(5, false)}, 7), true, anyKey, now)
		}, false},
		"evacuated again": {func(table *evacuationTable) {
			table.ApplyPeer(peer(5, true), "p", now)
			table.ApplyPeer(peer(6, false), "q", now)
			table.ApplyPeer(peer(5, true), "p", now)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table, _, _ := newTestTable()
			c.apply(table)
			require.Equal(t, c.isEvacuated, len(table.Evacuated()) > 0)
		})
	}
}

// A peer that still reports a withdrawn evacuation is sent the withdrawal, also by an
// entry that started after it.
func TestWithdrawalIsReportedToPeersThatMissedIt(t *testing.T) {
	table, _, calls := newTestTable()
	require.Empty(t, table.Messages(), "nothing is sent in a fleet without evacuations")
	table.Apply(clementineturn.NewBatch(nil, 7), true, anyKey, time.Now())
	table.ApplyPeer([]*clemwire.Evacuation{{Centre: "east", Version: 5}}, "p", time.Now())
	missed, _, _ := newTestTable()
	missed.ApplyPeer([]*clemwire.Evacuation{{Centre: "east", Version: 5}}, "q", time.Now())
	missed.ApplyPeer(table.Messages(), "p", time.Now())
	require.Empty(t, missed.Evacuated())
	require.Equal(t, [][]string{{}}, *calls)
}

// Guards against log lines at each check, and against an evacuation of the servers that
// state no data centre by a row without a name.
func TestOddEvacuationsAreLoggedOnce(t *testing.T) {
	table, logs, calls := newTestTable()
	now := time.Now()
	count := func(event clemevent.Event) int { return logs.FilterField(zap.Int("event", int(event))).Len() }
	rows := []clementineturn.Change{
		evacuationRow(1, false), clementineturn.NewChange(clementineturn.ChangeConfig{Key: "nowhere", Version: 2}),
		clementineturn.NewChange(clementineturn.ChangeConfig{Key: "", Version: 3}),
	}
	table.Apply(clementineturn.NewBatch(rows, 3), false, anyKey, now)
	require.Equal(t, [][]string{{"east", "nowhere"}}, *calls)
	for range 3 {
		now = now.Add(unknownCentreDelay)
		table.Check([]string{"", "east", "west"}, now)
	}
	require.Equal(t, 3, count(clemevent.CentreEvacuated))
	require.Equal(t, 2, count(clemevent.EvacuationUnknown))
	require.Zero(t, count(clemevent.AllCentresEvacuated))
	for range 3 {
		table.Check([]string{"east"}, now)
	}
	require.Equal(t, 1, count(clemevent.AllCentresEvacuated))
}

// Guards against a share of the requests to cold servers that is too large because an
// entry does not count those that do not answer, or does not know that it knows few.
func TestKnownEntriesIncludeSilentOnes(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		hanging := newFakeStore()
		hanging.setHanging(true)
		alone := n.start(ctx, "d", hanging)
		time.Sleep(5 * time.Second)
		addresses, isComplete := alone.KnownEntries()
		require.Equal(t, []string{"d"}, addresses)
		require.False(t, isComplete)
		store.set(clementineturn.SectionEntries, "silent", `{"address":"silent"}`)
		e := n.start(ctx, "a", store)
		time.Sleep(time.Second)
		addresses, isComplete = e.KnownEntries()
		require.Equal(t, []string{"a", "silent"}, addresses)
		require.True(t, isComplete)
		learning := n.start(ctx, "b", hanging, "a")
		time.Sleep(2 * time.Second)
		addresses, isComplete = learning.KnownEntries()
		require.Equal(t, []string{"a", "b", "silent"}, addresses)
		require.True(t, isComplete)
		time.Sleep(12 * time.Minute)
		addresses, _ = e.KnownEntries()
		require.Equal(t, []string{"a", "b"}, addresses)
	})
}

// Guards against a second reader of the operator's rows in each group, which would make the
// store's load grow with the fleet.
func TestOneEntryReadsOperatorChangesForAllGroups(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		f, counting := newFleet(n, store, testFleet, testServers), &silentStore{fakeStore: store}
		for _, name := range f.names {
			f.startEntry(ctx, name, counting)
		}
		time.Sleep(8 * time.Second)
		before := counting.reads.Load()
		time.Sleep(20 * time.Second)
		require.InDelta(t, 20, counting.reads.Load()-before, 2)
	})
}

// Guards against requests at an evacuated data centre from entries of other groups that the
// store refuses: what they know passes two delegates.
func TestEvacuationReachesOtherGroups(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		f, cut := newFleet(n, store, testFleet, testServers), &cuttableStore{fakeStore: store}
		for _, name := range f.names {
			if fleetCentre(name) == "centre-0" {
				f.startEntry(ctx, name, store)
			} else {
				f.startEntry(ctx, name, cut)
			}
		}
		time.Sleep(4 * time.Second)
		cut.isCut.Store(true)
		for _, value := range []string{"{}", ""} {
			store.set(clementineturn.SectionOperator, "away/east", value)
			time.Sleep(1500 * time.Millisecond)
			for name, e := range f.entries {
				require.Equal(t, value != "", len(e.Evacuated()) == 1, name)
			}
		}
	})
}

// Guards against a peer's message with a great number of made-up data centres, which every
// entry would keep and pass on in each message for the life of the process.
func TestEvacuationsOfPeersAreBounded(t *testing.T) {
	table := newEvacuationTable(Config{})
	now := time.Now()
	var many []*clemwire.Evacuation
	for i := range 3 * maxPeerCentres {
		many = append(many, &clemwire.Evacuation{Centre: strconv.Itoa(i), Version: 5, Withdrawn: true})
	}
	many = append(many, &clemwire.Evacuation{Centre: strings.Repeat("x", maxCentreLength+1), Version: 5})
	table.ApplyPeer(many[len(many)-1:], "peer", now)
	require.Empty(t, table.Messages())
	table.ApplyPeer(many, "peer", now)
	require.Len(t, table.Messages(), maxPeerCentres)
	table.ApplyPeer([]*clemwire.Evacuation{{Centre: "0", Version: 6}}, "peer", now)
	require.Equal(t, []string{"0"}, table.Evacuated())
	table.Apply(clementineturn.NewBatch([]clementineturn.Change{
		clementineturn.NewChange(clementineturn.ChangeConfig{Key: "east", Version: 7}),
	}, 7), false, func(key string) (string, bool) { return key, true }, now)
	require.Equal(t, []string{"0", "east"}, table.Evacuated(), "the store's rows are not bounded")
}
