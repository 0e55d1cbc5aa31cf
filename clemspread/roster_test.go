package clemspread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An entry that is forgotten must not hide one that was not named yet.
func TestForgottenEntryHidesNoOther(t *testing.T) {
	now := time.Now()
	r := newRoster("own")
	r.add("a", now)
	r.add("b", now)
	require.Equal(t, []string{"a", "b"}, r.name("b"))
	r.add("c", now)
	r.forget("a")
	require.Equal(t, []string{"c"}, r.name("b"))
	require.Empty(t, r.name("b"))
}
