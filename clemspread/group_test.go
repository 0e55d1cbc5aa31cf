package clemspread

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemwire"
)

// The groups of 36 entries are their three data centres. The first entry of each is its
// delegate, and the probing entry belongs to the second data centre.
const (
	testFleet    = 36
	testServers  = 20
	firstOfZero  = "10.0.30.000:7340"
	secondOfZero = "10.0.30.001:7340"
	firstOfTwo   = "10.2.30.000:7340"
	probingEntry = "10.1.30.005:7340"
)

// runFleet runs the test with a started fleet in which the probing entry sends requests.
func runFleet(t *testing.T, test func(ctx context.Context, f *fleet)) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		f := newFleet(n, store, testFleet, testServers)
		f.startAll(ctx)
		time.Sleep(2 * time.Second)
		go f.probe(probingEntry)
		time.Sleep(2 * time.Second)
		test(ctx, f)
	})
}

func (n *network) block(isBlocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isBlocked = isBlocked
}

// Guards against entries of other groups that are unknown, uncounted or not seen to serve.
func TestGroupsKnowTheFleet(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		for _, e := range f.entries {
			require.Len(t, e.peers.layout().order, 3)
			require.Equal(t, testFleet, e.EntryCount())
			require.False(t, e.NoPeerServes())
			require.True(t, e.IsReady())
		}
		oldest, missing := f.watch(t, 2*time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 400*time.Millisecond)
	})
}

// Guards against an entry that reads the list for each group, and against a change of the
// list that other groups learn too late.
func TestOneEntryReadsTheListForAllGroups(t *testing.T) {
	runFleet(t, func(ctx context.Context, f *fleet) {
		go f.writeHeartbeats(ctx)
		time.Sleep(time.Second)
		before := f.store.callCount()
		time.Sleep(10 * time.Second)
		require.Less(t, f.store.callCount()-before, 40, "one entry reads 18 times")
		servers := f.entries[firstOfTwo].config.Directory.Len()
		f.store.set(clementineturn.SectionServers, serverName(7), "")
		time.Sleep(1500 * time.Millisecond)
		for name, e := range f.entries {
			require.Equal(t, servers-1, e.config.Directory.Len(), name)
		}
	})
}

// A killed delegate must not leave its group without counts until they expire.
func TestKilledDelegateIsReplaced(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		f.kill(firstOfZero)
		oldest, missing := f.watch(t, 2*time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 1200*time.Millisecond)
		oldest, missing = f.watch(t, 2*time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 800*time.Millisecond)
	})
}

// A delegate that is suspended and resumes must not bring old counts back.
func TestSuspendedDelegateIsReplacedAndReturns(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		f.block(func(from, to string) bool { return from == firstOfZero || to == firstOfZero })
		oldest, missing := f.watch(t, 3*time.Second, probingEntry, firstOfZero)
		require.Zero(t, missing)
		require.Less(t, oldest, 1200*time.Millisecond)
		f.block(nil)
		time.Sleep(time.Second)
		oldest, missing = f.watch(t, 3*time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 800*time.Millisecond)
	})
}

// A delegate that others cannot call, or that cannot call others, still exchanges with
// them over the calls that work.
func TestDelegateCutOffInOneDirection(t *testing.T) {
	isOutside := func(address string) bool { return fleetCentre(address) != fleetCentre(firstOfZero) }
	for name, isBlocked := range map[string]func(from, to string) bool{
		"calls nobody": func(from, to string) bool { return from == firstOfZero && isOutside(to) },
		"nobody calls": func(from, to string) bool { return to == firstOfZero && isOutside(from) },
		"neither": func(from, to string) bool {
			return to == firstOfZero && isOutside(from) || from == firstOfZero && isOutside(to)
		},
		"not by members": func(from, to string) bool { return to == firstOfZero && !isOutside(from) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(_ context.Context, f *fleet) {
				f.block(isBlocked)
				f.watch(t, 3*time.Second, probingEntry)
				var except []string
				if name == "neither" {
					except = f.names
				}
				oldest, missing := f.watch(t, 3*time.Second, append(except, probingEntry)...)
				require.Zero(t, missing)
				require.Less(t, oldest, minCountTTL)
			})
		})
	}
}

