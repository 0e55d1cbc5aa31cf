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
	// maxEvents bounds the cache events that are kept.
	maxEvents = 4096
)

// Actions of cache events.
const (
	blockStored  = "stored"
	blockRemoved = "removed"
)

// CacheEvent tells of one block that entered or left the prefix cache.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Action string `json:"action"`
	Block  uint64 `json:"block,string"`
	time   time.Time
}

// prefixCache is a least-recently-used cache of blocks. A block's digest
// covers all tokens before it, so that a hit means an equal prefix.
type prefixCache struct {
	mu     sync.Mutex
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
	number uint64
	random *rand.Rand
	loss   float64
	asked  uint64
	hits   uint64
}

func newPrefixCache(tokens int, random *rand.Rand) *prefixCache {
	return &prefixCache{
		limit: max(1, tokens/blockTokens), order: list.New(),
		blocks: map[uint64]*list.Element{}, random: random,
	}
}

// digests returns the digest of each full block of the tokens.
func digests(tokens []string) []uint64 {
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

// match returns the number of tokens at the start that the cache holds.
func (c *prefixCache) match(tokens []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for _, block := range digests(tokens) {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		cached += blockTokens
	}
	c.asked += uint64(len(tokens))
	c.hits += uint64(cached)
	return cached
}

// store adds the blocks of the tokens.
func (c *prefixCache) store(tokens []string) { c.add(digests(tokens)) }

// add adds blocks, the last of them as the least recently used: the start of
// a prefix is worth more than its end.
func (c *prefixCache) add(blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
		c.emit(blockStored, blocks[i])
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		block := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		c.emit(blockRemoved, block)
	}
}

// newest returns up to n blocks, the most recently used first.
func (c *prefixCache) newest(n int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := []uint64{}
	for e := c.order.Front(); e != nil && len(blocks) < n; e = e.Next() {
		blocks = append(blocks, e.Value.(uint64))
	}
	return blocks
}

// emit records an event unless it is lost. A lost one leaves a gap in the numbers.
func (c *prefixCache) emit(action string, block uint64) {
	c.number++
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, CacheEvent{Number: c.number, Action: action, Block: block, time: time.Now()})
}

// since returns the events after the number that are at least the given time old.
func (c *prefixCache) since(number uint64, late time.Duration) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-late)
	found := []CacheEvent{}
	for _, event := range c.events {
		if event.Number > number && !event.time.After(limit) {
			found = append(found, event)
		}
	}
	return found
}

func (c *prefixCache) setLoss(loss float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
}

// hitRate returns the tokens asked for and those found.
func (c *prefixCache) hitRate() (asked, hits uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked, c.hits
}
