package clemstandin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	defaultSlots            = 8
	defaultStepTime         = 20 * time.Millisecond
	defaultPrefillTokens    = 512
	defaultCacheTokens      = 65_536
	defaultMeanOutputTokens = 24
)

// EngineConfig describes an Engine to construct.
type EngineConfig struct {
	// Name starts the text of each response; by default it is the model.
	Name  string
	Model string
	// Slots is the maximum number of requests in a batch; 0 means 8.
	Slots int
	// StepTime is the duration of a decoding step with a single running request; 0
	// means 20 ms.
	StepTime time.Duration
	// BatchSlowdown is the fraction by which each further request in the batch
	// lengthens a step.
	BatchSlowdown float64
	// PrefillTokens is the number of uncached prompt tokens that are processed in
	// the time of one step; 0 means 512.
	PrefillTokens int
	// CacheTokens is the capacity of the prefix cache in tokens; 0 means 65,536.
	CacheTokens int
	// MeanOutputTokens is the mean number of tokens in a response; 0 means 24.
	MeanOutputTokens int
	// Seed seeds the choice of the cache events that are lost.
	Seed uint64
	// Fencing makes the engine refuse load orders with an outdated fencing token.
	Fencing bool
	// WeightsURL is the base URL of the platform whose weight store holds the model
	// versions. Without one, loading a version fetches nothing.
	WeightsURL string
	// Client fetches weights; nil means http.DefaultClient.
	Client *http.Client
	Faults EngineFaults
}

// EngineFaults are the faults to inject into an engine, as sent to its /faults
// endpoint. The zero value injects none.
type EngineFaults struct {
	// SlowdownFactor multiplies the duration of every step; 0 means 1.
	SlowdownFactor float64 `json:"slow"`
	// Refusals is the number of upcoming requests that get status 503 and do not
	// run.
	Refusals int `json:"refuse"`
	// TruncatedResponses is the number of upcoming responses whose connection is
	// closed halfway.
	TruncatedResponses int `json:"cut"`
	// UnterminatedStreams is the number of upcoming streams that end cleanly but
	// without [DONE].
	UnterminatedStreams int `json:"short"`
	// MetricsLag is the age of the load that /metrics reports.
	MetricsLag Duration `json:"lag"`
	// EventDelay is the delay until a cache event is reported, EventLossRatio the
	// fraction of events that are never reported.
	EventDelay     Duration `json:"late"`
	EventLossRatio float64  `json:"loss"`
	// LoadDelay is the time that a load order takes.
	LoadDelay Duration `json:"loading"`
}

// Engine is an http.Handler that stands in for a model engine with an
// OpenAI-compatible API: batching, a prefix cache and load orders are simulated,
// the text of a response is derived from the prompt.
type Engine struct {
	http.Handler
	config     EngineConfig
	batch      *batch
	cache      *prefixCache
	loadOrders loadOrders

	// mu guards faults. No other lock is taken while it is held.
	mu     sync.Mutex
	faults EngineFaults
}

// NewEngine returns the engine that the configuration describes.
func NewEngine(c EngineConfig) *Engine {
	c = withDefaults(c)
	e := &Engine{
		config: c, faults: c.Faults, batch: newBatch(c.Slots),
		cache: newPrefixCache(c.CacheTokens, rand.New(rand.NewPCG(c.Seed, c.Seed))),
	}
	e.cache.eventLossRatio = c.Faults.EventLossRatio
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
		writeAPIError(w, &apiError{status: http.StatusNotFound, Message: "no such path: " + r.URL.Path, Type: typeInvalidRequest})
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
	if c.StepTime <= 0 {
		c.StepTime = defaultStepTime
	}
	if c.PrefillTokens <= 0 {
		c.PrefillTokens = defaultPrefillTokens
	}
	if c.CacheTokens <= 0 {
		c.CacheTokens = defaultCacheTokens
	}
	if c.MeanOutputTokens <= 0 {
		c.MeanOutputTokens = defaultMeanOutputTokens
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
	e.cache.setEventLossRatio(faults.EventLossRatio)
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// consumeFault decrements the selected counter of faults and reports whether it
// was above 0.
func (e *Engine) consumeFault(field func(*EngineFaults) *int) bool {
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
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxFaultsBytes), &faults); err != nil {
		writeAPIError(w, newInvalidRequestError("faults", err.Error()))
		return
	}
	e.Inject(faults)
	w.WriteHeader(http.StatusNoContent)
}
