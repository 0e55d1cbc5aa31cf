package clempool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwait"
)

func peerRunning(d *Directory, n int) int { return d.servers[newRecord(n, 4).ID()].peerRunning }

// Guards against loads that get lost or are counted twice in sums: what is listed and
// what is spread over the rest add up, and each sum replaces the last one.
func TestFleetStatsKeepTheTotal(t *testing.T) {
	d := newEntries(1, 10, 128)[0]
	loads := map[uint32]Load{12345: {Running: 7}}
	total := 0
	for n := range 10 {
		loads[ServerName(newRecord(n, 128).ID())] = Load{Running: n, PendingTokens: 1000 * n}
		total += n
	}
	above, others := d.SplitLoads(loads)
	require.Len(t, above, 4, "those a request or more above the mean of 4.5")
	require.Equal(t, 1+2+3+4+5, others["pool"].Running)
	for range 3 {
		d.SetFleetStats(FleetStats{Entries: 40, Loads: above, Others: others}, epoch, peerStatsTTL)
		sum := 0
		for n := range 10 {
			if n > 5 {
				require.Equal(t, n, peerRunning(d, n))
			}
			sum += peerRunning(d, n)
		}
		require.Equal(t, total, sum)
	}
	d.DropFleetStats()
	require.Zero(t, peerRunning(d, 9))
}

// Guards against an entry that takes missing reports for an idle fleet, and against one
// that is cut off and refuses requests for them.
func TestMissingReportsCountAsLoad(t *testing.T) {
	d := newEntries(1, 4, 128)[0]
	chat := Request{Service: "pool", PromptTokens: 10, Prefix: []clementineturn.PromptPart{clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: 3, Tokens: 10})}}
	d.SetFleetSize(100)
	d.SetPeerStats("other", map[string]ServerStats{newRecord(0, 128).ID(): {Running: 8}, newRecord(1, 128).ID(): {Running: 8}}, epoch, peerStatsTTL)
	require.InDelta(t, 1, d.unknownShare(), 0.001, "at most the known load")
	d.SetFleetStats(FleetStats{Entries: 48, Members: map[string]bool{"other": true}}, epoch, peerStatsTTL)
	require.InDelta(t, 1, d.unknownShare(), 0.001)
	d.SetFleetStats(FleetStats{Entries: 98, Members: map[string]bool{"other": true}}, epoch, peerStatsTTL)
	require.Zero(t, d.unknownShare())
	later := epoch.Add(time.Minute)
	for range 40 {
		_, err := d.Acquire(chat, later)
		require.NoError(t, err)
	}
}

// Guards against requests to a limited server that are counted again when the entries of
// a sum change or another delegate sends it.
func TestSumsOfSentRequestsCountOnce(t *testing.T) {
	d := newEntries(1, 1, 128)[0]
	id := newRecord(0, 128).ID()
	s := d.servers[id]
	report := func(sent, origin uint64) {
		d.SetFleetStats(FleetStats{Entries: 5, Outcomes: map[string]ServerStats{
			id: {IsCounted: true, IsLimited: true, Limit: 100, LimitStatedAt: epoch, Sent: sent, Origin: origin},
		}}, epoch, peerStatsTTL)
	}
	report(1000, 1)
	s.limit.level = 0
	report(1003, 1)
	require.InDelta(t, 3, s.limit.level, 0.001)
	report(1002, 1)
	report(1004, 1)
	require.InDelta(t, 4, s.limit.level, 0.001)
	report(1500, 2)
	require.InDelta(t, 4, s.limit.level, 0.001, "another entry's requests came in")
	report(1501, 2)
	require.InDelta(t, 5, s.limit.level, 0.001)
}

// Guards against an entry that lacks the sum over the other groups, most of the fleet, and
// counts it as one missing report: it would admit requests to a scarce service as if those
// entries sent none.
func TestMissingSumCountsAsItsEntries(t *testing.T) {
	d := newEntries(1, 4, 128)[0]
	d.SetFleetSize(36)
	members := map[string]bool{}
	for i := range 11 {
		members[fmt.Sprint("member", i)] = true
	}
	report := func(now time.Time) {
		for name := range members {
			d.SetPeerStats(name, nil, now, peerStatsTTL)
		}
	}
	report(epoch)
	d.SetFleetStats(FleetStats{Entries: 24, Members: members}, epoch, peerStatsTTL)
	view := func(now time.Time) clemwait.View {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.expirePeers(now)
		return d.view(d.services["pool"], candidateSet{}, now)
	}
	require.False(t, view(epoch).IsIsolated)
	require.Equal(t, 1, view(epoch).Entries)
	later := epoch.Add(peerStatsTTL + time.Second)
	report(later)
	require.True(t, view(later).IsIsolated)
	require.Equal(t, 1+24, view(later).Entries)
}

// Guards against an entry that takes itself for isolated for two minutes after its fleet was
// split into groups: peers of other groups that had reported by themselves until then counted
// as missing if their reports expired before the first sum came.
func TestPeersOfOtherGroupsAreNotMissing(t *testing.T) {
	d := newEntries(1, 4, 128)[0]
	for i := range 32 {
		d.SetPeerStats(fmt.Sprint("peer", i), nil, epoch, peerStatsTTL)
	}
	now := epoch.Add(peerStatsTTL + time.Second)
	d.SetFleetSize(33)
	members := map[string]bool{}
	for i := range 10 {
		members[fmt.Sprint("peer", i)] = true
		if i > 0 {
			d.SetPeerStats(fmt.Sprint("peer", i), nil, now, peerStatsTTL)
		}
	}
	d.SetFleetStats(FleetStats{Entries: 22, Members: members}, now, peerStatsTTL)
	d.mu.Lock()
	defer d.mu.Unlock()
	missing, _ := d.missingEntries(now)
	require.Equal(t, 1, missing, "the member that stopped")
}
