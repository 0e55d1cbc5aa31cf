package clempool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// observePrompts records n first events of engines that take the given time per token and
// 40 ms to the first token. Half of the prompts are short, and one in ten events is held up
// for a second.
func observePrompts(p *prefillRate, n int, perToken time.Duration, random *rand.Rand) {
	for range n {
		tokens := 64
		if random.IntN(2) == 0 {
			tokens = minPrefillTokens + random.IntN(8000)
		}
		elapsed := 40*time.Millisecond + time.Duration(tokens)*perToken
		if random.IntN(10) == 0 {
			elapsed += time.Second
		}
		p.observe(tokens, elapsed)
	}
}

// Engines that read prompts twice as slowly as others had half of their waits in the
// estimates, so that a busy service took requests which came too late.
func TestPrefillTimeFollowsSlowEngines(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var p prefillRate
	observePrompts(&p, 120, 26*time.Microsecond, random)
	assert.InEpsilon(t, float64(26*time.Microsecond), float64(p.tokenTime()), 0.15)
	// They may be replaced by faster ones.
	observePrompts(&p, 300, 8*time.Microsecond, random)
	assert.InEpsilon(t, float64(8*time.Microsecond), float64(p.tokenTime()), 0.2)
}

// Engines near the default must be served with exactly the default, whatever the scatter of
// single events.
func TestPrefillTimeOfUsualEnginesIsTheDefault(t *testing.T) {
	var p prefillRate
	random := rand.New(rand.NewPCG(3, 4))
	for range 100 {
		observePrompts(&p, 10, 14500*time.Nanosecond, random)
		assert.Equal(t, defaultPrefillTime, p.tokenTime())
	}
}

// A few first events, or those of short prompts, say too little to replace the default.
func TestPrefillTimeNeedsLongPrompts(t *testing.T) {
	var p prefillRate
	for range minPrefillSamples - 1 {
		p.observe(8000, time.Second)
	}
	for range 1000 {
		p.observe(64, time.Second)
	}
	assert.Equal(t, defaultPrefillTime, p.tokenTime())
}

// Guards against estimates for all servers of a service that are taken from cold ones, which
// are slow: requests would be refused for waits that the others do not have.
func TestColdServersDoNotSetTheEstimates(t *testing.T) {
	d := newColdEntries(1)[0]
	d.PutRow(coldRow(1, 1, time.Minute), epoch, epoch)
	svc := d.services["pool"]
	for n := range 30 {
		now := epoch.Add(time.Duration(n+2) * time.Second)
		lease := mustAcquire(t, d, prompt(uint64(n), 4000), now)
		require.NoError(t, lease.CheckSend(now))
		lease.RecordFirstEvent(now.Add(800 * time.Millisecond))
		lease.Release(OutcomeServed, nil, now.Add(900*time.Millisecond))
		lease = mustAcquire(t, d, scarceRequest(), now)
		require.NoError(t, lease.CheckSend(now))
		lease.Release(OutcomeServed, nil, now.Add(900*time.Millisecond))
	}
	require.Equal(t, defaultPrefillTime, svc.prefill.tokenTime())
	require.Zero(t, svc.runTime)
}
