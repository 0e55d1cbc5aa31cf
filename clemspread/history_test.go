package clemspread

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against a row that is taken for a heartbeat although it was removed and written again
// since the sender's last read: a peer that had read the removal never got the server back.
func TestRowThatWasRemovedAndWrittenAgainIsNotLost(t *testing.T) {
	sender, peer := newTestServerList(), newTestServerList()
	for _, l := range []*serverList{sender, peer} {
		l.Apply(newBatch(5, writtenRow("a", "x", 3)), true, atMillisecond(0), atMillisecond(0))
	}
	peer.Apply(newBatch(10, removedRow("a", 10)), false, atMillisecond(500), atMillisecond(500))
	sender.Apply(newBatch(20, writtenRow("a", "x", 20)), false, atMillisecond(600), atMillisecond(600))

	require.False(t, peer.ApplyShare(shareFrom(sender, 5, atMillisecond(650)), 0, atMillisecond(650)), "the changes after version 5 have no heartbeats")
	require.False(t, peer.NeedsWholeList(), "they are not for this version of the list")
	require.False(t, peer.ApplyShare(shareFrom(sender, 10, atMillisecond(700)), 0, atMillisecond(700)))
	require.True(t, peer.NeedsWholeList())
	require.True(t, peer.ApplyShare(shareFrom(sender, 0, atMillisecond(800)), 0, atMillisecond(800)))
	require.False(t, peer.NeedsWholeList())
	require.Equal(t, map[string]string{"a": "x"}, peer.servers())
	require.Equal(t, 1, peer.directory.Len())
}

// Guards against changes from an entry that has them from a peer: it has neither the heartbeats
// nor the rows that were written and removed between the peer's two versions.
func TestChangesOfAnEntryThatSkippedVersions(t *testing.T) {
	for name, c := range map[string]struct {
		between, after clementineturn.Change
		isComplete     bool
	}{
		"written and removed while the list was read whole": {between: writtenRow("b", "y", 10), after: removedRow("b", 20), isComplete: true},
		"removed and written again":                         {between: removedRow("a", 10), after: writtenRow("a", "x", 20)},
		"changed and changed back":                          {between: writtenRow("a", "z", 10), after: writtenRow("a", "x", 20)},
	} {
		t.Run(name, func(t *testing.T) {
			reader, relay, peer := newTestServerList(), newTestServerList(), newTestServerList()
			for _, l := range []*serverList{reader, relay, peer} {
				l.Apply(newBatch(5, writtenRow("a", "x", 3)), true, atMillisecond(0), atMillisecond(0))
			}
			peer.Apply(newBatch(10, c.between), false, atMillisecond(500), atMillisecond(500))
			batch := newBatch(20, c.after)
			if c.isComplete {
				batch = newBatch(20, writtenRow("a", "x", 3))
			}
			reader.Apply(batch, c.isComplete, atMillisecond(600), atMillisecond(600))
			require.True(t, relay.ApplyShare(shareFrom(reader, 5, atMillisecond(600)), 0, atMillisecond(600)))

			require.False(t, peer.ApplyShare(shareFrom(relay, 10, atMillisecond(700)), 0, atMillisecond(700)))
			require.True(t, peer.NeedsWholeList())
			require.True(t, peer.ApplyShare(shareFrom(relay, 0, atMillisecond(800)), 0, atMillisecond(800)))
			require.Equal(t, reader.servers(), peer.servers())
		})
	}
}

// Guards against a row of a peer's whole list that is dropped because this entry knows a
// later state of it: the peer does not get heartbeats, so that its row has an older version.
func TestRowOfAWholeListReplacesALaterState(t *testing.T) {
	for name, seen := range map[string]clementineturn.Change{"removed": removedRow("a", 10), "changed": writtenRow("a", "z", 10)} {
		t.Run(name, func(t *testing.T) {
			sender, l := newTestServerList(), newTestServerList()
			rows := newBatch(5, writtenRow("a", "x", 3), writtenRow("b", "y", 4))
			l.Apply(rows, true, atMillisecond(0), atMillisecond(0))
			l.Apply(newBatch(11, seen, writtenRow("b", "y", 11)), false, atMillisecond(500), atMillisecond(500))
			// Row a was written again at version 20, which the sender has as a heartbeat.
			sender.Apply(newBatch(20, rows.Changes()...), true, atMillisecond(600), atMillisecond(600))
			require.True(t, l.ApplyShare(shareFrom(sender, 0, atMillisecond(700)), 0, atMillisecond(700)))
			require.Equal(t, map[string]string{"a": "x", "b": "y"}, l.servers())
			require.Equal(t, 2, l.directory.Len())
			require.Equal(t, uint64(20), l.rows["a"].change.Version(), "the row is newer than what was known")
			require.Equal(t, uint64(11), l.rows["b"].change.Version(), "a heartbeat of the same row stays")
		})
	}
}

