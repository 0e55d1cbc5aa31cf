package clemclaim

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// run holds digests of claims, sorted, and the segment of each. The digests are
// cut to eight bytes, so the segment has to be read to find whether it holds the
// claim.
type run struct {
	digests  []uint64
	segments []uint32
}

func (r *run) append(digest uint64, segment uint32) {
	r.digests = append(r.digests, digest)
	r.segments = append(r.segments, segment)
}

// runs is a list of runs, the largest first, as in a log-structured merge tree:
// a run is merged with the one before unless that is at least twice as large, so
// that there are few runs and each entry is copied few times.
type runs struct {
	list []run
	// firstSegment is the oldest segment that retention has not dropped.
	firstSegment uint64
}

// size returns the number of entries, including those of dropped segments.
func (s *runs) size() int {
	n := 0
	for _, r := range s.list {
		n += len(r.digests)
	}
	return n
}

func shortDigest(id claimID) uint64 { return binary.BigEndian.Uint64(id[:8]) }

// add adds the finished claims of a segment.
func (s *runs) add(ids []claimID, segment uint64) {
	if len(ids) == 0 {
		return
	}
	slices.SortFunc(ids, func(a, b claimID) int { return cmp.Compare(shortDigest(a), shortDigest(b)) })
	var r run
	for _, id := range ids {
		r.append(shortDigest(id), uint32(segment))
	}
	s.list = append(s.list, r)
	for n := len(s.list); n > 1 && len(s.list[n-2].digests) < 2*len(s.list[n-1].digests); n-- {
		s.list[n-2] = s.merge(s.list[n-2], s.list[n-1])
		s.list = s.list[:n-1]
	}
}

// merge merges two runs without the entries of dropped segments.
func (s *runs) merge(a, b run) run {
	size := len(a.digests) + len(b.digests)
	out := run{digests: make([]uint64, 0, size), segments: make([]uint32, 0, size)}
	i, j := 0, 0
	for i < len(a.digests) || j < len(b.digests) {
		if j == len(b.digests) || i < len(a.digests) && a.digests[i] <= b.digests[j] {
			s.appendLive(&out, a, i)
			i++
			continue
		}
		s.appendLive(&out, b, j)
		j++
	}
	return out
}

// appendLive appends an entry unless its segment was dropped.
func (s *runs) appendLive(out *run, from run, i int) {
	if uint64(from.segments[i]) >= s.firstSegment {
		out.append(from.digests[i], from.segments[i])
	}
}

// candidates returns the segments that may hold the claim, the newest first.
func (s *runs) candidates(id claimID) []uint64 {
	var found []uint64
	digest := shortDigest(id)
	for _, r := range s.list {
		i, _ := slices.BinarySearch(r.digests, digest)
		for ; i < len(r.digests) && r.digests[i] == digest; i++ {
			if segment := uint64(r.segments[i]); segment >= s.firstSegment {
				found = append(found, segment)
			}
		}
	}
	slices.Sort(found)
	slices.Reverse(found)
	return found
}
