package clemrelay

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// fastest is the upper end of the first step of the speed histogram.
	fastest = 100 * time.Microsecond
	// stepsPerOctave is the number of steps over which time per token doubles.
	stepsPerOctave = 3
	speedSteps     = 40
)

// Speeds returns the speed histogram of one server that takes the given time
// per token of work, or none for 0.
func Speeds(perToken time.Duration) []uint32 {
	if perToken <= 0 {
		return nil
	}
	step := int(math.Ceil(stepsPerOctave * math.Log2(float64(perToken)/float64(fastest))))
	speeds := make([]uint32, min(max(step, 0), speedSteps-1)+1)
	speeds[len(speeds)-1] = 1
	return speeds
}

// Median returns the median time per token of a speed histogram, or 0 if it is
// empty. Within a step the servers count as evenly spread on the logarithmic scale.
func Median(speeds []uint32) time.Duration {
	var total uint64
	for _, n := range speeds {
		total += uint64(n)
	}
	if total == 0 {
		return 0
	}
	half, below := float64(total)/2, 0.0
	for step, n := range speeds {
		if n == 0 || below+float64(n) < half {
			below += float64(n)
			continue
		}
		at := float64(step) - 1 + (half-below)/float64(n)
		return time.Duration(float64(fastest) * math.Exp2(at/stepsPerOctave))
	}
	return 0
}

// poolSum adds up reports of one pool.
type poolSum struct {
	servers uint32
	load    uint64
	speeds  []uint32
	median  time.Duration
	oldest  time.Time
}

// sums holds the sum per pool.
type sums map[string]*poolSum

// add adds a report that was current at the given time.
func (s sums) add(load *clemwire.PoolLoad, at time.Time) {
	oldest := at.Add(-max(load.GetAge().AsDuration(), 0))
	p := s[load.GetPool()]
	if p == nil {
		p = &poolSum{oldest: oldest}
		s[load.GetPool()] = p
	}
	p.servers += load.GetServers()
	p.load += load.GetLoad()
	p.median = load.GetMedian().AsDuration()
	if oldest.Before(p.oldest) {
		p.oldest = oldest
	}
	first := int(min(load.GetStep(), speedSteps))
	if grow := first + len(load.GetSpeeds()) - len(p.speeds); grow > 0 {
		p.speeds = append(p.speeds, make([]uint32, grow)...)
	}
	for i, n := range load.GetSpeeds() {
		p.speeds[first+i] += n
	}
}

// up returns the sums as a beat carries them to the parent.
func (s sums) up(now time.Time) []*clemwire.PoolLoad {
	return s.wire(now, func(load *clemwire.PoolLoad, p *poolSum) {
		first := max(slices.IndexFunc(p.speeds, func(n uint32) bool { return n > 0 }), 0)
		load.Step, load.Speeds = uint32(first), slices.Clone(p.speeds[first:])
	})
}

// down returns the sums as a reply carries them to a child, with the median alone.
func (s sums) down(now time.Time) []*clemwire.PoolLoad {
	return s.wire(now, func(load *clemwire.PoolLoad, p *poolSum) { load.Median = durationpb.New(p.medianTime()) })
}

func (s sums) wire(now time.Time, finish func(*clemwire.PoolLoad, *poolSum)) []*clemwire.PoolLoad {
	loads := make([]*clemwire.PoolLoad, 0, len(s))
	for pool, p := range s {
		load := &clemwire.PoolLoad{Pool: pool, Servers: p.servers, Load: p.load, Age: durationpb.New(roundAge(now.Sub(p.oldest)))}
		finish(load, p)
		loads = append(loads, load)
	}
	return loads
}

// ageStep is the resolution of ages on the wire; they are rounded up.
const ageStep = time.Millisecond

func roundAge(age time.Duration) time.Duration {
	return (age + ageStep - 1).Truncate(ageStep)
}

func (p *poolSum) medianTime() time.Duration {
	if len(p.speeds) == 0 {
		return p.median
	}
	return Median(p.speeds)
}

// loads returns the sums as the board holds them.
func (s sums) loads() *clemboard.Loads {
	pools := make(map[string]clemboard.Load, len(s))
	for pool, p := range s {
		pools[pool] = clemboard.NewLoad(clemboard.LoadConfig{
			Servers: int(p.servers), TotalTokens: p.load, MedianTokenTime: p.medianTime(), OldestReport: p.oldest,
		})
	}
	return clemboard.NewLoads(pools)
}
