package clemgate

import (
	"math"
	"time"

	"github.com/clementineturn/clementineturn/clemboard"
)

const (
	// maxMeanAge is the age from which the pool's mean no longer counts.
	maxMeanAge = 3 * time.Second
	// safeShare is the share of the slots that may be used without a mean.
	safeShare = 0.5
	// promptPerOutput is the number of prompt tokens that count as one of output.
	promptPerOutput = 16
	// reserveShare is the share of the slots that surging organisations leave free.
	reserveShare = 0.25
	// surgeRatio is the multiple of its fair share from which an organisation surges.
	surgeRatio = 2
	// minReserveSlots is the number of slots from which any are kept.
	minReserveSlots = 8
)

// LimitsConfig describes Limits to construct.
type LimitsConfig struct {
	// Slots is the most work that runs at once.
	Slots int
	// Bound is the multiple of the pool's mean load that the server may carry.
	Bound float64
	// LongCost is the estimate, in tokens, from which an item counts as long.
	LongCost uint64
	// LongShare is the share of the slots that long items may hold.
	LongShare float64
	// Load is the pool's load; it counts only if Known is set.
	Load  clemboard.Load
	Known bool
}

// Limits are the pool's limits in force at a gate.
type Limits struct {
	slots     int
	bound     float64
	longCost  uint64
	longShare float64
	load      clemboard.Load
	known     bool
}

// NewLimits returns the limits that the configuration describes.
func NewLimits(c LimitsConfig) Limits {
	return Limits{slots: c.Slots, bound: c.Bound, longCost: c.LongCost, longShare: c.LongShare, load: c.Load, known: c.Known}
}

// isFresh reports whether the pool's mean may be used.
func (l Limits) isFresh(now time.Time) bool {
	return l.known && l.load.Servers() > 0 && now.Sub(l.load.Time()) <= maxMeanAge
}

// isLong reports whether work of the given tokens counts as long.
func (l Limits) isLong(tokens uint64) bool { return l.longCost > 0 && tokens >= l.longCost }

// scale returns the share of the slots, at least one while there are any.
func scale(slots int, share float64) int {
	if slots <= 0 {
		return 0
	}
	return max(1, int(math.Round(float64(slots)*share)))
}

// reserve returns the number of slots that surging organisations leave free.
func reserve(slots int) int {
	if slots < minReserveSlots {
		return 0
	}
	return int(math.Ceil(float64(slots) * reserveShare))
}

// ItemConfig describes an Item to construct.
type ItemConfig struct {
	Organisation string
	// Weight is the organisation's share relative to others, 1 or more.
	Weight uint32
	// Queue is the most items of the organisation that may wait.
	Queue uint32
	// Prompt and Output are estimates in tokens.
	Prompt, Output uint64
	// Deadline is when the whole answer is due; zero means never.
	Deadline time.Time
	// Hedge marks a second attempt of work that runs elsewhere.
	Hedge bool
	// Eager asks for a refusal in place of a wait, since the entry has other
	// servers to try.
	Eager bool
}

// Item is one piece of work to admit.
type Item struct {
	organisation   string
	weight, queue  uint32
	prompt, output uint64
	deadline       time.Time
	hedge, eager   bool
}

// NewItem returns the item that the configuration describes. A zero weight counts as 1.
func NewItem(c ItemConfig) Item {
	return Item{
		organisation: c.Organisation, weight: max(1, c.Weight), queue: c.Queue,
		prompt: c.Prompt, output: c.Output, deadline: c.Deadline, hedge: c.Hedge, eager: c.Eager,
	}
}

// cost returns the estimated work in tokens, at least 1.
func (i Item) cost() uint64 { return work(i.prompt, i.output) }

// work returns the tokens of work of a prompt and an output. Engines read a
// prompt many tokens at a time, or find it cached, but write one token a step.
func work(prompt, output uint64) uint64 { return max(1, prompt/promptPerOutput+output) }

// Report is the state of a gate at one moment.
type Report struct {
	load             uint64
	running, waiting int
	speed            time.Duration
	slowness         float64
}

// Load returns the estimated work in flight, in tokens.
func (r Report) Load() uint64 { return r.load }

// Running returns the number of granted items that have not left.
func (r Report) Running() int { return r.running }

// Waiting returns the number of items in the queue.
func (r Report) Waiting() int { return r.waiting }

// Speed returns the recent time per token of work, or 0 if unknown.
func (r Report) Speed() time.Duration { return r.speed }

// Slowness returns the speed relative to the pool's median, or 0 if unknown.
func (r Report) Slowness() float64 { return r.slowness }