// Two members that do not hear each other are both delegates: what they send replaces what
// the other one sent, and is not added to it (watch).
func TestTwoDelegatesAtOnce(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		f.block(func(from, to string) bool {
			return from == firstOfZero && to == secondOfZero || from == secondOfZero && to == firstOfZero
		})
		f.watch(t, time.Second, probingEntry)
		second := f.entries[secondOfZero]
		require.Equal(t, secondOfZero, second.peers.delegate(second.peers.layout(), time.Now()))
		oldest, missing := f.watch(t, 4*time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 800*time.Millisecond)
	})
}

// The counts of a data centre that is cut off must end, its entries still count as live for
// as long as they may serve, and its counts return.
func TestDataCentreCutOff(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		isCut := func(from, to string) bool {
			return (fleetCentre(from) == "centre-1") != (fleetCentre(to) == "centre-1")
		}
		f.block(isCut)
		time.Sleep(4 * time.Second)
		for name, e := range f.entries {
			if fleetCentre(name) == "centre-1" {
				require.NotZero(t, f.probeCount(e), name)
			} else {
				require.Zero(t, f.probeCount(e), name)
			}
			require.Equal(t, testFleet, e.EntryCount(), name)
		}
		time.Sleep(8 * time.Second)
		require.Equal(t, testFleet*2/3, f.entries[firstOfTwo].EntryCount())
		require.Equal(t, testFleet/3, f.entries[probingEntry].EntryCount())
		f.block(nil)
		time.Sleep(1500 * time.Millisecond)
		oldest, missing := f.watch(t, time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 800*time.Millisecond)
		require.Equal(t, testFleet, f.entries[firstOfTwo].EntryCount())
	})
}

// All entries restart at once, and later one joins: each serves and knows the counts soon.
func TestRestartOfAllAndJoin(t *testing.T) {
	runFleet(t, func(ctx context.Context, f *fleet) {
		f.kill(f.names...)
		time.Sleep(time.Second)
		f.network.mu.Lock()
		f.probedAt = nil
		f.network.mu.Unlock()
		f.startAll(ctx)
		go f.probe(probingEntry)
		time.Sleep(1500 * time.Millisecond)
		for name, e := range f.entries {
			require.True(t, e.IsReady(), name)
		}
		_, missing := f.watch(t, time.Second, probingEntry)
		require.Zero(t, missing)
		joined := f.startEntry(ctx, "10.2.30.100:7340", f.store)
		time.Sleep(time.Second)
		require.True(t, joined.IsReady())
		age, ok := f.age(joined)
		require.True(t, ok)
		require.Less(t, age, 800*time.Millisecond)
		time.Sleep(2 * time.Second)
		for name, e := range f.entries {
			require.Equal(t, testFleet+1, e.EntryCount(), name)
		}
	})
}

// While a data centre grows past the size at which its groups split, entries disagree about
// them: no request is counted twice (watch), and the counts return.
func TestGroupsSplitWhileEntriesDisagree(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		f := newFleet(n, store, 40, testServers)
		for i := range f.names {
			f.names[i] = fmt.Sprintf("10.1.30.%03d:7340", i)
		}
		f.startAll(ctx)
		time.Sleep(2 * time.Second)
		go f.probe(probingEntry)
		time.Sleep(2 * time.Second)
		require.Len(t, f.entries[probingEntry].peers.layout().order, 2)
		for i := range 8 {
			f.startEntry(ctx, fmt.Sprintf("10.1.30.%03d:7340", 100+i), store)
			f.watch(t, 300*time.Millisecond, probingEntry)
		}
		f.watch(t, 2*time.Second, probingEntry)
		require.Len(t, f.entries[probingEntry].peers.layout().order, 4)
		oldest, missing := f.watch(t, 2*time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 800*time.Millisecond)
	})
}

// A fleet that grows past one group and shrinks again changes its form and counts no
// request twice.
func TestFleetGrowsFromOneGroup(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		f := newFleet(n, store, 30, testServers)
		f.startAll(ctx)
		time.Sleep(2 * time.Second)
		go f.probe(probingEntry)
		time.Sleep(time.Second)
		require.Nil(t, f.entries[probingEntry].peers.layout())
		for i := range 4 {
			f.startEntry(ctx, fmt.Sprintf("10.%d.30.%03d:7340", i%3, 100+i), store)
			f.watch(t, 800*time.Millisecond, probingEntry)
		}
		f.watch(t, 8*time.Second, probingEntry)
		require.Len(t, f.entries[probingEntry].peers.layout().order, 3, "data centres are read soon")
		oldest, missing := f.watch(t, time.Second, probingEntry)
		require.Zero(t, missing)
		require.Less(t, oldest, 800*time.Millisecond)
	})
}

