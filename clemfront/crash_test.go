package clemfront

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// counters counts what the engines of a cluster receive.
type counters struct {
	lethal       atomic.Uint64
	serverCount  atomic.Int64
	requestCount atomic.Int64

	countersMu sync.Mutex
	// crashes and lethalArrivals are the times of crashes and of arrivals of requests
	// with the lethal part.
	crashes, lethalArrivals []time.Time
}

func (c *counters) recordCrash() {
	c.countersMu.Lock()
	defer c.countersMu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

func (c *counters) recordArrival(isLethal bool) {
	c.countersMu.Lock()
	defer c.countersMu.Unlock()
	if isLethal {
		c.lethalArrivals = append(c.lethalArrivals, time.Now())
	}
}

// toleratedCrashes is the number of crashes after which a part must be known to all
// entries within learnTime; maxLateArrivals is how many requests with it may reach
// engines afterwards. These are the users' bounds.
const (
	toleratedCrashes = 5
	learnTime        = 3 * time.Second
	maxLateArrivals  = 3
)

// lateArrivals returns how many requests with the lethal part reached engines after
// every entry had to know the part.
func (c *counters) lateArrivals() int {
	c.countersMu.Lock()
	defer c.countersMu.Unlock()
	if len(c.crashes) < toleratedCrashes {
		return 0
	}
	n := 0
	for _, at := range c.lethalArrivals {
		if at.After(c.crashes[toleratedCrashes-1].Add(learnTime)) {
			n++
		}
	}
	return n
}

// Parts of prompts in the tests below.
const (
	lethalPart = 0xdead
	firstPart  = 0xa0 // With the number of an organisation added.
	sheetPart  = 0xb0 // With the number of one of its sheets added.
)

// chatLoad sends sound requests of some organisations, and requests with the lethal
// part that share the other parts with them.
type chatLoad struct {
	cluster *cluster
	rng     *rand.Rand
	// lethalAt is the position of the lethal part in a prompt.
	lethalAt int
	// lethalShare is the share of requests with the lethal part.
	lethalShare float64
	entries     int

	sent     sync.WaitGroup
	mu       sync.Mutex
	from     time.Time
	served   int
	total    int
	lastPart uint64
}

// play sends requests for some time.
func (l *chatLoad) play(perSecond float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)))
		organisation := l.rng.Uint64N(5)
		parts := []uint64{firstPart + organisation, sheetPart + organisation<<4 + l.rng.Uint64N(4)}
		isLethal := l.rng.Float64() < l.lethalShare
		if isLethal {
			parts = append(parts[:l.lethalAt:l.lethalAt], append([]uint64{lethalPart}, parts[l.lethalAt:]...)...)
		}
		l.lastPart++
		parts = append(parts, 1<<32+l.lastPart)
		name := entryName(l.rng.IntN(l.entries))
		at := time.Now()
		l.sent.Go(func() {
			isServed := l.cluster.send(name, parts...)
			l.mu.Lock()
			defer l.mu.Unlock()
			if isLethal || at.Before(l.from) || l.from.IsZero() {
				return
			}
			l.total++
			if isServed {
				l.served++
			}
		})
	}
}

// countFrom starts the count of sound requests.
func (l *chatLoad) countFrom(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = at
}

// Guards against a prompt part that crashes one server after the other: requests
// with it keep coming at every entry, and the same entries keep sending them.
func TestPromptPartThatCrashesServersIsQuarantined(t *testing.T) {
	for name, lethalAt := range map[string]int{"first part": 0, "middle part": 1, "last shared part": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4, 12)
				c.lethal.Store(lethalPart)
				l := &chatLoad{cluster: c, rng: rand.New(rand.NewPCG(1, uint64(lethalAt))), lethalAt: lethalAt, entries: 4}
				l.play(60, 3*time.Second)
				l.lethalShare = 0.04
				l.countFrom(time.Now().Add(2*learnTime + 3*time.Second))
				l.play(60, 25*time.Second)
				l.sent.Wait()
				c.stopAll()
				require.LessOrEqual(t, c.lateArrivals(), maxLateArrivals, "%d engines crashed", len(c.crashes))
				require.Positive(t, l.total)
				require.GreaterOrEqual(t, float64(l.served), 0.9*float64(l.total))
			})
		})
	}
}

// Guards against crashes of further servers by a known part after all entries lost
// their state at once.
func TestQuarantineSurvivesARestartOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 12)
		c.lethal.Store(lethalPart)
		l := &chatLoad{cluster: c, rng: rand.New(rand.NewPCG(1, 7)), lethalAt: 1, entries: 4}
		l.play(60, 2*time.Second)
		l.lethalShare = 0.04
		l.play(60, 8*time.Second)
		for n := range l.entries {
			c.stopEntry(entryName(n))
		}
		time.Sleep(time.Second)
		for n := range l.entries {
			c.startEntry(entryName(n))
		}
		l.countFrom(time.Now().Add(time.Second))
		l.play(60, 10*time.Second)
		l.sent.Wait()
		c.stopAll()
		require.LessOrEqual(t, c.lateArrivals(), maxLateArrivals, "%d engines crashed", len(c.crashes))
		require.Positive(t, l.total)
		require.GreaterOrEqual(t, float64(l.served), 0.9*float64(l.total))
	})
}
