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

// runWithRouters runs the test with sidecars that are members for each other.
func runWithRouters(t *testing.T, servers []string, test func(t *testing.T, f *fleet)) {
	runWithFleet(t, servers, func(t *testing.T, f *fleet) {
		for _, n := range f.nodes {
			n.setMembers(servers...)
		}
		test(t, f)
	})
}

// owner returns the sidecar that owns the key's bucket.
func (f *fleet) owner(key string) *node {
	for _, n := range f.nodes {
		return f.nodes[n.router.ownersOf(bucketOf("shishu", key, DefaultBuckets))[0].GetName()]
	}
	return nil
}

func TestRouterSubmitsToOneLedger(t *testing.T) {
	runWithRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		for i := range 50 {
			key := fmt.Sprint(i)
			for _, n := range f.nodes {
				_, err := n.router.Claim(t.Context(), claimOfKey(key))
				require.NoError(t, err)
			}
			require.NoError(t, f.nodes["a"].router.Advance(t.Context(), mustFindHeld(t, f, key, stateDone)))
			found, err := f.nodes["b"].router.Lookup(t.Context(), "shishu", key)
			require.NoError(t, err)
			require.Equal(t, stateDone, found.GetState())
			_, err = f.nodes["c"].router.Lookup(t.Context(), "shishu", "no "+key)
			require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound))
		}
		// One insert and one update per key, and the row with the number of
		// buckets.
		_, writes := f.table.Counts()
		require.EqualValues(t, 101, writes)
	})
}

func mustFindHeld(t *testing.T, f *fleet, key string, next clemwire.ClaimState) *clemwire.Record {
	t.Helper()
	found, err := f.nodes["c"].router.Lookup(t.Context(), "shishu", key)
	require.NoError(t, err)
	require.Equal(t, stateHeld, found.GetState())
	return &clemwire.Record{Claim: found.GetClaim(), State: next}
}

// The owner of the bucket is suspended: the second in rank serves the bucket, and
// later claims do not wait for the owner.
func TestRouterAvoidsSuspendedOwner(t *testing.T) {
	runWithRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		owner := f.owner("k")
		owner.suspended.Store(true)
		var other *node
		for _, n := range f.nodes {
			if n != owner {
				other = n
			}
		}
		require.NoError(t, other.mustAcquire(t, offer("k", "1", "cot")).Begin())
		start := time.Now()
		other.requireRefused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
		require.Less(t, time.Since(start), time.Second)
		// A sidecar that stays suspended is tried less and less often.
		slow := 0
		for range 600 {
			time.Sleep(time.Second)
			start := time.Now()
			other.requireRefused(t, offer("k", "2", "cot"), clementineturn.KindInProgress, false)
			if time.Since(start) > time.Second {
				slow++
			}
		}
		require.Less(t, slow, 15)
		owner.suspended.Store(false)
		time.Sleep(maxAvoidDuration)
		found, err := owner.router.Lookup(t.Context(), "shishu", "k")
		require.NoError(t, err)
		require.Equal(t, "1", found.GetClaim().GetToken())
	})
}

// An owner that is slow because of the table is not avoided.
func TestRouterWaitsForSlowTable(t *testing.T) {
	runWithRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		f.table.Inject(clemstandin.TableFaults{Delay: 1500 * time.Millisecond})
		for i := range 4 {
			key := fmt.Sprint(i)
			for _, n := range f.nodes {
				_, err := n.router.Claim(t.Context(), claimOfKey(key))
				require.NoError(t, err)
				require.Empty(t, n.router.avoided)
			}
		}
	})
}

// The owner's answer is lost after its ledger got the claim, and the claim is
// also submitted to the second in rank.
func TestRouterLostAnswer(t *testing.T) {
	runWithRouters(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		for i := range 20 {
			key := fmt.Sprint(i)
			owner := f.owner(key)
			owner.losesAnswers.Store(true)
			for _, n := range f.nodes {
				clear(n.router.avoided)
			}
			grant := f.nodes["a"].mustAcquire(t, offer(key, key, "cot"))
			require.NoError(t, grant.Begin())
			require.NoError(t, grant.Complete(t.Context(), outcome("booked")))
			owner.losesAnswers.Store(false)
		}
	})
}

// No owner of the bucket can be reached; then no member is known, and the ledger
// of the sidecar itself is used.
func TestRouterWithoutOwner(t *testing.T) {
	runWithFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		f.nodes["a"].setMembers("x", "y")
		f.nodes["a"].requireRefused(t, offer("k", "1", "cot"), clementineturn.KindUnavailable, true)
		f.nodes["a"].setMembers()
		f.nodes["a"].mustAcquire(t, offer("k", "2", "cot"))
	})
}

// The second in rank refuses a claim as not written while the request to the
// first may still take effect: the outcome is unknown.
func TestRouterKeepsUnknownOutcome(t *testing.T) {
	runWithRouters(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		owner := f.owner("k")
		other := f.nodes["a"]
		if owner == other {
			other = f.nodes["b"]
		}
		owner.suspended.Store(true)
		f.table.Inject(clemstandin.TableFaults{Down: true})
		_, err := other.router.Claim(t.Context(), claimOfKey("k"))
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnknown), "%v", err)
		require.False(t, clementineturn.IsNotRun(err))
	})
}

// The first in rank may have received the claim, and the second cannot be
// reached: the outcome is unknown.
func TestRouterUnknownOutcomeWithoutAnswer(t *testing.T) {
	runWithFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		f.nodes["b"].suspended.Store(true)
		f.nodes["a"].setMembers("b", "gone")
		for i := range 8 {
			_, err := f.nodes["a"].router.Claim(t.Context(), claimOfKey(fmt.Sprint(i)))
			require.True(t, clementineturn.IsKind(err, clementineturn.KindUnknown), "%v", err)
		}
	})
}

// If a member leaves, only its buckets get another owner.
func TestRankMovesFewBuckets(t *testing.T) {
	var hosts []*clemwire.Host
	for i := range 100 {
		hosts = append(hosts, &clemwire.Host{Name: fmt.Sprint(i), Role: sidecarRole})
	}
	hosts = append(hosts, &clemwire.Host{Name: "entry", Role: "entry"})
	before := rankOwners(clemboard.NewMembers(hosts), 1000)
	after := rankOwners(clemboard.NewMembers(hosts[1:]), 1000)
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
