package clemlab

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Spec is one request of a recorded load. All policies get the same specs.
type Spec struct {
	at           time.Duration
	organisation string
	weight       uint32
	chat         string
	conversation uint64
	long         bool
	// system is the organisation's system prompt, user what the caller adds
	// to the chat and output the answer, in tokens.
	system, user, output int
	// estimate is the output that the entry predicts.
	estimate int
	deadline time.Duration
}

// sizes describes the requests of one class.
type sizes struct {
	// user and output are medians in tokens, spread is the standard
	// deviation of their logarithms.
	user, output, spread float64
	// patience and perToken make up the time until the whole answer is due.
	patience, perToken time.Duration
}

// workload describes a load to record.
type workload struct {
	seed     uint64
	duration time.Duration
	// rate is the number of requests a second at a time.
	rate func(at time.Duration) float64
	// shares are the organisations' shares of the requests at a time.
	shares func(at time.Duration) []float64
	chats  int
	skew   float64
	class  sizes
	long   bool
	// noise is the standard deviation of the estimate's logarithm.
	noise float64
}

const (
	systemTokens  = 300
	weightScale   = 100
	historyLimit  = 6000
	maxOutput     = 6000
	arrivalsLimit = 1e6
)

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// zipf returns n shares that fall with the rank's power and add up to 1.
func zipf(n int, power float64) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -power)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

func fixed(shares []float64) func(time.Duration) []float64 {
	return func(time.Duration) []float64 { return shares }
}

// chatState is what a chat has said so far.
type chatState struct {
	restarts int
	history  int
}

// record returns the requests of the workload, in order of arrival.
func (w workload) record() []*Spec {
	rng := rand.New(rand.NewPCG(w.seed, 7))
	chats := map[string]*chatState{}
	popular := zipf(w.chats, w.skew)
	var specs []*Spec
	for at := time.Duration(0); len(specs) < arrivalsLimit; {
		at += time.Duration(rng.ExpFloat64() / max(w.rate(at), 1e-3) * float64(time.Second))
		if at >= w.duration {
			return specs
		}
		number := draw(rng, w.shares(at))
		spec := w.request(rng, at, fmt.Sprintf("o%02d", number), draw(rng, popular), chats)
		spec.weight = weightOf(w.shares(at)[number])
		specs = append(specs, spec)
	}
	return specs
}

// weightOf returns the weight that operators give an organisation with the
// share of the load: large customers pay for more.
func weightOf(share float64) uint32 { return uint32(math.Ceil(weightScale * share)) }

// request draws the next turn of a chat. A chat that has grown too long starts anew.
func (w workload) request(rng *rand.Rand, at time.Duration, organisation string, number int, chats map[string]*chatState) *Spec {
	name := fmt.Sprintf("%s/%d", organisation, number)
	state := chats[name]
	if state == nil {
		state = &chatState{}
		chats[name] = state
	}
	if state.history > historyLimit {
		*state = chatState{restarts: state.restarts + 1}
	}
	conversation := uint64(number)<<20 | uint64(state.restarts)<<1
	if w.long {
		conversation |= 1
	}
	user := lognormal(rng, w.class.user, w.class.spread)
	output := min(maxOutput, lognormal(rng, w.class.output, w.class.spread))
	spec := &Spec{
		at: at, organisation: organisation, long: w.long,
		chat: chatKey(organisation, conversation), conversation: conversation,
		system: systemTokens, user: user, output: output,
		estimate: lognormal(rng, float64(output), w.noise),
		deadline: w.class.patience + time.Duration(output)*w.class.perToken,
	}
	state.history += user + output
	return spec
}

// chatKey names a chat in the engines' caches.
func chatKey(organisation string, conversation uint64) string {
	return fmt.Sprintf("%s/%x", organisation, conversation)
}

// draw returns an index with the probability of its share.
func draw(rng *rand.Rand, shares []float64) int {
	left := rng.Float64()
	for i, share := range shares {
		if left -= share; left < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func lognormal(rng *rand.Rand, median, spread float64) int {
	return max(1, int(median*math.Exp(spread*rng.NormFloat64())))
}

// merge joins recorded loads in order of arrival.
func merge(loads ...[]*Spec) []*Spec {
	all := slices.Concat(loads...)
	slices.SortStableFunc(all, func(a, b *Spec) int { return cmp.Compare(a.at, b.at) })
	return all
}
