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

// log is one bucket's log in the table: rows with consecutive numbers, each a
// segment. Records are appended to the last segment, the head, by a write that
// is conditional on the version the log last saw. A sealed segment never
// changes and is followed by the insert of the next one if absent. A
// successful write therefore proves that no other ledger wrote in between.
type log struct {
	config LedgerConfig
	bucket uint64
	loaded bool
	// fresh is set while everything that was in the table when the present
	// commit began has been read.
	fresh bool
	// wrote is set if the present commit wrote.
	wrote bool
	index index
	// first is the number of the oldest segment that is kept.
	first uint64
	head  segment
	// span collects the span that holds the head.
	span span
	// summaries wait to be written.
	summaries []*clemwire.Summary
	// check is when retention is applied next.
	check time.Time
	// failed is when a failure was last reported.
	failed time.Time
}

// segment is the head as the log last saw it. Without a version it is the
// next segment, which is not in the table yet.
type segment struct {
	number  uint64
	version clementineturn.Version
	value   []byte
	records []*clemwire.Record
}

func newLog(c LedgerConfig, bucket uint64) *log { return &log{config: c, bucket: bucket} }

func (g *log) segmentKey(number uint64) string {
	return fmt.Sprintf("claim/%05d/%010d", g.bucket, number)
}

// firstKey is the row that holds the number of the oldest segment.
func (g *log) firstKey() string { return fmt.Sprintf("claim/%05d/first", g.bucket) }

func (g *log) get(ctx context.Context, key string) (clementineturn.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	return g.config.Table.Get(ctx, key)
}

func (g *log) put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	return g.config.Table.Put(ctx, key, value, version)
}

// load reads the whole log. If retention drops segments meanwhile, it starts again.
func (g *log) load(ctx context.Context) error {
	if err := g.checkBuckets(ctx); err != nil {
		return err
	}
	for {
		first, _, err := g.readFirst(ctx)
		if err != nil {
			return err
		}
		if err := g.readAll(ctx, first); err != nil {
			return err
		}
		again, _, err := g.readFirst(ctx)
		if err != nil {
			return err
		}
		if again == first {
			g.loaded, g.fresh = true, true
			return nil
		}
	}
}

// unload drops the index, unless it is small. The next operation reads the log.
func (g *log) unload() {
	if g.index.size() > idleClaims {
		g.loaded, g.index, g.head, g.span = false, newIndex(), segment{}, span{}
	}
}

// readAll reads the log from the first segment to the head.
func (g *log) readAll(ctx context.Context, first uint64) error {
	g.index, g.first, g.head, g.span = newIndex(), first, segment{number: first}, newSpan(first)
	for more := true; more; {
		if err := g.skip(ctx); err != nil {
			return err
		}
		var err error
		if more, err = g.next(ctx); err != nil {
			return err
		}
	}
	return nil
}

// bucketsKey is the row that holds the number of buckets.
const bucketsKey = "claim/buckets"

// checkBuckets checks that the table was made for the number of buckets that
// this ledger has. Two ledgers with different numbers would look for a key in
// different buckets and both grant its call. The first ledger inserts the number.
func (g *log) checkBuckets(ctx context.Context) error {
	wanted := uint64(g.config.Buckets)
	row, err := g.get(ctx, bucketsKey)
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		value, marshalErr := proto.Marshal(&clemwire.Segment{Number: wanted})
		if marshalErr != nil {
			return marshalErr
		}
		_, err = g.put(ctx, bucketsKey, value, "")
		if err == nil {
			return nil
		}
		row, err = g.get(ctx, bucketsKey)
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

func (g *log) readFirst(ctx context.Context) (uint64, clementineturn.Version, error) {
	row, err := g.get(ctx, g.firstKey())
	if clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", err
	}
	s, err := DecodeSegment(row.Value())
	return s.GetNumber(), row.Version(), err
}

// DecodeSegment returns the segment of a row's value. Errors: KindInternal.
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

// refresh takes in what other ledgers wrote, and what writes of its own did
// whose answers were lost. It reports whether the log changed.
func (g *log) refresh(ctx context.Context) (bool, error) {
	number, version := g.head.number, g.head.version
	if err := g.follow(ctx); err != nil {
		return false, err
	}
	g.fresh = true
	changed := !g.loaded || g.head.number != number || g.head.version != version
	return changed, nil
}

// follow reads the head and what comes after it.
func (g *log) follow(ctx context.Context) error {
	for {
		if more, err := g.next(ctx); err != nil || !more {
			return err
		}
	}
}

