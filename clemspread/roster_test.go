package clemspread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Removing a peer must not hide an address that was not yet sent to another one.
func TestRemovedPeerDoesNotHideUnsentAddress(t *testing.T) {
	now := time.Now()
	table := newPeerTable("own")
	table.add("a", now)
	table.add("b", now)
	require.Equal(t, []string{"a", "b"}, table.takeUnsentAddresses("b"))
	table.add("c", now)
	table.remove("a")
	require.Equal(t, []string{"c"}, table.takeUnsentAddresses("b"))
	require.Empty(t, table.takeUnsentAddresses("b"))
}
