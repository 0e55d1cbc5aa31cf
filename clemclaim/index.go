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

// place tells where the record in force stands in the log.
type place struct {
	segment  uint64
	position uint32
	done     bool
}

// index folds the records of a log into the record in force of each key.
// Finished claims, which are the bulk, take only their place; the records of
// all others are held.
type index struct {
	places map[id]place
	open   map[id]*clemwire.Record
}

func newIndex() index {
	return index{places: map[id]place{}, open: map[id]*clemwire.Record{}}
}

// add takes in the next record of the log.
func (x *index) add(record *clemwire.Record, segment uint64, position int) {
	key := recordID(record)
	done := record.GetState() == stateDone
	x.places[key] = place{segment: segment, position: uint32(position), done: done}
	if done {
		delete(x.open, key)
		return
	}
	x.open[key] = record
}

// drop forgets the keys whose record in force stands in the segment.
func (x *index) drop(s *clemwire.Segment, number uint64) {
	for _, record := range s.GetRecords() {
		key := recordID(record)
		if p, ok := x.places[key]; ok && p.segment == number {
			delete(x.places, key)
			delete(x.open, key)
		}
	}
}

// trim forgets the keys whose record in force stands before the segment.
func (x *index) trim(first uint64) {
	for key, p := range x.places {
		if p.segment < first {
			delete(x.places, key)
			delete(x.open, key)
		}
	}
}

// unresolved returns the records in force in the segment that retention must
// not drop: claims without a known outcome.
func (x *index) unresolved(segment uint64) []*clemwire.Record {
	var records []*clemwire.Record
	for key, record := range x.open {
		if x.places[key].segment == segment && record.GetState() != stateVoid {
			records = append(records, record)
		}
	}
	return records
}
