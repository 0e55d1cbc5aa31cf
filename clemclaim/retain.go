package clemclaim

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// retentionChecks is the number of times in one retention time at which a
	// log without anything to drop is looked at.
	retentionChecks = 24
	// dropPause is the least time between two drops. Each takes the bucket
	// several calls of the table, for which its claims wait.
	dropPause = time.Second
)

// maintain writes summaries, and drops a segment if that is due. A failure is
// left to the next time.
func (g *log) maintain(ctx context.Context, now time.Time) {
	if g.summarise(ctx) != nil || !g.loaded || now.Before(g.check) {
		return
	}
	g.check = now.Add(g.config.Retention / retentionChecks)
	if g.first+1 >= g.head.number {
		return
	}
	dropped, err := g.drop(ctx, now)
	if err != nil {
		g.config.Events.Emit(clemevent.ClaimRetentionFailed, bucketField(g.bucket), zap.Error(err))
	}
	if dropped {
		g.check = now.Add(dropPause)
	}
}

// drop removes the oldest segment if all its claims are older than the
// retention, and reports whether it did. Claims without a known outcome are
// appended to the head first, then the first number is raised, then the row is
// deleted; a failure in between leaves a row that nobody reads.
func (g *log) drop(ctx context.Context, now time.Time) (bool, error) {
	row, err := g.get(ctx, g.segmentKey(g.first))
	if err != nil {
		return g.trim(ctx)
	}
	oldest, err := DecodeSegment(row.Value())
	if err != nil {
		return false, err
	}
	reference, err := g.reference(ctx, now)
	if err != nil || reference.Sub(newest(oldest)) < g.config.Retention {
		return false, err
	}
	if records := g.index.unresolved(g.first); len(records) > 0 {
		if err := g.append(ctx, records); err != nil {
			return false, err
		}
	}
	if moved, err := g.raise(ctx); err != nil || !moved {
		return false, err
	}
	if err := g.config.Table.Delete(ctx, row.Key(), row.Version()); err != nil {
		return false, err
	}
	return true, g.dropSummary(ctx)
}

// trim takes over the first number that another ledger raised.
func (g *log) trim(ctx context.Context) (bool, error) {
	first, _, err := g.readFirst(ctx)
	if err != nil || first <= g.first {
		return false, err
	}
	g.adopt(first)
	return true, nil
}

func (g *log) adopt(first uint64) {
	g.first = first
	g.index.trim(first)
}

// raise makes the second segment the first and reports whether it did. A first
// number that was raised before is taken over: by another ledger that could
// not delete the segment, or by a write of its own whose answer was lost.
func (g *log) raise(ctx context.Context) (bool, error) {
	first, version, err := g.readFirst(ctx)
	if err != nil {
		return false, err
	}
	if first != g.first {
		g.adopt(first)
		return false, nil
	}
	value, err := proto.Marshal(&clemwire.Segment{Number: first + 1})
	if err != nil {
		return false, err
	}
	if _, err := g.put(ctx, g.firstKey(), value, version); err != nil {
		return false, err
	}
	g.adopt(first + 1)
	return true, nil
}

// reference returns the time that ages are counted from: the median time of
// the claims in the newest sealed segment, but not later than this host's
// clock. One host with a wrong clock can then not drop claims early.
func (g *log) reference(ctx context.Context, now time.Time) (time.Time, error) {
	row, err := g.get(ctx, g.segmentKey(g.head.number-1))
	if err != nil {
		return time.Time{}, err
	}
	s, err := DecodeSegment(row.Value())
	if err != nil {
		return time.Time{}, err
	}
	times := claimTimes(s)
	slices.SortFunc(times, time.Time.Compare)
	if len(times) == 0 || now.Before(times[len(times)/2]) {
		return now, nil
	}
	return times[len(times)/2], nil
}

func newest(s *clemwire.Segment) time.Time {
	times := claimTimes(s)
	if len(times) == 0 {
		return time.Time{}
	}
	return slices.MaxFunc(times, time.Time.Compare)
}

func claimTimes(s *clemwire.Segment) []time.Time {
	times := make([]time.Time, 0, len(s.GetRecords()))
	for _, record := range s.GetRecords() {
		times = append(times, record.GetClaim().GetTime().AsTime())
	}
	return times
}
