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
	// spanSegments is the number of segments that one summary stands for.
	spanSegments = 32
	// summaryWindow is the number of summaries that are read at once.
	summaryWindow = 16
	// summaryBacklog bounds the summaries that wait to be written.
	summaryBacklog = 4
)

// span collects the last record of each key in spanSegments consecutive
// segments, the first of which has a number that is a multiple of that.
type span struct {
	// number is that of the first segment that was collected. It lies within
	// the span if retention dropped the segments before.
	number uint64
	last   map[id]spanRecord
}

// spanRecord is the last record of a key in a span. Finished ones are not held.
type spanRecord struct {
	segment uint64
	record  *clemwire.Record
}

func newSpan(segment uint64) span {
	return span{number: segment, last: map[id]spanRecord{}}
}

func (s *span) add(key id, record *clemwire.Record, segment uint64) {
	if record.GetState() == stateDone {
		record = nil
	}
	s.last[key] = spanRecord{segment: segment, record: record}
}

// summary returns the span's summary. It depends on the sealed segments alone,
// so that it does not matter who writes it, when and how often.
func (s *span) summary() *clemwire.Summary {
	out := &clemwire.Summary{Number: s.number, Digests: make([][]byte, spanSegments)}
	for key, last := range s.last {
		if last.record == nil {
			i := last.segment - s.number
			out.Digests[i] = append(out.Digests[i], key[:]...)
			continue
		}
		out.Records = append(out.Records, last.record)
		out.Segments = append(out.Segments, last.segment)
	}
	return out
}

// DecodeSummary returns the summary of a row's value. Errors: KindInternal.
func DecodeSummary(value []byte) (*clemwire.Summary, error) {
	s := &clemwire.Summary{}
	if err := proto.Unmarshal(value, s); err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "summary: %w", err)
	}
	valid := s.GetNumber()%spanSegments == 0 && len(s.GetDigests()) == spanSegments && len(s.GetRecords()) == len(s.GetSegments())
	for _, digests := range s.GetDigests() {
		valid = valid && len(digests)%len(id{}) == 0
	}
	for i, record := range s.GetRecords() {
		valid = valid && record.GetClaim() != nil && s.GetSegments()[i]-s.GetNumber() < spanSegments
	}
	if !valid {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "summary of span %d is malformed", s.GetNumber())
	}
	return s, nil
}

// apply takes in a span by its summary.
func (x *index) apply(s *clemwire.Summary) {
	for i, digests := range s.GetDigests() {
		keys := make([]id, 0, len(digests)/len(id{}))
		for ; len(digests) > 0; digests = digests[len(id{}):] {
			key := id(digests[:len(id{})])
			delete(x.open, key)
			keys = append(keys, key)
		}
		x.runs.add(keys, s.GetNumber()+uint64(i))
	}
	for i, record := range s.GetRecords() {
		x.open[recordID(record)] = openRecord{Record: record, segment: s.GetSegments()[i]}
	}
}

func (g *log) summaryKey(number uint64) string {
	return fmt.Sprintf("claim/%05d/summary/%010d", g.bucket, number)
}

// skip takes in the spans that follow by their summaries, as far as there are any.
func (g *log) skip(ctx context.Context) error {
	window := 1
	for g.head.number%spanSegments == 0 {
		found, err := g.skipWindow(ctx, window)
		if err != nil || found < window {
			return err
		}
		window = summaryWindow
	}
	return nil
}

func (g *log) skipWindow(ctx context.Context, window int) (int, error) {
	summaries := make([]*clemwire.Summary, window)
	group, ctx := errgroup.WithContext(ctx)
	for i := range summaries {
		number := g.head.number + uint64(i)*spanSegments
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
		g.index.apply(s)
		g.head = segment{number: s.GetNumber() + spanSegments}
		g.span = newSpan(g.head.number)
	}
	return window, nil
}

func (g *log) readSummary(ctx context.Context, number uint64) (*clemwire.Summary, error) {
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

// endSpan starts the next span after a sealed segment, if it was the last of
// one, and has the summary of that written.
func (g *log) endSpan(sealed uint64) {
	if (sealed+1)%spanSegments != 0 {
		return
	}
	if g.span.number%spanSegments == 0 && len(g.summaries) < summaryBacklog {
		g.summaries = append(g.summaries, g.span.summary())
	}
	g.span = newSpan(sealed + 1)
}

// summarise writes the summaries that are due. One that exists stays; one that
// cannot be written is left to the next time or, if that is too late, to the
// next reader of its segments.
func (g *log) summarise(ctx context.Context) error {
	for len(g.summaries) > 0 {
		s := g.summaries[0]
		value, err := proto.Marshal(s)
		if err != nil {
			return err
		}
		_, err = g.put(ctx, g.summaryKey(s.GetNumber()), value, "")
		if err != nil && !clementineturn.IsKind(err, clementineturn.KindConflict) {
			return err
		}
		g.summaries = g.summaries[1:]
	}
	return nil
}

// dropSummary deletes the summary of the span before the first segment, once
// all its segments are dropped.
func (g *log) dropSummary(ctx context.Context) error {
	if g.first%spanSegments != 0 {
		return nil
	}
	row, err := g.get(ctx, g.summaryKey(g.first-spanSegments))
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return g.config.Table.Delete(ctx, row.Key(), row.Version())
}
