package clemstandin

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxCall = 8 << 20

// ServiceConfig describes a Service to construct.
type ServiceConfig struct {
	// Name stands in the answers.
	Name   string
	Faults ServiceFaults
}

// ServiceFaults are the faults of a plain service.
type ServiceFaults struct {
	// Delay is the time that each call runs.
	Delay Duration `json:"delay"`
	// Answer is the time between a run and its answer.
	Answer Duration `json:"answer"`
	// Refuse is the number of coming calls answered 503 without running.
	Refuse int `json:"refuse"`
	// Before is the number of coming calls whose connection breaks before they run.
	Before int `json:"before"`
	// After is the number of coming calls that run and whose connection then
	// breaks without an answer.
	After int `json:"after"`
}

// Runs counts the runs of a plain service.
type Runs struct {
	Keys  map[string]int `json:"keys"`
	Calls map[string]int `json:"calls"`
}

// Done is the answer of a plain service.
type Done struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Call    string `json:"call"`
	Key     string `json:"key,omitempty"`
	// Run is how often the key has run, or the call if there is no key.
	Run int `json:"run"`
}

// Service is an http.Handler that stands in for a plain service. It runs
// every call it gets, also a repeat with the same Idempotency-Key: what
// prevents a second run must be in front of it.
type Service struct {
	http.Handler
	name string

	mu     sync.Mutex
	faults ServiceFaults
	runs   Runs
}

// NewService returns the service that the configuration describes.
func NewService(c ServiceConfig) *Service {
	s := &Service{
		name: c.Name, faults: c.Faults,
		runs: Runs{Keys: map[string]int{}, Calls: map[string]int{}},
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
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{Keys: maps.Clone(s.runs.Keys), Calls: maps.Clone(s.runs.Calls)}
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if _, err := readBody(w, r, maxCall); err != nil {
		writeError(w, err)
		return
	}
	delay, refused := s.enter()
	if refused {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "the service refuses the call", http.StatusServiceUnavailable)
		return
	}
	if sleep(r.Context(), delay) != nil {
		abort()
	}
	answer := s.answerDelay()
	done, lost := s.run(chi.URLParam(r, "service"), chi.URLParam(r, "call"), r.Header.Get("Idempotency-Key"))
	if lost || sleep(r.Context(), answer) != nil {
		abort()
	}
	writeJSON(w, http.StatusOK, done)
}

func (s *Service) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.Answer)
}

// enter applies the faults that come before a run.
func (s *Service) enter() (delay time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Before > 0 {
		s.faults.Before--
		abort()
	}
	if s.faults.Refuse > 0 {
		s.faults.Refuse--
		return 0, true
	}
	return time.Duration(s.faults.Delay), false
}

// run counts one run and reports whether its answer is lost.
func (s *Service) run(service, call, key string) (done Done, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	done = Done{Server: s.name, Service: service, Call: call, Key: key}
	s.runs.Calls[service+"/"+call]++
	done.Run = s.runs.Calls[service+"/"+call]
	if key != "" {
		s.runs.Keys[key]++
		done.Run = s.runs.Keys[key]
	}
	if s.faults.After > 0 {
		s.faults.After--
		return done, true
	}
	return done, false
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServiceFaults
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxFaults), &faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(faults)
	w.WriteHeader(http.StatusNoContent)
}
