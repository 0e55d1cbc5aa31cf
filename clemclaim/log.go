package clemclaim

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// bucketLog is the log of a bucket in the table: rows with consecutive numbers,
// each a segment. Records are appended to the last segment, the head, by a write
// that is conditional on the version read last. Once a segment is sealed, it
// never changes, and the next one is inserted if absent. A write that succeeds
// therefore proves that no other ledger wrote in between.
type bucketLog struct {
	config LedgerConfig
	bucket uint64
	loaded bool
	// upToDate is true if the log has been read to its end since the current
	// commit began.
	upToDate bool
	// hasWritten is true if the current commit has written.
	hasWritten bool
	index      index
	// firstSegment is the number of the oldest segment that retention has not
	// dropped.
	firstSegment uint64
	head         segment
	// span collects the records of the span that the head is in.
	span span
	// pendingSummaries are the summaries to be written.
	pendingSummaries []*clemwire.Summary
	// nextRetention is when retention is applied next.
	nextRetention time.Time
	// lastFailureReport is when a failure was last reported.
	lastFailureReport time.Time
}

// segment is the head as it was last read or written. Without a version it is a
// segment that this ledger has not found in the table yet.
type segment struct {
	number  uint64
	version clementineturn.Version
	value   []byte
	records []*clemwire.Record
}

func newBucketLog(c LedgerConfig, bucket uint64) *bucketLog {
	return &bucketLog{config: c, bucket: bucket}
}

func (g *bucketLog) segmentKey(number uint64) string {
	return fmt.Sprintf("claim/%05d/%010d", g.bucket, number)
}

// firstSegmentKey returns the key of the row with the number of the first
// segment.
func (g *bucketLog) firstSegmentKey() string { return fmt.Sprintf("claim/%05d/first", g.bucket) }

func (g *bucketLog) get(ctx context.Context, key string) (clementineturn.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.config.TableTimeout)
	defer cancel()
	return g.config.Table.Get(ctx, key)
}

func (g *bucketLog) put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.config.TableTimeout)
	defer cancel()
	return g.config.Table.Put(ctx, key, value, version)
}

// load reads the whole log. It starts again if retention drops segments
// meanwhile.
func (g *bucketLog) load(ctx context.Context) error {
	if err := g.checkBucketCount(ctx); err != nil {
		return err
	}
	for {
		first, _, err := g.readFirstSegment(ctx)
		if err != nil {
			return err
		}
		if err := g.readSegments(ctx, first); err != nil {
			return err
		}
		again, _, err := g.readFirstSegment(ctx)
		if err != nil {
			return err
		}
		if again == first {
			g.loaded, g.upToDate = true, true
			return nil
		}
	}
}

// unload drops the index unless it is small. The next operation reads the log
// again.
func (g *bucketLog) unload() {
	if g.index.size() > maxIdleKeys {
		g.loaded, g.index, g.head, g.span = false, newIndex(), segment{}, span{}
	}
}

// readSegments reads the log from the first segment to the head.
func (g *bucketLog) readSegments(ctx context.Context, first uint64) error {
	g.index, g.firstSegment, g.head, g.span = newIndex(), first, segment{number: first}, newSpan(first)
	for more := true; more; {
		if err := g.applySummaries(ctx); err != nil {
			return err
		}
		var err error
		if more, err = g.readHead(ctx); err != nil {
			return err
		}
	}
	return nil
}

// bucketCountKey is the key of the row with the number of buckets.
const bucketCountKey = "claim/buckets"

// checkBucketCount checks that the table holds as many buckets as this ledger.
// Two ledgers with different numbers would look for a key in different buckets
// and could both grant its call. The first ledger inserts the number.
func (g *bucketLog) checkBucketCount(ctx context.Context) error {
	wanted := uint64(g.config.Buckets)
	row, err := g.get(ctx, bucketCountKey)
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		value, marshalErr := proto.Marshal(&clemwire.Segment{Number: wanted})
		if marshalErr != nil {
			return marshalErr
		}
		_, err = g.put(ctx, bucketCountKey, value, "")
		if err == nil {
			return nil
		}
		row, err = g.get(ctx, bucketCountKey)
	}
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "%w", err)
	}
	s, err := DecodeSegment(row.Value())
	if err == nil && s.GetNumber() != wanted {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "the table holds claims in %d buckets, the settings say %d", s.GetNumber(), wanted)
	}
	return err
}

// readFirstSegment returns the number of the first segment and the version of its
// row, which is empty if there is no row.
func (g *bucketLog) readFirstSegment(ctx context.Context) (uint64, clementineturn.Version, error) {
	row, err := g.get(ctx, g.firstSegmentKey())
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", err
	}
	s, err := DecodeSegment(row.Value())
	return s.GetNumber(), row.Version(), err
}

// DecodeSegment decodes the value of a segment's row. Errors: KindInternal.
func DecodeSegment(value []byte) (*clemwire.Segment, error) {
	s := &clemwire.Segment{}
	if err := proto.Unmarshal(value, s); err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "segment: %w", err)
	}
	for _, record := range s.GetRecords() {
		if record.GetClaim() == nil {
			return nil, clementineturn.Errorf(clementineturn.KindInternal, "segment %d has a record without a claim", s.GetNumber())
		}
	}
	return s, nil
}

// refresh reads what other ledgers wrote, and what took effect of this ledger's
// writes with unknown outcomes. It reports whether the log changed.
func (g *bucketLog) refresh(ctx context.Context) (bool, error) {
	number, version := g.head.number, g.head.version
	if err := g.catchUp(ctx); err != nil {
		return false, err
	}
	g.upToDate = true
	changed := !g.loaded || g.head.number != number || g.head.version != version
	return changed, nil
}

