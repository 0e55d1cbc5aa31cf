package clemclaim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRuns(t *testing.T) {
	var s runs
	const segments, keys = 500, 60
	idOf := func(segment, i int) claimID { return newClaimID(fmt.Sprint(segment), fmt.Sprint(i)) }
	for segment := range segments {
		var batch []claimID
		for i := range keys {
			batch = append(batch, idOf(segment, i))
		}
		s.add(batch, uint64(segment))
		if segment == segments/2 {
			s.firstSegment = segments / 4
		}
	}
	require.Less(t, s.size(), segments*keys)
	s.firstSegment = segments - 5
	require.LessOrEqual(t, len(s.list), 16)
	for segment := range segments {
		for i := range keys {
			if uint64(segment) < s.firstSegment {
				require.Empty(t, s.candidates(idOf(segment, i)))
				continue
			}
			require.Equal(t, []uint64{uint64(segment)}, s.candidates(idOf(segment, i)))
		}
	}
	require.Empty(t, s.candidates(newClaimID("no", "key")))
}

// Two claims whose digests share the first eight bytes have the segments of both
// as candidates.
func TestRunsWithOneDigest(t *testing.T) {
	var s runs
	a, b := newClaimID("shishu", "a"), newClaimID("shishu", "b")
	copy(b[:8], a[:8])
	s.add([]claimID{a}, 1)
	s.add([]claimID{b}, 2)
	require.Equal(t, []uint64{2, 1}, s.candidates(a))
	require.Equal(t, []uint64{2, 1}, s.candidates(b))
}
