package clemspread

import (
	"maps"
	"slices"
)

// KnownEntries returns the addresses of all entries that are known from the store's rows
// or from peers, in order, with that of this entry. Entries that do not answer are
// included until they have been silent for ten minutes (twice rowExpiry), since one that
// is cut off from the others may still send requests. isComplete is set once this entry
// has read the rows of entries, or a peer that has read from the store and is in a fleet of
// one group has sent it addresses.
func (s *Syncer) KnownEntries() (addresses []string, isComplete bool) {
	return s.peers.knownAddresses(), s.knowsEntries.Load()
}

// knownAddresses returns the addresses of all entries in order.
func (t *peerTable) knownAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(func(yield func(string) bool) {
		if yield(t.ownAddress) {
			maps.Keys(t.byAddress)(yield)
		}
	})
}
