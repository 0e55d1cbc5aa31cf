package clemclaim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// readHistory reads the records of every key from the table, and fails if a
// record is not allowed after the one before.
func readHistory(t interface {
	Fatalf(format string, args ...any)
}, table *clemstandin.Table, c LedgerConfig,
) map[string][]*clemwire.Record {
	records := map[string][]*clemwire.Record{}
	for bucket := range c.Buckets {
		g := newBucketLog(c, uint64(bucket))
		for number := uint64(0); ; number++ {
			row, err := table.Get(context.Background(), g.segmentKey(number))
			if err != nil {
				break
			}
			s, err := DecodeSegment(row.Value())
			if err != nil || s.GetNumber() != number {
				t.Fatalf("segment %d of bucket %d: %v", number, bucket, err)
			}
			for _, record := range s.GetRecords() {
				key := record.GetClaim().GetKey()
				if err := checkNext(records[key], record); err != nil {
					t.Fatalf("history of %s: %v", key, err)
				}
				records[key] = append(records[key], record)
			}
		}
	}
	return records
}

// checkNext returns an error if the record is not allowed after those before.
func checkNext(before []*clemwire.Record, next *clemwire.Record) error {
	if len(before) == 0 || before[len(before)-1].GetState() == stateVoid {
		if next.GetState() != stateHeld {
			return fmt.Errorf("%s without a claim", next.GetState())
		}
		return nil
	}
	last := before[len(before)-1]
	if last.GetState() == next.GetState() {
		return fmt.Errorf("%s twice", next.GetState())
	}
	return checkTransition(last, next)
}

// containsRecord reports whether the records contain one with the same claim and
// state.
func containsRecord(records []*clemwire.Record, wanted *clemwire.Record) bool {
	return slices.ContainsFunc(records, func(r *clemwire.Record) bool {
		return sameClaim(r.GetClaim(), wanted.GetClaim()) && r.GetState() == wanted.GetState()
	})
}

// checkVirtual checks the property, each run in its own virtual time.
func checkVirtual(t *testing.T, property func(t *testing.T, rt *rapid.T)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(t *testing.T) {
			defer func() { failure = recover() }()
			property(t, rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

// call is one call of a ledger and its result.
type call struct {
	record *clemwire.Record
	result *clemwire.Record
	err    error
}

// startLedgers starts ledgers and returns a function that stops them, which may
// be called more than once.
func startLedgers(c LedgerConfig, n int) ([]*Ledger, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ledgers := make([]*Ledger, n)
	done := make([]<-chan error, n)
	for i := range ledgers {
		ledgers[i] = NewLedger(c)
		done[i] = ledgers[i].Start(ctx)
	}
	return ledgers, sync.OnceFunc(func() {
		cancel()
		for _, ch := range done {
			<-ch
		}
	})
}

func drawFaults(t *rapid.T) clemstandin.TableFaults {
	return clemstandin.TableFaults{
		Delay:          time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * time.Millisecond,
		Down:           rapid.IntRange(0, 4).Draw(t, "down") == 0,
		LostAnswers:    rapid.IntRange(0, 3).Draw(t, "lost"),
		LateWrites:     rapid.IntRange(0, 3).Draw(t, "late"),
		LateWriteDelay: time.Duration(rapid.IntRange(1, 3000).Draw(t, "after")) * time.Millisecond,
	}
}

var advances = []clemwire.ClaimState{stateDone, stateUnknown, stateVoid}

func drawCall(t *rapid.T, n int) *call {
	claim := &clemwire.Claim{
		Organisation: "shishu", Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"),
		Token: fmt.Sprint(n), Server: "s", Time: timestamppb.New(time.Now()), Request: fmt.Sprint(n),
	}
	record := &clemwire.Record{Claim: claim, State: stateHeld}
	if rapid.Bool().Draw(t, "advance") {
		claim.Token = fmt.Sprint(rapid.IntRange(max(0, n-8), n).Draw(t, "token"))
		record.State = rapid.SampledFrom(advances).Draw(t, "state")
		record.Author = rapid.SampledFrom([]string{"", "operator"}).Draw(t, "author")
	}
	return &call{record: record}
}

// Three ledgers write to one table with lost answers, late writes and outages. A
// record that a ledger confirmed is in the history, one that it refused as not
// run is not, and every record is allowed after the one before.
func TestLedgersAgainstHistory(t *testing.T) {
	checkVirtual(t, func(_ *testing.T, rt *rapid.T) {
		table := clemstandin.NewTable()
		c := LedgerConfig{Table: table, Buckets: 2, SegmentBytes: 400}
		ctx := context.Background()
		ledgers, stop := startLedgers(c, 3)
		defer stop()
		var calls []*call
		var running sync.WaitGroup
		times := map[string]*timestamppb.Timestamp{}
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			table.Inject(drawFaults(rt))
			for range rapid.IntRange(1, 6).Draw(rt, "calls") {
				one := drawCall(rt, len(calls))
				// Records of one token carry the time of its claim.
				if known := times[one.record.GetClaim().GetToken()]; known != nil {
					one.record.Claim.Time = known
				}
				times[one.record.GetClaim().GetToken()] = one.record.GetClaim().GetTime()
				ledger := ledgers[rapid.IntRange(0, 2).Draw(rt, "ledger")]
				timeout := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "timeout")) * time.Millisecond
				calls = append(calls, one)
				running.Go(func() { one.run(ctx, ledger, timeout) })
			}
			time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
		}
		running.Wait()
		stop()
		time.Sleep(time.Minute)
		table.Inject(clemstandin.TableFaults{})
		records := readHistory(rt, table, ledgers[0].config)
		for _, one := range calls {
			one.check(rt, records[one.record.GetClaim().GetKey()])
		}
	})
}

