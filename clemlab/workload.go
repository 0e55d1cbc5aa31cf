package clemlab

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// RequestSpec is one request of a recorded load. All policies get the same specs.
type RequestSpec struct {
	arrivalTime  time.Duration
	organisation string
	weight       uint32
	chat         string
	conversation uint64
	isLong       bool
	// systemTokens is the length of the organisation's system prompt, userTokens
	// that of the caller's addition to the chat and outputTokens that of the
	// response.
	systemTokens, userTokens, outputTokens int
	// estimatedOutputTokens is the output that the entry predicts.
	estimatedOutputTokens int
	timeout               time.Duration
}

// requestClass describes the requests of one class.
type requestClass struct {
	// sigma is the standard deviation of the logarithms of both sizes.
	medianUserTokens, medianOutputTokens, sigma float64
	// The complete response is due after baseTimeout plus timeoutPerToken for each
	// output token.
	baseTimeout, timeoutPerToken time.Duration
}

// workload describes a load to record.
type workload struct {
	seed     uint64
	duration time.Duration
	// rate returns the number of requests per second at a time.
	rate func(at time.Duration) float64
	// shares returns the organisations' shares of the requests at a time.
	shares               func(at time.Duration) []float64
	chatsPerOrganisation int
	chatZipfExponent     float64
	class                requestClass
	isLong               bool
	// estimateSigma is the standard deviation of the logarithm of the estimated
	// output.
	estimateSigma float64
}

const (
	systemPromptTokens = 300
	weightScale        = 100
	maxHistoryTokens   = 6000
	maxOutputTokens    = 6000
	maxRequests        = 1e6
)

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// zipf returns n shares that follow Zipf's law with the exponent and add up to 1.
func zipf(n int, exponent float64) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

func fixedShares(shares []float64) func(time.Duration) []float64 {
	return func(time.Duration) []float64 { return shares }
}

// chatState is the length of a chat so far and how often it was restarted.
type chatState struct {
	restarts      int
	historyTokens int
}

// record returns the requests of the workload, in order of arrival.
func (w workload) record() []*RequestSpec {
	rng := rand.New(rand.NewPCG(w.seed, 7))
	chats := map[string]*chatState{}
	popularity := zipf(w.chatsPerOrganisation, w.chatZipfExponent)
	var specs []*RequestSpec
	for at := time.Duration(0); len(specs) < maxRequests; {
		at += time.Duration(rng.ExpFloat64() / max(w.rate(at), 1e-3) * float64(time.Second))
		if at >= w.duration {
			return specs
		}
		number := drawIndex(rng, w.shares(at))
		spec := w.nextRequest(rng, at, fmt.Sprintf("o%02d", number), drawIndex(rng, popularity), chats)
		spec.weight = weightOf(w.shares(at)[number])
		specs = append(specs, spec)
	}
	return specs
}

// weightOf returns the weight that operators give an organisation with the share of
// the load. Weights are proportional to the load, since large customers pay for
// more.
func weightOf(share float64) uint32 { return uint32(math.Ceil(weightScale * share)) }

// nextRequest returns the next turn of a chat with random sizes. A chat that has
// become too long is restarted.
func (w workload) nextRequest(rng *rand.Rand, at time.Duration, organisation string, number int, chats map[string]*chatState) *RequestSpec {
	name := fmt.Sprintf("%s/%d", organisation, number)
	state := chats[name]
	if state == nil {
		state = &chatState{}
		chats[name] = state
	}
	if state.historyTokens > maxHistoryTokens {
		*state = chatState{restarts: state.restarts + 1}
	}
	conversation := uint64(number)<<20 | uint64(state.restarts)<<1
	if w.isLong {
		conversation |= 1
	}
	user := lognormal(rng, w.class.medianUserTokens, w.class.sigma)
	output := min(maxOutputTokens, lognormal(rng, w.class.medianOutputTokens, w.class.sigma))
	spec := &RequestSpec{
		arrivalTime: at, organisation: organisation, isLong: w.isLong,
		chat: chatKey(organisation, conversation), conversation: conversation,
		systemTokens: systemPromptTokens, userTokens: user, outputTokens: output,
		estimatedOutputTokens: lognormal(rng, float64(output), w.estimateSigma),
		timeout:               w.class.baseTimeout + time.Duration(output)*w.class.timeoutPerToken,
	}
	state.historyTokens += user + output
	return spec
}

// chatKey returns the key of a chat in the engines' caches.
func chatKey(organisation string, conversation uint64) string {
	return fmt.Sprintf("%s/%x", organisation, conversation)
}

// drawIndex returns a random index with the probability of its share.
func drawIndex(rng *rand.Rand, shares []float64) int {
	left := rng.Float64()
	for i, share := range shares {
		if left -= share; left < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func lognormal(rng *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*rng.NormFloat64())))
}

// merge merges recorded loads in order of arrival.
func merge(loads ...[]*RequestSpec) []*RequestSpec {
	all := slices.Concat(loads...)
	slices.SortStableFunc(all, func(a, b *RequestSpec) int { return cmp.Compare(a.arrivalTime, b.arrivalTime) })
	return all
}
