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
	// meanFaultInterval is the mean time between the starts of two faults. Most
	// faults last longer, so that several overlap.
	meanFaultInterval = 500 * time.Millisecond
	// faultPhase and quietPhase alternate. The latter is long enough for every
	// change that an entry must apply within some time to become due.
	faultPhase, quietPhase = 7 * time.Second, 11 * time.Second
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 4 * time.Second
	// maxLinkDelay is the longest delay added to a link.
	maxLinkDelay = 400 * time.Millisecond
	// burstVersions is the number of versions written in quick succession.
	burstVersions, burstInterval = 8, 60 * time.Millisecond
	// staleReadTail is how long reads stay stale after the store dropped its
	// history.
	staleReadTail = 500 * time.Millisecond
	// maxErrorShare is the largest share of its requests that an impaired server
	// fails.
	maxErrorShare = 0.6
)

// fault is a kind of fault. It lasts until the function that begin returns is
// called; begin returns nil if the fault has no duration.
type fault struct {
	name   string
	weight int
	// isPlanned is set for the operator's own work, which also happens in quiet
	// phases.
	isPlanned bool
	begin     func(ctx context.Context, s *Soak, rng *rand.Rand) func()
}

// faults are the kinds of faults with their weights.
var faults = []fault{
	{"entry killed", 3, false, killEntry},
	{"all entries killed", 1, false, killAll},
	{"entry paused", 4, false, pauseEntry},
	{"entry asked to stop", 4, true, stopEntry},
	{"settings changed", 2, true, changeSettings},
	{"link to clients reset", 3, false, onClients(func(l *link, _ *rand.Rand) func() { l.reset(); return nil })},
	{"link to clients delayed", 2, false, onClients(delayLink)},
	{"link to clients cut one way", 2, false, onClients(blockOneWay)},
	{"link to clients silenced", 1, false, onClients(blackholeLink)},
	{"link to store reset", 3, false, onStore(func(l *link, _ *rand.Rand) func() { l.reset(); return nil })},
	{"link to store delayed", 2, false, onStore(delayLink)},
	{"link to store cut one way", 3, false, onStore(blockOneWay)},
	{"link to store silenced", 2, false, onStore(blackholeLink)},
	{"link to server reset", 3, false, onServer(func(l *link, _ *rand.Rand) func() { l.reset(); return nil })},
	{"link to server delayed", 2, false, onServer(delayLink)},
	{"link to server cut one way", 2, false, onServer(blockOneWay)},
	{"link to server silenced", 2, false, onServer(blackholeLink)},
	{"store down", 2, false, storeDown},
	{"store forgets its history", 3, false, compactStore},
	{"store's reads are old", 3, false, staleReads},
	{"server crashed", 4, false, crashServer},
	{"server restarted at once", 4, false, restartServer},
	{"server replaced", 5, true, replaceServer},
	{"server sick", 6, false, impairServer},
	{"software released", 2, true, releaseSoftware},
	{"server rests", 4, true, restServer},
	{"configuration changed", 6, true, changeConfiguration},
	{"configurations in series", 2, true, changeInSeries},
	{"key taken away", 3, true, revokeKey},
	{"data centre evacuated", 2, true, evacuateCentre},
}

// pickFault returns a random kind of fault.
func pickFault(rng *rand.Rand, plannedOnly bool) fault {
	total := 0
	for _, f := range faults {
		if f.isPlanned || !plannedOnly {
			total += f.weight
		}
	}
	position := rng.IntN(total)
	for _, f := range faults {
		if !f.isPlanned && plannedOnly {
			continue
		}
		if position -= f.weight; position < 0 {
			return f
		}
	}
	return fault{}
}

// injectFaults injects faults drawn from the seed until the time for them is over
// and all have ended. In quiet phases it injects planned work only.
func (s *Soak) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	start := time.Now()
	for passed := time.Duration(0); passed < s.config.FaultDuration && ctx.Err() == nil; passed = time.Since(start) {
		f, duration := pickFault(s.rng, passed%(faultPhase+quietPhase) >= faultPhase), minFaultDuration+time.Duration(s.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
		s.faults.add(f.name)
		fmt.Fprintf(s.config.Out, "%s seed %d: %s for %s\n", time.Now().Format("15:04:05.000"), s.config.Seed, f.name, duration.Round(time.Millisecond))
		running.Go(func() {
			if restore := f.begin(ctx, s, rng); restore != nil {
				sleep(ctx, duration)
				restore()
			}
		})
		sleep(ctx, time.Duration(s.rng.ExpFloat64()*float64(meanFaultInterval)))
	}
	running.Wait()
}

