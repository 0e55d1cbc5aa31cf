package clemstandin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	defaultSlots   = 8
	defaultStep    = 20 * time.Millisecond
	defaultPrefill = 512
	defaultCache   = 65_536
	defaultOutput  = 24
)

// EngineConfig describes an Engine to construct.
type EngineConfig struct {
	// Name stands in each answer; without one it is the model.
	Name  string
	Model string
	// Slots is the number of requests that run in one batch; 0 means 8.
	Slots int
	// Step is the time of one decoding step of a batch of one; 0 means 20 ms.
	Step time.Duration
	// Batch is the share by which each further request of the batch lengthens a step.
	Batch float64
	// Prefill is the number of uncached prompt tokens per step; 0 means 512.
	Prefill int
	// Cache is the size of the prefix cache in tokens; 0 means 65,536.
	Cache int
	// Output is the mean number of tokens in an answer; 0 means 24.
	Output int
	// Seed feeds the loss of cache events.
	Seed uint64
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// Weights is the base address of the platform whose weight store holds
	// the model versions; without one, versions load from nowhere.
	Weights string
	// Client fetches weights; nil means http.DefaultClient.
	Client *http.Client
	Faults EngineFaults
}

// EngineFaults are the faults of an engine, in their JSON form.
type EngineFaults struct {
	// Slow multiplies every step; 0 means 1.
	Slow float64 `json:"slow"`
	// Refuse is the number of coming requests answered 503 without running.
	Refuse int `json:"refuse"`
	// Cut is the number of coming answers whose connection breaks halfway.
	Cut int `json:"cut"`
	// Short is the number of coming streams that end in order without [DONE].
	Short int `json:"short"`
	// Lag is the time by which /metrics lags behind the truth.
	Lag Duration `json:"lag"`
	// Late is the time by which cache events come late, Loss the share of them that is lost.
	Late Duration `json:"late"`
	Loss float64  `json:"loss"`
	// Loading is the time that an order to load takes.
	Loading Duration `json:"loading"`
}

// Engine is an http.Handler that stands in for a model engine with an
// OpenAI-compatible interface.
type Engine struct {
	http.Handler
	config EngineConfig
	batch  *batch
	cache  *prefixCache
	orders orders

	// mu guards the faults. No other lock is taken under it.
	mu     sync.Mutex
	faults EngineFaults
}

// NewEngine returns the engine that the configuration describes.
func NewEngine(c EngineConfig) *Engine {
	c = withDefaults(c)
	e := &Engine{
		config: c, faults: c.Faults, batch: newBatch(c.Slots),
		cache: newPrefixCache(c.Cache, rand.New(rand.NewPCG(c.Seed, c.Seed))),
	}
	e.cache.loss = c.Faults.Loss
	r := chi.NewRouter()
	r.Get("/healthz", health)
	r.Get("/health", health)
	r.Get("/metrics", e.metrics)
	r.Get("/v1/models", e.models)
	r.Post("/v1/chat/completions", e.chat)
	r.Get("/v1/load", e.getLoad)
	r.Post("/v1/load", e.postLoad)
	r.Get("/v1/cache", e.exportCache)
	r.Post("/v1/cache", e.importCache)
	r.Get("/v1/cache/events", e.cacheEvents)
	r.Get("/faults", e.getFaults)
	r.Put("/faults", e.putFaults)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeAPIError(w, &apiError{status: http.StatusNotFound, Message: "no such path: " + r.URL.Path, Type: invalidRequest})
	})
	e.Handler = r
	return e
}

func withDefaults(c EngineConfig) EngineConfig {
	if c.Name == "" {
		c.Name = c.Model
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Step <= 0 {
		c.Step = defaultStep
	}
	if c.Prefill <= 0 {
		c.Prefill = defaultPrefill
	}
	if c.Cache <= 0 {
		c.Cache = defaultCache
	}
	if c.Output <= 0 {
		c.Output = defaultOutput
	}
	if c.Client == nil {
		c.Client = http.DefaultClient
	}
	return c
}

// Inject replaces the faults.
func (e *Engine) Inject(faults EngineFaults) {
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
	e.cache.setLoss(faults.Loss)
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// take uses up one of a number of coming faults.
func (e *Engine) take(field func(*EngineFaults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := field(&e.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.currentFaults())
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxFaults), &faults); err != nil {
		writeAPIError(w, invalid("faults", err.Error()))
		return
	}
	e.Inject(faults)
	w.WriteHeader(http.StatusNoContent)
}
