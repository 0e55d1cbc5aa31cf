package clemclaim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRuns(t *testing.T) {
	var s runs
	const segments, keys = 500, 60
	key := func(segment, i int) id { return newID(fmt.Sprint(segment), fmt.Sprint(i)) }
	for segment := range segments {
		var batch []id
		for i := range keys {
			batch = append(batch, key(segment, i))
		}
		s.add(batch, uint64(segment))
		if segment == segments/2 {
			s.first = segments / 4
		}
	}
	require.Less(t, s.size(), segments*keys)
	s.first = segments - 5
	require.LessOrEqual(t, len(s.list), 16)
	for segment := range segments {
		for i := range keys {
			if uint64(segment) < s.first {
				require.Empty(t, s.candidates(key(segment, i)))
				continue
			}
			require.Equal(t, []uint64{uint64(segment)}, s.candidates(key(segment, i)))
		}
	}
	require.Empty(t, s.candidates(newID("no", "key")))
}

// Two keys whose digests share eight bytes are told apart by their segments.
func TestRunsWithOneDigest(t *testing.T) {
	var s runs
	a, b := newID("shishu", "a"), newID("shishu", "b")
	copy(b[:8], a[:8])
	s.add([]id{a}, 1)
	s.add([]id{b}, 2)
	require.Equal(t, []uint64{2, 1}, s.candidates(a))
	require.Equal(t, []uint64{2, 1}, s.candidates(b))
}
