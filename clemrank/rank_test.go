package clemrank

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

func pool(n int) []*clemwire.Host {
	hosts := make([]*clemwire.Host, n)
	for i := range hosts {
		hosts[i] = &clemwire.Host{Name: fmt.Sprintf("s%02d", i)}
	}
	return hosts
}

func chat(i int) clementineturn.RoutingKey {
	return clementineturn.NewRoutingKey("p", fmt.Sprintf("o%d", i%7), uint64(i))
}

// Every ranker returns each host exactly once.
func TestRankersReturnEveryHost(t *testing.T) {
	rankers := map[string]clementineturn.Ranker{
		"rendezvous":  New(Config{}),
		"random":      NewRandom(1),
		"round robin": &RoundRobin{},
		"least":       NewLeastLoaded(LeastLoadedConfig{Load: func(string) uint64 { return 0 }}),
		"ring":        NewRing(RingConfig{Points: 16}),
	}
	for name, ranker := range rankers {
		for _, n := range []int{0, 1, 18} {
			hosts := pool(n)
			require.ElementsMatch(t, hosts, ranker.Rank(chat(3), hosts), "%s of %d", name, n)
		}
	}
}

func TestRendezvousMostIsPrefixOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := pool(rapid.IntRange(0, 40).Draw(t, "hosts"))
		limit := rapid.IntRange(1, 12).Draw(t, "most")
		work := chat(rapid.IntRange(0, 1<<30).Draw(t, "chat"))
		all := New(Config{}).Rank(work, hosts)
		require.Equal(t, all[:min(limit, len(hosts))], New(Config{MaxHosts: limit}).Rank(work, hosts))
		slices.Reverse(hosts)
		require.Equal(t, all, New(Config{}).Rank(work, hosts), "the order of the list does not matter")
	})
}

// When a host is removed, only its own chats move, each to its second choice.
func TestRemovingAHostMovesOnlyItsChats(t *testing.T) {
	const chats = 18_000
	hosts := pool(18)
	ranker := New(Config{MaxHosts: 2})
	left := slices.Delete(slices.Clone(hosts), 4, 5)
	moved := 0
	for i := range chats {
		before, after := ranker.Rank(chat(i), hosts), ranker.Rank(chat(i), left)
		if before[0] != hosts[4] {
			require.Equal(t, before[0], after[0])
			continue
		}
		moved++
		require.Equal(t, before[1], after[0])
	}
	require.InDelta(t, chats/18, moved, 0.1*chats/18)
}

func TestLeastLoadedRanksLowestLoadFirst(t *testing.T) {
	hosts := pool(3)
	loads := map[string]uint64{"s00": 5, "s01": 1, "s02": 3}
	ranked := NewLeastLoaded(LeastLoadedConfig{Load: func(name string) uint64 { return loads[name] }}).Rank(chat(0), hosts)
	require.Equal(t, []*clemwire.Host{hosts[1], hosts[2], hosts[0]}, ranked)
}

// BenchmarkRendezvous ranks the hosts of one data centre, and 3,003 hosts in
// ten regions, the pool size to design for, with and without a region.
func BenchmarkRendezvous(b *testing.B) {
	wide := pool(3003)
	for i, host := range wide {
		host.Region = fmt.Sprintf("r%d", i%10)
	}
	for name, bench := range map[string]struct {
		config Config
		hosts  []*clemwire.Host
	}{
		"centre": {Config{MaxHosts: 8}, pool(308)},
		"fleet":  {Config{MaxHosts: 8}, wide},
		"region": {Config{MaxHosts: 8, Region: "r3"}, wide},
	} {
		b.Run(name, func(b *testing.B) {
			ranker := New(bench.config)
			b.ReportAllocs()
			for i := range b.N {
				ranker.Rank(chat(i), bench.hosts)
			}
		})
	}
}

// Hosts of other regions rank after all hosts of the own region, whose order
// does not depend on the region setting.
func TestRendezvousOwnRegionFirst(t *testing.T) {
	hosts := pool(18)
	var near []*clemwire.Host
	for i, host := range hosts {
		host.Region = []string{"bengal", "sierra"}[i%2]
		if host.Region == "bengal" {
			near = append(near, host)
		}
	}
	for i := range 100 {
		work := chat(i)
		wanted := New(Config{}).Rank(work, near)
		ranked := New(Config{Region: "bengal"}).Rank(work, hosts)
		require.Equal(t, wanted, ranked[:len(near)])
		require.ElementsMatch(t, hosts, ranked)
		require.Equal(t, wanted[:4], New(Config{Region: "bengal", MaxHosts: 4}).Rank(work, hosts))
		require.Equal(t, ranked[:12], New(Config{Region: "bengal", MaxHosts: 12}).Rank(work, hosts))
	}
}
