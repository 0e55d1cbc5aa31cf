package clemsidecar

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

// verdicts gathers what was said of each attempt.
type verdicts struct {
	*bench
	calls sync.WaitGroup

	mu       sync.Mutex
	notRun   map[string]bool
	accepted map[string]bool
}

func (v *verdicts) accept(attempt string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.accepted[attempt] = true
}

func (v *verdicts) isAccepted(attempt string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.accepted[attempt]
}

func (v *verdicts) add(attempt string, notRun bool) {
	if !notRun {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notRun[attempt] = true
}

// offer makes one offer in the background and reads its answer, if there is one.
func (v *verdicts) offer(t *testing.T, offer *clemwire.Offer) {
	v.calls.Go(func() {
		accepted := v.isAccepted(offer.GetAttempt())
		verdict, err := v.Offer(t.Context(), offer)
		if err != nil {
			v.add(offer.GetAttempt(), clementineturn.IsNotRun(err))
			return
		}
		// A refusal as stale lets the entry offer the attempt again, so that
		// it is final only for an attempt that was accepted before.
		if !accepted && verdict.GetRefusal().GetKind() == clementineturn.KindStale.String() {
			return
		}
		v.add(offer.GetAttempt(), verdict.GetRefusal().GetNotRun())
		if verdict.GetRefusal() != nil {
			return
		}
		v.accept(offer.GetAttempt())
		fetch := &clemwire.Fetch{Request: offer.GetRequest(), Attempt: offer.GetAttempt(), Organisation: offer.GetOrganisation()}
		err = v.Fetch(t.Context(), fetch, func(frame *clemwire.Frame) error {
			v.add(offer.GetAttempt(), frame.GetEnd().GetRefusal().GetNotRun())
			return nil
		})
		v.add(offer.GetAttempt(), clementineturn.IsNotRun(err))
	})
}

func (v *verdicts) cancelAttempt(t *testing.T, attempt string) {
	v.calls.Go(func() {
		cancelled, err := v.Cancel(t.Context(), &clemwire.Cancel{Request: "r", Attempt: attempt, Organisation: "cribs"})
		v.add(attempt, err == nil && cancelled.GetNotRun())
	})
}

// TestRefusalsAreTrue interleaves offers, repeats of offers, cancels, drains,
// changes of the configuration, timeouts and backend faults: what was ever said not to have run has never
// reached the backend server, and no call of a key reaches it twice.
func TestRefusalsAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.Uint32Range(1, 2).Draw(rt, "slots")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		var fault string
		synctest.Test(t, func(t *testing.T) {
			v := &verdicts{bench: newBench(slots), notRun: map[string]bool{}, accepted: map[string]bool{}}
			for _, step := range steps {
				step.take(t, v)
				if step.wait >= 0 {
					time.Sleep(step.wait)
				}
			}
			v.calls.Wait()
			// Late effects too: longer than verdicts and answers are remembered.
			time.Sleep(verdictMemory + linger)
			v.close()
			fault = v.fault()
			require.Empty(t, v.attempts, "attempts stay")
			require.True(t, v.Idle(), "slots or answers stay")
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// fault returns the first promise that was broken, or "".
func (v *verdicts) fault() string {
	for attempt := range v.notRun {
		if n := v.backend.runs(attempt); n > 0 {
			return fmt.Sprintf("%s was said not to have run, and ran %d times", attempt, n)
		}
	}
	for attempt, n := range v.backend.seen {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times", attempt, n)
		}
	}
	for key, n := range v.backend.keys {
		if key != "" && n > 1 {
			return fmt.Sprintf("the call of %s ran %d times", key, n)
		}
	}
	return ""
}

// step is one event of an interleaving.
type step struct {
	kind    int
	attempt string
	key     string
	timeout time.Duration
	took    time.Duration
	// wait is the time before the next step; below 0 it follows at once.
	wait time.Duration
}

func drawStep(t *rapid.T) step {
	attempt := rapid.IntRange(1, 6).Draw(t, "attempt")
	key := ""
	if attempt > 3 {
		key = fmt.Sprint("k", attempt%2)
	}
	millis := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	return step{
		kind: rapid.IntRange(0, 8).Draw(t, "kind"), attempt: fmt.Sprint("r.", attempt), key: key,
		timeout: millis("timeout", 1, 400), took: millis("took", 0, 300), wait: millis("wait", -1, 100),
	}
}

func (s step) take(t *testing.T, v *verdicts) {
	switch s.kind {
	default:
		offer := offerOf(s.attempt, s.key, s.timeout)
		offer.Eager, offer.Hedge = s.kind == 1, s.kind == 2
		// Kind 3 keeps the first generation, which a change makes stale.
		if s.kind != 3 {
			offer.Generation = v.generation()
		}
		v.offer(t, offer)
	case 4:
		v.cancelAttempt(t, s.attempt)
	case 5:
		v.backend.set(s.took, false)
	case 6:
		v.backend.set(s.took, true)
	case 7:
		v.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.With("test", !d.Active()) })
	case 8:
		v.setGeneration(v.generation() + 1)
	}
}

// TestRepeatAfterMemory offers an attempt again after its verdict was
// forgotten while its answer is held: it ran, so no refusal may say it did not.
func TestRepeatAfterMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		verdict, err := b.Offer(t.Context(), offerOf("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())
		b.Wait()
		b.mu.Lock()
		clear(b.attempts)
		b.mu.Unlock()
		verdict, err = b.Offer(t.Context(), offerOf("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "conflict", verdict.GetRefusal().GetKind())
		require.False(t, verdict.GetRefusal().GetNotRun())
		require.Equal(t, 1, b.backend.runs("r.1"))
	})
}

// TestIdleAfterRefusal refuses a call at its claim and expects nothing to
// stay that a graceful shutdown would wait for.
func TestIdleAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		b.held.Store(nil)
		verdict, err := b.Offer(t.Context(), offerOf("r.1", "k1", time.Minute))
		require.NoError(t, err)
		require.True(t, verdict.GetRefusal().GetNotRun())
		require.True(t, b.Idle())
	})
}

// TestLargeAnswer runs work whose answer does not fit the buffer.
func TestLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		defer b.close()
		b.backend.answer = make([]byte, buffer+1)
		_, err := b.Offer(t.Context(), offerOf("r.1", "", time.Minute))
		require.NoError(t, err)
		var end *clemwire.End
		require.NoError(t, b.Fetch(t.Context(), &clemwire.Fetch{Request: "r", Attempt: "r.1", Organisation: "cribs"}, func(frame *clemwire.Frame) error {
			require.Empty(t, frame.GetData())
			end = frame.GetEnd()
			return nil
		}))
		require.Equal(t, "too_large", end.GetRefusal().GetKind())
		require.False(t, end.GetRefusal().GetNotRun())
	})
}