// Evidence on prompt parts must reach each group once: two of a part's crashes that entries
// of different groups saw have to add up.
func TestFindingsReachOtherGroups(t *testing.T) {
	runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
		f := newFleet(n, store, testFleet, testServers)
		var crashes atomic.Int64
		f.onCrash = func() { crashes.Add(1) }
		f.startAll(ctx)
		time.Sleep(2 * time.Second)
		attempt := f.entries[probingEntry].config.Quarantine.Start(clemquarantine.AttemptConfig{
			Service: "pool", Server: "s", Incarnation: 3, Cancel: func() {},
			Parts: []clementineturn.PromptPart{clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: 77})},
		})
		attempt.Begin(time.Now())
		attempt.End(clemquarantine.ResultCrashed, time.Now())
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, int64(testFleet), crashes.Load())
	})
}

// Failures and limits must reach other groups by the server's id, added up over the group.
func TestSumsCarryOutcomesAndLimits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	total := newTally()
	total.addReport([]*clemwire.Running{
		{Server: "a", Count: 3, Unread: 700, Good: 100},
		{Server: "b", Count: 1, Good: 50, Failed: 200},
		{Server: "c", Count: 2, Counted: true, Limited: true, Limit: 5, Sent: 10, Demand: 250},
	}, now)
	total.addReport([]*clemwire.Running{{Server: "c", Count: 1, Counted: true, Sent: 7, Demand: 50}, {Server: "b", Failed: 100}, {Server: "d", Good: 10}}, now)
	sum := &clemwire.Sum{Digest: 9, Entries: 2}
	encodeLoads(sum, total.loads)
	total.encodeOutcomes(sum, map[string]bool{"d": true}, now)
	stats := fleetStats(sum, 0, now)
	require.Equal(t, clempool.Load{Running: 3, PendingTokens: 768}, stats.Loads[clempool.ServerName("a")])
	require.Equal(t, 3, stats.Loads[clempool.ServerName("c")].Running)
	require.Len(t, stats.Outcomes, 3)
	require.InDelta(t, 3.0, stats.Outcomes["b"].Failures, 0.001)
	require.InDelta(t, 0.1, stats.Outcomes["d"].Successes, 0.001)
	require.Equal(t, uint64(17), stats.Outcomes["c"].Sent)
	require.InDelta(t, 3.0, stats.Outcomes["c"].Demand, 0.001)
	require.Equal(t, uint64(9), stats.Outcomes["c"].Origin)
}

// Sums of peers with fields that do not fit each other must not end the process.
func TestInvalidSumsAreIgnored(t *testing.T) {
	require.Len(t, decodeLoads(&clemwire.Sum{Servers: []uint32{1, 2, 3}, Counts: []uint32{1}, Unread: []uint32{1, 2}}), 1)
	_, ok := sumGroup(&clemwire.Sum{Bits: 33})
	require.False(t, ok)
	l := newLayout("a", manyCentres(40))
	table := newSumTable("a")
	table.setSum(l, &clemwire.Sum{Bits: 99}, 0, time.Now())
	require.Empty(t, table.groups)
}

func manyCentres(n int) map[string]string {
	centres := map[string]string{"a": ""}
	for i := range n - 1 {
		centres[fmt.Sprint("b", i)] = ""
	}
	return centres
}

// Groups have 11 to 22 members in the mean, and few entries change theirs as one joins.
func TestLayout(t *testing.T) {
	require.Nil(t, newLayout("a", manyCentres(clempool.LargeFleetSize)))
	for _, size := range []int{33, 44, 45, 300, 1700} {
		l := newLayout("a", manyCentres(size))
		mean := size / len(l.order)
		require.True(t, mean >= 11 && mean <= maxGroupSize, "%d entries in %d groups", size, len(l.order))
		for group, members := range l.members {
			require.Less(t, len(members), 2*maxGroupSize, "%v of %d", group, size)
			require.True(t, slices.IsSorted(members))
		}
		require.True(t, l.isMember("a"))
		larger := newLayout("a", manyCentres(size+1))
		if len(larger.order) == len(l.order) {
			for address, group := range l.groupOf {
				require.Equal(t, group, larger.groupOf[address])
			}
		}
	}
}

