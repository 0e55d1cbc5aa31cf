package clemclaim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// inRouters runs the test with sidecars that know each other.
func inRouters(t *testing.T, servers []string, test func(t *testing.T, f *fleet)) {
	inFleet(t, servers, func(t *testing.T, f *fleet) {
		for _, n := range f.nodes {
			n.members(servers...)
		}
		test(t, f)
	})
}

// owner returns the sidecar that serves the key's bucket.
func (f *fleet) owner(key string) *node {
	for _, n := range f.nodes {
		return f.nodes[n.router.ranked(bucketOf("shishu", key, DefaultBuckets))[0].GetName()]
	}
	return nil
}

func TestRouterMeetsAtOneLedger(t *testing.T) {
	inRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		for i := range 50 {
			key := fmt.Sprint(i)
			for _, n := range f.nodes {
				_, err := n.router.Claim(t.Context(), keyed(key))
				require.NoError(t, err)
			}
			require.NoError(t, f.nodes["a"].router.Advance(t.Context(), mustFind(t, f, key, stateDone)))
			found, err := f.nodes["b"].router.Lookup(t.Context(), "shishu", key)
			require.NoError(t, err)
			require.Equal(t, stateDone, found.GetState())
			_, err = f.nodes["c"].router.Lookup(t.Context(), "shishu", "no "+key)
			require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound))
		}
		// One insert and one update for each key, and the number of buckets.
		_, writes := f.table.Counts()
		require.EqualValues(t, 101, writes)
	})
}

func mustFind(t *testing.T, f *fleet, key string, next clemwire.ClaimState) *clemwire.Record {
	t.Helper()
	found, err := f.nodes["c"].router.Lookup(t.Context(), "shishu", key)
	require.NoError(t, err)
	require.Equal(t, stateHeld, found.GetState())
	return &clemwire.Record{Claim: found.GetClaim(), State: next}
}

// The sidecar that serves the bucket is suspended. The second in rank takes
// over, and further claims do not wait for the first.
func TestRouterPassesOverFrozenOwner(t *testing.T) {
	inRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		owner := f.owner("k")
		owner.frozen.Store(true)
		var other *node
		for _, n := range f.nodes {
			if n != owner {
				other = n
			}
		}
		require.NoError(t, other.acquire(t, offer("k", "1", "cot")).Begin())
		start := time.Now()
		other.refused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		require.Less(t, time.Since(start), time.Second)
		// A sidecar that stays frozen is asked less and less often.
		slow := 0
		for range 600 {
			time.Sleep(time.Second)
			start := time.Now()
			other.refused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
			if time.Since(start) > time.Second {
				slow++
			}
		}
		require.Less(t, slow, 15)
		owner.frozen.Store(false)
		time.Sleep(avoidMost)
		found, err := owner.router.Lookup(t.Context(), "shishu", "k")
		require.NoError(t, err)
		require.Equal(t, "1", found.GetClaim().GetToken())
	})
}

// A slow table is no reason to pass steps to another sidecar.
func TestRouterWaitsForSlowTable(t *testing.T) {
	inRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		f.table.Inject(clemstandin.TableFaults{Delay: 1500 * time.Millisecond})
		for i := range 4 {
			key := fmt.Sprint(i)
			for _, n := range f.nodes {
				_, err := n.router.Claim(t.Context(), keyed(key))
				require.NoError(t, err)
				require.Empty(t, n.router.avoid)
			}
		}
	})
}

// The answer is lost after the ledger got the claim, and the second in rank
// gets it, too.
func TestRouterLostAnswer(t *testing.T) {
	inRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		for i := range 20 {
			key := fmt.Sprint(i)
			owner := f.owner(key)
			owner.lossy.Store(true)
			for _, n := range f.nodes {
				clear(n.router.avoid)
			}
			grant := f.nodes["a"].acquire(t, offer(key, key, "cot"))
			require.NoError(t, grant.Begin())
			require.NoError(t, grant.Finish(t.Context(), outcome("booked")))
			owner.lossy.Store(false)
		}
	})
}

// No ledger that serves the bucket can be reached.
func TestRouterWithoutOwner(t *testing.T) {
	inFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		f.nodes["a"].members("x", "y")
		f.nodes["a"].refused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
		f.nodes["a"].members()
		f.nodes["a"].acquire(t, offer("k", "2", "cot"))
	})
}

// A refusal as not written is not passed on while an earlier request for the
// same step may still arrive.
func TestRouterKeepsDoubt(t *testing.T) {
	inRouters(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		owner := f.owner("k")
		other := f.nodes["a"]
		if owner == other {
			other = f.nodes["b"]
		}
		owner.frozen.Store(true)
		f.table.Inject(clemstandin.TableFaults{Down: true})
		_, err := other.router.Claim(t.Context(), keyed("k"))
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnknown), "%v", err)
		require.False(t, clementineturn.IsNotRun(err))
	})
}

// The first in rank may have got the claim, and the second cannot be reached.
func TestRouterKeepsDoubtOfUnanswered(t *testing.T) {
	inFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		f.nodes["b"].frozen.Store(true)
		f.nodes["a"].members("b", "gone")
		for i := range 8 {
			_, err := f.nodes["a"].router.Claim(t.Context(), keyed(fmt.Sprint(i)))
			require.True(t, clementineturn.IsKind(err, clementineturn.KindUnknown), "%v", err)
		}
	})
}

// A lost member moves its own buckets only.
func TestRankMovesFewBuckets(t *testing.T) {
	var hosts []*clemwire.Host
	for i := range 100 {
		hosts = append(hosts, &clemwire.Host{Name: fmt.Sprint(i), Role: sidecarRole})
	}
	hosts = append(hosts, &clemwire.Host{Name: "entry", Role: "entry"})
	before := rank(clemboard.NewMembers(hosts), 1000)
	after := rank(clemboard.NewMembers(hosts[1:]), 1000)
	counts := map[string]int{}
	for bucket, owners := range before {
		require.Len(t, owners, 2)
		counts[owners[0].GetName()]++
		if owners[0].GetName() == "0" {
			require.Equal(t, owners[1].GetName(), after[bucket][0].GetName())
			continue
		}
		require.Equal(t, owners[0].GetName(), after[bucket][0].GetName())
	}
	require.Zero(t, counts["entry"])
	for name, n := range counts {
		require.Less(t, n, 30, name)
	}
}
