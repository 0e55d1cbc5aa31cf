package clemgate

import (
	"math"
	"time"

	"github.com/clementineturn/clementineturn/clemboard"
)

const (
	// maxMeanAge is the age above which the pool's mean load is not used.
	maxMeanAge = 3 * time.Second
	// fallbackSlotShare is the share of the slots that is used without a mean
	// load.
	fallbackSlotShare = 0.5
	// promptTokensPerOutputToken is the number of prompt tokens that count as
	// one output token.
	promptTokensPerOutputToken = 16
	// reservedSlotShare is the share of the slots that organisations far above
	// their fair share leave free.
	reservedSlotShare = 0.25
	// fairShareFactor is the multiple of its fair share from which an
	// organisation must leave the reserved slots free.
	fairShareFactor = 2
	// minSlotsForReserve is the number of slots from which any are reserved.
	minSlotsForReserve = 8
)

// LimitsConfig describes Limits to construct.
type LimitsConfig struct {
	// Slots is the number of items that may run at once.
	Slots int
	// MaxLoadFactor is the multiple of the pool's mean load that the
	// server may carry.
	MaxLoadFactor float64
	// LongCost is the estimated cost, in tokens, from which an item counts as
	// long.
	LongCost uint64
	// LongShare is the share of the slots that long items may hold.
	LongShare float64
	// Load is the pool's load. It is used only if LoadKnown is set.
	Load      clemboard.Load
	LoadKnown bool
}

// Limits are the limits of the pool that apply at a gate.
type Limits struct {
	slots     int
	bound     float64
	longCost  uint64
	longShare float64
	load      clemboard.Load
	loadKnown bool
}

// NewLimits returns the limits that the configuration describes.
func NewLimits(c LimitsConfig) Limits {
	return Limits{slots: c.Slots, bound: c.MaxLoadFactor, longCost: c.LongCost, longShare: c.LongShare, load: c.Load, loadKnown: c.LoadKnown}
}

// hasFreshMean reports whether the pool's mean load is known and recent.
func (l Limits) hasFreshMean(now time.Time) bool {
	return l.loadKnown && l.load.Servers() > 0 && now.Sub(l.load.OldestReport()) <= maxMeanAge
}

// isLong reports whether work of the given tokens counts as long.
func (l Limits) isLong(tokens uint64) bool { return l.longCost > 0 && tokens >= l.longCost }

// scaleSlots returns the share of the slots, rounded, but at least one if there
// are any.
func scaleSlots(slots int, share float64) int {
	if slots <= 0 {
		return 0
	}
	return max(1, int(math.Round(float64(slots)*share)))
}

// reservedSlots returns the number of slots that organisations far above their
// fair share leave free.
func reservedSlots(slots int) int {
	if slots < minSlotsForReserve {
		return 0
	}
	return int(math.Ceil(float64(slots) * reservedSlotShare))
}

// ItemConfig describes an Item to construct.
type ItemConfig struct {
	Organisation string
	// Weight is the organisation's share relative to others, 1 or more.
	Weight uint32
	// QueueLimit is the number of the organisation's items that may wait.
	QueueLimit uint32
	// PromptTokens and OutputTokens are estimates.
	PromptTokens, OutputTokens uint64
	// Deadline is when the whole answer is due. Zero means that there is none.
	Deadline time.Time
	// Hedge marks a second attempt of work that already runs elsewhere.
	Hedge bool
	// Eager asks for a refusal instead of a wait, because the entry has other
	// servers to try.
	Eager bool
}

// Item is a piece of work to admit.
type Item struct {
	organisation               string
	weight, queueLimit         uint32
	promptTokens, outputTokens uint64
	deadline                   time.Time
	hedge, eager               bool
}

// NewItem returns the item that the configuration describes. A zero weight
// counts as 1.
func NewItem(c ItemConfig) Item {
	return Item{
		organisation: c.Organisation, weight: max(1, c.Weight), queueLimit: c.QueueLimit,
		promptTokens: c.PromptTokens, outputTokens: c.OutputTokens, deadline: c.Deadline, hedge: c.Hedge, eager: c.Eager,
	}
}

// cost returns the estimated work in tokens, at least 1.
func (i Item) cost() uint64 { return workTokens(i.promptTokens, i.outputTokens) }

// workTokens returns the cost of a prompt and an output in output tokens.
// Engines read many prompt tokens in one step, or find them cached, but
// generate one output token a step.
func workTokens(prompt, output uint64) uint64 {
	return max(1, prompt/promptTokensPerOutputToken+output)
}

// Report is the state of a gate at one time.
type Report struct {
	load             uint64
	running, waiting int
	speed            time.Duration
	slowness         float64
}

// Load returns the estimated work in flight, in tokens.
func (r Report) Load() uint64 { return r.load }

// Running returns the number of items that run.
func (r Report) Running() int { return r.running }

// Waiting returns the number of items in the queue.
func (r Report) Waiting() int { return r.waiting }

// Speed returns the recent time per token of work, or 0 if unknown.
func (r Report) Speed() time.Duration { return r.speed }

// SlowdownFactor returns the time per token relative to the pool's median, or 0 if
// unknown.
func (r Report) SlowdownFactor() float64 { return r.slowness }
