package clemspread

import (
	"cmp"
	"slices"
)

// maxVisits is the number of versions in a history: about a minute of reads. A peer at an
// earlier version needs the whole list.
const maxVisits = 128

// history holds the latest versions of the store that a list was at, in ascending
// order. The rows that differ between one of them and the list are known.
//
// Between two of them a row may have been written and removed, or removed and
// written again. A peer whose version lies there needs each row that was touched,
// however it was before; only a read of the store's changes has all of these.
type history []visit

// visit is a version that the list was at.
type visit struct {
	version uint64
	// hasAllChanges is set if every row that was written or removed since the visit
	// before is known.
	hasAllChanges bool
}

// add records that the list is at the version, which is no lower than those before.
func (h *history) add(version uint64, hasAllChanges bool) {
	if h.includes(version) {
		return
	}
	if len(*h) >= maxVisits {
		*h = slices.Delete(*h, 0, maxVisits/2)
	}
	*h = append(*h, visit{version, hasAllChanges})
}

// find returns the position of the first visit that is not before the version, and
// whether it is at the version.
func (h history) find(version uint64) (int, bool) {
	return slices.BinarySearchFunc(h, version, func(v visit, version uint64) int { return cmp.Compare(v.version, version) })
}

// includes reports whether the list is known to have been at the version.
func (h history) includes(version uint64) bool {
	_, ok := h.find(version)
	return ok
}

// covers reports whether the rows that changed after the version are known.
func (h history) covers(version uint64) bool {
	i, ok := h.find(version)
	return ok || i > 0 && i < len(h) && h[i].hasAllChanges
}
