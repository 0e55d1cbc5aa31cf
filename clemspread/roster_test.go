package clemspread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

// Removing a peer must not hide an address that was not yet sent to another one.
func TestRemovedPeerDoesNotHideUnsentAddress(t *testing.T) {
	now := time.Now()
	table := newPeerTable("own", "")
	table.add("a", now)
	table.add("b", now)
	require.Equal(t, []string{"a", "b"}, table.takeUnsentAddresses("b"))
	table.add("c", now)
	table.remove("a")
	require.Equal(t, []string{"c"}, table.takeUnsentAddresses("b"))
	require.Empty(t, table.takeUnsentAddresses("b"))
}

// A peer serves requests while it is active, holds a configuration and does not drain.
func TestLeavingPeerDoesNotServe(t *testing.T) {
	peers := newPeerTable("a", "")
	now := time.Unix(1_700_000_000, 0)
	require.False(t, peers.hasServingPeer(now))
	for _, c := range []struct {
		share  *clemwire.Share
		serves bool
	}{
		{&clemwire.Share{Address: "b"}, false},
		{&clemwire.Share{Address: "b", Version: 1}, true},
		{&clemwire.Share{Address: "b", Version: 1, Leaving: true}, false},
		{&clemwire.Share{Address: "c", Version: 1}, true},
		{&clemwire.Share{Address: "c", Version: 1, Leaving: true}, false},
		{&clemwire.Share{Address: "b", Version: 1}, true},
	} {
		peers.recordShare(c.share, 0, now)
		require.Equal(t, c.serves, peers.hasServingPeer(now))
	}
	require.False(t, peers.hasServingPeer(now.Add(activeTimeout)))
}
