// Package clemburn counts requests per organisation and pool for service-level
// objectives and computes the rate at which the error budget of each objective
// burns. An entry records each request when it ends.
package clemburn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// ShortWindow is the window in which a fast burn shows.
	ShortWindow = 5 * time.Minute
	// LongWindow is the window in which a slow burn shows.
	LongWindow = time.Hour
)

const (
	// shortStep and longStep are the lengths of the steps of the windows. Events
	// leave a window a whole step at a time.
	shortStep  = 15 * time.Second
	longStep   = 5 * time.Minute
	shortSteps = int(ShortWindow / shortStep)
	longSteps  = int(LongWindow / longStep)
)

// defaultMaxSeries bounds the memory of a recorder. A series is a pair of
// organisation and pool with a request within the long window. Requests of
// further pairs count for OtherOrganisation.
const defaultMaxSeries = 32768

// OtherOrganisation is the organisation that requests count for if there are too
// many series.
const OtherOrganisation = "_other"

// Config describes a Recorder to construct.
type Config struct {
	// Now returns the time for Gather; time.Now if nil.
	Now func() time.Time
	// MaxSeries is the maximum number of pairs of organisation and pool; 32768
	// if 0.
	MaxSeries int
}

type seriesKey struct {
	organisation, pool string
}

type eventCounts struct {
	total, failed, slow uint32
}

func (e *eventCounts) add(failed, slow bool) {
	e.total++
	if failed {
		e.failed++
	}
	if slow {
		e.slow++
	}
}

// ring is a ring buffer of the steps of one window. Steps are numbered from the
// first use of the recorder.
type ring struct {
	stepLength time.Duration
	steps      []eventCounts
	lastStep   int64
}

func newRing(length time.Duration, size int) ring {
	return ring{stepLength: length, steps: make([]eventCounts, size)}
}

// stepAt returns the step for the age, after it cleared the steps that left the
// window. For an age before the newest step it returns the newest step.
func (r *ring) stepAt(age time.Duration) *eventCounts {
	number := max(int64(age/r.stepLength), r.lastStep)
	if number-r.lastStep >= int64(len(r.steps)) {
		clear(r.steps)
	} else {
		for n := r.lastStep + 1; n <= number; n++ {
			r.steps[n%int64(len(r.steps))] = eventCounts{}
		}
	}
	r.lastStep = number
	return &r.steps[number%int64(len(r.steps))]
}

func (r *ring) sum(age time.Duration) (total, failed, slow uint64) {
	r.stepAt(age)
	for _, e := range r.steps {
		total += uint64(e.total)
		failed += uint64(e.failed)
		slow += uint64(e.slow)
	}
	return total, failed, slow
}

type series struct {
	short, long ring
}

// Recorder counts the requests of one entry over both windows. It is safe for
// concurrent use.
type Recorder struct {
	now       func() time.Time
	maxSeries int
	mu        sync.Mutex
	series    map[seriesKey]*series
	start     time.Time
	lastSweep time.Duration
}

// New returns a Recorder for the configuration.
func New(c Config) *Recorder {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.MaxSeries == 0 {
		c.MaxSeries = defaultMaxSeries
	}
	return &Recorder{now: c.Now, maxSeries: c.MaxSeries, series: map[seriesKey]*series{}}
}

// Record counts one finished request. firstByte is the time to the first byte of
// the response and target the time that the objective allows. A failed request
// counts against availability only, since it may have no first byte.
func (r *Recorder) Record(now time.Time, organisation, pool string, failed bool, firstByte, target time.Duration) {
	slow := !failed && target > 0 && firstByte > target
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.age(now)
	s := r.findOrCreate(age, seriesKey{organisation, pool})
	s.short.stepAt(age).add(failed, slow)
	s.long.stepAt(age).add(failed, slow)
}

// age returns the time since the first use. If the times have monotonic clock
// readings, a step of the wall clock does not affect it.
func (r *Recorder) age(now time.Time) time.Duration {
	if r.start.IsZero() {
		r.start = now
	}
	return now.Sub(r.start)
}

// findOrCreate returns the series of the key. If there are too many, it removes
// those without a request in the long window, at most once per longStep.
func (r *Recorder) findOrCreate(age time.Duration, p seriesKey) *series {
	if s := r.series[p]; s != nil {
		return s
	}
	if len(r.series) >= r.maxSeries && age-r.lastSweep >= longStep {
		r.sweep(age)
	}
	if len(r.series) >= r.maxSeries {
		p = seriesKey{OtherOrganisation, ""}
		if s := r.series[p]; s != nil {
			return s
		}
	}
	s := &series{short: newRing(shortStep, shortSteps), long: newRing(longStep, longSteps)}
	r.series[p] = s
	return s
}

// sweep removes the series without a request in the long window.
func (r *Recorder) sweep(age time.Duration) {
	r.lastSweep = age
	for p, s := range r.series {
		if total, _, _ := s.long.sum(age); total == 0 {
			delete(r.series, p)
		}
	}
}

// Counts returns the counts of both windows that end at the given time, sorted by
// organisation, pool and window. It removes series without a request.
func (r *Recorder) Counts(now time.Time) []*clemwire.Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.age(now)
	r.sweep(age)
	counts := make([]*clemwire.Count, 0, 2*len(r.series))
	for p, s := range r.series {
		counts = append(counts, count(p, ShortWindow, &s.short, age), count(p, LongWindow, &s.long, age))
	}
	slices.SortFunc(counts, func(a, b *clemwire.Count) int {
		return compareKeys(keyOfCount(a), keyOfCount(b))
	})
	return counts
}

// Gather returns the current counts as the message that entries exchange.
func (r *Recorder) Gather(node string) *clemwire.Gathered {
	return &clemwire.Gathered{Node: node, Counts: r.Counts(r.now())}
}

func count(p seriesKey, window time.Duration, r *ring, age time.Duration) *clemwire.Count {
	total, failed, slow := r.sum(age)
	return &clemwire.Count{
		Organisation: p.organisation, Pool: p.pool, Window: durationpb.New(window),
		Total: total, Failed: failed, Slow: slow,
	}
}

type countKey struct {
	organisation, pool string
	window             time.Duration
}

func keyOfCount(c *clemwire.Count) countKey {
	return countKey{c.GetOrganisation(), c.GetPool(), c.GetWindow().AsDuration()}
}

func compareKeys(a, b countKey) int {
	if c := strings.Compare(a.organisation, b.organisation); c != 0 {
		return c
	}
	if c := strings.Compare(a.pool, b.pool); c != 0 {
		return c
	}
	return int(a.window/time.Second) - int(b.window/time.Second)
}
