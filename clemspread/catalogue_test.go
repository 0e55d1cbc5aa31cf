package clemspread

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

var testStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func atMillisecond(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// decodeServer uses the row's text as the server's address.
// decodeServer decodes an address, which " draining" may follow.
func decodeServer(id string, value []byte) (clempool.Record, error) {
	if len(value) == 0 {
		return clempool.Record{}, errors.New("empty")
	}
	address, state, _ := strings.Cut(string(value), " ")
	return clempool.NewRecord(clempool.RecordConfig{ID: id, Service: "pool", Address: address, Slots: 1, Draining: state == "draining"}), nil
}

func newTestServerList() *serverList {
	directory := clempool.New(clempool.Config{MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 }})
	return newServerList(Config{Directory: directory, DecodeServer: decodeServer})
}

func writtenRow(key, value string, version uint64) clementineturn.Change {
	return clementineturn.NewChange(clementineturn.ChangeConfig{Key: key, Value: []byte(value), Version: version})
}

func removedRow(key string, version uint64) clementineturn.Change {
	return clementineturn.NewChange(clementineturn.ChangeConfig{Key: key, Version: version, Removed: true})
}

func newBatch(version uint64, changes ...clementineturn.Change) clementineturn.Batch {
	return clementineturn.NewBatch(changes, version)
}

// Guards against deferring a removal when there was no outage: calls to the
// store that failed for one entry alone counted as an outage there, and a server
// that left afterwards stayed in use (khat-router hunt-b84a-27).
func TestRemovedRowTakesEffectAtOnceWithoutOutage(t *testing.T) {
	l := newTestServerList()
	l.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	l.Apply(newBatch(6), false, atMillisecond(600), atMillisecond(600))
	l.Apply(newBatch(7, removedRow("a", 7)), false, atMillisecond(1200), atMillisecond(1200))
	require.Equal(t, 1, l.directory.Len())
}

// Rows that expired while the store was unavailable are rewritten about two
// seconds after it recovers. Servers still without a row are then removed.
func TestRowsLostInAnOutageAreKeptForTheGracePeriod(t *testing.T) {
	l := newTestServerList()
	l.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	l.Apply(newBatch(9, removedRow("a", 8), removedRow("b", 9)), false, atMillisecond(5000), atMillisecond(5000))
	require.Equal(t, 2, l.directory.Len())
	l.Apply(newBatch(11, writtenRow("a", "x", 11)), false, atMillisecond(6000), atMillisecond(6000))
	l.RemoveExpired(atMillisecond(7100))
	require.Equal(t, 2, l.directory.Len())
	l.RemoveExpired(atMillisecond(7300))
	require.Equal(t, 1, l.directory.Len(), "b was not rewritten")
}

// Reads of the store may be seconds stale: an older batch changes nothing.
func TestOlderBatchIsDropped(t *testing.T) {
	l := newTestServerList()
	l.Apply(newBatch(9, writtenRow("a", "new", 9)), true, atMillisecond(0), atMillisecond(0))
	l.Apply(newBatch(5, writtenRow("a", "old", 5), writtenRow("b", "y", 4)), true, atMillisecond(10), atMillisecond(10))
	require.Equal(t, "new", l.rows["a"].record.Address())
	require.Equal(t, 1, l.directory.Len())
	version, _ := l.StoreVersion(atMillisecond(10))
	require.Equal(t, uint64(9), version)
}

// A row that cannot be decoded removes its server and leaves the others.
func TestUndecodableRowRemovesServer(t *testing.T) {
	l := newTestServerList()
	l.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	l.Apply(newBatch(6, writtenRow("a", "", 6)), false, atMillisecond(500), atMillisecond(500))
	require.Equal(t, 1, l.directory.Len())
	l.Apply(newBatch(7, writtenRow("a", "x", 7)), false, atMillisecond(900), atMillisecond(900))
	require.Equal(t, 2, l.directory.Len())
}

// shareFrom returns the message that the list's owner sends to an entry that is
// at the given version.
func shareFrom(l *serverList, since uint64, now time.Time) *clemwire.Share {
	_, age := l.StoreVersion(now)
	rows, since, state := l.RowsSince(since)
	return &clemwire.Share{View: state.version, Age: durationpb.New(age), Rows: rows, Floor: l.HistoryStart(), Since: since, Digest: state.digest}
}

