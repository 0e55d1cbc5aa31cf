package clemlab

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against results that depend on anything but the configuration.
func TestMeasureIsDeterministic(t *testing.T) {
	var tables [2]bytes.Buffer
	for i := range tables {
		lab := New(Config{Seed: 7, Seeds: 1, Scale: 0.12, Experiment: longExperiment})
		require.NoError(t, lab.Measure().WriteJSON(&tables[i]))
		require.NoError(t, lab.WritePlots(t.TempDir()))
	}
	require.Equal(t, tables[0].String(), tables[1].String())
	require.Contains(t, tables[0].String(), "clementineturn")
}

func TestEveryRequestEnds(t *testing.T) {
	const duration = 8 * time.Second
	for _, p := range append(baselines(), productPolicy()) {
		r := execute(largePool().withLoad(duration, chatWorkload(3, 200, duration).record()), p)
		require.Len(t, r.requests, len(r.specs))
		require.Zero(t, r.count(endedAs(outcomePending)), p.name)
		for _, s := range r.servers {
			require.Zero(t, s.admission.activeRequests(), p.name)
			require.Empty(t, s.engine.running, p.name)
		}
	}
}

func TestEngineSteps(t *testing.T) {
	sim := newSimulator()
	config := engineConfig{maxBatchSize: 4, stepTime: 10 * time.Millisecond, prefillTimePerToken: time.Millisecond, chunkTokens: 8, cacheTokens: 1000}
	e := newEngine(sim, config, func(time.Time) float64 { return 2 })
	var ended time.Time
	spec := &RequestSpec{chat: "c", organisation: "o", systemTokens: 4, userTokens: 2, outputTokens: 3}
	sequence := func() *sequence {
		return &sequence{
			request: &request{spec: spec, historyTokens: 6}, priority: func() int { return 0 },
			onToken: func(int) {}, onEnd: func() { ended = sim.now },
		}
	}
	e.start(sequence())
	sim.run(epoch.Add(time.Second))
	// Two steps of prefill (8 and 4 tokens), then two of decoding, all at half speed.
	require.Equal(t, 2*(18+14+10+10)*time.Millisecond, ended.Sub(epoch))
	again := sequence()
	e.start(again)
	require.Equal(t, 10, again.cachedTokens)
}

func TestPrefixCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(100)
	c.put("a", 40)
	c.put("b", 40)
	c.lookup(&request{spec: &RequestSpec{chat: "a"}})
	c.put("c", 40)
	require.Equal(t, []int{40, 0, 40}, []int{c.tokens("a"), c.tokens("b"), c.tokens("c")})
}

func TestTargets(t *testing.T) {
	require.Equal(t, VerdictMet, atMost(1).verdict(1))
	require.Equal(t, VerdictNotMet, atMost(1).verdict(1.01))
	require.Equal(t, VerdictMet, atLeast(1).verdict(1.01))
	require.Equal(t, VerdictNotMet, atLeast(1).verdict(0.99))
}

func TestTableText(t *testing.T) {
	var table Table
	table.add("long", "random", "p99", 12.3, unitTime)
	table.addWithTarget("long", productPolicy().name, "ratio", 1.5, unitRatio, atMost(1.25))
	table.addWithTarget("long", "random", "extra", 0.015, unitShare, atMost(0.03))
	var text bytes.Buffer
	require.NoError(t, table.WriteText(&text))
	golden, err := os.ReadFile("testdata/table.golden")
	require.NoError(t, err)
	require.Equal(t, string(golden), text.String())
}