// next reads the head and reports whether it is sealed, so that the next
// segment is the head.
func (g *log) next(ctx context.Context) (bool, error) {
	row, err := g.get(ctx, g.segmentKey(g.head.number))
	absent := clementineturn.IsKind(err, clementineturn.KindNotFound)
	if err != nil && !absent {
		return false, err
	}
	if g.head.version == "" && g.loaded {
		if err := g.verify(ctx); err != nil || !g.loaded {
			return false, err
		}
	}
	if absent {
		// A head that was in the table has been dropped by retention.
		g.loaded = g.loaded && g.head.version == ""
		return false, nil
	}
	if row.Version() == g.head.version {
		return false, nil
	}
	return g.accept(row)
}

// verify checks that the head, which the log has not seen in the table yet, is
// not a segment that retention dropped. A ledger that was suspended for longer
// than the retention would find it absent or insert it once more, and a write
// that takes effect that late would do so, too. Retention raises the first
// number before it drops a segment, so that a read of that number tells.
func (g *log) verify(ctx context.Context) error {
	first, _, err := g.readFirst(ctx)
	if err == nil && first > g.head.number {
		g.loaded = false
	}
	return err
}

// accept takes in the head's row and moves on if it is sealed. A row that
// does not continue the one last seen belongs to a log that was dropped and
// inserted again, so that everything has to be read once more.
func (g *log) accept(row clementineturn.Row) (bool, error) {
	more, ok := bytes.CutPrefix(row.Value(), g.head.value)
	if !ok {
		g.loaded = false
		return false, nil
	}
	s, err := DecodeSegment(more)
	if err != nil {
		return false, err
	}
	g.advance(row, s)
	return s.GetSealed(), nil
}

// advance makes the row, which holds the records of more after those of the
// head, the head, or the next segment if it is sealed.
func (g *log) advance(row clementineturn.Row, more *clemwire.Segment) {
	for i, record := range more.GetRecords() {
		key := recordID(record)
		g.index.add(key, record, g.head.number, len(g.head.records)+i)
		g.span.add(key, record, g.head.number)
	}
	if more.GetSealed() {
		g.index.seal(g.head.number)
		g.endSpan(g.head.number)
		g.head = segment{number: g.head.number + 1}
		return
	}
	g.head.version, g.head.value = row.Version(), row.Value()
	g.head.records = append(g.head.records, more.GetRecords()...)
}

// append writes the records after those of the head. Errors: KindConflict if
// the head is not the newest state of the log, KindUnavailable if the write
// had no effect, KindUnknown if it may have an effect.
func (g *log) append(ctx context.Context, records []*clemwire.Record) error {
	more := g.more(records)
	value, err := proto.MarshalOptions{}.MarshalAppend(slices.Clone(g.head.value), more)
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "marshal segment: %w", err)
	}
	inserted := g.head.version == ""
	row, err := g.put(ctx, g.segmentKey(g.head.number), value, g.head.version)
	if err != nil {
		return err
	}
	if inserted {
		if err := g.verify(ctx); err != nil {
			return clementineturn.Errorf(clementineturn.KindUnknown, "segment %d is not verified: %w", g.head.number, err)
		}
		if !g.loaded {
			return clementineturn.Errorf(clementineturn.KindConflict, "segment %d was dropped before", g.head.number)
		}
	}
	g.advance(clementineturn.NewRow(row.Key(), value, row.Version()), more)
	return nil
}

// more returns what an append adds to the head's row. The encoding of a
// message that only grows is the old one followed by that of the new fields.
func (g *log) more(records []*clemwire.Record) *clemwire.Segment {
	more := &clemwire.Segment{Records: records}
	if g.head.version == "" {
		more.Number = g.head.number
	}
	more.Sealed = len(g.head.value)+proto.Size(more) >= g.config.Limit
	return more
}

// find returns the record in force, or nil. Finished records are read from
// their segment. Errors: KindUnavailable, KindInternal.
func (g *log) find(ctx context.Context, key id) (*clemwire.Record, error) {
	if record, ok := g.index.open[key]; ok {
		return record.Record, nil
	}
	if position, ok := g.index.done[key]; ok {
		return g.head.records[position], nil
	}
	for _, number := range g.index.runs.candidates(key) {
		record, err := g.read(ctx, number, key)
		if record != nil || err != nil {
			return record, err
		}
	}
	return nil, nil
}

// read returns the finished record of a key in a sealed segment, or nil. If the
// segment was dropped there is none.
func (g *log) read(ctx context.Context, number uint64, key id) (*clemwire.Record, error) {
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
		if record.GetState() == stateDone && recordID(record) == key {
			return record, nil
		}
	}
	return nil, nil
}