// An entry that restarted is sent the changes since the version that it had
// before the restart, and must not take these for the whole list.
func TestShareForAnEarlierIncarnationIsNotApplied(t *testing.T) {
	from, restarted := newTestServerList(), newTestServerList()
	from.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	from.Apply(newBatch(9, writtenRow("c", "z", 9)), false, atMillisecond(100), atMillisecond(100))
	require.False(t, restarted.ApplyShare(shareFrom(from, 5, atMillisecond(200)), 0, atMillisecond(200)))
	require.True(t, restarted.ApplyShare(shareFrom(from, 0, atMillisecond(200)), 0, atMillisecond(200)))
	require.Equal(t, 3, restarted.directory.Len())
}

// Messages carry changes but no mere heartbeats, and the list's age includes the
// transit time.
func TestShareCarriesChangesAndAge(t *testing.T) {
	from, to := newTestServerList(), newTestServerList()
	from.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	require.True(t, to.ApplyShare(shareFrom(from, 0, atMillisecond(100)), 50*time.Millisecond, atMillisecond(120)))
	_, age := to.StoreVersion(atMillisecond(120))
	require.Equal(t, 150*time.Millisecond, age)
	require.Equal(t, 2, to.directory.Len())
	from.Apply(newBatch(7, writtenRow("a", "x", 7)), false, atMillisecond(500), atMillisecond(500))
	rows, since, _ := from.RowsSince(5)
	require.Empty(t, rows)
	require.Equal(t, uint64(5), since)
	from.Apply(newBatch(9, removedRow("b", 9)), false, atMillisecond(600), atMillisecond(600))
	require.True(t, to.ApplyShare(shareFrom(from, 5, atMillisecond(600)), 0, atMillisecond(600)))
	require.Equal(t, 1, to.directory.Len())
	require.False(t, to.ApplyShare(shareFrom(newTestServerList(), 0, atMillisecond(700)), 0, atMillisecond(700)))
}

// An entry that started with the complete list does not know which rows were
// removed before. An entry at an older version must not apply changes from it,
// since it would miss the removals; it is sent the whole list and applies these.
func TestShareWithIncompleteHistoryHasTheWholeList(t *testing.T) {
	fresh, old := newTestServerList(), newTestServerList()
	old.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	fresh.Apply(newBatch(20, writtenRow("b", "y", 4)), true, atMillisecond(500), atMillisecond(500))
	share := shareFrom(fresh, 5, atMillisecond(600))
	changes := shareFrom(fresh, 5, atMillisecond(600))
	changes.Since, changes.Rows = 4, nil
	require.False(t, old.ApplyShare(changes, 0, atMillisecond(600)))
	version, _ := old.StoreVersion(atMillisecond(600))
	require.Equal(t, uint64(5), version)
	require.Equal(t, 2, old.directory.Len())
	require.True(t, old.ApplyShare(share, 0, atMillisecond(600)))
	require.Equal(t, 1, old.directory.Len(), "a is gone")
}

// An entry that read the list whole after it lost the history knows which of its
// rows are gone: an entry at the version of its earlier list is sent only changes.
// One whose version lies between the two reads may hold rows that were written
// and removed meanwhile, so it is sent the whole list.
func TestHistoryIsKnownExceptBetweenTwoReadsOfTheList(t *testing.T) {
	from := newTestServerList()
	from.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	from.Apply(newBatch(20, writtenRow("b", "y", 4), writtenRow("d", "w", 20)), true, atMillisecond(500), atMillisecond(500))

	before, between := newTestServerList(), newTestServerList()
	before.Apply(newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4)), true, atMillisecond(0), atMillisecond(0))
	between.Apply(newBatch(12, writtenRow("a", "x", 3), writtenRow("b", "y", 4), writtenRow("c", "z", 12)), true, atMillisecond(300), atMillisecond(300))

	share := shareFrom(from, 5, atMillisecond(600))
	require.Equal(t, uint64(5), share.GetSince())
	require.Len(t, share.GetRows(), 2, "a is gone, d is new")
	require.True(t, before.ApplyShare(share, 0, atMillisecond(600)))
	require.Equal(t, 2, before.directory.Len())

	require.False(t, between.ApplyShare(share, 0, atMillisecond(600)), "it would keep c")
	share = shareFrom(from, 12, atMillisecond(600))
	require.Zero(t, share.GetSince())
	require.True(t, between.ApplyShare(share, 0, atMillisecond(600)))
	require.Equal(t, 2, between.directory.Len())
	require.True(t, between.rows["c"].change.Removed())

	from.Apply(newBatch(30, writtenRow("b", "y", 4)), true, atMillisecond(900), atMillisecond(900))
	require.Zero(t, shareFrom(from, 12, atMillisecond(900)).GetSince(), "the earlier gap is not forgotten")
	require.Equal(t, uint64(20), shareFrom(from, 20, atMillisecond(900)).GetSince())
}