func (c *call) run(ctx context.Context, ledger *Ledger, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.record.GetState() == stateHeld {
		c.result, c.err = ledger.Claim(ctx, c.record.GetClaim())
		return
	}
	c.result, c.err = c.record, ledger.Advance(ctx, c.record)
}

func (c *call) check(t *rapid.T, records []*clemwire.Record) {
	if c.err == nil && !containsRecord(records, c.result) {
		t.Fatalf("confirmed, but not in the history: %v", c.result)
	}
	written := slices.ContainsFunc(records, func(r *clemwire.Record) bool {
		return r.GetClaim().GetRequest() == c.record.GetClaim().GetRequest()
	})
	if clementineturn.IsNotRun(c.err) && written {
		t.Fatalf("%v, but in the history: %v", c.err, c.record)
	}
}

// Two ledgers, used one at a time, give the results of a plain map, also for
// records that the other one wrote.
func TestLedgerAgainstMap(t *testing.T) {
	checkVirtual(t, func(_ *testing.T, rt *rapid.T) {
		table := clemstandin.NewTable()
		ctx := context.Background()
		ledgers, stop := startLedgers(LedgerConfig{Table: table, Buckets: 1, SegmentBytes: 300}, 2)
		defer stop()
		model := map[string]*clemwire.Record{}
		times := map[string]*timestamppb.Timestamp{}
		for n := range rapid.IntRange(1, 40).Draw(rt, "calls") {
			one := drawCall(rt, n)
			claim := one.record.GetClaim()
			if known := times[claim.GetToken()]; known != nil {
				claim.Time = known
			}
			times[claim.GetToken()] = claim.GetTime()
			table.Inject(clemstandin.TableFaults{LostAnswers: rapid.IntRange(0, 1).Draw(rt, "lost")})
			one.run(ctx, ledgers[rapid.IntRange(0, 1).Draw(rt, "ledger")], time.Minute)
			one.compare(rt, model)
			table.Inject(clemstandin.TableFaults{})
			found, err := ledgers[rapid.IntRange(0, 1).Draw(rt, "reader")].Lookup(ctx, "shishu", claim.GetKey())
			if wanted := model[claim.GetKey()]; wanted == nil && !clementineturn.IsKind(err, clementineturn.KindNotFound) ||
				wanted != nil && (err != nil || !containsRecord([]*clemwire.Record{found}, wanted)) {
				rt.Fatalf("found %v, %v; want %v", found, err, wanted)
			}
		}
	})
}

// compare applies the call to the model and compares the results.
func (c *call) compare(t *rapid.T, model map[string]*clemwire.Record) {
	claim := c.record.GetClaim()
	found := model[claim.GetKey()]
	if c.record.GetState() == stateHeld {
		if found == nil || found.GetState() == stateVoid && found.GetClaim().GetToken() != claim.GetToken() {
			found = c.record
			model[claim.GetKey()] = found
		}
		if c.err != nil || !containsRecord([]*clemwire.Record{c.result}, found) {
			t.Fatalf("claim answered %v, %v; want %v", c.result, c.err, found)
		}
		return
	}
	switch {
	case found == nil:
		if !clementineturn.IsKind(c.err, clementineturn.KindNotFound) {
			t.Fatalf("advance without a claim answered %v", c.err)
		}
	case checkTransition(found, c.record) != nil:
		if !clementineturn.IsKind(c.err, clementineturn.KindConflict) {
			t.Fatalf("advance of %v by %v answered %v", found, c.record, c.err)
		}
	case c.err != nil:
		t.Fatalf("advance of %v by %v answered %v", found, c.record, c.err)
	default:
		model[claim.GetKey()] = c.record
	}
}
