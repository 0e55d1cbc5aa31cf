package clemstandin

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

const maxOrder = 64 << 10

// LoadState is what an engine has loaded, and the body of an order to load.
type LoadState struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// Fence is the fencing number of the order.
	Fence uint64 `json:"fence"`
}

// orders holds the orders that the engine took.
type orders struct {
	mu      sync.Mutex
	state   LoadState
	highest uint64
}

func (o *orders) hasAdapter(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.state.Adapters, name)
}

func (o *orders) current() LoadState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// pass reports whether an order with the fencing number may go on, and
// remembers the number.
func (o *orders) pass(fence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fence < o.highest {
		return false
	}
	o.highest = fence
	return true
}

func (o *orders) set(state LoadState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = state
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.orders.current())
}

// postLoad carries out an order. A fencing engine checks the number before
// and after loading, because a newer order may come in between.
func (e *Engine) postLoad(w http.ResponseWriter, r *http.Request) {
	var order LoadState
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxOrder), &order); err != nil {
		writeAPIError(w, invalid("", "order: "+err.Error()))
		return
	}
	if e.config.Fencing && !e.orders.pass(order.Fence) {
		writeAPIError(w, fenced())
		return
	}
	if fault := e.fetch(r.Context(), order.Version); fault != nil {
		writeAPIError(w, fault)
		return
	}
	if e.config.Fencing && !e.orders.pass(order.Fence) {
		writeAPIError(w, fenced())
		return
	}
	e.orders.set(order)
	writeJSON(w, http.StatusOK, order)
}

func fenced() *apiError {
	fault := invalid("fence", "a newer fencing number was seen").withCode("fenced")
	fault.status = http.StatusConflict
	return fault
}

// fetch takes the loading time and gets a version that is not loaded from the weight store.
func (e *Engine) fetch(ctx context.Context, version string) *apiError {
	if sleep(ctx, time.Duration(e.currentFaults().Loading)) != nil {
		abort()
	}
	if e.config.Weights == "" || version == "" || version == e.orders.current().Version {
		return nil
	}
	target := strings.TrimRight(e.config.Weights, "/") + "/weights/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return invalid("version", err.Error())
	}
	resp, err := e.config.Client.Do(req)
	if err != nil {
		return unavailable("weight store: " + err.Error())
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return invalid("version", "the weight store holds no version "+version)
	default:
		return unavailable("weight store: " + resp.Status)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return unavailable("weight store: " + err.Error())
	}
	return nil
}
