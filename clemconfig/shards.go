package clemconfig

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shardCount is the number of shards of a map. A change copies one shard and
// the array of shards, which is cheapest if both are about equally large: 128
// fits the 20,000 keys of the largest fleet that the system is designed for.
const shardCount = 128

var shardSeed = maphash.MakeSeed()

// shardedMap is a persistent map: a modified copy shares all unchanged shards
// with its original. The zero value is empty.
type shardedMap[K comparable, V any] struct {
	shards *[shardCount]map[K]V
}

func shardOf[K comparable](key K) int {
	return int(maphash.Comparable(shardSeed, key) % shardCount)
}

// get returns the value of the key and whether the key is present.
func (s shardedMap[K, V]) get(key K) (V, bool) {
	if s.shards == nil {
		var none V
		return none, false
	}
	value, ok := s.shards[shardOf(key)][key]
	return value, ok
}

// set sets the value of the key in place. If shared is set, it first copies the
// key's shard, since other maps may refer to it.
func (s *shardedMap[K, V]) set(key K, value V, shared bool) {
	index := shardOf(key)
	if shared || s.shards == nil || s.shards[index] == nil {
		*s, _ = s.copyShard(key)
	}
	s.shards[index][key] = value
}

// without returns a copy of the map without the key.
func (s shardedMap[K, V]) without(key K) shardedMap[K, V] {
	if _, ok := s.get(key); !ok {
		return s
	}
	next, shard := s.copyShard(key)
	delete(shard, key)
	return next
}

// copyShard returns a map with a copy of the key's shard, and that copy.
func (s shardedMap[K, V]) copyShard(key K) (shardedMap[K, V], map[K]V) {
	shards := new([shardCount]map[K]V)
	if s.shards != nil {
		*shards = *s.shards
	}
	index := shardOf(key)
	shard := maps.Clone(shards[index])
	if shard == nil {
		shard = map[K]V{}
	}
	shards[index] = shard
	return shardedMap[K, V]{shards}, shard
}

// all iterates over the entries in no particular order.
func (s shardedMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if s.shards == nil {
			return
		}
		for _, shard := range s.shards {
			for key, value := range shard {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}
