// Package clemburn counts service-level events per organisation and pool and
// works out how fast each objective's error budget is spent.
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
	// Short is the window that shows a fast burn.
	Short = 5 * time.Minute
	// Long is the window that shows a slow burn.
	Long = time.Hour
)

const (
	// shortStep and longStep are the lengths of a window's steps; the oldest
	// step drops out whole.
	shortStep = 15 * time.Second
	longStep  = 5 * time.Minute
	shortSize = int(Short / shortStep)
	longSize  = int(Long / longStep)
)

// maxSeries bounds the memory of a recorder: organisations times pools that
// had a request within the long window. Further ones count as Other.
const maxSeries = 32768

// Other is the organisation of requests beyond the bound on memory.
const Other = "_other"

// Config describes a Recorder to construct.
type Config struct {
	// Now is the clock of Gather; time.Now if nil.
	Now func() time.Time
	// Series bounds the number of pairs of organisation and pool; 0 sets 32768.
	Series int
}

type pair struct {
	organisation, pool string
}

type events struct {
	total, failed, slow uint32
}

func (e *events) add(failed, slow bool) {
	e.total++
	if failed {
		e.failed++
	}
	if slow {
		e.slow++
	}
}

// ring holds the steps of one window. Steps are numbered from the recorder's
// first call.
type ring struct {
	length time.Duration
	steps  []events
	last   int64
}

func newRing(length time.Duration, size int) ring {
	return ring{length: length, steps: make([]events, size)}
}

// step returns the step of the age after dropping those that left the window.
// An age before the newest step counts into the newest step.
func (r *ring) step(age time.Duration) *events {
	number := max(int64(age/r.length), r.last)
	if number-r.last >= int64(len(r.steps)) {
		clear(r.steps)
	} else {
		for n := r.last + 1; n <= number; n++ {
			r.steps[n%int64(len(r.steps))] = events{}
		}
	}
	r.last = number
	return &r.steps[number%int64(len(r.steps))]
}

func (r *ring) sum(age time.Duration) (total, failed, slow uint64) {
	r.step(age)
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

// Recorder counts the events of one entry over both windows. It is safe for
// concurrent use.
type Recorder struct {
	now    func() time.Time
	limit  int
	mu     sync.Mutex
	series map[pair]*series
	start  time.Time
	swept  time.Duration
}

// New returns the recorder that the configuration describes.
func New(c Config) *Recorder {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Series == 0 {
		c.Series = maxSeries
	}
	return &Recorder{now: c.Now, limit: c.Series, series: map[pair]*series{}}
}

// Record counts one finished request. First is the time to the first byte of
// the answer and target the one that the objective allows. A failed request
// counts against availability alone, since it has no first byte to speak of.
func (r *Recorder) Record(now time.Time, organisation, pool string, failed bool, first, target time.Duration) {
	slow := !failed && target > 0 && first > target
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.age(now)
	s := r.find(age, pair{organisation, pool})
	s.short.step(age).add(failed, slow)
	s.long.step(age).add(failed, slow)
}

// age returns the time since the first call. It is monotonic where the times
// are, so that a step of the wall clock moves no events.
func (r *Recorder) age(now time.Time) time.Duration {
	if r.start.IsZero() {
		r.start = now
	}
	return now.Sub(r.start)
}

// find returns the pair's series. Once the bound is reached, pairs without a
// request in the long window make room, at most once a step.
func (r *Recorder) find(age time.Duration, p pair) *series {
	if s := r.series[p]; s != nil {
		return s
	}
	if len(r.series) >= r.limit && age-r.swept >= longStep {
		r.sweep(age)
	}
	if len(r.series) >= r.limit {
		p = pair{Other, ""}
		if s := r.series[p]; s != nil {
			return s
		}
	}
	s := &series{short: newRing(shortStep, shortSize), long: newRing(longStep, longSize)}
	r.series[p] = s
	return s
}

func (r *Recorder) sweep(age time.Duration) {
	r.swept = age
	for p, s := range r.series {
		if total, _, _ := s.long.sum(age); total == 0 {
			delete(r.series, p)
		}
	}
}

// Counts returns the events of both windows that end at the given time,
// sorted, and forgets pairs without any.
func (r *Recorder) Counts(now time.Time) []*clemwire.Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.age(now)
	r.sweep(age)
	counts := make([]*clemwire.Count, 0, 2*len(r.series))
	for p, s := range r.series {
		counts = append(counts, count(p, Short, &s.short, age), count(p, Long, &s.long, age))
	}
	slices.SortFunc(counts, func(a, b *clemwire.Count) int {
		return compareKeys(keyOf(a), keyOf(b))
	})
	return counts
}

// Gather returns the counts of now in the form that entries exchange.
func (r *Recorder) Gather(node string) *clemwire.Gathered {
	return &clemwire.Gathered{Node: node, Counts: r.Counts(r.now())}
}

func count(p pair, window time.Duration, r *ring, age time.Duration) *clemwire.Count {
	total, failed, slow := r.sum(age)
	return &clemwire.Count{
		Organisation: p.organisation, Pool: p.pool, Window: durationpb.New(window),
		Total: total, Failed: failed, Slow: slow,
	}
}

type key struct {
	organisation, pool string
	window             time.Duration
}

func keyOf(c *clemwire.Count) key {
	return key{c.GetOrganisation(), c.GetPool(), c.GetWindow().AsDuration()}
}

func compareKeys(a, b key) int {
	if c := strings.Compare(a.organisation, b.organisation); c != 0 {
		return c
	}
	if c := strings.Compare(a.pool, b.pool); c != 0 {
		return c
	}
	return int(a.window/time.Second) - int(b.window/time.Second)
}