// Sums of overlapping groups replace each other, whatever their order.
func TestOverlappingSumsAreNotAdded(t *testing.T) {
	l := newLayout("a", manyCentres(100))
	table := newSumTable("a")
	now := time.Now()
	table.setRole(true, now.Add(-time.Minute))
	sum := func(bits, index, count uint32) *clemwire.Sum {
		return &clemwire.Sum{Centre: "x", Bits: bits, Index: index, Entries: 1, Live: 1, Servers: []uint32{5}, Counts: []uint32{count}, Unread: []uint32{0}}
	}
	running := func() int { return table.addUp(l, now).loads[5].Running }
	table.setSum(l, sum(1, 0, 3), 0, now)
	table.setSum(l, sum(1, 1, 4), 0, now)
	require.Equal(t, 7, running())
	table.setSum(l, sum(0, 0, 8), 0, now)
	require.Equal(t, 8, running())
	table.setSum(l, sum(2, 1, 1), 0, now)
	require.Equal(t, 1, running())
}

// The sum of a group whose messages were under way for long, as those of a suspended entry,
// is dropped.
func TestLateSumsAreDropped(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		e := f.entries[firstOfZero]
		late := &clemwire.Share{
			Name: "late", Address: firstOfTwo, Grouped: true, Centre: "centre-2",
			Echo: e.newShare(firstOfTwo).GetClock(), Sum: &clemwire.Sum{Centre: "centre-2", Entries: 12, Live: 12, Serving: 12},
		}
		time.Sleep(2*time.Second + 10*time.Millisecond)
		e.applySums(late, e.peers.layout(), time.Now())
		require.NotEqual(t, late.GetSum(), e.sums.groups[groupID{centre: "centre-2"}].sum)
	})
}

// Guards against an entry that removes the rows of entries of other groups, which send it
// nothing, or forgets them while the store does not answer; and against rows of a group
// that is gone, which nobody removes.
func TestEntriesOfOtherGroupsExpireByTheirGroup(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := newPeerTable("a0", "a")
	for i := range 40 {
		table.add(fmt.Sprint("b", i), now)
		table.setCentre(fmt.Sprint("b", i), "b")
	}
	table.add("a1", now)
	table.setCentre("a1", "a")
	isLost := false
	lost := func(groupID) bool { return isLost }
	later := now.Add(2*rowExpiry + time.Second)
	require.True(t, table.addAndCheckExpired("a1", "a", lost, later), "of the own group")
	require.False(t, table.addAndCheckExpired("b1", "b", lost, later))
	isLost = true
	require.True(t, table.addAndCheckExpired("b1", "b", lost, later))
	table.takeDue(later)
	require.Len(t, table.byAddress, 40, "rows were not read since, so only a1 is forgotten")
	table.setListRead(later)
	table.takeDue(later)
	require.Len(t, table.byAddress, 1, "only b1 is listed")
}

// Guards against failures that one group sees and that do not eject a server elsewhere.
func TestFailuresInAnotherGroupEject(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		failing := f.entries[probingEntry]
		for range 4 {
			var tried []string
			for i := range testServers {
				if i != 3 {
					tried = append(tried, serverName(i))
				}
			}
			lease, err := failing.config.Directory.Acquire(clempool.Request{Service: "pool", Tried: tried}, time.Now())
			require.NoError(t, err)
			require.Equal(t, serverName(3), lease.Server())
			lease.Release(clempool.OutcomeFailed, nil, time.Now())
		}
		time.Sleep(600 * time.Millisecond)
		require.Contains(t, f.ejectedAt(), firstOfZero)
		require.Contains(t, f.ejectedAt(), firstOfTwo)
	})
}

