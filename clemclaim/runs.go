package clemclaim

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// run is a sorted list of digests and of the segments that hold their keys.
// Digests are cut to eight bytes: a candidate segment is read before it counts.
type run struct {
	digests  []uint64
	segments []uint32
}

func (r *run) add(digest uint64, segment uint32) {
	r.digests = append(r.digests, digest)
	r.segments = append(r.segments, segment)
}

// runs is a set of runs, the largest first, in the manner of a log-structured
// merge tree: a run that is not much smaller than the one before is merged
// with it, so that there are few runs and each entry is moved few times.
type runs struct {
	list []run
	// first is the oldest segment that counts.
	first uint64
}

// size returns the number of entries, with those that no longer count.
func (s *runs) size() int {
	n := 0
	for _, r := range s.list {
		n += len(r.digests)
	}
	return n
}

func shortDigest(key id) uint64 { return binary.BigEndian.Uint64(key[:8]) }

// add enters the keys of a segment.
func (s *runs) add(keys []id, segment uint64) {
	if len(keys) == 0 {
		return
	}
	slices.SortFunc(keys, func(a, b id) int { return cmp.Compare(shortDigest(a), shortDigest(b)) })
	var r run
	for _, key := range keys {
		r.add(shortDigest(key), uint32(segment))
	}
	s.list = append(s.list, r)
	for n := len(s.list); n > 1 && len(s.list[n-2].digests) < 2*len(s.list[n-1].digests); n-- {
		s.list[n-2] = s.merge(s.list[n-2], s.list[n-1])
		s.list = s.list[:n-1]
	}
}

// merge joins two runs without the entries of segments that were dropped.
func (s *runs) merge(a, b run) run {
	size := len(a.digests) + len(b.digests)
	out := run{digests: make([]uint64, 0, size), segments: make([]uint32, 0, size)}
	i, j := 0, 0
	for i < len(a.digests) || j < len(b.digests) {
		if j == len(b.digests) || i < len(a.digests) && a.digests[i] <= b.digests[j] {
			s.keep(&out, a, i)
			i++
			continue
		}
		s.keep(&out, b, j)
		j++
	}
	return out
}

func (s *runs) keep(out *run, from run, i int) {
	if uint64(from.segments[i]) >= s.first {
		out.add(from.digests[i], from.segments[i])
	}
}

// candidates returns the segments that may hold the key, the newest first.
func (s *runs) candidates(key id) []uint64 {
	var found []uint64
	digest := shortDigest(key)
	for _, r := range s.list {
		i, _ := slices.BinarySearch(r.digests, digest)
		for ; i < len(r.digests) && r.digests[i] == digest; i++ {
			if segment := uint64(r.segments[i]); segment >= s.first {
				found = append(found, segment)
			}
		}
	}
	slices.Sort(found)
	slices.Reverse(found)
	return found
}
