package clemboard

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

func TestNilMembers(t *testing.T) {
	members := New().Members().Get()
	require.Nil(t, members.Host("a"))
	require.Nil(t, members.AnyHost("a"))
	require.Empty(t, members.Pool("p"))
	require.Empty(t, members.Hosts())
}

// TestMembersInactive checks that a leaving and an added inactive host are known
// but are not members, and that WithInactive does not modify its receiver.
func TestMembersInactive(t *testing.T) {
	leaving, drained := &clemwire.Host{Name: "l", Pool: "p", Leaving: true}, &clemwire.Host{Name: "h", Pool: "p"}
	first := NewMembers([]*clemwire.Host{{Name: "a", Pool: "p"}, leaving})
	members := first.WithInactive([]*clemwire.Host{drained})
	require.Len(t, members.Pool("p"), 1)
	require.Nil(t, members.Host("l"))
	require.Same(t, leaving, members.AnyHost("l"))
	require.Same(t, drained, members.AnyHost("h"))
	require.NotNil(t, members.AnyHost("a"))
	require.Nil(t, first.AnyHost("h"))
}
