package clemspread

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemwire"
)

// copyAge is how old the copies are that stores are restored from.
const copyAge = 8 * time.Second

// restoreAfter lets the copy age while the servers write heartbeats, and restores it. The
// store does not answer for the time away before that.
func (s *fakeStore) restoreAfter(away time.Duration, change func()) {
	copied := s.copy()
	for range int(copyAge / time.Second) {
		s.set(clementineturn.SectionServers, "a", "10.0.0.1:80")
		time.Sleep(time.Second)
	}
	change()
	time.Sleep(2 * time.Second)
	s.setFailing(true)
	time.Sleep(away)
	s.restore(copied)
	s.setFailing(false)
}

// requireAlways checks a condition every 50 ms for the time.
func requireAlways(t *testing.T, during time.Duration, condition func() bool, message string) {
	t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.True(t, condition(), message)
	}
}

// startThree starts three entries.
func startThree(ctx context.Context, n *network, store clementineturn.Store) []*Syncer {
	entries := []*Syncer{n.start(ctx, "a", store), n.start(ctx, "b", store), n.start(ctx, "c", store)}
	time.Sleep(5 * time.Second)
	return entries
}

// allEvacuated returns a condition: every entry has evacuated these data centres only.
func allEvacuated(entries []*Syncer, centres ...string) func() bool {
	return func() bool {
		for _, e := range entries {
			evacuated := e.Evacuated()
			if len(evacuated) != len(centres) || len(centres) > 0 && evacuated[0] != centres[0] {
				return false
			}
		}
		return true
	}
}

// Guards against requests at an evacuated data centre after the store was restored from a
// copy without the evacuation, while the operator has not written it again and later.
func TestEvacuationOutlastsRestore(t *testing.T) {
	for name, away := range map[string]time.Duration{"without an outage": 0, "with an outage": time.Second} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
				entries := startThree(ctx, n, store)
				for range 2 {
					store.restoreAfter(away, func() { store.set(clementineturn.SectionOperator, "away/east", "{}") })
					requireAlways(t, 4*time.Second, allEvacuated(entries, "east"), "before it is written again")
					store.set(clementineturn.SectionOperator, "away/east", "{}")
					late := n.start(ctx, "d", store, "a")
					requireAlways(t, 15*time.Second, allEvacuated(entries, "east"), "after it was written again")
					require.Equal(t, []string{"east"}, late.Evacuated())
					store.set(clementineturn.SectionOperator, "away/east", "")
					time.Sleep(2 * time.Second)
					require.True(t, allEvacuated(append(entries, late))(), "withdrawn")
				}
			})
		})
	}
}

// Guards against an evacuation that never ends, since the operator withdrew it in place of
// writing it again.
func TestEvacuationThatIsNotWrittenAgainEnds(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entries := startThree(ctx, n, store)
		store.restoreAfter(time.Second, func() { store.set(clementineturn.SectionOperator, "away/east", "{}") })
		requireAlways(t, evacuationRecoveryGrace-time.Second, allEvacuated(entries, "east"), "within the grace period")
		time.Sleep(5 * time.Second)
		require.True(t, allEvacuated(entries)())
	})
}

// Guards against a restored store hiding all changes of the operator and of servers from
// entries, for as long as its copy was old, and against reads without a pause meanwhile.
func TestChangesAfterRestoreReachEntries(t *testing.T) {
	for name, away := range map[string]time.Duration{"without an outage": 0, "with an outage": time.Second} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
				entries := startThree(ctx, n, store)
				cut := &cuttableStore{fakeStore: store}
				entries = append(entries, n.start(ctx, "d", cut, "a"))
				time.Sleep(2 * time.Second)
				for _, document := range []string{"2", "3"} {
					cut.isCut.Store(document == "3")
					store.restoreAfter(away, func() {})
					calls := store.callCount()
					time.Sleep(3 * time.Second)
					require.Less(t, store.callCount()-calls, 60)
					store.set(clementineturn.SectionServers, "a", "10.0.0.1:80 draining")
					store.set(clementineturn.SectionOperator, "config", document)
					time.Sleep(2 * time.Second)
					for _, e := range entries {
						require.True(t, e.config.Directory.Records()[0].IsDraining())
						require.Equal(t, document, string(e.config.Table.Current().Document()))
					}
				}
			})
		})
	}
}

