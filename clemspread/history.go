package clemspread

// history tells for which versions of the store the removals after them are
// known: those after start, except for the versions within the last gap.
//
// A read of the whole list shows which of the rows known before it are gone, but
// not which rows were written and removed since the read before it. Only a peer
// whose version lies between the two reads may hold such rows.
type history struct{ start, gapStart, gapEnd uint64 }

// skip records that the list was read whole at the second version, and last
// known at the first one, which is 0 if it was not known.
func (h *history) skip(from, to uint64) {
	if from == 0 {
		*h = history{start: to}
		return
	}
	if to > from {
		*h = history{start: h.end(), gapStart: from, gapEnd: to}
	}
}

// end returns the version after which every removal is known.
func (h *history) end() uint64 { return max(h.start, h.gapEnd) }

// covers reports whether every removal after the version is known.
func (h *history) covers(version uint64) bool {
	return version >= h.start && (version <= h.gapStart || version >= h.gapEnd)
}
