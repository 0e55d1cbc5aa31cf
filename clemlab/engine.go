package clemlab

import (
	"container/list"
	"slices"
	"time"
)

// engineConfig describes an emulated model engine.
type engineConfig struct {
	// slots is the most sequences in one batch.
	slots int
	// base and perSequence make up the time of one decoding step.
	base, perSequence time.Duration
	// perToken is the time that prefill adds per prompt token.
	perToken time.Duration
	// chunk is the most prompt tokens in one step.
	chunk int
	// memory is the size of the prefix cache in tokens.
	memory int
}

func defaultEngine() engineConfig {
	return engineConfig{
		slots: 16, base: 16 * time.Millisecond, perSequence: 200 * time.Microsecond,
		perToken: 40 * time.Microsecond, chunk: 512, memory: 150_000,
	}
}

// sequence is one request inside an engine.
type sequence struct {
	request  *request
	priority func() int
	prefill  int
	hit      int
	produced int
	spent    int
	onToken  func(produced int)
	onEnd    func()
}

// engine batches sequences continuously. Each step decodes one token of
// every sequence whose prompt is done, and fills the rest of the chunk with
// prompt tokens, lower priorities first.
type engine struct {
	engineConfig
	sim      *simulator
	running  []*sequence
	cache    *prefixCache
	slowdown func(now time.Time) float64
	stepping bool
}

func newEngine(sim *simulator, c engineConfig, slowdown func(time.Time) float64) *engine {
	return &engine{engineConfig: c, sim: sim, cache: newPrefixCache(c.memory), slowdown: slowdown}
}

// start adds a sequence to the batch.
func (e *engine) start(s *sequence) {
	s.hit = e.cache.lookup(s.request)
	s.prefill = max(1, s.request.prompt()-s.hit)
	e.running = append(e.running, s)
	e.step()
}

// stop removes a sequence from the batch.
func (e *engine) stop(s *sequence) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// step begins the next step unless one is in progress.
func (e *engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	batch := slices.Clone(e.running)
	slices.SortStableFunc(batch, func(a, b *sequence) int { return a.priority() - b.priority() })
	left, decoding := e.chunk, 0
	var ready []*sequence
	for _, s := range batch {
		if s.prefill == 0 {
			decoding++
			ready = append(ready, s)
			continue
		}
		tokens := min(left, s.prefill)
		left -= tokens
		s.prefill -= tokens
		s.spent += tokens
		if s.prefill == 0 {
			ready = append(ready, s)
		}
	}
	span := e.base + time.Duration(decoding)*e.perSequence + time.Duration(e.chunk-left)*e.perToken
	span = time.Duration(float64(span) * e.slowdown(e.sim.now))
	e.sim.after(span, func() { e.finish(ready) })
}

// finish ends a step: each ready sequence has one more token.
func (e *engine) finish(ready []*sequence) {
	for _, s := range ready {
		if !slices.Contains(e.running, s) {
			continue
		}
		s.produced++
		s.spent++
		ended := s.produced >= s.request.spec.output
		if ended {
			e.stop(s)
			e.cache.store(s.request)
		}
		s.onToken(s.produced)
		if ended {
			s.onEnd()
		}
	}
	e.stepping = false
	e.step()
}

// prefixCache holds the prefixes of chats, the least recently used evicted first.
type prefixCache struct {
	memory int
	used   int
	order  list.List
	items  map[string]*list.Element
}

type prefix struct {
	key    string
	tokens int
}

func newPrefixCache(memory int) *prefixCache {
	return &prefixCache{memory: memory, items: map[string]*list.Element{}}
}

// held returns the tokens held under the key.
func (c *prefixCache) held(key string) int {
	if element := c.items[key]; element != nil {
		return element.Value.(*prefix).tokens
	}
	return 0
}

// lookup returns the prompt tokens that need no prefill.
func (c *prefixCache) lookup(r *request) int {
	spec := r.spec
	hit := min(r.prompt()-spec.user, max(c.held(spec.chat), c.held(spec.organisation)))
	for _, key := range []string{spec.chat, spec.organisation} {
		if element := c.items[key]; element != nil {
			c.order.MoveToFront(element)
		}
	}
	return hit
}

// store keeps the chat's prefix and its organisation's system prompt.
func (c *prefixCache) store(r *request) {
	c.put(r.spec.organisation, r.spec.system)
	c.put(r.spec.chat, r.prompt()+r.spec.output)
}

func (c *prefixCache) put(key string, tokens int) {
	if element := c.items[key]; element != nil {
		c.used -= element.Value.(*prefix).tokens
		c.order.Remove(element)
	}
	c.items[key] = c.order.PushFront(&prefix{key: key, tokens: tokens})
	c.used += tokens
	for c.used > c.memory {
		oldest := c.order.Back()
		gone := oldest.Value.(*prefix)
		c.used -= gone.tokens
		c.order.Remove(oldest)
		delete(c.items, gone.key)
	}
}
