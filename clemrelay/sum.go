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
	// fastestStep is the upper bound of the first step of the speed histogram.
	fastestStep = 100 * time.Microsecond
	// stepsPerOctave is the number of steps over which the time per token doubles.
	stepsPerOctave = 3
	maxSpeedSteps  = 40
)

// SpeedHistogram returns the speed histogram of one backend server with the given time per
// token of work, or nil for 0.
func SpeedHistogram(perToken time.Duration) []uint32 {
	if perToken <= 0 {
		return nil
	}
	step := int(math.Ceil(stepsPerOctave * math.Log2(float64(perToken)/float64(fastestStep))))
	speeds := make([]uint32, min(max(step, 0), maxSpeedSteps-1)+1)
	speeds[len(speeds)-1] = 1
	return speeds
}

// MedianTokenTime returns the median time per token of a speed histogram, or 0 if
// it is empty. Within a step the servers are taken to be evenly distributed on the
// logarithmic scale.
func MedianTokenTime(speeds []uint32) time.Duration {
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
		position := float64(step) - 1 + (half-below)/float64(n)
		return time.Duration(float64(fastestStep) * math.Exp2(position/stepsPerOctave))
	}
	return 0
}

// poolSum is the sum of reports of one pool.
type poolSum struct {
	servers        uint32
	totalTokens    uint64
	speeds         []uint32
	receivedMedian time.Duration
	oldestReport   time.Time
}

// poolSums holds the sum of each pool, by name.
type poolSums map[string]*poolSum

// add adds a report whose ages are relative to the given time.
func (s poolSums) add(load *clemwire.PoolLoad, at time.Time) {
	oldest := at.Add(-max(load.GetAge().AsDuration(), 0))
	p := s[load.GetPool()]
	if p == nil {
		p = &poolSum{oldestReport: oldest}
		s[load.GetPool()] = p
	}
	p.servers += load.GetServers()
	p.totalTokens += load.GetLoad()
	p.receivedMedian = load.GetMedian().AsDuration()
	if oldest.Before(p.oldestReport) {
		p.oldestReport = oldest
	}
	first := int(min(load.GetStep(), maxSpeedSteps))
	if grow := first + len(load.GetSpeeds()) - len(p.speeds); grow > 0 {
		p.speeds = append(p.speeds, make([]uint32, grow)...)
	}
	for i, n := range load.GetSpeeds() {
		p.speeds[first+i] += n
	}
}

// forParent returns the sums as a report carries them, with speed histograms.
func (s poolSums) forParent(now time.Time) []*clemwire.PoolLoad {
	return s.toWire(now, func(load *clemwire.PoolLoad, p *poolSum) {
		first := max(slices.IndexFunc(p.speeds, func(n uint32) bool { return n > 0 }), 0)
		load.Step, load.Speeds = uint32(first), slices.Clone(p.speeds[first:])
	})
}

// forChild returns the sums as a reply carries them, with median speeds only.
func (s poolSums) forChild(now time.Time) []*clemwire.PoolLoad {
	return s.toWire(now, func(load *clemwire.PoolLoad, p *poolSum) { load.Median = durationpb.New(p.medianTokenTime()) })
}

func (s poolSums) toWire(now time.Time, setSpeed func(*clemwire.PoolLoad, *poolSum)) []*clemwire.PoolLoad {
	loads := make([]*clemwire.PoolLoad, 0, len(s))
	for pool, p := range s {
		load := &clemwire.PoolLoad{Pool: pool, Servers: p.servers, Load: p.totalTokens, Age: durationpb.New(roundUpAge(now.Sub(p.oldestReport)))}
		setSpeed(load, p)
		loads = append(loads, load)
	}
	return loads
}

// ageResolution is the resolution of ages in messages. They are rounded up.
const ageResolution = time.Millisecond

func roundUpAge(age time.Duration) time.Duration {
	return (age + ageResolution - 1).Truncate(ageResolution)
}

func (p *poolSum) medianTokenTime() time.Duration {
	if len(p.speeds) == 0 {
		return p.receivedMedian
	}
	return MedianTokenTime(p.speeds)
}

// boardLoads returns the sums in the form that the board holds.
func (s poolSums) boardLoads() *clemboard.Loads {
	pools := make(map[string]clemboard.Load, len(s))
	for pool, p := range s {
		pools[pool] = clemboard.NewLoad(clemboard.LoadConfig{
			Servers: int(p.servers), TotalTokens: p.totalTokens, MedianTokenTime: p.medianTokenTime(), OldestReport: p.oldestReport,
		})
	}
	return clemboard.NewLoads(pools)
}