// recordError records an error of one of the operator's own calls as a violation,
// since the soak's store never fails those.
func (s *Soak) recordError(err error) {
	if err != nil {
		s.observer.check(PromiseNoCrash, false, "the soak's operator: %v", err)
	}
}

func (s *Soak) pickFront(rng *rand.Rand) *front { return s.fronts[rng.IntN(len(s.fronts))] }

func killEntry(_ context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.pickFront(rng)
	f.recordFault()
	f.kill()
	return f.recordFault
}

func killAll(_ context.Context, s *Soak, _ *rand.Rand) func() {
	for _, f := range s.fronts {
		f.recordFault()
		f.kill()
	}
	return func() {
		for _, f := range s.fronts {
			f.recordFault()
		}
	}
}

// pauseEntry suspends an entry. Half of the time a server comes and leaves meanwhile, so
// that the entry's next read of the store has only the removal of its row.
func pauseEntry(_ context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.pickFront(rng)
	resume := f.wrapFault(f.pause())
	if rng.IntN(2) == 0 {
		return resume
	}
	slot := s.env.slots[rng.IntN(len(s.env.slots))]
	remove, err := s.env.addServer(slot.service, slot.centre)
	if err != nil {
		s.recordError(err)
		return resume
	}
	return func() {
		remove()
		resume()
	}
}

// stopEntry asks an entry to stop, sometimes twice, and kills it if it still runs
// after its grace period.
func stopEntry(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.pickFront(rng)
	f.lastStopRequest.Store(time.Now().UnixNano())
	ended := f.terminate(syscall.SIGTERM)
	if ended == nil {
		return nil
	}
	start := time.Now()
	if rng.IntN(2) == 0 {
		sleep(ctx, time.Second)
		f.terminate(syscall.SIGTERM)
	}
	grace := time.Duration(bounds.GracePeriodS) * time.Second
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(grace + exitMargin):
		isQuiet := f.isQuietFor(time.Since(start)) && !s.config.SkipTimeBounds && s.stall() < exitMargin/2
		s.observer.check(PromiseGracefulShutdown, !isQuiet, "%s still runs %s after it was asked to stop", f.name, time.Since(start))
		f.kill()
	}
	f.recordFault()
	return nil
}

func changeSettings(_ context.Context, s *Soak, rng *rand.Rand) func() {
	f := s.pickFront(rng)
	s.recordError(f.writeSettings(fmt.Sprint(rng.Uint32())))
	f.reload()
	return nil
}

// onClients returns a fault of the link between a random entry and its clients.
func onClients(begin func(*link, *rand.Rand) func()) func(context.Context, *Soak, *rand.Rand) func() {
	return func(_ context.Context, s *Soak, rng *rand.Rand) func() {
		f := s.pickFront(rng)
		return f.wrapFault(begin(f.clients, rng))
	}
}

// onStore returns a fault of the link between a random entry and the store.
func onStore(begin func(*link, *rand.Rand) func()) func(context.Context, *Soak, *rand.Rand) func() {
	return func(_ context.Context, s *Soak, rng *rand.Rand) func() {
		f := s.pickFront(rng)
		return f.wrapFault(begin(f.store, rng))
	}
}

// onServer returns a fault of the link between the entries and a random backend
// server.
func onServer(begin func(*link, *rand.Rand) func()) func(context.Context, *Soak, *rand.Rand) func() {
	return func(_ context.Context, s *Soak, rng *rand.Rand) func() {
		slot := s.env.slots[rng.IntN(len(s.env.slots))]
		return s.env.serversQuiet.wrapFault(slot.wrapFault(slot.linkQuiet.wrapFault(begin(slot.link, rng))))
	}
}

func delayLink(l *link, rng *rand.Rand) func() {
	return l.addDelay(time.Duration(rng.Int64N(int64(maxLinkDelay))))
}

func blockOneWay(l *link, rng *rand.Rand) func() { return l.block(direction(rng.IntN(2))) }

func blackholeLink(l *link, _ *rand.Rand) func() {
	l.blackhole()
	return nil
}

func storeDown(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.env.store.SetFailureStatus(http.StatusServiceUnavailable)
	return s.env.storeQuiet.wrapFault(func() { s.env.store.SetFailureStatus(0) })
}

func compactStore(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.env.store.Compact()
	return s.env.storeQuiet.wrapFault(nil)
}