// Guards against an entry that was suspended while a server came and left, and passes on its
// newer version of the list without the removal: the peer kept the server for good.
func TestRemovalOfARowThatTheSenderDidNotSeeIsSent(t *testing.T) {
	rows := newBatch(5, writtenRow("a", "x", 3))
	for name, earlier := range map[string][]clementineturn.Change{
		"unknown":       nil,
		"removed twice": {writtenRow("b", "y", 6), removedRow("b", 7)},
	} {
		t.Run(name, func(t *testing.T) {
			suspended, peer := newTestServerList(), newTestServerList()
			for _, l := range []*serverList{suspended, peer} {
				l.Apply(rows, true, atMillisecond(0), atMillisecond(0))
				for _, change := range earlier {
					l.Apply(newBatch(change.Version(), change), false, atMillisecond(100), atMillisecond(100))
				}
			}
			peer.Apply(newBatch(10, writtenRow("b", "y", 10)), false, atMillisecond(600), atMillisecond(600))
			require.Equal(t, 2, peer.directory.Len())
			// The store's feed has the last change of each row.
			suspended.Apply(newBatch(20, removedRow("b", 20)), false, atMillisecond(1100), atMillisecond(1100))
			require.True(t, peer.ApplyShare(shareFrom(suspended, 10, atMillisecond(1200)), 0, atMillisecond(1200)))
			require.Equal(t, 1, peer.directory.Len(), "b is gone")
			require.Equal(t, 1, suspended.directory.Len())
		})
	}
}

// The list's version never decreases, whatever batches are applied.
func FuzzServerList(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Fuzz(func(t *testing.T, steps []byte) {
		l := newTestServerList()
		last := uint64(0)
		for i := 0; i+2 < len(steps); i += 3 {
			change := writtenRow(string('a'+rune(steps[i]%4)), "x", uint64(steps[i+1]))
			if steps[i]&16 != 0 {
				change = removedRow(change.Key(), change.Version())
			}
			now := atMillisecond(i * 400)
			l.Apply(newBatch(uint64(steps[i+2]), change), steps[i]&32 != 0, now, now)
			version, _ := l.StoreVersion(now)
			require.GreaterOrEqual(t, version, last)
			last = version
			l.RemoveExpired(now)
		}
	})
}

// A row that only counts down was sent to every peer in each exchange as a changed row. One
// whose end moves by more than a heartbeat is a change.
func TestRowThatOnlyCountsDownIsNotSentToPeers(t *testing.T) {
	l := newTestServerList()
	l.decode = func(id string, value []byte) (clempool.Record, error) {
		remaining, err := time.ParseDuration(string(value))
		return clempool.NewRecord(clempool.RecordConfig{ID: id, Service: "pool", Address: "x", Slots: 1, Cold: clempool.ColdStatement{IsStated: true, Remaining: remaining}}), err
	}
	version := uint64(1)
	apply := func(ms int, remaining string) int {
		before := version
		version++
		l.Apply(newBatch(version, writtenRow("a", remaining, version)), false, atMillisecond(ms), atMillisecond(ms))
		rows, _, _ := l.RowsSince(before)
		return len(rows)
	}
	l.Apply(newBatch(1), true, atMillisecond(0), atMillisecond(0))
	require.Equal(t, 1, apply(100, "5s"))
	require.Zero(t, apply(1400, "3.8s"))
	require.Zero(t, apply(2900, "2.6s"), "the row was read later than the one before")
	require.Zero(t, apply(7000, "0s"))
	require.Zero(t, apply(8200, "0s"))
	require.Equal(t, 1, apply(9400, "15s"), "the server has become cold again")
	l.Apply(newBatch(version, writtenRow("a", "15s", version)), true, atMillisecond(15_000), atMillisecond(15_000))
	require.Zero(t, apply(16_000, "8.5s"), "a whole read of the list does not let the time count anew")
}
