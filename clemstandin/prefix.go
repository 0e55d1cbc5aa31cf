package clemstandin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the number of tokens in one block of the prefix cache.
	blockTokens = 16
	// maxEvents is the number of cache events that are retained.
	maxEvents = 4096
)

// Actions of cache events.
const (
	blockStored  = "stored"
	blockRemoved = "removed"
)

// CacheEvent reports that a block was stored in or removed from the prefix
// cache. Numbers increase by 1; a gap means that events were lost.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Action string `json:"action"`
	Block  uint64 `json:"block,string"`
	time   time.Time
}

// prefixCache is a least-recently-used cache of blocks of tokens. A block is
// identified by a digest of its tokens and all tokens before it, so that a hit
// implies an equal prefix.
type prefixCache struct {
	mu             sync.Mutex
	maxBlocks      int
	recency        *list.List // block digests, the most recently used first
	blocks         map[uint64]*list.Element
	events         []CacheEvent
	lastEvent      uint64
	rand           *rand.Rand
	eventLossRatio float64
	queriedTokens  uint64
	hitTokens      uint64
}

func newPrefixCache(tokens int, random *rand.Rand) *prefixCache {
	return &prefixCache{
		maxBlocks: max(1, tokens/blockTokens), recency: list.New(),
		blocks: map[uint64]*list.Element{}, rand: random,
	}
}

// blockDigests returns the digest of each full block of the tokens.
func blockDigests(tokens []string) []uint64 {
	found := make([]uint64, 0, len(tokens)/blockTokens)
	digest := xxhash.New()
	for i, token := range tokens {
		_, _ = digest.WriteString(token)
		_, _ = digest.Write([]byte{0})
		if (i+1)%blockTokens == 0 {
			found = append(found, digest.Sum64())
		}
	}
	return found
}

// cachedTokens returns the length in tokens of the longest cached prefix.
func (c *prefixCache) cachedTokens(tokens []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for _, block := range blockDigests(tokens) {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.recency.MoveToFront(element)
		cached += blockTokens
	}
	c.queriedTokens += uint64(len(tokens))
	c.hitTokens += uint64(cached)
	return cached
}

// store adds the full blocks of the tokens.
func (c *prefixCache) store(tokens []string) { c.addBlocks(blockDigests(tokens)) }

// addBlocks adds the blocks of a prefix. The last block becomes the least
// recently used of them and is evicted first, because a block is useless without
// the ones before it.
func (c *prefixCache) addBlocks(blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.blocks[blocks[i]]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.recency.PushFront(blocks[i])
		c.recordEvent(blockStored, blocks[i])
	}
	for c.recency.Len() > c.maxBlocks {
		last := c.recency.Back()
		block := c.recency.Remove(last).(uint64)
		delete(c.blocks, block)
		c.recordEvent(blockRemoved, block)
	}
}

// mostRecent returns up to n blocks, the most recently used first.
func (c *prefixCache) mostRecent(n int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := []uint64{}
	for e := c.recency.Front(); e != nil && len(blocks) < n; e = e.Next() {
		blocks = append(blocks, e.Value.(uint64))
	}
	return blocks
}

// recordEvent records an event unless it is chosen to be lost. A lost event
// leaves a gap in the numbers.
func (c *prefixCache) recordEvent(action string, block uint64) {
	c.lastEvent++
	if c.eventLossRatio > 0 && c.rand.Float64() < c.eventLossRatio {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, CacheEvent{Number: c.lastEvent, Action: action, Block: block, time: time.Now()})
}

// eventsAfter returns the events after the number that are at least minAge old.
func (c *prefixCache) eventsAfter(number uint64, minAge time.Duration) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-minAge)
	found := []CacheEvent{}
	for _, event := range c.events {
		if event.Number > number && !event.time.After(limit) {
			found = append(found, event)
		}
	}
	return found
}

func (c *prefixCache) setEventLossRatio(loss float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventLossRatio = loss
}

// hitCounts returns the total numbers of tokens looked up and found.
func (c *prefixCache) hitCounts() (queried, hits uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queriedTokens, c.hitTokens
}