// catchUp reads the head and the segments after it.
func (g *bucketLog) catchUp(ctx context.Context) error {
	for {
		if more, err := g.readHead(ctx); err != nil || !more {
			return err
		}
	}
}

// readHead reads the head and reports whether it was sealed, so that the segment
// after it is now the head.
func (g *bucketLog) readHead(ctx context.Context) (bool, error) {
	row, err := g.get(ctx, g.segmentKey(g.head.number))
	absent := clementineturn.IsKind(err, clementineturn.KindNotFound)
	if err != nil && !absent {
		return false, err
	}
	if g.head.version == "" && g.loaded {
		if err := g.verifyHead(ctx); err != nil || !g.loaded {
			return false, err
		}
	}
	if absent {
		// Retention has dropped a head that was in the table.
		g.loaded = g.loaded && g.head.version == ""
		return false, nil
	}
	if row.Version() == g.head.version {
		return false, nil
	}
	return g.applyRow(row)
}

// verifyHead checks that the head, which this ledger has not found in the table
// yet, is not a segment that retention has dropped, and otherwise clears
// loaded. A ledger that was suspended for longer than the retention period
// would find such a segment absent and insert it again, and so would a write
// that takes effect that late. Retention raises the number of the first segment
// before it drops one, so that number shows whether the head was dropped.
func (g *bucketLog) verifyHead(ctx context.Context) error {
	first, _, err := g.readFirstSegment(ctx)
	if err == nil && first > g.head.number {
		g.loaded = false
	}
	return err
}

// applyRow applies the head's row, and reports whether it is sealed. A row that
// does not begin with the value read last belongs to a segment that was dropped
// and inserted again, so the whole log has to be loaded again.
func (g *bucketLog) applyRow(row clementineturn.Row) (bool, error) {
	added, ok := bytes.CutPrefix(row.Value(), g.head.value)
	if !ok {
		g.loaded = false
		return false, nil
	}
	s, err := DecodeSegment(added)
	if err != nil {
		return false, err
	}
	g.applySegment(row, s)
	return s.GetSealed(), nil
}

// applySegment adds the records of delta, with which the row extends the head,
// to the index and the span. The row becomes the head or, if it is sealed, the
// next segment does.
func (g *bucketLog) applySegment(row clementineturn.Row, delta *clemwire.Segment) {
	for i, record := range delta.GetRecords() {
		id := claimIDOf(record)
		g.index.add(id, record, g.head.number, len(g.head.records)+i)
		g.span.add(id, record, g.head.number)
	}
	if delta.GetSealed() {
		g.index.sealHead(g.head.number)
		g.endSpan(g.head.number)
		g.head = segment{number: g.head.number + 1}
		return
	}
	g.head.version, g.head.value = row.Version(), row.Value()
	g.head.records = append(g.head.records, delta.GetRecords()...)
}

// appendRecords writes the records after those of the head. Errors: KindConflict
// if the head is not the end of the log, KindUnavailable if the write had no
// effect, KindUnknown if its outcome is unknown.
func (g *bucketLog) appendRecords(ctx context.Context, records []*clemwire.Record) error {
	delta := g.segmentDelta(records)
	value, err := proto.MarshalOptions{}.MarshalAppend(slices.Clone(g.head.value), delta)
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "marshal segment: %w", err)
	}
	inserted := g.head.version == ""
	row, err := g.put(ctx, g.segmentKey(g.head.number), value, g.head.version)
	if err != nil {
		return err
	}
	if inserted {
		if err := g.verifyHead(ctx); err != nil {
			return clementineturn.Errorf(clementineturn.KindUnknown, "segment %d is not verified: %w", g.head.number, err)
		}
		if !g.loaded {
			return clementineturn.Errorf(clementineturn.KindConflict, "segment %d was dropped before", g.head.number)
		}
	}
	g.applySegment(clementineturn.NewRow(row.Key(), value, row.Version()), delta)
	return nil
}

// segmentDelta returns what an append of the records adds to the head's row. The
// encoding of the extended segment is the old one followed by that of the delta.
func (g *bucketLog) segmentDelta(records []*clemwire.Record) *clemwire.Segment {
	delta := &clemwire.Segment{Records: records}
	if g.head.version == "" {
		delta.Number = g.head.number
	}
	delta.Sealed = len(g.head.value)+proto.Size(delta) >= g.config.SegmentBytes
	return delta
}

// find returns the record in force of a claim, or nil. Finished records in
// sealed segments are read from the table. Errors: KindUnavailable, KindInternal.
func (g *bucketLog) find(ctx context.Context, id claimID) (*clemwire.Record, error) {
	if record, ok := g.index.openRecords[id]; ok {
		return record.Record, nil
	}
	if position, ok := g.index.doneInHead[id]; ok {
		return g.head.records[position], nil
	}
	for _, number := range g.index.runs.candidates(id) {
		record, err := g.readFinished(ctx, number, id)
		if record != nil || err != nil {
			return record, err
		}
	}
	return nil, nil
}

// readFinished returns the finished record of a claim in a sealed segment, or nil
// if there is none or the segment was dropped.
func (g *bucketLog) readFinished(ctx context.Context, number uint64, id claimID) (*clemwire.Record, error) {
	row, err := g.get(ctx, g.segmentKey(number))
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s, err := DecodeSegment(row.Value())
	if err != nil {
		return nil, err
	}
	for _, record := range slices.Backward(s.GetRecords()) {
		if record.GetState() == stateDone && claimIDOf(record) == id {
			return record, nil
		}
	}
	return nil, nil
}
