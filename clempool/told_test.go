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
	busy := map[string]Standing{}
	for n := range 2 {
		busy[newRecord(n, 4).ID()] = Standing{Running: 12, Unread: 100_000, Failed: 1}
	}
	d.Tell("other", busy, epoch, peerStatsTTL)
	request := Want{Service: "pool", Idempotent: true}
	_, err := d.Take(request, epoch.Add(peerStatsTTL/2))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded), "full according to the report of another entry: %v", err)

	lease, err := d.Take(request, epoch.Add(2*peerStatsTTL))
	require.NoError(t, err)
	require.Zero(t, lease.Load())
	require.Zero(t, lease.Wait())
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
			stats := map[string]Standing{}
			for n := range 6 {
				if rng.IntN(3) > 0 {
					stats[newRecord(n, 128).ID()] = Standing{
						Running: rng.IntN(50), Unread: rng.IntN(5000), Good: float64(rng.IntN(900)) / 100, Failed: float64(rng.IntN(90)) / 100,
					}
				}
			}
			d.Tell(strconv.Itoa(rng.IntN(5)), stats, now, peerStatsTTL)
		}
		d.Standings(now)
		for id, s := range d.servers {
			running, pending, successes, failures := 0, 0, 0.0, 0.0
			for _, peer := range d.peers {
				if !now.After(peer.expires) {
					stats := peer.servers[id]
					running, pending = running+stats.Running, pending+stats.Unread
					successes, failures = successes+stats.Good, failures+stats.Failed
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
	for n := range Crowd {
		d.Tell(strconv.Itoa(n), nil, epoch, peerStatsTTL)
	}
	preferred := 0
	for chat := range uint64(200) {
		before, _ := d.News(0)
		lease, err := d.Take(prompt(chat, 500), epoch)
		require.NoError(t, err)
		after, _ := d.News(0)
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
			d.TellKept(newRecord(n, 128).ID(), []uint64{part}, epoch)
		}
	}
	all := 0
	for _, s := range d.servers {
		all += len(s.cached)
	}
	require.LessOrEqual(t, all, maxCachedTotal)
}
