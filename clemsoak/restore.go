package clemsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// minCopyAge and maxCopyAge bound the age of the copies that the store is restored from.
	minCopyAge, maxCopyAge = 2 * time.Second, 8 * time.Second
	// maxStoreAway is the longest time for which the store does not answer before it is
	// restored, and maxRewriteDelay that until what the operator and the servers wrote is
	// written again.
	maxStoreAway, maxRewriteDelay = time.Second, time.Second
	// restoreStream is the stream of random numbers of the restores. They have their own, so
	// that a seed plays the same other faults with and without them.
	restoreStream = 1
)

// restoreStore restores the store from a copy once in each phase with faults.
func (s *Soak) restoreStore(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.config.Seed, restoreStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	start := time.Now()
	for phase := time.Duration(0); phase < s.config.FaultDuration; phase += faultPhase + quietPhase {
		at, age := phase+between(minCopyAge, faultPhase), between(minCopyAge, maxCopyAge)
		away, rewrite := between(0, maxStoreAway), between(0, maxRewriteDelay)
		sleep(ctx, time.Until(start.Add(at-age)))
		copied := s.env.store.Copy()
		sleep(ctx, time.Until(start.Add(at)))
		if time.Since(start) >= s.config.FaultDuration || ctx.Err() != nil {
			return
		}
		s.faults.add("store restored from a copy")
		fmt.Fprintf(s.config.Out, "%s seed %d: store away for %s, then restored from a copy that is %s old\n", time.Now().Format("15:04:05.000"), s.config.Seed, away.Round(time.Millisecond), age.Round(time.Millisecond))
		end := s.env.storeQuiet.beginFault()
		s.env.store.SetFailureStatus(http.StatusServiceUnavailable)
		sleep(ctx, away)
		lost := s.env.store.Restore(copied)
		s.env.store.SetFailureStatus(0)
		sleep(ctx, rewrite)
		s.env.store.WriteAgain(lost, copied)
		end()
	}
}