// Guards against a fleet that forgets live entries, and removes their rows from the store,
// when they become members of this entry's group or the fleet becomes one group: entries of
// other groups had not sent it anything for as long as the groups lasted.
func TestEntriesThatBecomeMembersAreKept(t *testing.T) {
	const others = clempool.LargeFleetSize - 2
	synctest.Test(t, func(t *testing.T) {
		table := newPeerTable("a0", "a")
		now := time.Now()
		for i := range others {
			table.addAndCheckExpired(fmt.Sprint("b", i), "b", func(groupID) bool { return false }, now)
		}
		for _, address := range []string{"a1", "a2"} {
			table.add(address, now)
			table.setCentre(address, "a")
		}
		require.NotNil(t, table.layout())
		for range 12 {
			time.Sleep(entryReadInterval)
			now = time.Now()
			for i := range others {
				table.addAndCheckExpired(fmt.Sprint("b", i), "b", func(groupID) bool { return false }, now)
			}
			table.setListRead(now)
			table.recordShare(&clemwire.Share{Address: "a1", Grouped: true, Centre: "a"}, 0, now)
			// a2 never answers, so that the fleet becomes one group.
			table.takeDue(now)
			if table.layout() == nil {
				break
			}
		}
		require.Nil(t, table.layout())
		require.Len(t, table.knownAddresses(), others+2)
		require.Equal(t, others+1, table.liveCount(now), "their messages are still to come")
		for i := range others {
			require.False(t, table.addAndCheckExpired(fmt.Sprint("b", i), "b", func(groupID) bool { return false }, now), "the row of a live entry")
		}
		time.Sleep(2*rowExpiry + time.Minute)
		table.takeDue(time.Now())
		require.Len(t, table.knownAddresses(), 1, "silent members expire")
	})
}

// Guards against the first message of an entry, of which the time in transit is unknown,
// that takes away the counts of its group: it replaced a recent sum by one that counts as
// old as this entry.
func TestFirstMessageKeepsRecentSum(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		e := f.entries[firstOfZero]
		now := time.Now()
		l, group := e.peers.layout(), groupID{centre: "centre-2"}
		require.True(t, e.sums.hasFreshSum(group, l.sumTTL(), now))
		e.applySums(&clemwire.Share{
			Name: "first", Address: "10.2.30.007:7340", Grouped: true, Centre: "centre-2",
			Sum: &clemwire.Sum{Centre: "centre-2", Entries: 12, Live: 12, Serving: 12},
		}, l, now)
		require.True(t, e.sums.hasFreshSum(group, l.sumTTL(), now))
	})
}

// Guards against ages below 0 in a peer's message: the list would count as read in the
// future, here and at all peers that it is passed on to, and would not be read again until
// then; counts, limits and quarantines would not expire. And against limits that are no
// numbers, which admit no request ever again.
func TestInvalidAgesAndLimitsOfPeers(t *testing.T) {
	runFleet(t, func(_ context.Context, f *fleet) {
		e, now := f.entries[firstOfZero], time.Now()
		before := durationpb.New(-time.Hour)
		version, _ := e.servers.StoreVersion(now)
		e.servers.ApplyShare(&clemwire.Share{View: version + 1, Since: version, Age: before}, 0, now)
		_, age := e.servers.StoreVersion(now)
		require.GreaterOrEqual(t, age, time.Duration(0))
		e.sums.setSum(e.peers.layout(), &clemwire.Sum{Centre: "centre-2", Age: before}, 0, now)
		require.False(t, e.sums.groups[groupID{centre: "centre-2"}].reportedAt.After(now))
		e.applySums(&clemwire.Share{Address: firstOfTwo, Echo: durationpb.New(math.MinInt64), Sum: &clemwire.Sum{Centre: "centre-2"}}, e.peers.layout(), now)
		require.False(t, e.sums.groups[groupID{centre: "centre-2"}].reportedAt.After(now))
		require.False(t, decodeStats(&clemwire.Running{Stated: before}, now).LimitStatedAt.After(now))
		require.False(t, decodeFindings([]*clemwire.Finding{{Age: before}}, now)[0].At.After(now))
		e.applyQuarantine(&clemwire.Share{Quarantines: []*clemwire.Quarantine{{Service: "pool", Part: 5, Crashes: 3, Age: before, Idle: before, Stored: before}}}, now)
		quarantines := e.config.Quarantine.Quarantines(now)
		require.Len(t, quarantines, 1)
		require.False(t, quarantines[0].At.After(now) || quarantines[0].LastSeen.After(now) || quarantines[0].StoredSeen.After(now))
	})
	for _, limit := range []float64{math.NaN(), math.Inf(1), -1} {
		stats := decodeStats(&clemwire.Running{Count: 2, Counted: true, Limited: true, Limit: limit, Stated: durationpb.New(time.Second)}, time.Now())
		require.Equal(t, clempool.ServerStats{Running: 2}, stats, limit)
	}
}

