package clempool

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// An entry that is cut off from all others must not refuse for requests that
// they told of long ago.
func TestCountsOfAnEntryCutOffExpire(t *testing.T) {
	d := fleet(1, 2, 4)[0]
	busy := map[string]Standing{}
	for n := range 2 {
		busy[newRecord(n, 4).ID()] = Standing{Running: 12, Unread: 100_000, Failed: 1}
	}
	d.Tell("other", busy, epoch, toldTime)
	want := Want{Service: "pool", Idempotent: true}
	_, err := d.Take(want, epoch.Add(toldTime/2))
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded), "full by what another entry told: %v", err)

	lease, err := d.Take(want, epoch.Add(2*toldTime))
	require.NoError(t, err)
	require.Zero(t, lease.Load())
	require.Zero(t, lease.Wait())
	for _, s := range d.servers {
		require.Zero(t, s.health.others)
	}
}

// What is counted of other entries is the sum of what each told last, whatever
// came in between: new tellings, expiry, servers removed and added again.
func TestCountsOfOtherEntriesAreTheSumOfTheLast(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 7))
	d := fleet(1, 6, 128)[0]
	now := epoch
	for range 2000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		switch n := rng.IntN(6); rng.IntN(8) {
		case 0:
			d.Remove(newRecord(n, 128).ID())
		case 1:
			d.Put(newRecord(n, 128))
		default:
			standings := map[string]Standing{}
			for n := range 6 {
				if rng.IntN(3) > 0 {
					standings[newRecord(n, 128).ID()] = Standing{
						Running: rng.IntN(50), Unread: rng.IntN(5000), Good: float64(rng.IntN(900)) / 100, Failed: float64(rng.IntN(90)) / 100,
					}
				}
			}
			d.Tell(strconv.Itoa(rng.IntN(5)), standings, now, toldTime)
		}
		d.Standings(now)
		for id, s := range d.servers {
			running, unread, good, failed := 0, 0, 0.0, 0.0
			for _, told := range d.told {
				if !now.After(told.until) {
					standing := told.standings[id]
					running, unread = running+standing.Running, unread+standing.Unread
					good, failed = good+standing.Good, failed+standing.Failed
				}
			}
			require.Equal(t, running, s.others)
			require.Equal(t, unread, s.othersUnread)
			require.InDelta(t, good, s.health.others.good, 1e-6)
			require.InDelta(t, failed, s.health.others.failed, 1e-6)
		}
	}
}

// In a large fleet only what others cannot find by the chat's order is told.
func TestCrowdTellsOnlyWhatIsNotAtHome(t *testing.T) {
	d := fleet(1, 100, 128)[0]
	for n := range Crowd {
		d.Tell(strconv.Itoa(n), nil, epoch, toldTime)
	}
	atHome := 0
	for chat := range uint64(200) {
		before, _ := d.News(0)
		lease, err := d.Take(prompt(chat, 500), epoch)
		require.NoError(t, err)
		after, _ := d.News(0)
		if lease.Rank() == 0 {
			atHome++
			require.Len(t, after, len(before))
		}
	}
	require.Positive(t, atHome)
}

// What is known of all servers' prompts is bounded, whatever their number.
func TestKeptPartsAreBounded(t *testing.T) {
	const servers = 2000
	d := fleet(1, servers, 128)[0]
	for n := range servers {
		for part := range uint64(200) {
			d.TellKept(newRecord(n, 128).ID(), []uint64{part}, epoch)
		}
	}
	all := 0
	for _, s := range d.servers {
		all += len(s.kept)
	}
	require.LessOrEqual(t, all, allKept)
}
