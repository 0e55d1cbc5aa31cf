package clemsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	// faultPace is the mean time between the beginnings of two faults. They
	// last longer, so that several overlap.
	faultPace = 500 * time.Millisecond
	// troubledTime and calmTime follow each other. In the latter all that
	// entries are given time for becomes due.
	troubledTime, calmTime = 7 * time.Second, 11 * time.Second
	// shortest and longest bound a fault's length.
	shortest, longest = 300 * time.Millisecond, 4 * time.Second
	// linkDelay is the longest delay that a link gets.
	linkDelay = 400 * time.Millisecond
	// stormVersions is the number of versions in quick succession.
	stormVersions, stormPace = 8, 60 * time.Millisecond
	// staleEnd is how long reads stay old after the store forgot its history.
	staleEnd = 500 * time.Millisecond
	// sickShare is the largest share of its requests that a sick server fails.
	sickShare = 0.6
)

// fault is a kind of fault. It lasts until the returned function is called;
// nil if it is over at once.
type fault struct {
	name   string
	weight int
	// isPlanned is set for the operator's own work, which comes in calm times, too.
	isPlanned bool
	begin     func(ctx context.Context, s *Soak, rng *rand.Rand) func()
}

// faults are the kinds of faults.
var faults = []fault{
	{"entry killed", 3, false, killEntry},
	{"all entries killed", 1, false, killAll},
	{"entry paused", 4, false, pauseEntry},
	{"entry asked to stop", 4, true, stopEntry},
	{"settings changed", 2, true, changeSettings},
	{"link to clients reset", 3, false, onClients(func(l *link, _ *rand.Rand) func() { l.reset(); return nil })},
	{"link to clients delayed", 2, false, onClients(delayed)},
	{"link to clients cut one way", 2, false, onClients(oneWay)},
	{"link to clients silenced", 1, false, onClients(silenced)},
	{"link to store reset", 3, false, onStore(func(l *link, _ *rand.Rand) func() { l.reset(); return nil })},
	{"link to store delayed", 2, false, onStore(delayed)},
	{"link to store cut one way", 3, false, onStore(oneWay)},
	{"link to store silenced", 2, false, onStore(silenced)},
	{"link to server reset", 3, false, onSeat(func(l *link, _ *rand.Rand) func() { l.reset(); return nil })},
	{"link to server delayed", 2, false, onSeat(delayed)},
	{"link to server cut one way", 2, false, onSeat(oneWay)},
	{"link to server silenced", 2, false, onSeat(silenced)},
	{"store down", 2, false, storeDown},
	{"store forgets its history", 3, false, compact},
	{"store's reads are old", 3, false, stale},
	{"server crashed", 4, false, crashServer},
	{"server replaced", 5, true, replaceServer},
	{"server sick", 6, false, sickServer},
	{"configuration changed", 6, true, changeConfiguration},
	{"configurations in series", 2, true, storm},
	{"key taken away", 3, true, takeKey},
}

// draw draws a kind of fault.
func draw(rng *rand.Rand, isCalm bool) fault {
	total := 0
	for _, f := range faults {
		if f.isPlanned || !isCalm {
			total += f.weight
		}
	}
	at := rng.IntN(total)
	for _, f := range faults {
		if !f.isPlanned && isCalm {
			continue
		}
		if at -= f.weight; at < 0 {
			return f
		}
	}
	return fault{}
}

// disturb injects faults, drawn by the seed, until the time for them is over
// and all have ended. Between troubled times lie calm ones with planned work alone.
func (s *Soak) disturb(ctx context.Context) {
	var running sync.WaitGroup
	began := time.Now()
	for passed := time.Duration(0); passed < s.config.Disturbed && ctx.Err() == nil; passed = time.Since(began) {
		f, span := draw(s.rng, passed%(troubledTime+calmTime) >= troubledTime), shortest+time.Duration(s.rng.Int64N(int64(longest-shortest)))
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
		s.faults.add(f.name)
		fmt.Fprintf(s.config.Out, "%s seed %d: %s for %s\n", time.Now().Format("15:04:05.000"), s.config.Seed, f.name, span.Round(time.Millisecond))
		running.Go(func() {
			if restore := f.begin(ctx, s, rng); restore != nil {
				sleep(ctx, span)
				restore()
			}
		})
		sleep(ctx, time.Duration(s.rng.ExpFloat64()*float64(faultPace)))
	}
	running.Wait()
}

// note notes an error of the operator's own calls: the store that the soak
// hosts never fails them.
func (s *Soak) note(err error) {
	if err != nil {
		s.witness.check(PromiseAlive, false, "the soak's operator: %v", err)
	}
}

func (s *Soak) entry(rng *rand.Rand) *front { return s.fronts[rng.IntN(len(s.fronts))] }

func killEntry(_ context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.entry(rng)
	f.disturb()
	f.kill()
	return f.disturb
}

func killAll(_ context.Context, s *Soak, _ *rand.Rand) func() {
	for _, f := range s.fronts {
		f.disturb()
		f.kill()
	}
	return func() {
		for _, f := range s.fronts {
			f.disturb()
		}
	}
}