// Guards against a message with rows that are newer than the version that it states: the
// receiver passed the list on as that of a version that it was not at.
func TestMessageStatesTheVersionOfItsRows(t *testing.T) {
	l := newTestServerList()
	l.Apply(newBatch(5, writtenRow("a", "x", 3)), true, atMillisecond(0), atMillisecond(0))
	changes := []clementineturn.Change{writtenRow("b", "y", 9)}
	syncer := New(Config{
		Name: "e1", Address: "e1", Table: &clemroute.Table{}, Directory: l.directory,
		// The list changes while the message is made.
		IsDraining: func() bool {
			l.Apply(newBatch(9, changes...), false, atMillisecond(500), atMillisecond(500))
			return false
		},
	})
	syncer.servers = l
	syncer.peers.add("e2", testStart)
	syncer.peers.recordShare(&clemwire.Share{Address: "e2", Name: "e2", View: 4, Lacks: true}, 0, testStart)
	share := syncer.newShare("e2")
	require.NotEmpty(t, share.GetRows())
	for _, row := range share.GetRows() {
		require.LessOrEqual(t, row.GetVersion(), share.GetView(), row.GetKey())
	}
}

// modelStore is a store whose feed has each changed row once, in its latest state.
type modelStore struct{ log []clementineturn.Change }

func (s *modelStore) version() uint64 { return uint64(len(s.log)) + 1 }

func (s *modelStore) put(key, value string) {
	s.log = append(s.log, writtenRow(key, value, s.version()+1))
}

func (s *modelStore) remove(key string) {
	s.log = append(s.log, removedRow(key, s.version()+1))
}

// latest returns the last change of each row after one version and up to another, in order.
func (s *modelStore) latest(after, upTo uint64) []clementineturn.Change {
	byKey := map[string]clementineturn.Change{}
	for _, change := range s.log {
		if change.Version() > after && change.Version() <= upTo {
			byKey[change.Key()] = change
		}
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b clementineturn.Change) int { return int(a.Version()) - int(b.Version()) })
}

// present returns the rows that there are at the version.
func (s *modelStore) present(version uint64) []clementineturn.Change {
	return slices.DeleteFunc(s.latest(0, version), clementineturn.Change.Removed)
}

// servers returns the servers that the list has, with their addresses.
func (l *serverList) servers() map[string]string {
	servers := map[string]string{}
	for id, r := range l.rows {
		if !r.change.Removed() {
			servers[id] = r.record.Address()
		}
	}
	return servers
}

// An entry whose list is at a version of the store has the rows of that version, whichever
// entries it has them from and whatever these did not see of the changes before.
func TestListIsThatOfItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{}
		lists := []*serverList{newTestServerList(), newTestServerList(), newTestServerList()}
		ms := 0
		list := rapid.IntRange(0, len(lists)-1)
		key := rapid.SampledFrom([]string{"a", "b"})
		// pending are responses of the store and messages of peers that have not arrived.
		var pending []func()
		deliver := func(t *rapid.T, apply func()) {
			if rapid.Bool().Draw(t, "is delayed") {
				pending = append(pending, apply)
				return
			}
			apply()
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				store.put(key.Draw(t, "key"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "value"))
			},
			"remove": func(t *rapid.T) { store.remove(key.Draw(t, "key")) },
			"read": func(t *rapid.T) {
				l := lists[list.Draw(t, "list")]
				version, _ := l.StoreVersion(atMillisecond(ms))
				isComplete := version == 0 || rapid.Bool().Draw(t, "is complete")
				batch := newBatch(store.version(), store.latest(version, store.version())...)
				if isComplete {
					batch = newBatch(store.version(), store.present(store.version())...)
				}
				deliver(t, func() { l.Apply(batch, isComplete, atMillisecond(ms), atMillisecond(ms)) })
			},
			"send": func(t *rapid.T) {
				from, to := list.Draw(t, "from"), list.Draw(t, "to")
				known, _ := lists[to].StoreVersion(atMillisecond(ms))
				if version, _ := lists[from].StoreVersion(atMillisecond(ms)); version > known {
					share := shareFrom(lists[from], known, atMillisecond(ms))
					deliver(t, func() { lists[to].ApplyShare(share, 0, atMillisecond(ms)) })
				}
			},
			"arrive": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("nothing is pending")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "pending")
				apply := pending[i]
				pending = slices.Delete(pending, i, i+1)
				apply()
			},
			"restart": func(t *rapid.T) { lists[list.Draw(t, "list")] = newTestServerList() },
			"": func(t *rapid.T) {
				ms += 10
				for i, l := range lists {
					version, _ := l.StoreVersion(atMillisecond(ms))
					if version == 0 {
						continue
					}
					want := map[string]string{}
					for _, change := range store.present(version) {
						want[change.Key()] = string(change.Value())
					}
					if got := l.servers(); !maps.Equal(got, want) {
						t.Fatalf("list %d at version %d has the servers %v, the store has %v", i, version, got, want)
					}
				}
			},
		})
	})
}