// Guards against requests at servers that are known to be draining or gone, whose rows a
// restored store has from before.
func TestLeavingServersStayLeavingAfterRestore(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.set(clementineturn.SectionServers, "gone", "10.0.0.2:80")
		store.set(clementineturn.SectionServers, "draining", "10.0.0.3:80")
		entries := startThree(ctx, n, store)
		store.restoreAfter(time.Second, func() {
			store.set(clementineturn.SectionServers, "gone", "")
			store.set(clementineturn.SectionServers, "draining", "10.0.0.3:80 draining")
		})
		requireAlways(t, 3*time.Second, func() bool {
			for _, e := range entries {
				for _, record := range e.config.Directory.Records() {
					if record.ID() == "gone" || record.ID() == "draining" && !record.IsDraining() {
						return false
					}
				}
			}
			return true
		}, "a server is in use again")
		// Both have started again.
		store.set(clementineturn.SectionServers, "gone", "10.0.0.2:80")
		store.set(clementineturn.SectionServers, "draining", "10.0.0.3:80")
		time.Sleep(2 * time.Second)
		for _, e := range entries {
			require.Len(t, e.config.Directory.Records(), 3)
			for _, record := range e.config.Directory.Records() {
				require.False(t, record.IsDraining())
			}
		}
	})
}

// Guards against servers that lose all requests since a restored store lacks their rows,
// which they write again, and against those that stay in use although they do not.
func TestServersThatARestoreLosesStayInUse(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entries := startThree(ctx, n, store)
		copied := store.copy()
		store.set(clementineturn.SectionServers, "kept", "10.0.0.2:80")
		store.set(clementineturn.SectionServers, "lost", "10.0.0.3:80")
		time.Sleep(2 * time.Second)
		count := func(want int) func() bool {
			return func() bool {
				for _, e := range entries {
					if e.config.Directory.Len() != want {
						return false
					}
				}
				return true
			}
		}
		for _, during := range []time.Duration{time.Second, 2 * time.Second} {
			store.restore(copied)
			requireAlways(t, during, count(3), "within the grace period")
		}
		store.set(clementineturn.SectionServers, "kept", "10.0.0.2:80")
		time.Sleep(3 * time.Second)
		requireAlways(t, 10*time.Second, count(2), "after it")
	})
}

// Guards against rows that the entries wrote and a restored store lacks: entries that start
// later find no peers and no quarantines, and read a lifted quarantine again.
func TestOwnRowsAreWrittenAgainAfterRestore(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		empty := store.copy()
		running, stop := context.WithCancel(ctx)
		entries := []*Syncer{n.start(running, "a", store), n.start(running, "b", store, "a")}
		time.Sleep(time.Second)
		now := time.Now()
		lifted := clemquarantine.Part{Service: "pool", ID: 0xbeef}
		for _, part := range []clemquarantine.Part{testPart, lifted} {
			entries[0].config.Quarantine.Adopt(clemquarantine.Quarantine{Part: part, Crashes: 3, At: now, LastSeen: now}, now)
		}
		time.Sleep(2 * time.Second)
		for _, from := range []storeCopy{empty, store.copy()} {
			require.NoError(t, LiftQuarantine(ctx, store, lifted, time.Now()))
			for _, e := range entries {
				e.config.Quarantine.Lift(lifted, time.Now(), time.Now())
			}
			store.restore(from)
			time.Sleep(5 * time.Second)
			rows, err := store.Read(ctx, clementineturn.SectionEntries)
			require.NoError(t, err)
			require.Len(t, rows.Changes(), len(entries))
			quarantines, err := ReadQuarantines(ctx, store)
			require.NoError(t, err)
			for _, q := range quarantines {
				require.Equal(t, q.Part == lifted, q.IsLifted)
			}
			require.NotEmpty(t, quarantines)
		}
		stop()
		time.Sleep(time.Second)
		n.leave("a", "b")
		restarted := n.start(ctx, "e", store)
		time.Sleep(time.Second)
		quarantines := restarted.config.Quarantine.Quarantines(time.Now())
		require.Len(t, quarantines, 1)
		require.Equal(t, testPart, quarantines[0].Part)
	})
}

// Guards against an entry that starts while it cannot reach the restored store, and learns
// the list and the evacuations from its peers only, also those of before.
func TestEntryLearnsAcrossRestoreFromPeersOnly(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		startThree(ctx, n, store)
		cut := &cuttableStore{fakeStore: store}
		cut.isCut.Store(true)
		var late *Syncer
		store.restoreAfter(time.Second, func() {
			store.set(clementineturn.SectionOperator, "away/east", "{}")
			late = n.start(ctx, "d", cut, "a")
		})
		requireAlways(t, 2*time.Second, allEvacuated([]*Syncer{late}, "east"), "lost by the store")
		store.set(clementineturn.SectionOperator, "away/east", "{}")
		store.set(clementineturn.SectionServers, "z", "10.0.0.9:80")
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, late.config.Directory.Len())
		require.True(t, allEvacuated([]*Syncer{late}, "east")())
		store.set(clementineturn.SectionOperator, "away/east", "")
		time.Sleep(2 * time.Second)
		require.True(t, allEvacuated([]*Syncer{late})())
		cut.isCut.Store(false)
		requireAlways(t, 5*time.Second, allEvacuated([]*Syncer{late}), "when the entry reaches the store")
	})
}

