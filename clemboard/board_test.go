package clemboard

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

func TestNilMembers(t *testing.T) {
	members := New().Members().Get()
	require.Nil(t, members.Host("a"))
	require.Nil(t, members.Known("a"))
	require.Empty(t, members.Pool("p"))
	require.Empty(t, members.Hosts())
}

// TestMembersInactive checks that a leaving and an added inactive host are known
// but are not members, and that WithKnown does not modify its receiver.
func TestMembersInactive(t *testing.T) {
	leaving, drained := &clemwire.Host{Name: "l", Pool: "p", Leaving: true}, &clemwire.Host{Name: "h", Pool: "p"}
	first := NewMembers([]*clemwire.Host{{Name: "a", Pool: "p"}, leaving})
	members := first.WithKnown([]*clemwire.Host{drained})
	require.Len(t, members.Pool("p"), 1)
	require.Nil(t, members.Host("l"))
	require.Same(t, leaving, members.Known("l"))
	require.Same(t, drained, members.Known("h"))
	require.NotNil(t, members.Known("a"))
	require.Nil(t, first.Known("h"))
}