// staleReads makes full reads return old rows. Entries follow the change feed
// meanwhile, until the store drops its history, which forces a full read.
func staleReads(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.env.store.SetStale(true)
	s.recordError(s.env.configure())
	return s.env.storeQuiet.wrapFault(func() {
		s.env.store.Compact()
		time.Sleep(staleReadTail)
		s.env.store.SetStale(false)
	})
}

// pickFreeSlot returns a random server slot that is not being replaced or
// restarted, or nil.
func (s *Soak) pickFreeSlot(rng *rand.Rand) *serverSlot {
	for range s.env.slots {
		if slot := s.env.slots[rng.IntN(len(s.env.slots))]; slot.isBusy.CompareAndSwap(false, true) {
			return slot
		}
	}
	return nil
}

func crashServer(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	if slot := s.pickFreeSlot(rng); slot != nil {
		s.env.crash(slot)
		s.recordError(s.env.restart(ctx, slot))
		slot.isBusy.Store(false)
	}
	return nil
}

// restartServer crashes a server that returns at once with the same id. Entries without a
// request there do not notice, and its row is as old as its heartbeat.
func restartServer(_ context.Context, s *Soak, rng *rand.Rand) func() {
	if slot := s.pickFreeSlot(rng); slot != nil {
		s.env.crash(slot)
		s.recordError(s.env.startServer(slot, s.env.backend(slot).ID()))
		slot.isBusy.Store(false)
	}
	return nil
}

// replaceServer replaces a server. The servers of a service are replaced one at a
// time: if most of them were draining, the others could not stay below the load
// bound.
func replaceServer(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	if slot := s.pickFreeSlot(rng); slot != nil {
		lock := s.env.replaceLock(slot.service)
		lock.Lock()
		s.recordError(s.env.replace(ctx, slot, rng.IntN(2) == 0))
		lock.Unlock()
		slot.isBusy.Store(false)
	}
	return nil
}

// releaseSoftware makes the servers that start from now on run a new version of the software.
func releaseSoftware(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	s.env.release++
	return nil
}

func impairServer(_ context.Context, s *Soak, rng *rand.Rand) func() {
	slot := s.env.slots[rng.IntN(len(s.env.slots))]
	share := maxErrorShare * rng.Float64()
	server := s.env.backend(slot)
	server.Inject([]clemstandin.BackendFaults{
		{ErrorRatio: share}, {ResetRatio: share}, {GarbledRatio: share}, {TruncatedRatio: share}, {ExtraResponseRatio: share}, {SlowdownFactor: 1 + 9*rng.Float64()},
	}[rng.IntN(6)])
	return s.env.serversQuiet.wrapFault(slot.wrapFault(func() { server.Inject(clemstandin.BackendFaults{}) }))
}

// restServer makes a server refuse requests for a time that it names. The others have to
// carry its load meanwhile, so that the load bound is not checked.
func restServer(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	slot := s.env.slots[rng.IntN(len(s.env.slots))]
	end := s.env.serversQuiet.beginFault()
	duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	s.env.backend(slot).Rest(duration)
	sleep(ctx, duration)
	end()
	return nil
}

func changeConfiguration(_ context.Context, s *Soak, _ *rand.Rand) func() {
	s.recordError(s.env.configure())
	return nil
}

func changeInSeries(ctx context.Context, s *Soak, _ *rand.Rand) func() {
	for range burstVersions {
		s.recordError(s.env.configure())
		sleep(ctx, burstInterval)
	}
	return nil
}

// revokeKey gives an organisation a key and removes the key when the fault ends.
func revokeKey(_ context.Context, s *Soak, rng *rand.Rand) func() {
	name := fmt.Sprintf("guest-%d", rng.Uint32())
	s.recordError(s.env.addKey(name))
	return func() { s.recordError(s.env.removeKey(name)) }
}

// evacuateCentre evacuates a data centre, one at a time: with none left every request
// would be refused. The others have to carry the load meanwhile, so that the load bound
// is not checked.
func evacuateCentre(ctx context.Context, s *Soak, rng *rand.Rand) func() {
	if !s.env.isEvacuating.CompareAndSwap(false, true) {
		return nil
	}
	end := s.env.serversQuiet.beginFault()
	withdraw, err := s.env.evacuate(centres[rng.IntN(len(centres))])
	s.recordError(err)
	if err != nil {
		withdraw = func() {}
	}
	sleep(ctx, evacuationTime)
	return func() {
		withdraw()
		end()
		s.env.isEvacuating.Store(false)
	}
}
