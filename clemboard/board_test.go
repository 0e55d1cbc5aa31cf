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

// TestMembersInactive checks that AnyHost finds a draining host and an added
// inactive one, that neither is active, and that WithInactive does not modify
// its receiver.
func TestMembersInactive(t *testing.T) {
	draining, inactive := &clemwire.Host{Name: "l", Pool: "p", Leaving: true}, &clemwire.Host{Name: "h", Pool: "p"}
	first := NewMembers([]*clemwire.Host{{Name: "a", Pool: "p"}, draining})
	members := first.WithInactive([]*clemwire.Host{inactive})
	require.Len(t, members.Pool("p"), 1)
	require.Nil(t, members.Host("l"))
	require.Same(t, draining, members.AnyHost("l"))
	require.Same(t, inactive, members.AnyHost("h"))
	require.NotNil(t, members.AnyHost("a"))
	require.Nil(t, first.AnyHost("h"))
}
