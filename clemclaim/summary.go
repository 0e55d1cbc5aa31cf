package clemclaim

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// segmentsPerSpan is the number of segments that one summary replaces when a
	// log is read.
	segmentsPerSpan = 32
	// summaryReadWindow is the number of summaries that are read concurrently.
	summaryReadWindow = 16
	// maxPendingSummaries is the maximum number of summaries that wait to be
	// written.
	maxPendingSummaries = 4
)

// span collects the last record of each claim in segmentsPerSpan consecutive
// segments. The number of the first of them is a multiple of segmentsPerSpan.
type span struct {
	// number is the number of the first segment that was collected. It is not
	// that of the span's first segment if retention has dropped some of them.
	number      uint64
	lastRecords map[claimID]spanRecord
}

// spanRecord is the last record of a claim in a span, or nil if it is finished,
// and its segment.
type spanRecord struct {
	segment uint64
	record  *clemwire.Record
}

func newSpan(segment uint64) span {
	return span{number: segment, lastRecords: map[claimID]spanRecord{}}
}

func (s *span) add(id claimID, record *clemwire.Record, segment uint64) {
	if record.GetState() == stateDone {
		record = nil
	}
	s.lastRecords[id] = spanRecord{segment: segment, record: record}
}

// summary returns the span's summary. It depends only on the sealed segments, so
// that any ledger may write it at any time and more than once.
func (s *span) summary() *clemwire.Summary {
	out := &clemwire.Summary{Number: s.number, Digests: make([][]byte, segmentsPerSpan)}
	for id, last := range s.lastRecords {
		if last.record == nil {
			i := last.segment - s.number
			out.Digests[i] = append(out.Digests[i], id[:]...)
			continue
		}
		out.Records = append(out.Records, last.record)
		out.Segments = append(out.Segments, last.segment)
	}
	return out
}

// DecodeSummary decodes the value of a summary's row. Errors: KindInternal.
func DecodeSummary(value []byte) (*clemwire.Summary, error) {
	s := &clemwire.Summary{}
	if err := proto.Unmarshal(value, s); err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "summary: %w", err)
	}
	valid := s.GetNumber()%segmentsPerSpan == 0 && len(s.GetDigests()) == segmentsPerSpan && len(s.GetRecords()) == len(s.GetSegments())
	for _, digests := range s.GetDigests() {
		valid = valid && len(digests)%len(claimID{}) == 0
	}
	for i, record := range s.GetRecords() {
		valid = valid && record.GetClaim() != nil && s.GetSegments()[i]-s.GetNumber() < segmentsPerSpan
	}
	if !valid {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "summary of span %d is malformed", s.GetNumber())
	}
	return s, nil
}

// applySummary adds the records of a span by its summary.
func (x *index) applySummary(s *clemwire.Summary) {
	for i, digests := range s.GetDigests() {
		ids := make([]claimID, 0, len(digests)/len(claimID{}))
		for ; len(digests) > 0; digests = digests[len(claimID{}):] {
			id := claimID(digests[:len(claimID{})])
			delete(x.openRecords, id)
			ids = append(ids, id)
		}
		x.runs.add(ids, s.GetNumber()+uint64(i))
	}
	for i, record := range s.GetRecords() {
		x.openRecords[claimIDOf(record)] = openRecord{Record: record, segment: s.GetSegments()[i]}
	}
}

func (g *bucketLog) summaryKey(number uint64) string {
	return fmt.Sprintf("claim/%05d/summary/%010d", g.bucket, number)
}

// applySummaries reads the spans that follow by their summaries, up to the first
// that has none.
func (g *bucketLog) applySummaries(ctx context.Context) error {
	window := 1
	for g.head.number%segmentsPerSpan == 0 {
		applied, err := g.applySummaryWindow(ctx, window)
		if err != nil || applied < window {
			return err
		}
		window = summaryReadWindow
	}
	return nil
}

// applySummaryWindow reads the next summaries concurrently and applies those
// before the first that is missing. It returns their number.
func (g *bucketLog) applySummaryWindow(ctx context.Context, window int) (int, error) {
	summaries := make([]*clemwire.Summary, window)
	group, ctx := errgroup.WithContext(ctx)
	for i := range summaries {
		number := g.head.number + uint64(i)*segmentsPerSpan
		group.Go(func() (err error) {
			summaries[i], err = g.readSummary(ctx, number)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	for i, s := range summaries {
		if s == nil {
			return i, nil
		}
		g.index.applySummary(s)
		g.head = segment{number: s.GetNumber() + segmentsPerSpan}
		g.span = newSpan(g.head.number)
	}
	return window, nil
}

// readSummary returns the summary of a span, or nil if there is none.
func (g *bucketLog) readSummary(ctx context.Context, number uint64) (*clemwire.Summary, error) {
	row, err := g.get(ctx, g.summaryKey(number))
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s, err := DecodeSummary(row.Value())
	if err == nil && s.GetNumber() != number {
		err = clementineturn.Errorf(clementineturn.KindInternal, "summary of span %d stands in the row of span %d", s.GetNumber(), number)
	}
	return s, err
}

// endSpan starts the next span if the sealed segment is the last of its span,
// and queues the summary of a span that was read from its first segment on.
func (g *bucketLog) endSpan(sealed uint64) {
	if (sealed+1)%segmentsPerSpan != 0 {
		return
	}
	if g.span.number%segmentsPerSpan == 0 && len(g.pendingSummaries) < maxPendingSummaries {
		g.pendingSummaries = append(g.pendingSummaries, g.span.summary())
	}
	g.span = newSpan(sealed + 1)
}

// writeSummaries writes the pending summaries. One that exists is not replaced.
// One that cannot be written is tried again after the next batch; if the process
// ends before, the next ledger that reads its segments writes it.
func (g *bucketLog) writeSummaries(ctx context.Context) error {
	for len(g.pendingSummaries) > 0 {
		s := g.pendingSummaries[0]
		value, err := proto.Marshal(s)
		if err != nil {
			return err
		}
		_, err = g.put(ctx, g.summaryKey(s.GetNumber()), value, "")
		if err != nil && !clementineturn.IsKind(err, clementineturn.KindConflict) {
			return err
		}
		g.pendingSummaries = g.pendingSummaries[1:]
	}
	return nil
}

// dropSummary deletes the summary of the span before the first segment if all
// segments of that span are dropped.
func (g *bucketLog) dropSummary(ctx context.Context) error {
	if g.firstSegment%segmentsPerSpan != 0 {
		return nil
	}
	row, err := g.get(ctx, g.summaryKey(g.firstSegment-segmentsPerSpan))
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return g.config.Table.Delete(ctx, row.Key(), row.Version())
}
