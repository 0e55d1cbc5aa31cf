package clemlab

import (
	"slices"
	"time"
)

// filter selects requests.
type filter func(*request) bool

func isShort(r *request) bool { return !r.spec.isLong }

func isLong(r *request) bool { return r.spec.isLong }

func isAny(*request) bool { return true }

func and(a, b filter) filter { return func(r *request) bool { return a(r) && b(r) } }

// arrivedIn selects requests that arrived at or after from and before to.
func arrivedIn(from, to time.Duration) filter {
	return func(r *request) bool { return r.spec.arrivalTime >= from && r.spec.arrivalTime < to }
}

// firstTokenTimes returns the sorted times to first token. A request that ended
// without a token counts with its timeout: its caller waited that long or got
// nothing.
func (r *run) firstTokenTimes(m filter) []time.Duration {
	var times []time.Duration
	for _, q := range r.requests {
		switch {
		case !m(q) || q.outcome == outcomePending && q.firstTokenAt.IsZero():
			continue
		case q.firstTokenAt.IsZero():
			times = append(times, q.spec.timeout)
		default:
			times = append(times, q.firstTokenAt.Sub(q.arrivedAt))
		}
	}
	slices.Sort(times)
	return times
}

// waitTimes returns the sorted times until an engine started the request, without
// the prefill. Requests that never started count as in firstTokenTimes.
func (r *run) waitTimes(m filter) []time.Duration {
	var waits []time.Duration
	for _, q := range r.requests {
		switch {
		case !m(q) || q.outcome == outcomePending && q.winner == nil:
			continue
		case q.winner == nil:
			waits = append(waits, q.spec.timeout)
		default:
			waits = append(waits, q.winner.startedAt.Sub(q.arrivedAt))
		}
	}
	slices.Sort(waits)
	return waits
}

// quantile returns the quantile of a sorted list.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// goodput returns the output tokens per second of responses that were completed
// within their deadlines, at or after from and before to.
func (r *run) goodput(m filter, from, to time.Duration) float64 {
	tokens := 0
	for _, q := range r.requests {
		if q.outcome != outcomeCompleted || !m(q) {
			continue
		}
		if ended := q.endedAt.Sub(epoch); ended >= from && ended < to {
			tokens += q.spec.outputTokens
		}
	}
	return float64(tokens) / (to - from).Seconds()
}

// count returns the number of requests that the filter selects.
func (r *run) count(m filter) int {
	n := 0
	for _, q := range r.requests {
		if m(q) {
			n++
		}
	}
	return n
}

func endedAs(o outcome) filter { return func(r *request) bool { return r.outcome == o } }

// wastedShare returns the work of cancelled attempts as a share of the work of
// completed requests.
func (r *run) wastedShare() float64 {
	wasted, work := 0, 0
	for _, q := range r.requests {
		wasted += q.wastedTokens
		if q.outcome == outcomeCompleted {
			work += q.promptTokens() + q.spec.outputTokens
		}
	}
	if work == 0 {
		return 0
	}
	return float64(wasted) / float64(work)
}

// offersPerRequest returns the mean number of offers per request.
func (r *run) offersPerRequest(m filter) float64 {
	offers := 0
	for _, q := range r.requests {
		if m(q) {
			offers += q.offerCount
		}
	}
	return float64(offers) / float64(max(1, r.count(m)))
}

// meanOutputTokens returns the mean output of all requests.
func (r *run) meanOutputTokens() float64 {
	tokens := 0
	for _, spec := range r.specs {
		tokens += spec.outputTokens
	}
	return float64(tokens) / float64(max(1, len(r.specs)))
}

// reuseShare returns the share of the tokens of earlier turns that were found
// cached.
func (r *run) reuseShare(m filter) float64 {
	hit, history := 0, 0
	for _, q := range r.requests {
		if q.winner == nil || !m(q) || q.historyTokens == 0 {
			continue
		}
		hit += max(0, q.winner.sequence.cachedTokens-q.spec.systemTokens)
		history += q.historyTokens
	}
	if history == 0 {
		return 0
	}
	return float64(hit) / float64(history)
}
