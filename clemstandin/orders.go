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

const maxOrderBytes = 64 << 10

// LoadState is the model version and the adapters that an engine has loaded. It
// is also the body of a load order.
type LoadState struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// Fence is the fencing token of the order.
	Fence uint64 `json:"fence"`
}

// loadOrders holds the result of the last load order and the highest fencing
// token.
type loadOrders struct {
	mu           sync.Mutex
	state        LoadState
	highestFence uint64
}

func (o *loadOrders) hasAdapter(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.state.Adapters, name)
}

func (o *loadOrders) current() LoadState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// acceptFence reports whether no higher fencing token was seen, and records the
// token in that case.
func (o *loadOrders) acceptFence(fence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fence < o.highestFence {
		return false
	}
	o.highestFence = fence
	return true
}

func (o *loadOrders) setState(state LoadState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = state
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.loadOrders.current())
}

// postLoad executes a load order. With fencing, the token is checked before and
// after loading, because a newer order may arrive in the meantime.
func (e *Engine) postLoad(w http.ResponseWriter, r *http.Request) {
	var order LoadState
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxOrderBytes), &order); err != nil {
		writeAPIError(w, newInvalidRequestError("", "order: "+err.Error()))
		return
	}
	if e.config.Fencing && !e.loadOrders.acceptFence(order.Fence) {
		writeAPIError(w, newFencedError())
		return
	}
	if apiErr := e.fetchWeights(r.Context(), order.Version); apiErr != nil {
		writeAPIError(w, apiErr)
		return
	}
	if e.config.Fencing && !e.loadOrders.acceptFence(order.Fence) {
		writeAPIError(w, newFencedError())
		return
	}
	e.loadOrders.setState(order)
	writeJSON(w, http.StatusOK, order)
}

func newFencedError() *apiError {
	apiErr := newInvalidRequestError("fence", "a newer fencing number was seen").withCode("fenced")
	apiErr.status = http.StatusConflict
	return apiErr
}

// fetchWeights waits for the injected delay and, unless the version is loaded
// already, downloads it from the weight store.
func (e *Engine) fetchWeights(ctx context.Context, version string) *apiError {
	if sleep(ctx, time.Duration(e.currentFaults().LoadDelay)) != nil {
		abort()
	}
	if e.config.WeightsURL == "" || version == "" || version == e.loadOrders.current().Version {
		return nil
	}
	target := strings.TrimRight(e.config.WeightsURL, "/") + "/weights/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return newInvalidRequestError("version", err.Error())
	}
	resp, err := e.config.Client.Do(req)
	if err != nil {
		return newUnavailableError("weight store: " + err.Error())
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return newInvalidRequestError("version", "the weight store holds no version "+version)
	default:
		return newUnavailableError("weight store: " + resp.Status)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return newUnavailableError("weight store: " + err.Error())
	}
	return nil
}
