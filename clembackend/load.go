package clembackend

import (
	"bufio"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Names of metrics and labels that vLLM exposes.
const (
	metricRunning = "vllm:num_requests_running"
	metricUsage   = "vllm:kv_cache_usage_perc"
	metricCache   = "vllm:cache_config_info"
	labelBlock    = "block_size"
	labelBlocks   = "num_gpu_blocks"
	// maxReport is the largest report read, in bytes.
	maxReport = 4 << 20
)

// Load implements clementineturn.LoadReporter. It returns the number of running
// requests and the tokens that they occupy in the engine's KV cache. The report
// may lag. A plain service has no load. Errors: KindUnavailable, KindInvalid if
// the URL is malformed.
func (b *Backend) Load(ctx context.Context) (running int, tokens uint64, err error) {
	if b.plain {
		return 0, 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/metrics", nil)
	if err != nil {
		return 0, 0, clementineturn.Errorf(clementineturn.KindInvalid, "load report: %w", err)
	}
	resp, err := b.pooled.Do(req)
	if err != nil {
		return 0, 0, clementineturn.Errorf(clementineturn.KindUnavailable, "load report: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, 0, clementineturn.Errorf(clementineturn.KindUnavailable, "load report: the engine answered %d", resp.StatusCode)
	}
	return readLoad(io.LimitReader(resp.Body, maxReport))
}

// readLoad parses a report in the Prometheus text format. The running requests
// of several models on one engine are added up; of cache usage and cache size
// the last sample counts.
func readLoad(r io.Reader) (running int, tokens uint64, err error) {
	var requests, usage, capacity float64
	found := false
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, labels, value, ok := parseSample(lines.Text())
		if !ok {
			continue
		}
		switch name {
		case metricRunning:
			requests += value
			found = true
		case metricUsage:
			usage = value
		case metricCache:
			capacity = labelValue(labels, labelBlock) * labelValue(labels, labelBlocks)
		}
	}
	if err := lines.Err(); err != nil {
		return 0, 0, clementineturn.Errorf(clementineturn.KindUnavailable, "load report: %w", err)
	}
	if !found {
		return 0, 0, clementineturn.Errorf(clementineturn.KindUnavailable, "load report: no %s", metricRunning)
	}
	return int(clamp(requests, math.MaxInt32)), uint64(clamp(usage*capacity, math.MaxInt64/2)), nil
}

// parseSample parses a line of the form name{labels} value [timestamp].
func parseSample(line string) (name, labels string, value float64, ok bool) {
	if strings.HasPrefix(line, "#") {
		return "", "", 0, false
	}
	end := strings.LastIndexByte(line, '}')
	rest := line
	if start := strings.IndexByte(line, '{'); start >= 0 && end > start {
		name, labels, rest = line[:start], line[start+1:end], line[end+1:]
	} else {
		name, rest, _ = strings.Cut(line, " ")
	}
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return "", "", 0, false
	}
	value, err := strconv.ParseFloat(fields[0], 64)
	return name, labels, value, err == nil
}

// labelValue returns the numeric value of a label, or 0 if there is none.
func labelValue(labels, name string) float64 {
	for pair := range strings.SplitSeq(labels, ",") {
		key, text, _ := strings.Cut(pair, "=")
		if strings.TrimSpace(key) != name {
			continue
		}
		value, err := strconv.ParseFloat(strings.Trim(text, `" `), 64)
		if err == nil {
			return value
		}
	}
	return 0
}

// clamp limits the value to between 0 and top. NaN becomes 0.
func clamp(value, top float64) float64 {
	if !(value > 0) {
		return 0
	}
	return min(value, top)
}
