package clempool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashTrial is a service whose servers crash and return at once, seen by entries that get
// their rows late.
type crashTrial struct {
	rng     *rand.Rand
	entries []*Directory
	// incarnations and startedAt are those of the servers, received the times of the
	// requests since the last start.
	incarnations []int64
	startedAt    []time.Time
	received     [][]time.Time
	running      []trialRun
	// usedAt is when an entry last had a response of a server, by both. Its connection is
	// found closed if the server has started since.
	usedAt [][]time.Time
	most   int
	served int
}

type trialRun struct {
	lease         *Lease
	entry, server int
	incarnation   int64
	until         time.Time
}

const (
	trialServers = 100
	trialRunTime = 400 * time.Millisecond
	// trialListLag is how long rows take from a server to an entry at most.
	trialListLag = 700 * time.Millisecond
)

func (c *crashTrial) row(n int, now time.Time) Record {
	return coldRow(n, c.incarnations[n], max(testCold.StartTime-now.Sub(c.startedAt[n]), 0))
}

// send sends one request through an entry as the router does.
func (c *crashTrial) send(entry int, r Request, now time.Time) {
	d := c.entries[entry]
	lease, err := d.Acquire(r, now)
	if err != nil {
		return
	}
	var n int
	_, _ = fmt.Sscanf(lease.Server(), "s%d", &n)
	if used := c.usedAt[entry][n]; used.Before(c.startedAt[n]) && now.Sub(used) < time.Second {
		lease.ConnectionBroken(now)
	}
	if lease.CheckSend(now) != nil {
		lease.Release(OutcomeWithdrawn, nil, now)
		return
	}
	c.received[n] = append(c.received[n], now)
	if c.startedAt[n].After(epoch) && now.Sub(c.startedAt[n]) < testCold.StartTime {
		within := 0
		for i := len(c.received[n]) - 1; i >= 0 && now.Sub(c.received[n][i]) < time.Second; i-- {
			within++
		}
		c.most = max(c.most, within)
	}
	lease.ResponseStarted()
	c.running = append(c.running, trialRun{lease, entry, n, c.incarnations[n], now.Add(trialRunTime)})
}

// step ends the runs that are over.
func (c *crashTrial) step(now time.Time) {
	c.running = slices.DeleteFunc(c.running, func(r trialRun) bool {
		switch {
		case r.incarnation != c.incarnations[r.server]:
			r.lease.ConnectionBroken(now)
			r.lease.Release(OutcomeFailed, nil, now)
		case !now.Before(r.until):
			r.lease.Release(OutcomeServed, nil, now)
			c.usedAt[r.entry][r.server] = now
			c.served++
		default:
			return false
		}
		return true
	})
}

// At eight times the load, 70 of 100 servers crash and return at once. They got up to 34
// requests in a second while cold, and crashed again.
func TestCrashedServersReturnColdAtEightTimesTheLoad(t *testing.T) {
	for _, count := range []int{12, 29} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := &crashTrial{rng: rand.New(rand.NewPCG(8, uint64(count))), entries: newColdEntries(count)}
			c.incarnations, c.startedAt, c.received = make([]int64, trialServers), make([]time.Time, trialServers), make([][]time.Time, trialServers)
			for range c.entries {
				c.usedAt = append(c.usedAt, make([]time.Time, trialServers))
			}
			lag := make([]time.Duration, count)
			for i, d := range c.entries {
				lag[i] = time.Duration(c.rng.Int64N(int64(trialListLag/time.Millisecond))) * time.Millisecond
				for n := range trialServers {
					d.PutRow(coldRow(n, 0, 0), epoch, epoch)
				}
				d.ListRead(epoch)
			}
			crashAt := epoch.Add(2 * time.Second)
			// 3,800 requests a second are eight times the usual load, with chats and without.
			for tick := range 5000 {
				now := epoch.Add(time.Duration(tick) * time.Millisecond)
				if now.Equal(crashAt) {
					for n := range 70 {
						c.incarnations[n]++
						c.startedAt[n], c.received[n] = now, nil
					}
				}
				c.step(now)
				for i, d := range c.entries {
					// The servers write rows at their starts and with each heartbeat.
					if since := now.Sub(crashAt) - lag[i]; since >= 0 && since%testCold.Heartbeat == 0 {
						for n := range trialServers {
							d.PutRow(c.row(n, now.Add(-lag[i])), now.Add(-lag[i]), now)
						}
						d.ListRead(now.Add(-lag[i]))
					}
				}
				if tick%100 == 0 {
					exchangeState(c.entries, now)
				}
				for range 3 + tick%5/2 {
					r := Request{Service: "pool"}
					if c.rng.IntN(2) == 0 {
						r = prompt(c.rng.Uint64N(500), 1000)
					}
					c.send(c.rng.IntN(count), r, now)
				}
			}
			require.LessOrEqual(t, c.most, 27)
			require.Greater(t, c.most, 3, "cold servers get requests when the others are full")
			require.Greater(t, c.served, 10_000)
			t.Logf("%d entries: at most %d requests in a second at a cold server, %d served", count, c.most, c.served)
		})
	}
}
