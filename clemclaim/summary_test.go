package clemclaim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// A ledger that reads a log with summaries finds the same records as one that
// reads every segment. Summaries may be missing, and their writes may be late or
// their answers lost.
func TestSummariesAgainstHistory(t *testing.T) {
	checkVirtual(t, func(t *testing.T, rt *rapid.T) {
		table := clemstandin.NewTable()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		c := LedgerConfig{Table: table, Buckets: 1, SegmentBytes: 1 + random.IntN(200), WriteInterval: time.Millisecond}
		ledgers, stop := startLedgers(c, 2)
		defer stop()
		_, err := ledgers[0].Lookup(t.Context(), "shishu", "x")
		require.True(rt, clementineturn.IsKind(err, clementineturn.KindNotFound))
		keys := 1 + random.IntN(60)
		for n := range 1 + random.IntN(300) {
			if random.IntN(20) == 0 {
				table.Inject(clemstandin.TableFaults{LostAnswers: 1, LateWrites: random.IntN(2), LateWriteDelay: time.Second})
			}
			ledger := ledgers[random.IntN(2)]
			key := fmt.Sprint(random.IntN(keys))
			claim := &clemwire.Claim{Organisation: "shishu", Key: key, Token: fmt.Sprint(n), Time: timestamppb.Now()}
			found, err := ledger.Claim(t.Context(), claim)
			require.NoError(rt, err)
			if random.IntN(2) == 0 {
				_ = ledger.Advance(t.Context(), &clemwire.Record{Claim: found.GetClaim(), State: advances[random.IntN(3)]})
			}
		}
		time.Sleep(time.Minute)
		fresh, stopFresh := startLedgers(c, 1)
		defer stopFresh()
		for key, records := range readHistory(rt, table, ledgers[0].config) {
			found, err := fresh[0].Lookup(t.Context(), "shishu", key)
			require.NoError(rt, err)
			last := records[len(records)-1]
			require.True(rt, sameClaim(last.GetClaim(), found.GetClaim()), "%v, %v", last, found)
			require.Equal(rt, last.GetState(), found.GetState())
		}
	})
}

// A ledger that loads a bucket with many segments reads few rows.
func TestTakeoverReadsSummaries(t *testing.T) {
	runWithLedgers(t, 1, func(t *testing.T, table *clemstandin.Table, ledgers []*Ledger) {
		const spans = 40
		for i := 0; ledgers[0].buckets[0].log.head.number < spans*segmentsPerSpan; i++ {
			claimAndAdvance(t, ledgers[0], fmt.Sprint(i), stateDone)
			synctest.Wait()
		}
		fresh, stop := startLedgers(ledgers[0].config, 1)
		defer stop()
		before, _ := table.Counts()
		table.Inject(clemstandin.TableFaults{Delay: 5 * time.Millisecond})
		start := time.Now()
		found, err := fresh[0].Lookup(t.Context(), "shishu", "0")
		require.NoError(t, err)
		require.Equal(t, stateDone, found.GetState())
		after, _ := table.Counts()
		t.Logf("%d segments: %d reads, %s", spans*segmentsPerSpan, after-before, time.Since(start))
		require.Less(t, after-before, uint64(2*spans))
	})
}

func TestRetentionDropsSummaries(t *testing.T) {
	runWithLedgers(t, 1, func(t *testing.T, table *clemstandin.Table, ledgers []*Ledger) {
		log := ledgers[0].buckets[0].log
		claimHourly(t, ledgers[0], "x", 2*segmentsPerSpan+4)
		_, err := table.Get(t.Context(), log.summaryKey(0))
		require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound), "%v", err)
		_, err = table.Get(t.Context(), log.summaryKey(segmentsPerSpan))
		require.NoError(t, err)
		found, err := ledgers[0].Lookup(t.Context(), "shishu", fmt.Sprint("x", 2*segmentsPerSpan-20))
		require.NoError(t, err)
		require.Equal(t, stateDone, found.GetState())
	})
}

// A ledger that starts to read in the middle of a span, because retention has
// dropped the segments before, does not write a summary of that span.
func TestNoSummaryOfPartOfSpan(t *testing.T) {
	runWithLedgers(t, 1, func(t *testing.T, table *clemstandin.Table, ledgers []*Ledger) {
		claimHourly(t, ledgers[0], "x", 30)
		first := ledgers[0].buckets[0].log.firstSegment
		require.NotZero(t, first%segmentsPerSpan)
		fresh, stop := startLedgers(ledgers[0].config, 1)
		defer stop()
		claimHourly(t, fresh[0], "y", segmentsPerSpan)
		log := fresh[0].buckets[0].log
		require.Greater(t, log.head.number, first+segmentsPerSpan)
		_, err := table.Get(t.Context(), log.summaryKey(first))
		require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound), "%v", err)
	})
}

func FuzzDecodeSummary(f *testing.F) {
	s := newSpan(segmentsPerSpan)
	for i, state := range []clemwire.ClaimState{stateHeld, stateDone, stateVoid} {
		r := &clemwire.Record{Claim: &clemwire.Claim{Organisation: "shishu", Key: fmt.Sprint(i)}, State: state}
		s.add(claimIDOf(r), r, segmentsPerSpan+uint64(i))
	}
	value, err := proto.Marshal(s.summary())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)-5])
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := DecodeSummary(value)
		if err != nil {
			require.True(t, clementineturn.IsKind(err, clementineturn.KindInternal))
			return
		}
		x := newIndex()
		x.applySummary(s)
		for id := range x.openRecords {
			require.LessOrEqual(t, len(x.runs.candidates(id)), len(s.GetDigests())*len(value))
		}
	})
}
