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
	// retentionChecksPerPeriod is how often per retention period a log is checked
	// for a segment to drop.
	retentionChecksPerPeriod = 24
	// minDropInterval is the shortest time between two drops. Claims of the
	// bucket wait for the several table calls that each drop makes.
	minDropInterval = time.Second
)

// maintain writes the pending summaries and drops a segment if that is due. What
// fails is retried at a later call.
func (g *bucketLog) maintain(ctx context.Context, now time.Time) {
	if g.writeSummaries(ctx) != nil || !g.loaded || now.Before(g.nextRetention) {
		return
	}
	g.nextRetention = now.Add(g.config.Retention / retentionChecksPerPeriod)
	if g.firstSegment+1 >= g.head.number {
		return
	}
	dropped, err := g.dropOldest(ctx, now)
	if err != nil {
		g.config.Events.Emit(clemevent.ClaimRetentionFailed, bucketField(g.bucket), zap.Error(err))
	}
	if dropped {
		g.nextRetention = now.Add(minDropInterval)
	}
}

// dropOldest removes the oldest segment if all its claims are older than the
// retention period, and reports whether it did or another ledger has. Claims
// that are held or have an unknown outcome are appended to the head first, then
// the number of the first segment is raised, then the row is deleted. A failure
// of the delete leaves a row that is never read.
func (g *bucketLog) dropOldest(ctx context.Context, now time.Time) (bool, error) {
	row, err := g.get(ctx, g.segmentKey(g.firstSegment))
	if err != nil {
		return g.syncFirstSegment(ctx)
	}
	oldest, err := DecodeSegment(row.Value())
	if err != nil {
		return false, err
	}
	reference, err := g.referenceTime(ctx, now)
	if err != nil || reference.Sub(newestTime(oldest)) < g.config.Retention {
		return false, err
	}
	if records := g.index.unresolved(g.firstSegment); len(records) > 0 {
		if err := g.appendRecords(ctx, records); err != nil {
			return false, err
		}
	}
	if raised, err := g.raiseFirstSegment(ctx); err != nil || !raised {
		return false, err
	}
	if err := g.config.Table.Delete(ctx, row.Key(), row.Version()); err != nil {
		return false, err
	}
	return true, g.dropSummary(ctx)
}

// syncFirstSegment reads the number of the first segment, and reports whether
// another ledger raised it.
func (g *bucketLog) syncFirstSegment(ctx context.Context) (bool, error) {
	first, _, err := g.readFirstSegment(ctx)
	if err != nil || first <= g.firstSegment {
		return false, err
	}
	g.setFirstSegment(first)
	return true, nil
}

func (g *bucketLog) setFirstSegment(first uint64) {
	g.firstSegment = first
	g.index.dropBefore(first)
}

// raiseFirstSegment makes the second segment the first and reports whether it
// did. If the number in the table is already another, it applies that instead:
// another ledger raised it and could not delete the segment, or a write of this
// ledger took effect and its answer was lost.
func (g *bucketLog) raiseFirstSegment(ctx context.Context) (bool, error) {
	first, version, err := g.readFirstSegment(ctx)
	if err != nil {
		return false, err
	}
	if first != g.firstSegment {
		g.setFirstSegment(first)
		return false, nil
	}
	value, err := proto.Marshal(&clemwire.Segment{Number: first + 1})
	if err != nil {
		return false, err
	}
	if _, err := g.put(ctx, g.firstSegmentKey(), value, version); err != nil {
		return false, err
	}
	g.setFirstSegment(first + 1)
	return true, nil
}

// referenceTime returns the time against which the age of claims is measured: the
// median time of the claims in the newest sealed segment, but not later than
// now. A single host with a wrong clock can thus not drop claims early.
func (g *bucketLog) referenceTime(ctx context.Context, now time.Time) (time.Time, error) {
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

// newestTime returns the time of the newest claim.
func newestTime(s *clemwire.Segment) time.Time {
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
