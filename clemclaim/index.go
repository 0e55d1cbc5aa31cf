package clemclaim

import (
	"crypto/sha256"

	"github.com/clementineturn/clementineturn/clemwire"
)

// id is a digest of organisation and key. It is cryptographic because callers
// choose the keys.
type id [16]byte

func newID(organisation, key string) id {
	digest := sha256.New()
	digest.Write([]byte(organisation))
	digest.Write([]byte{0})
	digest.Write([]byte(key))
	var sum [sha256.Size]byte
	return id(digest.Sum(sum[:0])[:16])
}

func recordID(record *clemwire.Record) id {
	return newID(record.GetClaim().GetOrganisation(), record.GetClaim().GetKey())
}

// index folds the records of a log into the record in force of each key.
// Finished claims, which are the bulk, take an entry of a run once their
// segment is sealed; the records of all others are held.
type index struct {
	open map[id]openRecord
	// done holds the positions of the finished claims in the head.
	done map[id]int
	runs runs
}

// openRecord is the record in force of a claim that is not finished.
type openRecord struct {
	*clemwire.Record
	segment uint64
}

func newIndex() index {
	return index{open: map[id]openRecord{}, done: map[id]int{}}
}

// add takes in the next record of the log, at a position of the head.
func (x *index) add(key id, record *clemwire.Record, segment uint64, position int) {
	if record.GetState() == stateDone {
		delete(x.open, key)
		x.done[key] = position
		return
	}
	x.open[key] = openRecord{Record: record, segment: segment}
}

// size returns the number of keys, with finished ones that were dropped but not merged away.
func (x *index) size() int { return len(x.open) + len(x.done) + x.runs.size() }

// seal moves the finished claims of the head to the runs.
func (x *index) seal(segment uint64) {
	keys := make([]id, 0, len(x.done))
	for key := range x.done {
		keys = append(keys, key)
	}
	x.runs.add(keys, segment)
	clear(x.done)
}

// trim forgets the keys whose record in force stands before the segment.
func (x *index) trim(first uint64) {
	for key, record := range x.open {
		if record.segment < first {
			delete(x.open, key)
		}
	}
	x.runs.first = first
}

// unresolved returns the records in force in the segment that retention must
// not drop: claims without a known outcome.
func (x *index) unresolved(segment uint64) []*clemwire.Record {
	var records []*clemwire.Record
	for _, record := range x.open {
		if record.segment == segment && record.GetState() != stateVoid {
			records = append(records, record.Record)
		}
	}
	return records
}
