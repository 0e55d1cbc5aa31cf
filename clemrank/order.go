package clemrank

import (
	"cmp"
	"slices"
)

// Weight returns the rendezvous weight of the item with the digest for the key. The item
// with the highest weight comes first.
func Weight(key, digest uint64) uint64 { return splitmix64(key ^ digest) }

// SortByRendezvous sorts the items by their rendezvous weight for the key, the
// highest first. digest returns a hash that identifies an item.
func SortByRendezvous[T any](items []T, key uint64, digest func(T) uint64) {
	slices.SortFunc(items, func(a, b T) int {
		return cmp.Compare(splitmix64(key^digest(b)), splitmix64(key^digest(a)))
	})
}
