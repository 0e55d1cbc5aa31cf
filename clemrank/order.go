package clemrank

import (
	"cmp"
	"slices"
)

// SortByRendezvous sorts the items by their rendezvous weight for the key, the
// highest first. digest returns a hash that identifies an item.
func SortByRendezvous[T any](items []T, key uint64, digest func(T) uint64) {
	slices.SortFunc(items, func(a, b T) int {
		return cmp.Compare(splitmix64(key^digest(b)), splitmix64(key^digest(a)))
	})
}
