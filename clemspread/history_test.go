package clemspread

import (
	"testing"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Guards against a row that is taken for a heartbeat although it was removed and written again
// since the sender's last read: a peer that had read the removal never got the server back.
func TestRowThatWasRemovedAndWrittenAgainIsSent(t *testing.T) {
	sender, peer := newTestServerList(), newTestServerList()
	for _, l := range []*serverList{sender, peer} {
		l.Apply(newBatch(5, writtenRow("a", "x", 3)), true, atMillisecond(0), atMillisecond(0))
	}
	peer.Apply(newBatch(10, removedRow("a", 10)), false, atMillisecond(500), atMillisecond(500))
	early := shareFrom(sender, 5, atMillisecond(550))
	sender.Apply(newBatch(20, writtenRow("a", "x", 20)), false, atMillisecond(600), atMillisecond(600))

	require.False(t, peer.ApplyShare(early, 0, atMillisecond(650)), "the list is newer")
	require.False(t, peer.ApplyShare(shareFrom(sender, 5, atMillisecond(650)), 0, atMillisecond(650)), "the changes after version 5 have no heartbeats")
	require.True(t, peer.ApplyShare(shareFrom(sender, 10, atMillisecond(700)), 0, atMillisecond(700)))
	require.Equal(t, map[string]string{"a": "x"}, peer.servers())
	require.Equal(t, 1, peer.directory.Len())
}

// Guards against changes that are sent by an entry that got them from a peer: it has neither
// the heartbeats nor the rows that were written and removed between the peer's two versions.
func TestVersionsThatAPeerSkippedAreNotCovered(t *testing.T) {
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

			require.Zero(t, relay.ChangesBase(10))
			require.Equal(t, uint64(5), relay.ChangesBase(5))
			share := shareFrom(relay, 10, atMillisecond(700))
			require.Zero(t, share.GetSince(), "it is sent the whole list")
		})
	}
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
