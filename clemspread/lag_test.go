package clemspread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A configuration that an entry lacks is logged once, with the first and the highest version
// that peers reported since.
func TestLateConfigurationIsLoggedOnce(t *testing.T) {
	start := time.Now()
	lag := &configurationLag{}
	lag.recordPeer(4, 4, "a", start)
	require.Zero(t, lag.duration(4, start.Add(time.Minute)))
	lag.recordPeer(4, 5, "a", start)
	lag.recordPeer(4, 7, "b", start.Add(lateConfiguration/2))
	lag.recordRequest()
	require.Nil(t, lag.takeLate(4, start.Add(lateConfiguration-1)))
	fields := lag.takeLate(4, start.Add(lateConfiguration))
	require.Equal(t, []int64{4, 5, 7}, []int64{fields[0].Integer, fields[1].Integer, fields[2].Integer})
	require.Equal(t, "b", fields[3].String)
	require.Nil(t, lag.takeLate(4, start.Add(time.Minute)))
	require.Zero(t, lag.duration(5, start.Add(time.Minute)), "what was awaited is in force")
	lag.recordPeer(5, 7, "b", start.Add(time.Minute))
	require.NotNil(t, lag.takeLate(5, start.Add(2*time.Minute)))
}
