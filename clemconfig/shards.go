package clemconfig

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shardCount is the number of parts of a map. A change copies one part and the
// list of parts, which is cheapest when both are about as large; 128 suits
// the 20,000 entries of the size to design for.
const shardCount = 128

var shardSeed = maphash.MakeSeed()

// shards is a map that shares its unchanged parts with the maps it was made
// from. The zero value is empty.
type shards[K comparable, V any] struct {
	parts *[shardCount]map[K]V
}

func shardOf[K comparable](key K) int {
	return int(maphash.Comparable(shardSeed, key) % shardCount)
}

// get returns the value of the key and whether there is one.
func (s shards[K, V]) get(key K) (V, bool) {
	if s.parts == nil {
		var none V
		return none, false
	}
	value, ok := s.parts[shardOf(key)][key]
	return value, ok
}

// set sets the key, in a copy of its part if other maps may share it.
func (s *shards[K, V]) set(key K, value V, shared bool) {
	at := shardOf(key)
	if shared || s.parts == nil || s.parts[at] == nil {
		*s, _ = s.copyPart(key)
	}
	s.parts[at][key] = value
}

// without returns the map without the key.
func (s shards[K, V]) without(key K) shards[K, V] {
	if _, ok := s.get(key); !ok {
		return s
	}
	next, part := s.copyPart(key)
	delete(part, key)
	return next
}

// copyPart returns a map with a copy of the key's part, and that copy.
func (s shards[K, V]) copyPart(key K) (shards[K, V], map[K]V) {
	parts := new([shardCount]map[K]V)
	if s.parts != nil {
		*parts = *s.parts
	}
	at := shardOf(key)
	part := maps.Clone(parts[at])
	if part == nil {
		part = map[K]V{}
	}
	parts[at] = part
	return shards[K, V]{parts}, part
}

// all returns the entries in no order.
func (s shards[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if s.parts == nil {
			return
		}
		for _, part := range s.parts {
			for key, value := range part {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}
