package clemfront

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A limited engine may get limitFactor times its limit plus limitSlack in limitWindow,
// from limitDelay after it first stated the limit. These are the users' bounds.
const (
	limitFactor = 1.5
	limitSlack  = 5
	limitWindow = 4 * time.Second
	limitDelay  = 3 * time.Second
)

// setLimit makes some engines state a limit, or none for a negative one.
func (c *cluster) setLimit(limit float64, addresses ...string) {
	for _, address := range addresses {
		e := c.engines[address]
		e.mu.Lock()
		if e.limit = ""; limit >= 0 {
			e.limit = strconv.FormatFloat(limit, 'f', 2, 64)
		}
		e.mu.Unlock()
	}
}

// arrivals returns the times between two at which requests reached the engine.
func (c *cluster) arrivals(address string, from, to time.Time) []time.Time {
	e := c.engines[address]
	e.mu.Lock()
	defer e.mu.Unlock()
	var times []time.Time
	for _, at := range e.arrivals {
		if !at.Before(from) && at.Before(to) {
			times = append(times, at)
		}
	}
	return times
}

// most returns the largest number of requests that reached the engine in a window.
func (c *cluster) most(address string, from, to time.Time) int {
	times, most := c.arrivals(address, from, to), 0
	for i, at := range times {
		n := i
		for n < len(times) && times[n].Sub(at) < limitWindow {
			n++
		}
		most = max(most, n-i)
	}
	return most
}

func (c *cluster) requireLimit(t *testing.T, limit float64, from, to time.Time, addresses ...string) {
	t.Helper()
	for _, address := range addresses {
		require.LessOrEqual(t, c.most(address, from, to), int(limitFactor*limit*limitWindow.Seconds()+limitSlack), "engine %s", address)
	}
}

func newChatLoad(c *cluster, entries int, seed uint64) *chatLoad {
	return &chatLoad{cluster: c, rng: rand.New(rand.NewPCG(seed, 21)), entries: entries}
}

// Guards against engines that get more requests than the limit that they state, while
// others have room, also when an entry restarts meanwhile; and against limits that
// outlast their statement.
func TestLimitedServersGetNoMoreThanTheyState(t *testing.T) {
	for _, entries := range []int{2, 4, 12} {
		for _, limit := range []float64{0, 1, 4} {
			t.Run(strconv.Itoa(entries)+" entries, limit "+strconv.FormatFloat(limit, 'f', 0, 64), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, entries, 6)
					limited := []string{"10.1.0.1:80", "10.1.0.2:80", "10.1.0.3:80", "10.1.0.4:80"}
					l := newChatLoad(c, entries, uint64(entries))
					l.play(60, 2*time.Second)
					c.setLimit(limit, limited...)
					stated := time.Now()
					l.countFrom(stated.Add(limitDelay))
					l.play(60, 7*time.Second)
					restarted := entryName(entries - 1)
					c.stopEntry(restarted)
					l.entries--
					time.Sleep(100 * time.Millisecond)
					c.startEntry(restarted)
					l.play(60, 500*time.Millisecond)
					l.entries++
					l.play(60, 7*time.Second)
					c.setLimit(-1, limited...)
					ended := time.Now()
					l.play(60, 6*time.Second)
					l.sent.Wait()
					c.stopAll()
					c.requireLimit(t, limit, stated.Add(limitDelay), ended, limited...)
					for _, address := range limited {
						require.NotEmpty(t, c.arrivals(address, ended.Add(limitDelay), time.Now()), "engine %s gets requests again", address)
					}
					require.GreaterOrEqual(t, float64(l.served), 0.95*float64(l.total))
				})
			})
		}
	}
}

// Guards against a fleet that leaves a limit unused while it refuses requests, and
// against one that goes beyond it because everyone is refused.
func TestLimitsOfAllServersAreUsed(t *testing.T) {
	for _, entries := range []int{2, 4, 12} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 3
				c := newCluster(t, entries, 6)
				var all []string
				for address := range c.engines {
					all = append(all, address)
				}
				l := newChatLoad(c, entries, uint64(entries))
				l.play(60, 2*time.Second)
				c.setLimit(limit, all...)
				stated := time.Now()
				l.countFrom(stated.Add(limitDelay))
				l.play(60, 15*time.Second)
				l.sent.Wait()
				c.stopAll()
				c.requireLimit(t, limit, stated.Add(limitDelay), time.Now(), all...)
				share := limit * float64(len(all)) / 60
				require.GreaterOrEqual(t, float64(l.served), 0.8*share*float64(l.total))
			})
		})
	}
}
