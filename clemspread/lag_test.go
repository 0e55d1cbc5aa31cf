package clemspread

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
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

// Guards against a configuration that comes into force late at an entry without the store
// while versions follow each other more quickly than the wait before a request to a peer
// (issue 55, CONFIG). Two seconds is the bound of the platform's pages.
func TestConfigurationsInQuickSuccessionReachEntriesWithoutStore(t *testing.T) {
	const (
		bound = 2 * time.Second
		storm = 8 * time.Second
	)
	for _, gap := range []time.Duration{80 * time.Millisecond, 200 * time.Millisecond, 280 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			runTest(t, func(ctx context.Context, n *network, store *fakeStore) {
				for _, name := range []string{"a", "c", "d", "e"} {
					n.start(ctx, name, store)
				}
				hanging := newFakeStore()
				hanging.setHanging(true)
				e := n.start(ctx, "b", hanging, "a")
				time.Sleep(5 * time.Second)
				inForceBy := map[uint64]time.Time{}
				for version := uint64(2); version < 2+uint64(storm/gap); version++ {
					store.set(clementineturn.SectionOperator, "config", string([]byte{'0' + byte(version)}))
					inForceBy[version] = time.Now().Add(bound)
					time.Sleep(gap)
					for acknowledged, by := range inForceBy {
						if time.Now().After(by) {
							require.GreaterOrEqual(t, e.config.Table.Version(), acknowledged, "%s after the first change", time.Duration(version-1)*gap)
						}
					}
				}
			})
		})
	}
}
