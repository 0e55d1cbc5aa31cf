package clemrank

import (
	"cmp"
	"slices"
)

// Order sorts the items by rendezvous hashing of the key, the best first. The
// digest tells items apart.
func Order[T any](items []T, key uint64, digest func(T) uint64) {
	slices.SortFunc(items, func(a, b T) int {
		return cmp.Compare(mix(key^digest(b)), mix(key^digest(a)))
	})
}
