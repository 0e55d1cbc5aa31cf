package clemstandin

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxCallBytes = 8 << 20

// ServiceConfig describes a Service to construct.
type ServiceConfig struct {
	// Name is the server name in responses.
	Name   string
	Faults ServiceFaults
}

// ServiceFaults are the faults to inject into a plain service, as sent to its
// /faults endpoint. The zero value injects none.
type ServiceFaults struct {
	// Delay is the time that each call takes to run.
	Delay Duration `json:"delay"`
	// ResponseDelay is the time between a run and its response.
	ResponseDelay Duration `json:"answer"`
	// Refusals is the number of upcoming calls that get status 503 and do not run.
	Refusals int `json:"refuse"`
	// AbortsBeforeRun is the number of upcoming calls whose connection is closed
	// before they run.
	AbortsBeforeRun int `json:"before"`
	// AbortsAfterRun is the number of upcoming calls that run but whose connection
	// is then closed without a response.
	AbortsAfterRun int `json:"after"`
}

// RunCounts holds the numbers of runs of a plain service, by idempotency key and
// by call.
type RunCounts struct {
	ByKey  map[string]int `json:"keys"`
	ByCall map[string]int `json:"calls"`
}

// CallResult is the response of a plain service.
type CallResult struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Call    string `json:"call"`
	Key     string `json:"key,omitempty"`
	// Run is the number of runs so far with the key or, without one, of the call.
	Run int `json:"run"`
}

// Service is an http.Handler that stands in for a plain service, one without a
// model engine. It runs every call that it receives, even a second one with the
// same Idempotency-Key: preventing duplicate runs is up to the fleet in front of
// it.
type Service struct {
	http.Handler
	name string

	mu        sync.Mutex
	faults    ServiceFaults
	runCounts RunCounts
}

// NewService returns the service that the configuration describes.
func NewService(c ServiceConfig) *Service {
	s := &Service{
		name: c.Name, faults: c.Faults,
		runCounts: RunCounts{ByKey: map[string]int{}, ByCall: map[string]int{}},
	}
	r := chi.NewRouter()
	s.Handler = r
	r.Get("/healthz", health)
	r.Get("/runs", s.getRuns)
	r.Put("/faults", s.putFaults)
	r.Post("/{service}/{call}", s.call)
	return s
}

// Inject replaces the faults.
func (s *Service) Inject(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns a copy of the counts.
func (s *Service) Runs() RunCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RunCounts{ByKey: maps.Clone(s.runCounts.ByKey), ByCall: maps.Clone(s.runCounts.ByCall)}
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if _, err := readBody(w, r, maxCallBytes); err != nil {
		writeError(w, err)
		return
	}
	delay, refused := s.applyFaultsBeforeRun()
	if refused {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "the service refuses the call", http.StatusServiceUnavailable)
		return
	}
	if sleep(r.Context(), delay) != nil {
		abort()
	}
	responseDelay := s.responseDelay()
	result, lost := s.countRun(chi.URLParam(r, "service"), chi.URLParam(r, "call"), r.Header.Get("Idempotency-Key"))
	if lost || sleep(r.Context(), responseDelay) != nil {
		abort()
	}
	writeJSON(w, http.StatusOK, result)
}

func (s *Service) responseDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.ResponseDelay)
}

// applyFaultsBeforeRun applies the faults that take effect before a run.
func (s *Service) applyFaultsBeforeRun() (delay time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.AbortsBeforeRun > 0 {
		s.faults.AbortsBeforeRun--
		abort()
	}
	if s.faults.Refusals > 0 {
		s.faults.Refusals--
		return 0, true
	}
	return time.Duration(s.faults.Delay), false
}

// countRun counts a run and reports whether its response is to be lost.
func (s *Service) countRun(service, call, key string) (result CallResult, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result = CallResult{Server: s.name, Service: service, Call: call, Key: key}
	s.runCounts.ByCall[service+"/"+call]++
	result.Run = s.runCounts.ByCall[service+"/"+call]
	if key != "" {
		s.runCounts.ByKey[key]++
		result.Run = s.runCounts.ByKey[key]
	}
	if s.faults.AbortsAfterRun > 0 {
		s.faults.AbortsAfterRun--
		return result, true
	}
	return result, false
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServiceFaults
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxFaultsBytes), &faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(faults)
	w.WriteHeader(http.StatusNoContent)
}
