package clemstandin

import "slices"

// ProviderCopy is a copy of the Provider's store at one time.
type ProviderCopy struct {
	rows                      []ProviderRow
	version, compactedVersion uint64
}

// Copy returns a copy of the store, from which Restore restores it.
func (p *Provider) Copy() ProviderCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ProviderCopy{rows: slices.Clone(p.rows), version: p.version, compactedVersion: p.compactedVersion}
}

// Restore sets the store to the state of the copy. Its versions go back and are given out
// again, and its era rises. Restore returns what the operator and the servers wrote since
// the copy, for WriteAgain.
func (p *Provider) Restore(from ProviderCopy) (lost []ProviderRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.rows
	p.rows, p.version, p.compactedVersion = slices.Clone(from.rows), from.version, from.compactedVersion
	p.staleRows, p.staleVersion = nil, 0
	p.era++
	p.notifyFeeds()
	for _, row := range before {
		if isWrittenByOthers(row) && row.Version > from.version {
			lost = append(lost, row)
		}
	}
	for _, row := range from.rows {
		isPresent := slices.ContainsFunc(before, func(o ProviderRow) bool { return isSameRow(o, row) })
		if isWrittenByOthers(row) && !isPresent && !row.Removed {
			// Its removal was compacted.
			row.Removed = true
			lost = append(lost, row)
		}
	}
	return lost
}

// WriteAgain writes the rows that Restore returned, except for those that were written after
// the store was restored from the copy.
func (p *Provider) WriteAgain(lost []ProviderRow, from ProviderCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range lost {
		isNewer := slices.ContainsFunc(p.rows, func(o ProviderRow) bool { return isSameRow(o, row) && o.Version > from.version })
		if !isNewer {
			p.put(row)
		}
	}
}

// isSameRow reports whether two rows have the same table, part and key.
func isSameRow(a, b ProviderRow) bool {
	return a.Table == b.Table && a.Part == b.Part && a.Key == b.Key
}

// isWrittenByOthers reports whether the operator or a server writes the row, and not
// an entry.
func isWrittenByOthers(row ProviderRow) bool { return row.Table == "op" || row.Table == "servers" }
