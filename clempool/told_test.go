package clempool

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// An entry that is cut off from its peers must not refuse requests because of
// load that they reported long ago.
func TestPeerStatsExpireAtIsolatedEntry(t *testing.T) {
	d := newEntries(1, 2, 4)[0]
	busy := map[string]ServerStats{}
	for n := range 2 {
		busy[newRecord(n, 4).ID()] = ServerStats{Running: 12, PendingTokens: 100_000, Failures: 1}
	}
	d.SetPeerStats("other", busy, epoch, peerStatsTTL)
	request := Request{Service: "pool", Idempotent: true}
	_, err := d.Acquire(request, epoch.Add(peerStatsTTL/2))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded), "full according to the report of a peer: %v", err)

	lease, err := d.Acquire(request, epoch.Add(2*peerStatsTTL))
	require.NoError(t, err)
	require.Zero(t, lease.Load())
	require.Zero(t, lease.PrefillWait())
	for _, s := range d.servers {
		require.Zero(t, s.health.peers)
	}
}

// The peer counts of a server are the sum of the latest reports that have not
// expired, whatever came in between: new reports, expiry, servers removed and
// added again.
func TestPeerStatsAreTheSumOfLatestReports(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 7))
	d := newEntries(1, 6, 128)[0]
	now := epoch
	for range 2000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		switch n := rng.IntN(6); rng.IntN(8) {
		case 0:
			d.Remove(newRecord(n, 128).ID())
		case 1:
			d.Put(newRecord(n, 128))
		default:
			stats := map[string]ServerStats{}
			for n := range 6 {
				if rng.IntN(3) > 0 {
					stats[newRecord(n, 128).ID()] = ServerStats{
						Running: rng.IntN(50), PendingTokens: rng.IntN(5000), Successes: float64(rng.IntN(900)) / 100, Failures: float64(rng.IntN(90)) / 100,
					}
				}
			}
			d.SetPeerStats(strconv.Itoa(rng.IntN(5)), stats, now, peerStatsTTL)
		}
		d.LocalStats(now)
		for id, s := range d.servers {
			running, pending, successes, failures := 0, 0, 0.0, 0.0
			for _, peer := range d.peers {
				if !now.After(peer.expires) {
					stats := peer.servers[id]
					running, pending = running+stats.Running, pending+stats.PendingTokens
					successes, failures = successes+stats.Successes, failures+stats.Failures
				}
			}
			require.Equal(t, running, s.peerRunning)
			require.Equal(t, pending, s.peerPendingTokens)
			require.InDelta(t, successes, s.health.peers.successes, 1e-6)
			require.InDelta(t, failures, s.health.peers.failures, 1e-6)
		}
	}
}

// In a large fleet a cached part is reported only if its server is not the
// first in the chat's rendezvous order.
func TestLargeFleetLogsOnlyNonPreferredServers(t *testing.T) {
	d := newEntries(1, 100, 128)[0]
	for n := range LargeFleetSize {
		d.SetPeerStats(strconv.Itoa(n), nil, epoch, peerStatsTTL)
	}
	preferred := 0
	for chat := range uint64(200) {
		before, _ := d.CacheUpdates(0)
		lease, err := d.Acquire(prompt(chat, 500), epoch)
		require.NoError(t, err)
		after, _ := d.CacheUpdates(0)
		if lease.Rank() == 0 {
			preferred++
			require.Len(t, after, len(before))
		}
	}
	require.Positive(t, preferred)
}

// The total number of tracked parts is bounded, whatever the number of servers.
func TestCachedPartsAreBounded(t *testing.T) {
	const servers = 2000
	d := newEntries(1, servers, 128)[0]
	for n := range servers {
		for part := range uint64(200) {
			d.AddPeerCacheUpdates(newRecord(n, 128).ID(), []uint64{part}, epoch)
		}
	}
	all := 0
	for _, s := range d.servers {
		all += len(s.cached)
	}
	require.LessOrEqual(t, all, maxCachedTotal)
}
