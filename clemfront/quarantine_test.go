package clemfront

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// quarantined returns the parts that entries of the cluster hold to crash servers.
func (c *cluster) quarantined() []uint64 {
	var parts []uint64
	for _, e := range c.entries {
		for _, v := range e.quarantine.Quarantines(time.Now()) {
			if !slices.Contains(parts, v.ID) {
				parts = append(parts, v.ID)
			}
		}
	}
	return parts
}

// crashSome ends some engines, with a pause between them.
func (c *cluster) crashSome(rng *rand.Rand, share float64, pause time.Duration) {
	for _, e := range c.engines {
		if rng.Float64() >= share {
			continue
		}
		e.mu.Lock()
		id := e.id
		e.mu.Unlock()
		if id != "" {
			e.crash(id)
		}
		time.Sleep(pause)
	}
}

// Guards against quarantines of sound parts, which are present in many crashes: with a
// lethal part at any position, rate and share of the traffic, only that part is
// quarantined, and in time.
func TestOnlyThePartThatCrashesServersIsQuarantined(t *testing.T) {
	rates, shares := []float64{4, 20, 60, 120}, []float64{0.04, 0.15, 0.3}
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries, rate := 2+int(seed%5), rates[seed%4]
				c := newCluster(t, entries, 12)
				c.lethal.Store(lethalPart)
				l := &chatLoad{cluster: c, rng: rand.New(rand.NewPCG(seed, 9)), lethalAt: int(seed / 2 % 3), entries: entries}
				l.play(rate, 3*time.Second)
				l.lethalShare = shares[seed%3]
				l.countFrom(time.Now().Add(2*learnTime + 3*time.Second))
				l.play(rate, 18*time.Second)
				l.sent.Wait()
				parts := c.quarantined()
				c.stopAll()
				require.Subset(t, []uint64{lethalPart}, parts)
				require.LessOrEqual(t, c.lateArrivals(), maxLateArrivals, "%d engines crashed", len(c.crashes))
				require.Positive(t, l.total)
				require.GreaterOrEqual(t, float64(l.served), 0.9*float64(l.total))
			})
		})
	}
}

// Guards against quarantines when servers end for a reason that has nothing to do with
// requests: single ones, one after the other, many or all at once.
func TestCrashesWithoutLethalPartQuarantineNone(t *testing.T) {
	rates := []float64{4, 20, 60, 120}
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := 2 + int(seed%5)
				c := newCluster(t, entries, 12)
				rng := rand.New(rand.NewPCG(seed, 10))
				l := &chatLoad{cluster: c, rng: rng, entries: entries}
				l.sent.Go(func() {
					faults := rand.New(rand.NewPCG(seed, 11))
					for range 5 {
						time.Sleep(time.Second)
						c.crashSome(faults, []float64{0.15, 0.5, 1}[seed%3], time.Duration(faults.IntN(4))*100*time.Millisecond)
						time.Sleep(restartTime)
					}
				})
				l.play(rates[seed%4], 25*time.Second)
				l.sent.Wait()
				parts := c.quarantined()
				c.stopAll()
				require.NotEmpty(t, c.crashes)
				require.Empty(t, parts, "%x", parts)
			})
		})
	}
}

// Guards against entries that forget, or never learn, a lethal part because one after the
// other restarts, and against a large fleet that learns it too late.
func TestQuarantineHoldsWhileEntriesRestart(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries, engines, rate := 4, 12, 60.0
				if seed%4 == 3 {
					entries, engines, rate = 16, 60, 200
				}
				c := newCluster(t, entries, engines)
				c.lethal.Store(lethalPart)
				l := &chatLoad{cluster: c, rng: rand.New(rand.NewPCG(seed, 12)), lethalAt: int(seed % 3), entries: entries}
				l.play(rate, 2*time.Second)
				l.lethalShare = 0.05
				l.sent.Go(func() {
					for n := range 9 {
						time.Sleep(1500 * time.Millisecond)
						name := entryName(n % entries)
						c.stopEntry(name)
						time.Sleep(300 * time.Millisecond)
						c.startEntry(name)
					}
				})
				l.countFrom(time.Now().Add(2*learnTime + 3*time.Second))
				l.play(rate, 18*time.Second)
				l.sent.Wait()
				parts := c.quarantined()
				c.stopAll()
				require.Subset(t, []uint64{lethalPart}, parts)
				require.LessOrEqual(t, c.lateArrivals(), maxLateArrivals, "%d engines crashed", len(c.crashes))
				require.Positive(t, l.total)
				require.GreaterOrEqual(t, float64(l.served), 0.75*float64(l.total))
			})
		})
	}
}

// Guards against a part that servers answered before it began to crash them, for instance
// since a release: it needs more evidence, but not for ever.
func TestPartThatTurnsLethalIsQuarantined(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4, 12)
				l := &chatLoad{cluster: c, rng: rand.New(rand.NewPCG(seed, 13)), entries: 4}
				l.play(60, 3*time.Second)
				c.lethal.Store(sheetPart)
				l.countFrom(time.Now().Add(2*learnTime + 3*time.Second))
				l.play(60, 18*time.Second)
				l.sent.Wait()
				parts := c.quarantined()
				c.stopAll()
				require.Equal(t, []uint64{sheetPart}, parts)
				require.LessOrEqual(t, c.lateArrivals(), maxLateArrivals, "%d engines crashed", len(c.crashes))
				require.GreaterOrEqual(t, float64(l.served), 0.9*float64(l.total))
			})
		})
	}
}
