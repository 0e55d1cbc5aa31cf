package clemstandin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxImportBlocks is the maximum number of blocks in one import or export.
const maxImportBlocks = 4096

// models lists the model and the loaded adapters.
func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Owner   string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	for _, name := range append([]string{e.config.Model}, e.loadOrders.current().Adapters...) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "clementineturn"})
	}
	writeJSON(w, http.StatusOK, list)
}

// metrics reports the load in the Prometheus text format, with the metric names
// of vLLM.
func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(e.currentFaults().MetricsLag)
	e.batch.mu.Lock()
	load := e.batch.history.at(lag)
	e.batch.mu.Unlock()
	queried, hits := e.cache.hitCounts()
	usageRatio := min(1, float64(load.tokens)/float64(e.config.CacheTokens))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	for _, m := range []struct {
		name, kind, labels string
		value              float64
	}{
		{"vllm:num_requests_running", "gauge", "", float64(load.running)},
		{"vllm:num_requests_waiting", "gauge", "", float64(load.waiting)},
		{"vllm:kv_cache_usage_perc", "gauge", "", usageRatio},
		{"vllm:cache_config_info", "gauge", fmt.Sprintf("block_size=%q,num_gpu_blocks=%q,", strconv.Itoa(blockTokens), strconv.Itoa(e.config.CacheTokens/blockTokens)), 1},
		{"vllm:prefix_cache_queries_total", "counter", "", float64(queried)},
		{"vllm:prefix_cache_hits_total", "counter", "", float64(hits)},
	} {
		_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s{%smodel_name=%q} %g\n", m.name, m.kind, m.name, m.labels, e.config.Model, m.value)
	}
}

// cacheBlocks is the body of an export or import of the prefix cache.
type cacheBlocks struct {
	// Blocks are the digests in decimal, the most recently used first.
	Blocks []string `json:"blocks"`
}

// exportCache returns the most recently used blocks, at most ?limit=N.
func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	limit, err := queryNumber(r, "limit", maxImportBlocks)
	if err != nil {
		writeAPIError(w, newInvalidRequestError("limit", err.Error()))
		return
	}
	export := cacheBlocks{Blocks: []string{}}
	for _, block := range e.cache.mostRecent(int(min(limit, maxImportBlocks))) {
		export.Blocks = append(export.Blocks, strconv.FormatUint(block, 10))
	}
	writeJSON(w, http.StatusOK, export)
}

// importCache adds the blocks of an export to the cache.
func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	blocks, err := decodeBlocks(http.MaxBytesReader(w, r.Body, maxChatBytes))
	if err != nil {
		writeAPIError(w, newInvalidRequestError("blocks", err.Error()))
		return
	}
	e.cache.addBlocks(blocks)
	w.WriteHeader(http.StatusNoContent)
}

// cacheEvents returns the cache events after the number ?after=N.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after", 0)
	if err != nil {
		writeAPIError(w, newInvalidRequestError("after", err.Error()))
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Events []CacheEvent `json:"events"`
	}{e.cache.eventsAfter(after, time.Duration(e.currentFaults().EventDelay))})
}

func queryNumber(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

// decodeBlocks decodes the body of an import.
func decodeBlocks(r io.Reader) ([]uint64, error) {
	var body cacheBlocks
	if err := readStrict(r, &body); err != nil {
		return nil, err
	}
	if len(body.Blocks) > maxImportBlocks {
		return nil, fmt.Errorf("found %d blocks, at most %d are allowed", len(body.Blocks), maxImportBlocks)
	}
	blocks := make([]uint64, len(body.Blocks))
	for i, text := range body.Blocks {
		block, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, err
		}
		blocks[i] = block
	}
	return blocks, nil
}
