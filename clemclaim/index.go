package clemclaim

import (
	"crypto/sha256"

	"github.com/clementineturn/clementineturn/clemwire"
)

// claimID is a digest of organisation and key. It is cryptographic because
// callers choose the keys.
type claimID [16]byte

func newClaimID(organisation, key string) claimID {
	digest := sha256.New()
	digest.Write([]byte(organisation))
	digest.Write([]byte{0})
	digest.Write([]byte(key))
	var sum [sha256.Size]byte
	return claimID(digest.Sum(sum[:0])[:16])
}

func claimIDOf(record *clemwire.Record) claimID {
	return newClaimID(record.GetClaim().GetOrganisation(), record.GetClaim().GetKey())
}

// index finds the record in force of each claim in a log. Most claims are
// finished: once their segment is sealed, the index holds only an entry of a run
// for each of them. It holds the records of all others.
type index struct {
	openRecords map[claimID]openRecord
	// doneInHead holds the positions of the finished claims in the head.
	doneInHead map[claimID]int
	// runs holds the finished claims in sealed segments.
	runs runs
}

// openRecord is the record in force of a claim that is not finished.
type openRecord struct {
	*clemwire.Record
	segment uint64
}

func newIndex() index {
	return index{openRecords: map[claimID]openRecord{}, doneInHead: map[claimID]int{}}
}

// add adds the next record of the log, which is at a position of the head.
func (x *index) add(id claimID, record *clemwire.Record, segment uint64, position int) {
	if record.GetState() == stateDone {
		delete(x.openRecords, id)
		x.doneInHead[id] = position
		return
	}
	x.openRecords[id] = openRecord{Record: record, segment: segment}
}

// size returns the number of entries, including finished claims that retention
// dropped and no merge has removed yet.
func (x *index) size() int { return len(x.openRecords) + len(x.doneInHead) + x.runs.size() }

// sealHead moves the finished claims of the head to the runs.
func (x *index) sealHead(segment uint64) {
	ids := make([]claimID, 0, len(x.doneInHead))
	for id := range x.doneInHead {
		ids = append(ids, id)
	}
	x.runs.add(ids, segment)
	clear(x.doneInHead)
}

// dropBefore removes the claims whose record in force is in a segment before the
// first.
func (x *index) dropBefore(first uint64) {
	for id, record := range x.openRecords {
		if record.segment < first {
			delete(x.openRecords, id)
		}
	}
	x.runs.firstSegment = first
}

// unresolved returns the records in force in the segment that retention must
// not drop: claims that are held or have an unknown outcome.
func (x *index) unresolved(segment uint64) []*clemwire.Record {
	var records []*clemwire.Record
	for _, record := range x.openRecords {
		if record.segment == segment && record.GetState() != stateVoid {
			records = append(records, record.Record)
		}
	}
	return records
}