func pauseEntry(_ context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.entry(rng)
	return f.during(f.pause())
}

// stopEntry asks an entry to stop, sometimes twice, and ends it if it is still
// there after its grace time.
func stopEntry(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.entry(rng)
	f.left.Store(time.Now().UnixNano())
	ended := f.ask(syscall.SIGTERM)
	if ended == nil {
		return nil
	}
	began := time.Now()
	if rng.IntN(2) == 0 {
		sleep(ctx, time.Second)
		f.ask(syscall.SIGTERM)
	}
	grace := time.Duration(promises.GraceS) * time.Second
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(grace + endMargin):
		calm := f.holds(time.Since(began)) && !s.config.Hasty && s.stall() < endMargin/2
		s.witness.check(PromiseLeave, !calm, "%s still runs %s after it was asked to stop", f.name, time.Since(began))
		f.kill()
	}
	f.disturb()
	return nil
}

func changeSettings(_ context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.entry(rng)
	s.note(f.write(fmt.Sprint(rng.Uint32())))
	f.reload()
	return nil
}

// onClients disturbs the link between an entry and its clients.
func onClients(begin func(*link, *rand.Rand) func()) func(context.Context, *Soak, *rand.Rand) func() {
	return func(_ context.Context, s *Soak, rng *rand.Rand) func() {
		f := s.entry(rng)
		return f.during(begin(f.clients, rng))
	}
}

// onStore disturbs the link between an entry and the store.
func onStore(begin func(*link, *rand.Rand) func()) func(context.Context, *Soak, *rand.Rand) func() {
	return func(_ context.Context, s *Soak, rng *rand.Rand) func() {
		f := s.entry(rng)
		return f.during(begin(f.store, rng))
	}
}

// onSeat disturbs the link between the entries and a backend server.
func onSeat(begin func(*link, *rand.Rand) func()) func(context.Context, *Soak, *rand.Rand) func() {
	return func(_ context.Context, s *Soak, rng *rand.Rand) func() {
		seat := s.world.seats[rng.IntN(len(s.world.seats))]
		return s.world.serversCalm.during(begin(seat.link, rng))
	}
}

func delayed(l *link, rng *rand.Rand) func() {
	return l.slow(time.Duration(rng.Int64N(int64(linkDelay))))
}

func oneWay(l *link, rng *rand.Rand) func() { return l.hold(direction(rng.IntN(2))) }

func silenced(l *link, _ *rand.Rand) func() {
	l.silence()
	return nil
}

func storeDown(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.world.store.Fail(http.StatusServiceUnavailable)
	return s.world.storeCalm.during(func() { s.world.store.Fail(0) })
}

func compact(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.world.store.Compact()
	return s.world.storeCalm.during(nil)
}

// stale shows old rows to whole reads. Entries follow the feed meanwhile, until
// the store forgets its history and makes them read as a whole.
func stale(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.world.store.Stale(true)
	s.note(s.world.configure())
	return s.world.storeCalm.during(func() {
		s.world.store.Compact()
		time.Sleep(staleEnd)
		s.world.store.Stale(false)
	})
}

// seat returns a seat at which nothing happens yet, or nil.
func (s *Soak) seat(rng *rand.Rand) *seat {
	for range s.world.seats {
		if seat := s.world.seats[rng.IntN(len(s.world.seats))]; seat.isBusy.CompareAndSwap(false, true) {
			return seat
		}
	}
	return nil
}

func crashServer(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	if seat := s.seat(rng); seat != nil {
		s.world.crash(seat)
		s.note(s.world.restart(ctx, seat))
		seat.isBusy.Store(false)
	}
	return nil
}

// replaceServer replaces a server. Those of a service are replaced one after
// the other: with most of them leaving the rest could not stay below the bound.
func replaceServer(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	if seat := s.seat(rng); seat != nil {
		turn := s.world.turn(seat.service)
		turn.Lock()
		s.note(s.world.replace(ctx, seat))
		turn.Unlock()
		seat.isBusy.Store(false)
	}
	return nil
}

func sickServer(_ context.Context, s *Soak, rng *rand.Rand) func() {
	seat := s.world.seats[rng.IntN(len(s.world.seats))]
	share := sickShare * rng.Float64()
	server := s.world.backend(seat)
	server.Inject([]clemstandin.BackendFaults{
		{Errors: share}, {Lost: share}, {Garbled: share}, {Cut: share}, {Extra: share}, {Slow: 1 + 9*rng.Float64()},
	}[rng.IntN(6)])
	return s.world.serversCalm.during(func() { server.Inject(clemstandin.BackendFaults{}) })
}

func changeConfiguration(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.note(s.world.configure())
	return nil
}

func storm(ctx context.Context, s *Soak, _ *rand.Rand) func() {
	for range stormVersions {
		s.note(s.world.configure())
		sleep(ctx, stormPace)
	}
	return nil
}

// takeKey gives an organisation a key and takes it away again.
func takeKey(_ context.Context, s *Soak, rng *rand.Rand) func() {
	name := fmt.Sprintf("guest-%d", rng.Uint32())
	s.note(s.world.admit(name))
	return func() { s.note(s.world.revoke(name)) }
}
