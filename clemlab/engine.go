package clemlab

import (
	"container/list"
	"slices"
	"time"
)

// engineConfig describes an emulated inference engine.
type engineConfig struct {
	// maxBatchSize is the maximum number of sequences in a batch.
	maxBatchSize int
	// A step takes stepTime and, for each decoding sequence, timePerSequence.
	stepTime, timePerSequence time.Duration
	// prefillTimePerToken is the time that prefill adds to a step per prompt
	// token.
	prefillTimePerToken time.Duration
	// chunkTokens is the maximum number of prompt tokens in a step.
	chunkTokens int
	// cacheTokens is the size of the prefix cache.
	cacheTokens int
}

func defaultEngine() engineConfig {
	return engineConfig{
		maxBatchSize: 16, stepTime: 16 * time.Millisecond, timePerSequence: 200 * time.Microsecond,
		prefillTimePerToken: 40 * time.Microsecond, chunkTokens: 512, cacheTokens: 150_000,
	}
}

// sequence is one request in an engine.
type sequence struct {
	request       *request
	priority      func() int
	prefillTokens int
	cachedTokens  int
	outputTokens  int
	workTokens    int
	onToken       func(produced int)
	onEnd         func()
}

// engine emulates continuous batching with chunked prefill. Each step decodes one
// token of every sequence whose prefill is done, and processes up to chunkTokens
// prompt tokens of the others, the most urgent ones first.
type engine struct {
	engineConfig
	sim        *simulator
	running    []*sequence
	cache      *prefixCache
	slowdown   func(now time.Time) float64
	isStepping bool
}

func newEngine(sim *simulator, c engineConfig, slowdown func(time.Time) float64) *engine {
	return &engine{engineConfig: c, sim: sim, cache: newPrefixCache(c.cacheTokens), slowdown: slowdown}
}

// start adds a sequence to the batch.
func (e *engine) start(s *sequence) {
	s.cachedTokens = e.cache.lookup(s.request)
	s.prefillTokens = max(1, s.request.promptTokens()-s.cachedTokens)
	e.running = append(e.running, s)
	e.step()
}

// stop removes a sequence from the batch.
func (e *engine) stop(s *sequence) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// step starts the next step unless one is in progress.
func (e *engine) step() {
	if e.isStepping || len(e.running) == 0 {
		return
	}
	e.isStepping = true
	batch := slices.Clone(e.running)
	slices.SortStableFunc(batch, func(a, b *sequence) int { return a.priority() - b.priority() })
	chunkLeft, decoding := e.chunkTokens, 0
	var ready []*sequence
	for _, s := range batch {
		if s.prefillTokens == 0 {
			decoding++
			ready = append(ready, s)
			continue
		}
		tokens := min(chunkLeft, s.prefillTokens)
		chunkLeft -= tokens
		s.prefillTokens -= tokens
		s.workTokens += tokens
		if s.prefillTokens == 0 {
			ready = append(ready, s)
		}
	}
	duration := e.stepTime + time.Duration(decoding)*e.timePerSequence + time.Duration(e.chunkTokens-chunkLeft)*e.prefillTimePerToken
	duration = time.Duration(float64(duration) * e.slowdown(e.sim.now))
	e.sim.after(duration, func() { e.finishStep(ready) })
}

// finishStep ends a step, in which each ready sequence has produced a token.
func (e *engine) finishStep(ready []*sequence) {
	for _, s := range ready {
		if !slices.Contains(e.running, s) {
			continue
		}
		s.outputTokens++
		s.workTokens++
		isComplete := s.outputTokens >= s.request.spec.outputTokens
		if isComplete {
			e.stop(s)
			e.cache.store(s.request)
		}
		s.onToken(s.outputTokens)
		if isComplete {
			s.onEnd()
		}
	}
	e.isStepping = false
	e.step()
}

// prefixCache is an LRU cache of the prompt prefixes of chats and organisations.
type prefixCache struct {
	maxTokens  int
	usedTokens int
	byUse      list.List
	entries    map[string]*list.Element
}

type prefix struct {
	key    string
	tokens int
}

func newPrefixCache(maxTokens int) *prefixCache {
	return &prefixCache{maxTokens: maxTokens, entries: map[string]*list.Element{}}
}

// tokens returns the number of tokens cached under the key.
func (c *prefixCache) tokens(key string) int {
	if element := c.entries[key]; element != nil {
		return element.Value.(*prefix).tokens
	}
	return 0
}

// lookup returns the number of prompt tokens that need no prefill.
func (c *prefixCache) lookup(r *request) int {
	spec := r.spec
	hit := min(r.promptTokens()-spec.userTokens, max(c.tokens(spec.chat), c.tokens(spec.organisation)))
	for _, key := range []string{spec.chat, spec.organisation} {
		if element := c.entries[key]; element != nil {
			c.byUse.MoveToFront(element)
		}
	}
	return hit
}

// store caches the chat's prefix and its organisation's system prompt.
func (c *prefixCache) store(r *request) {
	c.put(r.spec.organisation, r.spec.systemTokens)
	c.put(r.spec.chat, r.promptTokens()+r.spec.outputTokens)
}

func (c *prefixCache) put(key string, tokens int) {
	if element := c.entries[key]; element != nil {
		c.usedTokens -= element.Value.(*prefix).tokens
		c.byUse.Remove(element)
	}
	c.entries[key] = c.byUse.PushFront(&prefix{key: key, tokens: tokens})
	c.usedTokens += tokens
	for c.usedTokens > c.maxTokens {
		oldest := c.byUse.Back()
		evicted := oldest.Value.(*prefix)
		c.usedTokens -= evicted.tokens
		c.byUse.Remove(oldest)
		delete(c.entries, evicted.key)
	}
}