// Guards against reads without a pause while a peer knows of a restore that the store does
// not show to this entry.
func TestReadsPauseUntilTheStoreShowsTheRestore(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		e := n.start(ctx, "a", store)
		time.Sleep(time.Second)
		version, err := clementineturn.NewVersion(1, 1)
		require.NoError(t, err)
		calls := store.callCount()
		_, err = e.Share(ctx, &clemwire.Share{Name: "b", Address: "b", View: version})
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		require.Less(t, store.callCount()-calls, 40)
	})
}

// Guards against an evacuation that ends while the store does not answer, so that the
// operator cannot write it again.
func TestLostEvacuationStaysWhileTheStoreIsAway(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		entries := startThree(ctx, n, store)
		store.restoreAfter(time.Second, func() { store.set(clementineturn.SectionOperator, "away/east", "{}") })
		time.Sleep(2 * time.Second)
		store.setFailing(true)
		requireAlways(t, 2*evacuationRecoveryGrace, allEvacuated(entries, "east"), "while the store is away")
		store.set(clementineturn.SectionOperator, "away/east", "{}")
		store.setFailing(false)
		requireAlways(t, 5*time.Second, allEvacuated(entries, "east"), "after it was written again")
	})
}

// A withdrawal that a restored store lost holds again once the operator repeats it.
func TestWithdrawalIsRepeatedAfterRestore(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		store.set(clementineturn.SectionOperator, "away/east", "{}")
		entries := startThree(ctx, n, store)
		require.True(t, allEvacuated(entries, "east")())
		store.restoreAfter(time.Second, func() { store.set(clementineturn.SectionOperator, "away/east", "") })
		time.Sleep(2 * time.Second)
		require.True(t, allEvacuated(entries, "east")())
		store.set(clementineturn.SectionOperator, "away/east", "")
		time.Sleep(2 * time.Second)
		require.True(t, allEvacuated(entries)())
	})
}

// Guards against reads of the list of servers without a pause while the store returns a
// list that is older than the one that the entry has.
func TestReadsPauseWhileTheListIsOld(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		for range 10 {
			store.set(clementineturn.SectionServers, "a", "10.0.0.1:80")
		}
		n.start(ctx, "a", store)
		time.Sleep(time.Second)
		store.mu.Lock()
		store.version -= 5
		store.mu.Unlock()
		store.setHistoryLost(true)
		calls := store.callCount()
		time.Sleep(5 * time.Second)
		require.Less(t, store.callCount()-calls, 60)
	})
}

// Guards against a server that is used again since an entry reads the list of a restored
// store twice: first a peer's, then the store's.
func TestKnownStateOutlastsSecondRead(t *testing.T) {
	l := newTestServerList()
	now := time.Now()
	l.Apply(newBatch(9, writtenRow("gone", "10.0.0.1:80", 5), writtenRow("draining", "10.0.0.2:80 draining", 8)), true, now, now)
	l.Apply(newBatch(10, removedRow("gone", 10)), false, now, now)
	inEra := func(number uint64) uint64 {
		version, err := clementineturn.NewVersion(1, number)
		require.NoError(t, err)
		return version
	}
	gone, draining := writtenRow("gone", "10.0.0.1:80", inEra(5)), writtenRow("draining", "10.0.0.2:80", inEra(6))
	for n := range uint64(3) {
		require.True(t, l.Apply(newBatch(inEra(7+n), gone, draining), true, now, now))
		require.Len(t, l.directory.Records(), 1)
		require.True(t, l.directory.Records()[0].IsDraining())
	}
	l.Apply(newBatch(inEra(20), writtenRow("gone", "10.0.0.1:80", inEra(19)), writtenRow("draining", "10.0.0.2:80", inEra(20))), false, now, now)
	require.Len(t, l.directory.Records(), 2)
	require.False(t, l.directory.Records()[0].IsDraining() || l.directory.Records()[1].IsDraining())
}

// Guards against a restore that entries of several groups learn of too late, or that makes
// all of them read the store for longer.
func TestGroupsFollowRestoredStore(t *testing.T) {
	runFleet(t, func(ctx context.Context, f *fleet) {
		go f.writeHeartbeats(ctx)
		entries := slices.Collect(maps.Values(f.entries))
		servers := entries[0].config.Directory.Len()
		copied := f.store.copy()
		time.Sleep(copyAge)
		f.store.set(clementineturn.SectionOperator, "away/east", "{}")
		time.Sleep(2 * time.Second)
		require.True(t, allEvacuated(entries, "east")())
		f.store.restore(copied)
		requireAlways(t, 3*time.Second, allEvacuated(entries, "east"), "before it is written again")
		f.store.set(clementineturn.SectionOperator, "away/east", "{}")
		f.store.set(clementineturn.SectionServers, serverName(7), "")
		calls := f.store.callCount()
		requireAlways(t, 2*time.Second, allEvacuated(entries, "east"), "after it was written again")
		require.Less(t, f.store.callCount()-calls, testFleet+20, "a long poll of each entry, and the reads of one")
		for _, e := range entries {
			require.Equal(t, servers-1, e.config.Directory.Len())
		}
	})
}