// Guards against addresses of entries that are gone and pass from peer to peer for ever: an
// entry that forgot one learned it again from a peer that still knew it, for another ten
// minutes, and passed it on as new.
func TestForgottenEntriesAreNotLearnedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Name: "a0", Address: "a0", Table: &clemroute.Table{}, Directory: clempool.New(clempool.Config{}), IsDraining: func() bool { return false }})
		share := func(addresses ...string) {
			_, err := s.Share(t.Context(), &clemwire.Share{Name: "a1", Address: "a1", Entries: addresses})
			require.NoError(t, err)
		}
		share("gone")
		known := func() []string { addresses, _ := s.KnownEntries(); return addresses }
		require.Contains(t, known(), "gone")
		for range 15 {
			time.Sleep(time.Minute)
			share()
			s.peers.takeDue(time.Now())
		}
		require.Equal(t, []string{"a0", "a1"}, known())
		share("gone")
		require.Equal(t, []string{"a0", "a1"}, known(), "a peer that forgets later")
		require.False(t, s.peers.addAndCheckExpired("gone", "", s.sums.isLost, time.Now()))
		require.Contains(t, known(), "gone", "its row was written again")
		time.Sleep(11 * time.Minute)
		s.peers.takeDue(time.Now())
		require.NotContains(t, known(), "gone")
		_, err := s.Share(t.Context(), &clemwire.Share{Name: "gone", Address: "gone"})
		require.NoError(t, err)
		require.Contains(t, known(), "gone", "it has started again")
	})
}

// Guards against findings that no longer reach a peer that has become a member of the group
// or has left it: those for members and for others are numbered apart, and the peer named
// the higher number of the other ones as its last.
func TestFindingsReachPeersThatChangeGroups(t *testing.T) {
	now := time.Now()
	sums, peers := newSumTable("a"), newPeerTable("b", "")
	peers.add("a", now)
	finding := func(server string) []clemquarantine.Finding {
		return []clemquarantine.Finding{{Service: "pool", Server: server, At: now}}
	}
	isMember, received := true, 0
	exchange := func() {
		findings, last := sums.relayedSince(isMember, peers.state("a").relayedApplied, now)
		received += len(findings)
		peers.setFindingsApplied("a", 0, last)
	}
	for i := range 10 {
		sums.relayFindings(false, finding(fmt.Sprint(i)), nil, now)
	}
	exchange()
	require.Equal(t, 10, received)
	isMember = false
	exchange()
	sums.relayFindings(true, finding("x"), nil, now)
	exchange()
	require.Equal(t, 11, received)
}

// Guards against a list of entries that counts as complete although its sender has not read
// anything from the store yet, and knows only its seeds: shares of cold servers would be
// those of a small fleet while a large one restarts.
func TestAddressesOfStartingPeersAreNotComplete(t *testing.T) {
	s := New(Config{Name: "a0", Address: "a0", Table: &clemroute.Table{}, Directory: clempool.New(clempool.Config{}), IsDraining: func() bool { return false }})
	entries := []string{"a0", "a2"}
	isComplete := func(share *clemwire.Share) bool {
		share.Name, share.Address, share.Entries = "a1", "a1", entries
		entries = nil
		_, err := s.Share(t.Context(), share)
		require.NoError(t, err)
		_, isComplete := s.KnownEntries()
		return isComplete
	}
	require.False(t, isComplete(&clemwire.Share{}))
	require.False(t, isComplete(&clemwire.Share{View: 5}))
	require.False(t, isComplete(&clemwire.Share{View: 5, Synced: true, Grouped: true}), "it sends a part of them")
	require.True(t, isComplete(&clemwire.Share{View: 5, Synced: true}), "it has sent them before")
}

// Guards against sums of groups that are gone, or that a peer made up, which are kept for
// the life of the process. Groups that are still called are kept, or they would be called
// without an interval.
func TestSumsOfGoneGroupsAreDropped(t *testing.T) {
	l := newLayout("a", manyCentres(100))
	table := newSumTable("a")
	now := time.Now()
	for i := range 50 {
		table.setSum(l, &clemwire.Sum{Centre: fmt.Sprint("x", i)}, 0, now)
	}
	now = now.Add(rowExpiry + time.Second)
	called := table.takeDue(l, now)
	for _, group := range called {
		table.endCall(group)
	}
	table.setSum(l, &clemwire.Sum{Centre: "y"}, 0, now)
	require.Len(t, table.groups, len(called)+1)
	require.Empty(t, table.takeDue(l, now))
}
